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
func TestWhatIsNotSentIsHeldBackWhateverTheSettingsAllow(t *testing.T) {
	terms := testConfig
	terms.Cancellation = false
	for name, over := range map[string]func(*RequestHandle){
		"left": func(t *RequestHandle) { t.clientLeft() }, "answered": func(t *RequestHandle) { t.RejectOrFail() },
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := facadeOf(terms, 2)
			late, sent := f.Submit(Arrival{Timeout: 3 * Second}), f.Submit(Arrival{Timeout: 3 * Second})
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
			assert.Equal(t, 0, f.OpenRequests())
		})
	}
}

func TestCloseEndsWhatIsStillOut(t *testing.T) {
	terms := testConfig
	terms.Cancellation = false
	s := NewShards(terms, 2, 1, func() Time { return 100 * Second }, func(string) {})
	s.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w"}, {Worker: 1, ID: "v"}}, true, false)
	for range 2 { // one at each
		ticket := s.Submit(Arrival{Timeout: 3600 * Second})
		c := pick(t, ticket)
		ticket.ReportSent(c.Attempt)
		ticket.clientLeft()
		assert.NoError(t, c.Ctx.Err())
		defer func() { assert.ErrorIs(t, context.Cause(c.Ctx), ErrAttemptCanceled) }()
	}
	s.CancelAll()
}

// moments are what may happen to an invocation at its goroutines, each in any order with the others.
const moments = "psthrfcleb"

// play lets an invocation go through moments in an order, as far as its goroutines could have them happen,
// and then to its end. It returns how many answers its client got.
func play(t *testing.T, f *Picker, order []byte) (answers int) {
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	var out []Decision
	left := false
	took := func() {
		if left || answers > 0 {
			return
		}
		if c, ok := ticket.next(); ok && c.Action == SendAttempt {
			out = append(out, c)
		} else if ok {
			answers++
		}
	}
	report := func(how Outcome) {
		if len(out) == 0 {
			return
		}
		c := out[0]
		out = out[1:]
		ticket.Report(c.Attempt, how)
		assert.False(t, ticket.Report(c.Attempt, Succeeded), "a second outcome of one forward is none")
		assert.Error(t, c.Ctx.Err())
	}
	for _, moment := range order {
		switch {
		case moment == 'p':
			took()
		case moment == 's' && len(out) > 0:
			ticket.ReportSent(out[0].Attempt)
		case moment == 't' && len(out) > 0:
			ticket.ReportStarted(out[0].Attempt)
		case moment == 'h': // its forward may be handed to another process; the last one out parks
			if _, ok := ticket.Export(len(out)); ok {
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
			ticket.clientLeft()
		case moment == 'e':
			ticket.RejectOrFail()
		case moment == 'b': // the process ends, and no answer is possible any more
			f.StopAfter(0)
		}
	}
	for n := 0; len(out) > 0 || !left && answers == 0; n++ {
		took()
		report(Overloaded)
		if n > 10 && !left && answers == 0 {
			left = true
			ticket.clientLeft()
		}
	}
	return answers
}

// Guards against a number that is freed twice or never, two answers, and none: whatever comes between a
// choice's being made and its being taken, or a result and its report.
func TestEachOrderOfWhatMayHappenEndsOnce(t *testing.T) {
	terms := testConfig
	terms.StartNotices = true
	order := make([]byte, 0, 5)
	var all func(left int)
	all = func(left int) {
		if t.Failed() {
			return
		}
		f, _ := facadeOf(terms, 3)
		for range 2 { // the second time its number is used again
			answers := play(t, f, order)
			assert.LessOrEqual(t, answers, 1)
			assert.Equal(t, 0, f.OpenRequests(), "after %q", order)
			assert.Len(t, f.freeIDs, len(f.handles), "after %q", order)
			assert.Equal(t, len(f.freeIDs), len(slices.Compact(slices.Sorted(slices.Values(f.freeIDs)))))
			for _, w := range f.balancer.workers {
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
func TestClientThatLeavesAsAChoiceIsMadeIsNotSentOn(t *testing.T) {
	f, _ := facadeOf(testConfig, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.UpdateEndpoints(nil, true, false)
	ticket := f.Submit(Arrival{Timeout: 3 * Second})
	_, err := ticket.Pick(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	f.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, true, false) // now there would be room
	assert.Empty(t, ticket.decisions)
	assert.Equal(t, 0, f.OpenRequests())
	assert.Less(t, time.Until(ticket.deadline), 4*time.Second)
}
