package balancer

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Regression test for an attempt that was sent after its client had disconnected or was answered, because its
// connection was established late. Disabled cancellation only protects attempts that have been sent.
func TestUnsentAttemptIsCanceledEvenIfCancellationIsDisabled(t *testing.T) {
	config := testConfig
	config.Attempts.Cancellation = false
	for name, closeRequest := range map[string]func(*RequestHandle){
		"client disconnected": (*RequestHandle).clientDisconnected,
		"answered":            (*RequestHandle).RejectOrFail,
	} {
		t.Run(name, func(t *testing.T) {
			picker, _ := newTestPicker(config, 2)
			unsent := picker.Submit(Arrival{Timeout: 3 * Second})
			sent := picker.Submit(Arrival{Timeout: 3 * Second})
			unsentAttempt := pick(t, unsent)
			sentAttempt := pick(t, sent)
			sent.ReportSent(sentAttempt.Attempt)
			closeRequest(unsent)
			closeRequest(sent)
			assert.ErrorIs(t, context.Cause(unsentAttempt.Ctx), ErrAttemptCanceled)
			assert.NoError(t, sentAttempt.Ctx.Err(), "a sent attempt may not be canceled")
			unsent.ReportOutcome(unsentAttempt.Attempt, NotSent)
			sent.ReportOutcome(sentAttempt.Attempt, TimedOut)
			unsent.nextDecision()
			sent.nextDecision()
			assert.Equal(t, 0, picker.OpenRequests())
		})
	}
}

func TestCancelAllEndsAttemptsInFlight(t *testing.T) {
	config := testConfig
	config.Attempts.Cancellation = false
	shards := NewShards(config, 2, 1, func() Time { return testStart }, func(Event) {})
	shards.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}, {Worker: 1, ID: "v"}}, AllEndpoints, FromDiscovery)
	for range 2 { // one request per shard
		handle := shards.Submit(Arrival{Timeout: 3600 * Second})
		decision := pick(t, handle)
		handle.ReportSent(decision.Attempt)
		handle.clientDisconnected()
		assert.NoError(t, decision.Ctx.Err())
		defer func() { assert.ErrorIs(t, context.Cause(decision.Ctx), ErrAttemptCanceled) }()
	}
	shards.CancelAll()
}

// requestEvents are the events that can happen to a request while its goroutines run, in any order.
var requestEvents = []struct {
	name  byte
	apply func(*requestDriver)
}{
	{'p', (*requestDriver).pick},
	{'s', func(r *requestDriver) { r.withFirstInFlight(func(sent Decision) { r.handle.ReportSent(sent.Attempt) }) }},
	{'t', func(r *requestDriver) {
		r.withFirstInFlight(func(started Decision) { r.handle.ReportStarted(started.Attempt) })
	}},
	{'h', (*requestDriver).export},
	{'r', func(r *requestDriver) { r.report(Succeeded) }},
	{'f', func(r *requestDriver) { r.report(Overloaded) }},
	{'c', func(r *requestDriver) { r.report(Canceled) }},
	{'l', (*requestDriver).disconnect},
	{'e', func(r *requestDriver) { r.handle.RejectOrFail() }},
	{'b', func(r *requestDriver) { r.picker.StopAfter(0) }}, // the process exits, so no more answers are possible
}

// requestDriver applies events to a request if its goroutines could cause them.
type requestDriver struct {
	t              *testing.T
	picker         *Picker
	handle         *RequestHandle
	inFlight       []Decision // picked attempts that have not been reported
	isDisconnected bool       // the client has disconnected
	answers        int        // number of answers to the client
}

func (r *requestDriver) isDone() bool { return r.isDisconnected || r.answers > 0 }

func (r *requestDriver) pick() {
	if r.isDone() {
		return
	}
	decision, ok := r.handle.nextDecision()
	switch {
	case ok && decision.Action == SendAttempt:
		r.inFlight = append(r.inFlight, decision)
	case ok:
		r.answers++
	}
}

func (r *requestDriver) withFirstInFlight(call func(Decision)) {
	if len(r.inFlight) > 0 {
		call(r.inFlight[0])
	}
}

func (r *requestDriver) report(outcome Outcome) {
	r.t.Helper()
	r.withFirstInFlight(func(ended Decision) {
		r.inFlight = r.inFlight[1:]
		r.handle.ReportOutcome(ended.Attempt, outcome)
		assert.False(r.t, r.handle.ReportOutcome(ended.Attempt, Succeeded), "a second report for an attempt has no effect")
		assert.Error(r.t, ended.Ctx.Err())
	})
}

// export exports the request to another process. Afterwards, no attempt may be in flight in this process.
func (r *requestDriver) export() {
	r.t.Helper()
	if _, ok := r.handle.Export(len(r.inFlight)); !ok {
		return
	}
	for _, decision := range r.inFlight {
		assert.Error(r.t, decision.Ctx.Err())
	}
	r.inFlight = nil
}

func (r *requestDriver) disconnect() {
	if !r.isDone() {
		r.isDisconnected = true
		r.handle.clientDisconnected()
	}
}

// finish drives the request until it is done and all its attempts have been reported.
func (r *requestDriver) finish() {
	r.t.Helper()
	for n := 0; len(r.inFlight) > 0 || !r.isDone(); n++ {
		r.pick()
		r.report(Overloaded)
		if n > 10 {
			r.disconnect()
		}
	}
}

// driveRequest applies events to a request in the given order, and then finishes it. It returns the number of answers
// to its client.
func driveRequest(t *testing.T, picker *Picker, order []byte) (answers int) {
	t.Helper()
	r := &requestDriver{t: t, picker: picker, handle: picker.Submit(Arrival{Timeout: 3 * Second})}
	for _, name := range order {
		for _, event := range requestEvents {
			if event.name == name {
				event.apply(r)
			}
		}
	}
	r.finish()
	return r.answers
}

// Regression test for a request ID that was freed twice or never, and for two answers or none: events may occur between
// a decision and its Pick, or between a result and its report.
func TestRequestEndsOnceForEachOrderOfEvents(t *testing.T) {
	config := testConfig
	config.Attempts.StartNotices = true
	order := make([]byte, 0, 5)
	var testOrders func(eventsLeft int)
	testOrders = func(eventsLeft int) {
		if t.Failed() {
			return
		}
		picker, _ := newTestPicker(config, 3)
		for range 2 { // the second request reuses the ID of the first
			answers := driveRequest(t, picker, order)
			assert.LessOrEqual(t, answers, 1)
			assert.Equal(t, 0, picker.OpenRequests(), "after %q", order)
			assert.Len(t, picker.freeIDs, len(picker.handles), "after %q", order)
			assert.Equal(t, len(picker.freeIDs), len(slices.Compact(slices.Sorted(slices.Values(picker.freeIDs)))))
			for _, w := range picker.balancer.workers {
				assert.Zero(t, w.inFlight, "after %q", order)
			}
		}
		for n := 0; eventsLeft > 0 && n < len(requestEvents); n++ {
			order = append(order, requestEvents[n].name)
			testOrders(eventsLeft - 1)
			order = order[:len(order)-1]
		}
	}
	testOrders(3)
	order = append(order, 'p') // most requests have a first attempt that is picked
	testOrders(3)
}

// If the client disconnects before a decision is made, Pick returns the cause of its context and nothing is sent.
func TestClientDisconnectBeforeDecisionPreventsAttempt(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	picker.UpdateEndpoints(nil, AllEndpoints, FromDiscovery)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	_, err := handle.Pick(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	picker.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, AllEndpoints, FromDiscovery) // now a worker is available
	assert.Empty(t, handle.decisions)
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Less(t, time.Until(handle.deadline), 4*time.Second)
}

// An attempt that was decided on before its client was known to have disconnected must not be sent afterwards.
func TestPickReturnsNoAttemptAfterTheClientHasDisconnected(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	_, err := handle.Pick(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, 0, picker.OpenRequests())
}
