package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCutPointsGiveEqualWork(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	for n := range 60 {
		d.observeSize(Work(1 + n*7%60))
		if n < minSample-1 {
			assert.Empty(t, d.sizes.cutPoints, "one lane until there are enough hints")
		}
	}
	d.updateCutPoints()
	small, all := Work(0), Work(0)
	for _, s := range d.sizes.sample {
		all += s
		if s < d.sizes.cutPoints[0] {
			small += s
		}
	}
	assert.Len(t, d.sizes.cutPoints, intervals-1)
	assert.InDelta(t, 0.5, float64(small)/float64(all), 0.04)
}

func TestSampleIsBounded(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	for range 3 * maxSample {
		d.observeSize(10)
	}
	for range maxSample {
		d.observeSize(500) // a shift to large jobs displaces all that was known
	}
	assert.Len(t, d.sizes.sample, maxSample)
	assert.EqualValues(t, 500, slices.Min(d.sizes.sample))
}

func TestBlocksAreAlikeAtEveryDispatcher(t *testing.T) {
	a, _ := newWarmBalancer(9, 1)
	b, _ := newWarmBalancer(9, 2)
	var list []Endpoint
	for w := 8; w >= 0; w-- {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w)})
	}
	b.UpdateEndpoints(list, true, true)
	assert.Equal(t, a.subsetting.ring, b.subsetting.ring)
	assert.NotEqual(t, a.subsetting.subsets[wholeRing].roundRobin, b.subsetting.subsets[wholeRing].roundRobin, "each rotation starts at a place of its own")
}

func TestRotationTakesTurnsWithinTheBlock(t *testing.T) {
	d, _ := newWarmBalancer(6, 1)
	d.sizes.cutPoints = []Work{100}
	small, large := map[WorkerID]int{}, map[WorkerID]int{}
	for range 6 {
		w, ok := d.pickWorker(&request{attemptLimit: 4, interval: 0, quotaWeight: 1, deadline: 200 * Second})
		assert.True(t, ok)
		small[w]++
		w, _ = d.pickWorker(&request{attemptLimit: 4, interval: 1, quotaWeight: 1, deadline: 200 * Second})
		large[w]++
	}
	for n, w := range d.subsetting.ring {
		assert.Equal(t, []int{2, 0}[n/3], small[w])
		assert.Equal(t, []int{0, 2}[n/3], large[w])
	}
}

func TestFullBlockBorrows(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	d.sizes.cutPoints = []Work{100}
	d.workers[d.subsetting.ring[0]].unstarted, d.workers[d.subsetting.ring[1]].unstarted = 1, 1
	w, ok := d.pickWorker(&request{attemptLimit: 4, interval: 0, quotaWeight: 1, deadline: 200 * Second})
	assert.True(t, ok)
	assert.Contains(t, d.subsetting.ring[2:], w)
}

func TestOverTwiceTheMeanIsPassedOver(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	busy := d.subsetting.ring[2]
	d.addInFlight(busy, 3)
	for range 8 {
		w, ok := d.pickWorker(&request{attemptLimit: 4, quotaWeight: 1, deadline: 200 * Second})
		assert.True(t, ok)
		assert.NotEqual(t, busy, w)
	}
}

func TestWhatMayBeDoneAfterEachOutcome(t *testing.T) {
	unseen := []Outcome{Overloaded, NoConnection, NotSent}
	perhaps := []Outcome{WorkerError, TimedOut, ConnectionReset, Canceled, ConnectionStale}
	check := func(op OperationID, how Outcome, same, other, throttle bool) {
		d, _ := newWarmBalancer(4, 1)
		d.RequestArrived(0, Arrival{Operation: op, Timeout: 10 * Second, SizeHint: 100})
		i := &d.requests.byID[0]
		d.startAttempt(0, 0)
		d.AttemptEnded(0, 0, how, false)
		i.closed = false // as if the module had not answered yet
		assert.Equal(t, same, d.mayAttempt(i, 0), "operation %d outcome %d: same group", op, how)
		assert.Equal(t, other, d.mayAttempt(i, 1), "operation %d outcome %d: other group", op, how)
		assert.Equal(t, throttle, d.mayReject(i), "operation %d outcome %d: throttle", op, how)
		d.now += 6 * Second
		again := op == 0 || slices.Contains(unseen, how)
		assert.Equal(t, again, d.mayAttempt(i, 0), "operation %d outcome %d: past the window", op, how)
	}
	for op := range OperationID(len(testConfig.Operations)) {
		for _, how := range unseen {
			check(op, how, true, true, true)
		}
	}
	for _, how := range perhaps {
		check(0, how, true, true, true)
		check(1, how, false, false, false)
		check(2, how, true, false, false)
		check(3, how, true, true, true)
		check(4, how, true, false, false)
	}
}

func TestForwardStillOutMayHaveRun(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	i := &request{attemptLimit: 4, operation: 1, deadline: 200 * Second, inFlight: 1, attempts: []attempt{{worker: 0, sentAt: d.now, inFlight: true}}}
	assert.False(t, d.mayAttempt(i, 1))
	assert.False(t, d.mayReject(i))
	i.operation = 0
	assert.True(t, d.mayAttempt(i, 1))
	d.config.hedging = false
	assert.False(t, d.mayAttempt(i, 1), "second copies are not allowed")
}

func TestDrainingAndGoneWorkersGetNothing(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", State: Draining}}, false, true)
	assert.False(t, d.isAvailable(0))
	assert.True(t, d.isAvailable(1))
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, true, true)
	assert.True(t, d.isAvailable(0), "a worker may come back")
	assert.False(t, d.isAvailable(1), "absent from a complete list")
}

func TestColdWorkerIsHeldToThePartOfEachDispatcher(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.now += Second
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now}}, false, true)
	part := 4 * 0.2 * 1 * float64(2*Second) * (1 - warmupMargin) / 2 // one slot is known of
	d.config.meanObjective = part                                    // as much as one piece of work
	assert.True(t, d.withinWarmupBudget(0, Work(part)))
	assert.False(t, d.withinWarmupBudget(0, Work(part)+1))
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Work(part)})
	d.startAttempt(0, 0)
	assert.False(t, d.withinWarmupBudget(0, 1), "what was sent counts, whatever became of it")
	d.now += 2 * Second
	assert.True(t, d.withinWarmupBudget(0, 1), "the span has passed")
	assert.True(t, d.withinWarmupBudget(1, 1<<40), "a warm worker has no such budget")
}

// Guards against parts too small for any piece of work, with which a cold worker is shut to nearly all: each sends
// there by what lands at it, and what all save up begins evenly spread.
func TestColdWorkerOfManyDispatchersIsOpenToEachByWhatLandsThere(t *testing.T) {
	open := 0
	for position := range 200 {
		terms := testConfig
		terms.Dispatchers, terms.Position = 200, position
		d := New(terms, 1, &recorder{})
		d.SetTime(100 * Second)
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now - 5*Second}, {Worker: 1, ID: "w1"}, {Worker: 2, ID: "w2"}}, true, true)
		assert.False(t, d.withinWarmupBudget(0, 100), "nothing has landed, so nothing may go there")
		// At two fifths of its capacity, of two and two fifths in all, it may get twice its part: a third.
		for inv := range RequestID(5) {
			d.RequestArrived(inv, Arrival{Timeout: 10 * Second, SizeHint: 100})
			if d.withinWarmupBudget(0, 100) {
				open++
				d.startAttempt(inv, 0)
				assert.False(t, d.withinWarmupBudget(0, 100), "one at most is saved up")
			}
		}
		d.warmup.firstTries += 1000 // the worker was of no use to any of them
		assert.True(t, d.withinWarmupBudget(0, 100))
		d.RequestArrived(5, Arrival{Timeout: 10 * Second, SizeHint: 100})
		d.startAttempt(5, 0)
		assert.False(t, d.withinWarmupBudget(0, 100), "one at most, however much has landed")
		d.RequestArrived(6, Arrival{Timeout: 5 * Second, SizeHint: 100})
		assert.Equal(t, 1006, d.warmup.firstTries, "a client that comes again asks for nothing more")
		assert.True(t, d.withinWarmupBudget(1, 1<<40))
	}
	assert.InDelta(t, 200*5*2*0.4/2.4, open, 10)
}

func TestColdWorkerGetsNothingThatItsSlownessMakesLate(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.workers[0].startedAt, d.slots.kinds[0].maxObserved, d.slots.kinds[0].estimate = d.now-5*Second, 9, 9 // at two fifths of its capacity
	d.config.dispatchers, d.sizes.median = 1, Second                                                       // hints come
	for size, taken := range map[Work]bool{Second / 2: true, Second: false} {
		_, ok := d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: size, deadline: 200 * Second})
		assert.Equal(t, taken, ok, "1.5 times the size over the objective of a second: %d", size)
	}
	late := &request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: Second, deadline: 200 * Second, late: true}
	_, ok := d.pickWorker(late)
	assert.True(t, ok, "what is late in any case may still earn something")
	d.sizes.median = 0
	_, ok = d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: Second, deadline: 200 * Second})
	assert.True(t, ok, "no hint tells that it would be late")
}

func TestAllTogetherKeepAColdWorkersBudget(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.config.dispatchers, d.config.meanObjective, d.now = 200, 1, 200*Second // small work: there is a part for each
	for age := Time(0); age < 20*Second; age += Second {
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now - age}}, false, true)
		sent := Work(0)
		for d.config.position = range 200 {
			d.slots.kinds[0].maxObserved = 3 + float64(d.config.position%2) // they need not believe alike
			for size := Work(1); d.withinWarmupBudget(0, size); size++ {
				sent++
			}
		}
		assert.Positive(t, sent, "age %d", age)
		assert.Less(t, float64(sent), 4*d.warmupFactor(0)*4*float64(2*Second), "age %d", age)
	}
}

func TestFinalAnswerComesInTimeWithoutOutcome(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.RequestArrived(0, Arrival{Operation: 1, Timeout: Second / 100, SizeHint: 100}) // a late try of little grace
	d.RunDueRules()
	assert.Equal(t, []string{"forward 0 to 0"}, b.lines)
	d.SetTime(min(d.due.wakeAt, d.now+Second/100))
	d.RunDueRules()
	assert.Equal(t, []string{"forward 0 to 0", "error 0", "cancel 0.0"}, b.lines)
	d.AttemptEnded(0, 0, Succeeded, true) // after the end: harmless
	d.ClientLeft(0, -1)
	d.RunDueRules()
	assert.Len(t, b.lines, 3)
}

func TestLateHeldWorkIsThrottledAtOnce(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.workers[0].unstarted = 1
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	d.RequestArrived(1, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: 100})
	d.now += Second + 1
	d.RunDueRules()
	assert.ElementsMatch(t, []string{"throttle 0 back 20000", "throttle 1 back 0"}, b.lines)
}

func TestHeldOrderIsByValueThenLatestStart(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.workers[0].unstarted = 1
	for inv, op := range []OperationID{0, 0, 1} {
		d.now += 10
		d.RequestArrived(RequestID(inv), Arrival{Operation: op, Timeout: 10 * Second, SizeHint: 100})
	}
	d.requests.byID[0].quotaWeight = d.config.overQuotaShare
	d.updateCutPoints()
	assert.Equal(t, []RequestID{2, 1, 0}, d.pending.ids)
}

func TestOperationThatLostMostIsWeighedByItsPartInTheGoal(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.config.worstOperationWeight = 1
	d.workers[0].probeAfter = 200 * Second
	for inv, op := range []OperationID{1, 0, 1} { // worth 8 and 1 for a unit of work
		d.now++
		d.RequestArrived(RequestID(inv), Arrival{Operation: op, Timeout: 10 * Second, SizeHint: Second})
	}
	assert.Equal(t, []RequestID{0, 2, 1}, d.pending.ids)
	d.RequestArrived(3, Arrival{Timeout: 10 * Second, SizeHint: Second})
	d.rejectOrFail(3)
	assert.Equal(t, []RequestID{1, 0, 2}, d.pending.ids, "else the operation of little value would get nothing")
}

func TestWhatWaitsOnAWorkerPastHopeIsThrottled(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.operations.byID[0].slack, d.operations.byID[1].slack = 2, 2
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Second})
	d.RunDueRules()
	d.RequestArrived(1, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: Second})
	d.workers[0].unstarted = 0
	d.RunDueRules()
	d.now += 2*Second + 1 // the objective, and half of what the hint allows on top
	d.due.reviewAt = d.now
	d.RunDueRules()
	assert.Equal(t, []string{"forward 0 to 0", "forward 1 to 0", "throttle 0 back 20000", "cancel 0.0"}, b.lines)
}

func TestUnstartedForwardMovesOn(t *testing.T) {
	d, b := newWarmBalancer(2, 1)
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	d.RunDueRules()
	d.now += d.config.patience
	d.RunDueRules()
	assert.Len(t, b.lines, 3)
	assert.Equal(t, "cancel 0.0", b.lines[2])
	assert.NotEqual(t, b.lines[0], b.lines[1])
}

func TestSlotsBelievedStandOneFalseWait(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.config.reportFree = -1
	vote := func(load int, atOnce ...bool) {
		for _, v := range atOnce {
			d.observeQueueing(0, load, v)
		}
	}
	vote(1, true, true)
	vote(2, false) // a forward that no peer had told of yet
	assert.EqualValues(t, initialSlots, d.slots.kinds[0].estimate)
	vote(4, false, false)
	assert.EqualValues(t, 3, d.slots.kinds[0].estimate)
	assert.EqualValues(t, 1, d.slots.kinds[0].maxObserved)
	vote(3, true, true)
	vote(2, true, true, true)
	assert.EqualValues(t, 3, d.slots.kinds[0].estimate)
	assert.EqualValues(t, 3, d.slots.kinds[0].maxObserved, "twice seen")
}

func TestCustomersCountByTheirTrafficAgainstTheirShare(t *testing.T) {
	counts := func(c TenantID, landings int, every Time) (last float64) {
		d, _ := newWarmBalancer(2, 1)
		for range landings {
			d.now += every
			last = d.quotaWeight(c)
		}
		return last
	}
	assert.EqualValues(t, 1, counts(0, 1000, 1), "no share")
	assert.EqualValues(t, 1, counts(1, 200, Second/10), "ten a second are its share here")
	assert.InDelta(t, 0.1+0.9*1.5/4, counts(1, 400, Second/40), 0.02)
	assert.EqualValues(t, 1, counts(2, 4, Second), "too few to tell from chance, though beyond a share of 0.1")
}

func TestCustomersBeyondTheirShareLeaveRoom(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.slots.kinds[0].estimate, d.slots.kinds[0].maxObserved = 3, 3
	d.config.gossip = true
	d.ReceiveLoad(1, Load{Worker: 0, InFlight: 2})
	_, ok := d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, deadline: 200 * Second, quotaWeight: 0.2})
	assert.False(t, ok)
	_, ok = d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, deadline: 200 * Second, quotaWeight: 1})
	assert.True(t, ok)
}

func TestProbesFollowLandings(t *testing.T) {
	d, b := newWarmBalancer(3, 1)
	d.config.probes = true
	for inv := range RequestID(5) {
		d.RequestArrived(inv, Arrival{Timeout: 10 * Second, SizeHint: 100})
		for range 3 {
			d.RunDueRules()
			d.now += Second / 100
		}
	}
	probes := slices.DeleteFunc(b.lines, func(l string) bool { return !strings.HasPrefix(l, "probe") })
	assert.Len(t, probes, 3, "the price is for each invocation, not for time")
}

func TestFullPartsLeadElsewhereUntilOneIsFull(t *testing.T) {
	d, b := newWarmBalancer(9, 1)
	d.config.gossip, d.config.dispatchers, d.config.dispatchersPerWorker, d.config.hedging = true, 9, 1, false
	d.updateSubsets()
	assert.Len(t, d.subsetting.subsets[bothIntervals].workers, intervals)
	for inv := range RequestID(intervals + 2) {
		d.RequestArrived(inv, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: Second})
		d.RunDueRules()
	}
	assert.Len(t, b.lines, intervals+2)
	d.AttemptEnded(intervals, 0, Overloaded, false)
	d.RunDueRules()
	assert.Len(t, b.lines, intervals+2, "held: where nothing is told, others may be full as well")
	d.now += Second + 1
	d.due.capacityChanged = true
	d.RunDueRules()
	assert.Greater(t, len(b.lines), intervals+2)
}

func TestSilentPeersAreForgotten(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.ReceiveLoad(1, Load{Worker: 0, InFlight: 3})
	d.ReceiveLoad(1, Load{Worker: 0, InFlight: 2})
	assert.Equal(t, 2, d.load(0))
	d.now += 3*d.gossip.resendInterval + 1
	d.resendLoads()
	assert.Equal(t, 0, d.load(0))
}

func TestThoseToldOfAWorkerAreThoseThatHaveItInTheirPart(t *testing.T) {
	for _, size := range [][3]int{{9, 200, 21}, {85, 200, 21}, {300, 1000, 7}, {5, 3, 3}, {1, 40, 4}} {
		told, keep := map[WorkerID][]int{}, [][2]int(nil)
		for p := range size[1] {
			d, _ := newWarmBalancer(size[0], 1)
			d.config.position, d.config.dispatchers, d.config.dispatchersPerWorker = p, size[1], size[2]
			d.updateSubsets()
			for _, w := range d.subsetting.subsets[bothIntervals].workers {
				told[w] = append(told[w], p)
			}
			keep = nil
			for _, w := range d.workers {
				keep = append(keep, w.subsetPeerRange)
			}
		}
		for w := range WorkerID(size[0]) {
			var peers []int
			for p := keep[w][0]; p < keep[w][1]; p++ {
				peers = append(peers, p%size[1])
			}
			assert.ElementsMatch(t, told[w], peers, "worker %d of %v", w, size)
		}
	}
}

func TestListIsAskedForWithBackoff(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.config.pollEndpoints, d.discovery.watching = true, false
	d.RunDueRules()
	d.RunDueRules()
	assert.Equal(t, []string{"subscribe"}, b.lines, "once, until an answer comes")
	last := Time(0)
	for range 4 {
		d.EndpointsUnavailable()
		assert.Greater(t, d.discovery.nextPoll-d.now, last/2)
		last = d.discovery.nextPoll - d.now
		assert.Less(t, last, d.config.maxPollInterval)
	}
}

// Guards against a program that fails all it gets: it is always idle, and so would get more than its turn.
func TestWorkerThatFailsAllIsTriedOutByWorkThatMayRunAgain(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	fail := func(how Outcome) {
		d.RequestArrived(0, Arrival{Timeout: 90 * Second, SizeHint: 100})
		d.startAttempt(0, 0)
		d.AttemptEnded(0, 0, how, true)
	}
	once, again := &request{attemptLimit: 4, operation: 1, quotaWeight: 1, deadline: never}, &request{attemptLimit: 4, quotaWeight: 1, deadline: never}
	takes := func(i *request) bool {
		_, ok := d.pickWorker(i)
		return ok
	}
	fail(ConnectionReset)
	assert.True(t, takes(once), "a single one is chance")
	fail(WorkerError)
	assert.False(t, takes(again))
	d.now += 2 * Second
	assert.True(t, takes(again), "a trial")
	assert.False(t, takes(once), "not by this")
	d.now += 8 * Second
	assert.True(t, takes(once), "nothing else has tried")
	fail(Succeeded)
	fail(WorkerError)
	assert.True(t, takes(again), "a success clears it")
}

// Guards against a long rest for one failure: all that is out at a worker ends with its process.
func TestOneFailureEndsAllThatIsOutAndCountsOnce(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	for inv := range RequestID(3) {
		d.RequestArrived(inv, Arrival{Timeout: 90 * Second, SizeHint: 100})
		d.startAttempt(inv, 0)
	}
	d.AttemptEnded(0, 0, ConnectionStale, true)
	assert.Equal(t, 0, d.workers[0].consecutiveFailures, "a kept connection may end and its worker be well")
	d.AttemptEnded(1, 0, NoConnection, true)
	d.AttemptEnded(2, 0, NoConnection, true)
	assert.Equal(t, []any{1, d.now + Second}, []any{d.workers[0].consecutiveFailures, d.workers[0].probeAfter})
}

// Guards against a worker that tells of a start and then nothing more, for as long as the client waits.
func TestWorkThatRunsOnAndOnIsCopiedWhereThereIsRoomToSpare(t *testing.T) {
	for _, c := range []struct {
		op     OperationID
		ran    Time
		busy   int
		copied int
	}{{0, 50 * Second, 0, 1}, {0, 40 * Second, 0, 0}, {0, 50 * Second, 4, 0}, {1, 50 * Second, 0, 0}} {
		d, _ := newWarmBalancer(2, 1)
		d.config.gossip, d.subsetting.subsets[bothIntervals].workers = true, d.subsetting.ring
		d.subsetting.subsets[bothIntervals].reindex(d.workers)
		d.RequestArrived(0, Arrival{Operation: c.op, Timeout: 90 * Second, SizeHint: 1000})
		d.RunDueRules()
		d.AttemptStarted(0, 0)
		d.workers[1-d.requests.byID[0].attempts[0].worker].peerInFlight = c.busy
		d.now += c.ran
		d.reviewOpenRequests()
		assert.Len(t, d.requests.byID[0].attempts, 1+c.copied, c)
	}
}

// Guards against workers that send start notes which the settings do not announce: each served once,
// and was then taken to have one waiting for good.
func TestUnannouncedStartNotesShutNoWorkerOut(t *testing.T) {
	terms := testConfig
	terms.StartNotices = false
	b := &recorder{}
	d := New(terms, 1, b)
	d.SetTime(100 * Second)
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, true, true)
	for range 3 {
		d.RequestArrived(0, Arrival{Timeout: 3 * Second})
		d.RunDueRules()
		d.AttemptStarted(0, 0)
		d.AttemptStarted(0, 0)
		d.AttemptEnded(0, 0, Succeeded, true)
		d.RunDueRules()
		assert.Zero(t, d.workers[0].unstarted)
	}
	assert.Equal(t, []string{"forward 0 to 0", "forward 0 to 0", "forward 0 to 0"}, b.lines[len(b.lines)-3:])
}

// Guards against a second start note for one forward, which would count one that still waits as begun.
func TestSecondStartNoteChangesNothing(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	for inv := range RequestID(2) {
		d.RequestArrived(inv, Arrival{Timeout: 3 * Second})
		d.startAttempt(inv, 0)
	}
	d.AttemptStarted(0, 0)
	d.AttemptStarted(0, 0)
	assert.Equal(t, 1, d.workers[0].unstarted)
}

// Guards against a load report out of all proportion, after which no worker elsewhere was tried for long.
func TestLoadReportBelowNothingCountsAsNoSlotFree(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.ReceiveLoadReport(0, []float64{-1e9})
	assert.InDelta(t, 1-learningRate, d.slots.freeSlotRatio, 1e-9)
}
