package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

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

func TestStartAsAForwardArrivesTellsOfAFreeSlotHoweverFarItIs(t *testing.T) {
	d, _ := far()
	for inv := range RequestID(4) {
		d.RequestArrived(inv, Arrival{Timeout: 10 * Second, SizeHint: 100})
		d.RunDueRules()
		d.SetTime(d.now + 3*d.config.patience)
		d.AttemptDelivered(inv, 0)
		d.AttemptStarted(inv, 0)
		d.AttemptEnded(inv, 0, Succeeded, true)
	}
	assert.Positive(t, d.slots.kinds[0].votes[1], "starts at once at a load of one")
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

// Guards against figures that mean nothing where no hints come: what is lost, and of what, and what a cold worker
// is sent.
func TestWithoutHintsSizesAreWhatWasSeen(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.operations.byID[0].meanRun, d.operations.byID[1].meanRun, d.operations.byID[1].value = 500, 4000, 8
	for inv, op := range []OperationID{0, 1} {
		d.RequestArrived(RequestID(inv), Arrival{Operation: op, Timeout: 20 * Second})
		assert.Equal(t, Work(d.operations.byID[op].meanRun), d.requests.byID[inv].size)
	}
	d.RunDueRules()
	sent := Work(0)
	for w := range d.workers {
		for _, s := range d.workers[WorkerID(w)].sendsAfter(d.warmupWindowStart()) {
			sent += s.work
		}
	}
	assert.Equal(t, Work(4500), sent)
	d.rejectOrFail(1)
	assert.Equal(t, OperationID(1), d.operations.worst)
	d.RequestArrived(2, Arrival{Operation: 0, Timeout: 20 * Second})
	for n := 0; n < 3; n++ {
		d.rejectOrFail(RequestID(2))
		d.RequestArrived(2, Arrival{Operation: 0, Timeout: 20 * Second})
	}
	assert.Equal(t, OperationID(1), d.operations.worst, "three of four lost are less than one of one")
}

// Guards against work that may not run again and is kept for many seconds from all workers of a zone that was cut off:
// where what failed there never ran, its own failure there is harmless as well.
func TestWorkerThatWasOutOfReachIsOpenToNonIdempotentWorkAtItsTrial(t *testing.T) {
	for how, soon := range map[Outcome]bool{NoConnection: true, ConnectionRefused: true, ConnectionReset: false, WorkerError: false} {
		d, b := newWarmBalancer(1, 1)
		d.config.warmupDuration = 0
		for inv := RequestID(0); d.workers[0].consecutiveFailures < 2; inv++ {
			d.SetTime(max(d.now, d.workers[0].probeAfter))
			d.RequestArrived(inv, Arrival{Timeout: 20 * Second, SizeHint: 100})
			d.RunDueRules()
			d.AttemptEnded(inv, 0, how, false)
			d.ClientLeft(inv, -1)
		}
		b.lines = nil
		d.SetTime(d.workers[0].probeAfter)
		d.RequestArrived(7, Arrival{Operation: 1, Timeout: 20 * Second, SizeHint: 100})
		d.RunDueRules()
		if soon {
			assert.Equal(t, []string{"forward 7 to 0"}, b.lines, "outcome %d", how)
			d.AttemptEnded(7, 0, NoConnection, false)
			d.SetTime(d.workers[0].probeAfter)
			d.RequestArrived(8, Arrival{Timeout: 20 * Second, SizeHint: 100})
			d.RunDueRules()
			d.AttemptEnded(8, 0, WorkerError, false)
			assert.True(t, d.workers[0].possiblyExecuted)
		} else {
			assert.Empty(t, b.lines, "outcome %d", how)
		}
		d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now}}, false, true)
		assert.False(t, d.workers[0].possiblyExecuted, "another process")
	}
}

// Guards against parts that many dispatchers have saved up, each for the moment in which its rotation comes round, and
// that all are sent once other workers are gone.
func TestColdWorkerGetsItsPartAsItFallsDue(t *testing.T) {
	terms := testConfig
	terms.Dispatchers, terms.Position, terms.ReportFree = 200, 7, -1
	d := New(terms, 1, &recorder{})
	d.SetTime(100 * Second)
	list := []Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now - 5*Second}}
	for w := WorkerID(1); w < 20; w++ {
		list = append(list, Endpoint{Worker: w, ID: string(rune('a' + w))})
	}
	d.UpdateEndpoints(list, true, true)
	for turn := range 20 {
		d.RequestArrived(RequestID(turn), Arrival{Timeout: 20 * Second, SizeHint: 100})
		for p := range d.subsetting.subsets {
			d.subsetting.subsets[p].roundRobin = turn
		}
		d.withinWarmupBudget(0, 100)
		d.workers[0].credit = 0.5
		w, ok := d.pickWorker(&d.requests.byID[turn])
		assert.True(t, ok)
		assert.NotEqual(t, WorkerID(0), w, "not yet")
		d.workers[0].credit = 1
		w, _ = d.pickWorker(&d.requests.byID[turn])
		assert.Equal(t, WorkerID(0), w, "wherever the rotation stands")
	}
	d.warmup.firstTries += 1000
	assert.True(t, d.withinWarmupBudget(0, 100))
	d.recordProcessExit(0)
	d.workers[0].exitedAt = 0 // and a list has told of its start
	assert.False(t, d.withinWarmupBudget(0, 100), "its next process is shared anew: all would have saved up one for it")
}
