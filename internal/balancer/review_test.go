package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

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

// far is a dispatcher whose caller tells when a worker has a forward.
func far() (*Balancer, *recorder) {
	b := &recorder{}
	terms := testConfig
	terms.DeliveryNotices, terms.ReportFree = true, -1
	d := New(terms, 1, b)
	d.SetTime(100 * Second)
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}, {Worker: 1, ID: "w1"}}, true, true)
	return d, b
}

// Guards against an operation of a short objective that is hardly served, as each of its forwards is called off
// before its worker could have told of a start.
func TestForwardThatIsStillOnItsWayIsNotMoved(t *testing.T) {
	d, b := far()
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	d.RunDueRules()
	assert.Len(t, b.lines, 1)
	d.SetTime(d.now + d.config.patience)
	d.RunDueRules()
	assert.Len(t, b.lines, 1, "it need not have arrived yet")
	d.AttemptDelivered(0, 0)
	d.SetTime(d.now + d.config.patience - 1)
	d.RunDueRules()
	assert.Len(t, b.lines, 1)
	d.SetTime(d.now + d.config.patience)
	d.RunDueRules()
	assert.Len(t, b.lines, 3, "it waits behind others there")
	assert.Equal(t, "cancel 0.0", b.lines[2])
}

// Guards against workers that say nothing at all, and against a figure that no forward could ever raise.
func TestForwardThatNeverArrivesMovesOnceItWouldHave(t *testing.T) {
	d, b := far()
	for range 50 { // near workers have what is sent after 10 ms
		d.zones[0].deliveryTime = 100
	}
	d.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	d.RunDueRules()
	d.SetTime(d.now + d.config.patience + deliveryMargin*100)
	d.RunDueRules()
	assert.Len(t, b.lines, 3)
	assert.Greater(t, d.zones[0].deliveryTime, Time(100), "those on their way teach as well")
	for range 1000 {
		d.zones[0].deliveryTime = min(d.zones[0].deliveryTime*2, d.config.warmupWindow)
		d.observeDelivery(&attempt{sentAt: d.now - 100*Second})
	}
	assert.LessOrEqual(t, d.zones[0].deliveryTime, d.config.warmupWindow/8)
}

// Guards against a client that comes again after its objective, whose forward was called off in the moment in which
// it was sent: however long it would have waited, it could never be served.
func TestClientThatComesAgainLateIsGivenTheTimeToBeServed(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.config.reportFree = -1 // nothing tells which workers have room
	d.RequestArrived(0, Arrival{Timeout: 20 * Second, SizeHint: 100})
	d.RunDueRules()
	d.AttemptStarted(0, 0)
	d.AttemptEnded(0, 0, Succeeded, true)
	d.RequestArrived(0, Arrival{Timeout: 18 * Second, SizeHint: 100}) // a second after its objective
	d.RunDueRules()
	assert.Equal(t, "forward 0 to 0", b.lines[1])
	for until := d.now + d.operations.byID[0].latencyObjective; d.now < until; {
		d.SetTime(d.now + d.config.patience/2)
		d.RunDueRules()
		if d.now <= until {
			assert.Len(t, b.lines, 2, "%d before its time", until-d.now)
		}
	}
	d.SetTime(d.now + d.config.patience)
	d.RunDueRules()
	assert.Equal(t, []string{"throttle 0 back 20000", "cancel 0.0"}, b.lines[2:], "it clogs the worker's queue")

	d.operations.byID[0].lateShare = 0 // a late answer earns nothing: it would only be in the way
	d.RequestArrived(0, Arrival{Timeout: 18 * Second, SizeHint: 100})
	d.SetTime(d.now + d.config.patience)
	d.RunDueRules()
	assert.Contains(t, b.lines[4:], "throttle 0 back 20000")
}

// Where it is known which workers have room, it need not wait in a queue; but its worker has to have it first.
func TestClientThatComesAgainLateIsNotCalledOffBeforeItsWorkerCouldBegin(t *testing.T) {
	d, b := far()
	d.config.reportFree, d.operations.byID[0].longestTimeout, d.zones[0].deliveryTime = 0, 20*Second, 100
	d.due.reviewAt = d.now + d.config.patience
	d.RequestArrived(0, Arrival{Timeout: 18 * Second, SizeHint: 100})
	d.RunDueRules()
	for range 3 { // each sweep
		d.due.reviewAt = d.now
		d.RunDueRules()
	}
	assert.Equal(t, 1, len(b.lines), "it is on its way")
	d.SetTime(d.now + 90)
	d.AttemptDelivered(0, 0)
	d.due.reviewAt = d.now
	d.RunDueRules()
	assert.Equal(t, 1, len(b.lines), "the word of its start may be on the way")
	d.SetTime(d.now + d.config.margin)
	d.due.reviewAt = d.now
	d.RunDueRules()
	assert.Contains(t, b.lines, "throttle 0 back 20000", "it waits behind others, and clogs the queue")
}

// Guards against late work that keeps others from being in time.
func TestWhatIsLateGoesBehindWhatMayBeInTime(t *testing.T) {
	d, b := newWarmBalancer(1, 1)
	d.operations.byID[0].value, d.operations.byID[1].value, d.operations.byID[0].lateShare, d.operations.byID[0].longestTimeout = 9, 8, 0.2, 20*Second
	d.config.reportFree = -1 // nothing tells which workers have room
	d.workers[0].unstarted = 1
	d.RequestArrived(0, Arrival{Timeout: 20*Second - Second/2, SizeHint: 100}) // its client comes again
	d.RequestArrived(1, Arrival{Operation: 1, Timeout: 20 * Second, SizeHint: 100})
	assert.Equal(t, []RequestID{0, 1}, d.pending.ids)
	d.SetTime(d.now + Second/2 + 1)
	d.due.reviewAt = d.now
	d.RunDueRules()
	assert.Equal(t, []RequestID{1, 0}, d.pending.ids, "it earns a fifth now")
	d.workers[0].unstarted = 0
	d.subsetting.markMaybeFree(0)
	d.due.capacityChanged = true
	d.RunDueRules()
	assert.Equal(t, []string{"forward 1 to 0"}, b.lines)
}
