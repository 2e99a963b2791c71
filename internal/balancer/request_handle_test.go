package balancer

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Regression test for an attempt that goes out after its client has left, or has its answer, as its connection came
// up late: that it may not be canceled once it is sent says nothing of before.
func TestUnsentAttemptIsCanceledWhateverTheConfiguration(t *testing.T) {
	config := testConfig
	config.Cancellation = false
	for name, over := range map[string]func(*RequestHandle){
		"left": func(t *RequestHandle) { t.clientLeft() }, "answered": func(t *RequestHandle) { t.RejectOrFail() },
	} {
		t.Run(name, func(t *testing.T) {
			picker, _ := newTestPicker(config, 2)
			late, sent := picker.Submit(Arrival{Timeout: 3 * Second}), picker.Submit(Arrival{Timeout: 3 * Second})
			c, s := pick(t, late), pick(t, sent)
			sent.ReportSent(s.Attempt)
			over(late)
			over(sent)
			assert.ErrorIs(t, context.Cause(c.Ctx), ErrAttemptCanceled)
			assert.NoError(t, s.Ctx.Err(), "this one may not be canceled")
			late.Report(c.Attempt, NotSent)
			sent.Report(s.Attempt, TimedOut)
			late.next()
			sent.next()
			assert.Equal(t, 0, picker.OpenRequests())
		})
	}
}

func TestCancelAllEndsAttemptsInFlight(t *testing.T) {
	config := testConfig
	config.Cancellation = false
	s := NewShards(config, 2, 1, func() Time { return 100 * Second }, func(Event) {})
	s.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}, {Worker: 1, ID: "v"}}, AllEndpoints, FromDiscovery)
	for range 2 { // one at each
		handle := s.Submit(Arrival{Timeout: 3600 * Second})
		c := pick(t, handle)
		handle.ReportSent(c.Attempt)
		handle.clientLeft()
		assert.NoError(t, c.Ctx.Err())
		defer func() { assert.ErrorIs(t, context.Cause(c.Ctx), ErrAttemptCanceled) }()
	}
	s.CancelAll()
}

// events are what may happen to a request at its goroutines, each in any order with the others.
var events = []struct {
	name  byte
	apply func(*requestPlay)
}{
	{'p', (*requestPlay).pick},
	{'s', func(r *requestPlay) { r.withFirst(func(sent Decision) { r.handle.ReportSent(sent.Attempt) }) }},
	{'t', func(r *requestPlay) { r.withFirst(func(started Decision) { r.handle.ReportStarted(started.Attempt) }) }},
	{'h', (*requestPlay).export},
	{'r', func(r *requestPlay) { r.report(Succeeded) }},
	{'f', func(r *requestPlay) { r.report(Overloaded) }},
	{'c', func(r *requestPlay) { r.report(Canceled) }},
	{'l', (*requestPlay).leave},
	{'e', func(r *requestPlay) { r.handle.RejectOrFail() }},
	{'b', func(r *requestPlay) { r.picker.StopAfter(0) }}, // the process ends, and no answer is possible any more
}

// requestPlay lets a request go through events, as far as its goroutines could have them happen.
type requestPlay struct {
	t        *testing.T
	picker   *Picker
	handle   *RequestHandle
	inFlight []Decision // attempts that were picked and have not been reported
	left     bool       // the client has
	answers  int        // that the client got
}

func (r *requestPlay) over() bool { return r.left || r.answers > 0 }

func (r *requestPlay) pick() {
	if r.over() {
		return
	}
	decision, ok := r.handle.next()
	switch {
	case ok && decision.Action == SendAttempt:
		r.inFlight = append(r.inFlight, decision)
	case ok:
		r.answers++
	}
}

func (r *requestPlay) withFirst(call func(Decision)) {
	if len(r.inFlight) > 0 {
		call(r.inFlight[0])
	}
}

func (r *requestPlay) report(outcome Outcome) {
	r.t.Helper()
	r.withFirst(func(ended Decision) {
		r.inFlight = r.inFlight[1:]
		r.handle.Report(ended.Attempt, outcome)
		assert.False(r.t, r.handle.Report(ended.Attempt, Succeeded), "a second outcome of one attempt is none")
		assert.Error(r.t, ended.Ctx.Err())
	})
}

// export has another process go on with the request. Its attempts stand still then.
func (r *requestPlay) export() {
	r.t.Helper()
	if _, ok := r.handle.Export(len(r.inFlight)); !ok {
		return
	}
	for _, decision := range r.inFlight {
		assert.Error(r.t, decision.Ctx.Err())
	}
	r.inFlight = nil
}

func (r *requestPlay) leave() {
	if !r.over() {
		r.left = true
		r.handle.clientLeft()
	}
}

// finish plays the request to its end.
func (r *requestPlay) finish() {
	r.t.Helper()
	for n := 0; len(r.inFlight) > 0 || !r.over(); n++ {
		r.pick()
		r.report(Overloaded)
		if n > 10 {
			r.leave()
		}
	}
}

// play lets a request go through events in an order, and then to its end. It returns how many answers its client got.
func play(t *testing.T, picker *Picker, order []byte) (answers int) {
	t.Helper()
	r := &requestPlay{t: t, picker: picker, handle: picker.Submit(Arrival{Timeout: 3 * Second})}
	for _, name := range order {
		for _, event := range events {
			if event.name == name {
				event.apply(r)
			}
		}
	}
	r.finish()
	return r.answers
}

// Regression test for a number that is freed twice or never, two answers, and none: whatever comes between a
// choice's being made and its being taken, or a result and its report.
func TestEachOrderOfEventsEndsOnce(t *testing.T) {
	config := testConfig
	config.StartNotices = true
	order := make([]byte, 0, 5)
	var all func(left int)
	all = func(left int) {
		if t.Failed() {
			return
		}
		picker, _ := newTestPicker(config, 3)
		for range 2 { // the second time its number is used again
			answers := play(t, picker, order)
			assert.LessOrEqual(t, answers, 1)
			assert.Equal(t, 0, picker.OpenRequests(), "after %q", order)
			assert.Len(t, picker.freeIDs, len(picker.handles), "after %q", order)
			assert.Equal(t, len(picker.freeIDs), len(slices.Compact(slices.Sorted(slices.Values(picker.freeIDs)))))
			for _, w := range picker.balancer.workers {
				assert.Zero(t, w.inFlight, "after %q", order)
			}
		}
		for n := 0; left > 0 && n < len(events); n++ {
			order = append(order, events[n].name)
			all(left - 1)
			order = order[:len(order)-1]
		}
	}
	all(3)
	order = append(order, 'p') // most orders have a first attempt that was taken
	all(3)
}

// The client leaves just as a choice is made for it: it is told, and nothing is sent.
func TestClientThatLeavesAsADecisionIsMadeGetsNoAttempt(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	picker.UpdateEndpoints(nil, AllEndpoints, FromDiscovery)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	_, err := handle.Pick(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	picker.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, AllEndpoints, FromDiscovery) // now there would be room
	assert.Empty(t, handle.decisions)
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Less(t, time.Until(handle.deadline), 4*time.Second)
}
