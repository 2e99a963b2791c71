package balancer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestPicker has n warm workers and a clock that the test sets.
func newTestPicker(t Config, n int) (*Picker, *Time) {
	now := Time(100 * Second)
	picker := NewPicker(t, 1, func() Time { return now }, func(Event) {})
	var list []Endpoint
	for w := range n {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)})
	}
	picker.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
	return picker, &now
}

func pick(t *testing.T, handle *RequestHandle) Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := handle.Pick(ctx)
	assert.NoError(t, err)
	return c
}

func TestPickSendsAndThenRespondsWithTheAttemptThatSucceeded(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	c := pick(t, handle)
	assert.Equal(t, SendAttempt, c.Action)
	assert.Equal(t, Idempotent, c.Idempotency)
	assert.Equal(t, NonIdempotent, pick(t, picker.Submit(Arrival{Operation: 1, Timeout: 3 * Second})).Idempotency)
	assert.NoError(t, c.Ctx.Err())
	assert.True(t, handle.Report(c.Attempt, Succeeded))
	assert.Equal(t, Decision{Action: RespondResult, Attempt: c.Attempt}, pick(t, handle))
	assert.Equal(t, 1, picker.OpenRequests(), "the other one")
	assert.False(t, handle.Report(c.Attempt, Succeeded), "a second report counts for nothing")
}

func TestPickRejectsWhereThereIsNoWorkerInTime(t *testing.T) {
	picker, now := newTestPicker(testConfig, 0)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	*now += 3 * Second
	picker.update(func(*Balancer) {})
	assert.Equal(t, RespondRejected, pick(t, handle).Action)
	assert.Equal(t, 0, picker.OpenRequests())
}

func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 4)
	handle := picker.Submit(Arrival{Operation: 1, Timeout: 3 * Second})
	handle.Report(pick(t, handle).Attempt, ConnectionReset)
	assert.Equal(t, RespondFailed, pick(t, handle).Action)
}

func TestNonIdempotentRequestThatNeverRanIsSentAgain(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 4)
	handle := picker.Submit(Arrival{Operation: 1, Timeout: 3 * Second})
	handle.Report(pick(t, handle).Attempt, NoConnection)
	assert.Equal(t, SendAttempt, pick(t, handle).Action)
}

func TestRepeatHasToBeSentBeforeTheDedupWindowCloses(t *testing.T) {
	const zoned, step = OperationID(2), Second / 4
	window := testConfig.Operations[zoned].DedupWindow
	for name, c := range map[string]struct {
		op   OperationID
		ends []Outcome // of the attempts before the last one, a step apart
		left Duration  // of the window as the last one is decided on, 0 for no bound
	}{
		"the first attempt":                     {op: zoned},
		"after one that may have run":           {zoned, []Outcome{ConnectionReset}, window - step},
		"after one that never ran":              {zoned, []Outcome{NoConnection}, 0},
		"after one that never ran, and another": {zoned, []Outcome{NoConnection, ConnectionReset}, window - step},
		"where it may run again anyway":         {0, []Outcome{ConnectionReset}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			picker, now := newTestPicker(testConfig, 8)
			handle := picker.Submit(Arrival{Operation: c.op, Timeout: 30 * Second})
			choice := pick(t, handle)
			var before time.Time
			for _, outcome := range c.ends {
				*now += step
				before = time.Now()
				handle.Report(choice.Attempt, outcome)
				choice = pick(t, handle)
			}
			if c.left == 0 {
				assert.Zero(t, choice.SendBy)
				return
			}
			left := (c.left - picker.balancer.config.margin).Standard()
			assert.WithinRange(t, choice.SendBy, before.Add(left), time.Now().Add(left))
		})
	}
}

func TestClientThatLeavesCancelsItsAttempts(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	c := pick(t, handle)
	gone, leave := context.WithCancel(context.Background())
	leave()
	_, err := handle.Pick(gone)
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, context.Cause(c.Ctx), ErrAttemptCanceled)
	assert.Equal(t, 1, picker.OpenRequests(), "its number is not used again before the attempt has reported")
	handle.Report(c.Attempt, Canceled)
	assert.Equal(t, 0, picker.OpenRequests())
}

// Regression test for numbers that never come free: a choice that nobody picks has nobody to report it.
func TestUnpickedAttemptIsReportedWhenTheClientLeaves(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	handle.clientLeft()
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Equal(t, 0, picker.balancer.workers[0].inFlight+picker.balancer.workers[1].inFlight)
}

// Regression test for an attempt that goes out after the answer, where attempts may not be canceled.
func TestAttemptNotPickedBeforeTheAnswerIsNeverSent(t *testing.T) {
	config := testConfig
	config.Cancellation = false
	picker, _ := newTestPicker(config, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	first := pick(t, handle)
	picker.update(func(balancer *Balancer) { balancer.startAttempt(handle.id, 1-first.Worker) })
	assert.True(t, handle.Report(first.Attempt, Succeeded))
	assert.Equal(t, Decision{Action: RespondResult, Attempt: first.Attempt}, pick(t, handle))
	assert.Equal(t, 0, picker.OpenRequests())
}

func TestRequestIDsAreUsedAgain(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	for range 3 {
		handle := picker.Submit(Arrival{Timeout: 3 * Second})
		assert.Equal(t, RequestID(0), handle.id)
		handle.Report(pick(t, handle).Attempt, Succeeded)
		pick(t, handle)
	}
}

func TestStopAfterAnswersOpenRequestsBeforeTheProcessEnds(t *testing.T) {
	picker, now := newTestPicker(testConfig, 2)
	idempotent := picker.Submit(Arrival{Timeout: 30 * Second})
	once := picker.Submit(Arrival{Operation: 1, Timeout: 30 * Second})
	assert.Equal(t, SendAttempt, pick(t, idempotent).Action)
	assert.Equal(t, SendAttempt, pick(t, once).Action)
	picker.StopAfter(3 * Second)
	*now += 3 * Second
	picker.update(func(*Balancer) {})
	assert.Equal(t, RespondRejected, pick(t, idempotent).Action)
	assert.Equal(t, RespondFailed, pick(t, once).Action)
}

func TestRunAppliesRulesAsTheyComeDue(t *testing.T) {
	start := time.Now()
	picker := NewPicker(testConfig, 1, func() Time { return Second + Time(time.Since(start)/100000) }, func(Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- picker.Run(ctx) }()
	handle := picker.Submit(Arrival{Timeout: Second / 10})
	assert.Equal(t, RespondRejected, pick(t, handle).Action, "no worker is known, and no other call is made")
	cancel()
	assert.NoError(t, <-ended)
}

func TestManyClientsConcurrently(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 4)
	start := time.Now()
	picker.clock = func() Time { return 100*Second + Time(time.Since(start)/100000) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- picker.Run(ctx) }()
	var clients sync.WaitGroup
	for n := range 50 {
		clients.Go(func() {
			handle := picker.Submit(Arrival{Operation: OperationID(n % len(testConfig.Operations)), Timeout: 3 * Second})
			for {
				c := pick(t, handle)
				if c.Action != SendAttempt {
					return
				}
				handle.ReportStarted(c.Attempt)
				handle.Report(c.Attempt, []Outcome{Succeeded, Overloaded, Succeeded, WorkerError}[(n+c.Attempt)%4])
				picker.ReceiveLoad(1, WorkerLoad{Worker: c.Worker, InFlight: n % 3})
			}
		})
	}
	clients.Wait()
	cancel()
	assert.NoError(t, <-ended)
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Zero(t, picker.balancer.workers[0].inFlight+picker.balancer.workers[1].inFlight+picker.balancer.workers[2].inFlight+picker.balancer.workers[3].inFlight, "nothing is left out")
}

// Regression test for a crash: a peer may tell of a worker whose list is still on its way to the rules.
func TestLoadOfAnUnknownWorkerIsPassedOver(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 1)
	assert.NotPanics(t, func() { picker.ReceiveLoad(1, WorkerLoad{Worker: 7, InFlight: 2}) })
}

func TestLoadsForOnePeerGoTogether(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 1)
	l := pickerEffects{picker}
	l.SendLoad(1, WorkerLoad{0, 2})
	l.SendLoad(0, WorkerLoad{0, 2})
	l.SendLoad(1, WorkerLoad{1, 3})
	news, err := picker.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []LoadUpdate{{1, []WorkerLoad{{0, 2}, {1, 3}}}, {0, []WorkerLoad{{0, 2}}}}, news)
}

// Regression test for an endpoint service that is asked again with no wait, and one that is asked late after it moved.
func TestPollAfterAWaitOrAtOnceWhereTheServiceMoved(t *testing.T) {
	config := testConfig
	config.PollEndpoints = true
	picker, now := newTestPicker(config, 1)
	asked := func() bool { return len(picker.pollDue) > 0 }
	picker.ReportWatchEnded(WatchFailed)
	*now += 5 * Second
	picker.update(func(*Balancer) {})
	assert.True(t, asked(), "and nobody takes it up before the next word")
	picker.ReportWatchEnded(WatchFailed)
	assert.False(t, asked())
	picker.update(func(balancer *Balancer) { balancer.polling.PollNow(balancer.now) })
	assert.True(t, asked())
	for range 5 { // it answers, and is cut: no backoff
		<-picker.pollDue
		picker.ReportWatchEnded(WatchCut)
		*now += 1300 * Second / 1000
		picker.update(func(*Balancer) {})
		assert.True(t, asked())
	}
}

// Regression test for a peer that starts again with no view of our load, and for our view of what it had out.
func TestPeerThatHasStartedIsToldTheLoadHere(t *testing.T) {
	config := testConfig
	config.Gossip = true
	picker, now := newTestPicker(config, 2)
	handle := picker.Submit(Arrival{Timeout: 90 * Second, SizeHint: Work(9 * Second)})
	c := pick(t, handle)
	handle.ReportStarted(c.Attempt)
	*now += Second
	picker.update(func(*Balancer) {})
	_, err := picker.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	picker.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 3})
	picker.update(func(balancer *Balancer) { balancer.receivePeerStarted(1) })
	assert.Equal(t, 0, picker.balancer.workers[0].gossip.peerInFlight)
	*now += Second
	picker.update(func(*Balancer) {})
	news, err := picker.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []LoadUpdate{{1, []WorkerLoad{{c.Worker, 1}}}}, news)
}
