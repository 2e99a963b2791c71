package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

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
