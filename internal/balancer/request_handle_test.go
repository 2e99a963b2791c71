package balancer

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a forward that goes out after its client has left, or has its answer, as its connection came
// up late: that it may not be called off once it is sent says nothing of before.
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
			assert.NoError(t, s.Ctx.Err(), "this one may not be called off")
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
	s := NewShards(config, 2, 1, func() Time { return 100 * Second }, func(string) {})
	s.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}, {Worker: 1, ID: "v"}}, true, false)
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

// moments are what may happen to an invocation at its goroutines, each in any order with the others.
const moments = "psthrfcleb"

// play lets an invocation go through moments in an order, as far as its goroutines could have them happen,
// and then to its end. It returns how many answers its client got.
func play(t *testing.T, picker *Picker, order []byte) (answers int) {
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	var out []Decision
	left := false
	took := func() {
		if left || answers > 0 {
			return
		}
		if c, ok := handle.next(); ok && c.Action == SendAttempt {
			out = append(out, c)
		} else if ok {
			answers++
		}
	}
	report := func(outcome Outcome) {
		if len(out) == 0 {
			return
		}
		c := out[0]
		out = out[1:]
		handle.Report(c.Attempt, outcome)
		assert.False(t, handle.Report(c.Attempt, Succeeded), "a second outcome of one forward is none")
		assert.Error(t, c.Ctx.Err())
	}
	for _, moment := range order {
		switch {
		case moment == 'p':
			took()
		case moment == 's' && len(out) > 0:
			handle.ReportSent(out[0].Attempt)
		case moment == 't' && len(out) > 0:
			handle.ReportStarted(out[0].Attempt)
		case moment == 'h': // its forward may be handed to another process; the last one out parks
			if _, ok := handle.Export(len(out)); ok {
				for _, c := range out {
					assert.Error(t, c.Ctx.Err())
				}
				out = nil
			}
		case moment == 'r':
			report(Succeeded)
		case moment == 'f':
			report(Overloaded)
		case moment == 'c':
			report(Canceled)
		case moment == 'l' && !left && answers == 0:
			left = true
			handle.clientLeft()
		case moment == 'e':
			handle.RejectOrFail()
		case moment == 'b': // the process ends, and no answer is possible any more
			picker.StopAfter(0)
		}
	}
	for n := 0; len(out) > 0 || !left && answers == 0; n++ {
		took()
		report(Overloaded)
		if n > 10 && !left && answers == 0 {
			left = true
			handle.clientLeft()
		}
	}
	return answers
}

// Guards against a number that is freed twice or never, two answers, and none: whatever comes between a
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
		for n := 0; left > 0 && n < len(moments); n++ {
			order = append(order, moments[n])
			all(left - 1)
			order = order[:len(order)-1]
		}
	}
	all(3)
	order = append(order, 'p') // most orders have a first forward that was taken
	all(3)
}

// The client leaves just as a choice is made for it: it is told, and nothing is sent.
func TestClientThatLeavesAsADecisionIsMadeGetsNoAttempt(t *testing.T) {
	picker, _ := newTestPicker(testConfig, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	picker.UpdateEndpoints(nil, true, false)
	handle := picker.Submit(Arrival{Timeout: 3 * Second})
	_, err := handle.Pick(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	picker.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, true, false) // now there would be room
	assert.Empty(t, handle.decisions)
	assert.Equal(t, 0, picker.OpenRequests())
	assert.Less(t, time.Until(handle.deadline), 4*time.Second)
}
