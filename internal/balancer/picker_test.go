package balancer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestPicker returns a Picker with the given number of warm workers from testEndpoints, and its clock for the test
// to set.
func newTestPicker(config Config, workers int) (*Picker, *Time) {
	now := testStart
	picker := NewPicker(config, 1, func() Time { return now }, func(Event) {})
	picker.UpdateEndpoints(testEndpoints(workers), AllEndpoints, FromDiscovery)
	return picker, &now
}

// pick returns the next decision for a request. It fails the test if there is none within 5 s.
func pick(t *testing.T, handle *RequestHandle) Decision {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	decision, err := handle.Pick(ctx)
	assert.NoError(t, err)
	return decision
}

func TestPickSendsAttemptAndThenRespondsWithItsResult(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	decision := pick(t, handle)
	assert.Equal(t, SendAttempt, decision.Action)
	assert.Equal(t, Idempotent, decision.Idempotency)
	assert.Equal(t, NonIdempotent, pick(t, picker.Submit(Arrival{Operation: nonIdempotentOp, Timeout: 3 * Second})).Idempotency)
	assert.NoError(t, decision.Ctx.Err())
	assert.True(t, handle.ReportOutcome(decision.Attempt, Succeeded))
	assert.Equal(t, Decision{Action: RespondResult, Attempt: decision.Attempt}, pick(t, handle))
	assert.Equal(t, 1, picker.OpenRequests(), "the other request")
	assert.False(t, handle.ReportOutcome(decision.Attempt, Succeeded), "a second report has no effect")
}

func TestPickRejectsRequestThatGetsNoWorkerInTime(t *testing.T) {
	picker, now := newTestPicker(testConfig, 0)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	*now += 3 * Second
	picker.update(func(*Balancer) {})
	assert.Equal(t, RespondRejected, pick(t, handle).Action)
	assert.Equal(t, 0, picker.OpenRequests())
}

func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 4)
	handle := picker.Submit(Arrival{Operation: nonIdempotentOp, Timeout: 3 * Second})
	handle.ReportOutcome(pick(t, handle).Attempt, ConnectionReset)
	assert.Equal(t, RespondFailed, pick(t, handle).Action)
}

func TestNonIdempotentRequestThatNeverRanIsRetried(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 4)
	handle := picker.Submit(Arrival{Operation: nonIdempotentOp, Timeout: 3 * Second})
	handle.ReportOutcome(pick(t, handle).Attempt, NoConnection)
	assert.Equal(t, SendAttempt, pick(t, handle).Action)
}

func TestRepeatMustBeSentBeforeDedupWindowCloses(t *testing.T) {
	const step = Second / 4
	window := testConfig.Operations[zoneKeyedOp].DedupWindow
	for name, c := range map[string]struct {
		operation OperationID
		ends      []Outcome // outcomes of the attempts before the last one, at intervals of step
		left      Duration  // rest of the dedup window when the last attempt is decided on, 0 for no limit
	}{
		"first attempt":                                             {operation: zoneKeyedOp},
		"after an attempt that may have run":                        {operation: zoneKeyedOp, ends: []Outcome{ConnectionReset}, left: window - step},
		"after an attempt that never ran":                           {operation: zoneKeyedOp, ends: []Outcome{NoConnection}},
		"after an attempt that never ran and one that may have run": {operation: zoneKeyedOp, ends: []Outcome{NoConnection, ConnectionReset}, left: window - step},
		"idempotent request":                                        {operation: idempotentOp, ends: []Outcome{ConnectionReset}},
	} {
		t.Run(name, func(t *testing.T) {
			picker, now := newTestPicker(testConfig, 8)
			handle := picker.Submit(Arrival{Operation: c.operation, Timeout: 30 * Second})
			decision := pick(t, handle)
			var before time.Time
			for _, outcome := range c.ends {
				*now += step
				before = time.Now()
				handle.ReportOutcome(decision.Attempt, outcome)
				decision = pick(t, handle)
			}
			if c.left == 0 {
				assert.Zero(t, decision.SendBy)
				return
			}
			left := (c.left - picker.balancer.config.timingMargin).Standard()
			assert.WithinRange(t, decision.SendBy, before.Add(left), time.Now().Add(left))
		})
	}
}

func TestClientDisconnectCancelsAttempts(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	decision := pick(t, handle)
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	_, err := handle.Pick(disconnected)
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, context.Cause(decision.Ctx), ErrAttemptCanceled)
	assert.Equal(t, 1, picker.OpenRequests(), "the ID is not reused before the attempt is reported")
	handle.ReportOutcome(decision.Attempt, Canceled)
	assert.Equal(t, 0, picker.OpenRequests())
}

// Regression test for request IDs that were never freed because the outcome of an attempt that was not picked was not
// reported.
func TestUnpickedAttemptIsReportedWhenClientDisconnects(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	handle.clientDisconnected()
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Equal(t, 0, picker.balancer.workers[0].inFlight+picker.balancer.workers[1].inFlight)
}

// Regression test: if cancellation was disabled, an attempt could be sent after the answer.
func TestAttemptNotPickedBeforeTheAnswerIsNeverSent(t *testing.T) {
	config := testConfig
	config.Attempts.Cancellation = false
	picker, _ := newTestPicker(config, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	first := pick(t, handle)
	picker.update(func(balancer *Balancer) { balancer.startAttempt(handle.id, 1-first.Worker) })
	assert.True(t, handle.ReportOutcome(first.Attempt, Succeeded))
	assert.Equal(t, Decision{Action: RespondResult, Attempt: first.Attempt}, pick(t, handle))
	assert.Equal(t, 0, picker.OpenRequests())
}

func TestRequestIDsAreReused(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	for range 3 {
		handle := picker.Submit(Arrival{Timeout: 3 * Second})
		assert.Equal(t, RequestID(0), handle.id)
		handle.ReportOutcome(pick(t, handle).Attempt, Succeeded)
		pick(t, handle)
	}
}

func TestStopAfterAnswersOpenRequestsBeforeTheProcessExits(t *testing.T) {
	picker, now := newTestPicker(testConfig, 2)
	idempotent := picker.Submit(Arrival{Timeout: 30 * Second})
	nonIdempotent := picker.Submit(Arrival{Operation: nonIdempotentOp, Timeout: 30 * Second})
	assert.Equal(t, SendAttempt, pick(t, idempotent).Action)
	assert.Equal(t, SendAttempt, pick(t, nonIdempotent).Action)
	picker.StopAfter(3 * Second)
	*now += 3 * Second
	picker.update(func(*Balancer) {})
	assert.Equal(t, RespondRejected, pick(t, idempotent).Action)
	assert.Equal(t, RespondFailed, pick(t, nonIdempotent).Action)
}

func TestRunAppliesRulesWhenTheyAreDue(t *testing.T) {
	start := time.Now()
	picker := NewPicker(testConfig, 1, func() Time { return Second + Time(time.Since(start)/100000) }, func(Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- picker.Run(ctx) }()
	handle := picker.Submit(Arrival{Timeout: Second / 10})
	assert.Equal(t, RespondRejected, pick(t, handle).Action, "there are no workers, and no other call is made")
	cancel()
	assert.NoError(t, <-ended)
}

func TestConcurrentClientsAreAllAnswered(t *testing.T) {
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
				decision := pick(t, handle)
				if decision.Action != SendAttempt {
					return
				}
				handle.ReportStarted(decision.Attempt)
				handle.ReportOutcome(decision.Attempt,
					[]Outcome{Succeeded, Overloaded, Succeeded, WorkerError}[(n+decision.Attempt)%4])
				picker.ReceiveLoad(1, WorkerLoad{Worker: decision.Worker, InFlight: n % 3})
			}
		})
	}
	clients.Wait()
	cancel()
	assert.NoError(t, <-ended)
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Zero(t, picker.balancer.workers[0].inFlight+picker.balancer.workers[1].inFlight+picker.balancer.workers[2].inFlight+picker.balancer.workers[3].inFlight, "no attempt is in flight")
}

// Regression test for a crash: a peer may send the load of a worker that has not been in an endpoint list of this
// dispatcher yet.
func TestLoadOfUnknownWorkerIsIgnored(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 1)
	assert.NotPanics(t, func() { picker.ReceiveLoad(1, WorkerLoad{Worker: 7, InFlight: 2}) })
}

func TestLoadsForSamePeerAreSentTogether(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 1)
	effects := pickerEffects{picker}
	effects.SendLoad(1, WorkerLoad{0, 2})
	effects.SendLoad(0, WorkerLoad{0, 2})
	effects.SendLoad(1, WorkerLoad{1, 3})
	updates, err := picker.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []LoadUpdate{{1, []WorkerLoad{{0, 2}, {1, 3}}}, {0, []WorkerLoad{{0, 2}}}}, updates)
}

// Regression test for polling the discovery service again without a delay after a failure, and for polling it late
// after its address has changed.
func TestPollIsDelayedAfterFailureAndImmediateAfterAddressChange(t *testing.T) {
	config := testConfig
	config.Discovery.Poll = true
	picker, now := newTestPicker(config, 1)
	pollIsDue := func() bool { return len(picker.pollDue) > 0 }
	picker.ReportWatchEnded(WatchFailed)
	*now += 5 * Second
	picker.update(func(*Balancer) {})
	assert.True(t, pollIsDue(), "the poll is due, and its signal is still pending at the next failure")
	picker.ReportWatchEnded(WatchFailed)
	assert.False(t, pollIsDue())
	picker.update(func(balancer *Balancer) { balancer.polling.PollNow(balancer.now) })
	assert.True(t, pollIsDue())
	for range 5 { // an established watch is disconnected: no backoff
		<-picker.pollDue
		picker.ReportWatchEnded(WatchDisconnected)
		*now += 1300 * Second / 1000
		picker.update(func(*Balancer) {})
		assert.True(t, pollIsDue())
	}
}

// Regression test for a restarted peer that did not receive the load of this dispatcher, and for a load from before its
// restart that was kept.
func TestRestartedPeerIsSentTheLoad(t *testing.T) {
	config := testConfig
	config.Gossip.Enabled = true
	picker, now := newTestPicker(config, 2)
	handle := picker.Submit(Arrival{Timeout: 90 * Second, SizeHint: Work(9 * Second)})
	decision := pick(t, handle)
	handle.ReportStarted(decision.Attempt)
	*now += Second
	picker.update(func(*Balancer) {})
	_, err := picker.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	picker.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 3})
	picker.update(func(balancer *Balancer) { balancer.receivePeerStarted(1) })
	assert.Equal(t, 0, picker.balancer.workers[0].gossip.peerInFlight)
	*now += Second
	picker.update(func(*Balancer) {})
	updates, err := picker.NextLoadUpdates(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, []LoadUpdate{{1, []WorkerLoad{{decision.Worker, 1}}}}, updates)
}
