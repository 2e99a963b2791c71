package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRightsAfterEachOutcome(t *testing.T) {
	unseen := []Outcome{Overloaded, NoConnection, NotSent}
	perhaps := []Outcome{WorkerError, TimedOut, ConnectionReset, Canceled, ConnectionStale}
	check := func(op OperationID, outcome Outcome, same, other, throttle bool) {
		balancer, _ := newWarmBalancer(4, 1)
		balancer.RequestArrived(0, Arrival{Operation: op, Timeout: 10 * Second, SizeHint: 100})
		i := &balancer.requests.byID[0]
		balancer.startAttempt(0, 0)
		balancer.AttemptEnded(0, 0, outcome, NoAnswer)
		i.closed = false // as if the module had not answered yet
		assert.Equal(t, same, balancer.mayAttempt(i, 0), "operation %d outcome %d: same group", op, outcome)
		assert.Equal(t, other, balancer.mayAttempt(i, 1), "operation %d outcome %d: other group", op, outcome)
		assert.Equal(t, throttle, balancer.mayReject(i), "operation %d outcome %d: throttle", op, outcome)
		balancer.now += 6 * Second
		again := op == 0 || slices.Contains(unseen, outcome)
		assert.Equal(t, again, balancer.mayAttempt(i, 0), "operation %d outcome %d: past the window", op, outcome)
	}
	for op := range OperationID(len(testConfig.Operations)) {
		for _, outcome := range unseen {
			check(op, outcome, true, true, true)
		}
	}
	for _, outcome := range perhaps {
		check(0, outcome, true, true, true)
		check(1, outcome, false, false, false)
		check(2, outcome, true, false, false)
		check(3, outcome, true, true, true)
		check(4, outcome, true, false, false)
	}
}

func TestAttemptInFlightMayHaveRun(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	i := &request{attemptLimit: 4, operation: 1, deadline: 200 * Second, inFlight: 1, attempts: []attempt{{worker: 0, sentAt: balancer.now, inFlight: true}}}
	assert.False(t, balancer.mayAttempt(i, 1))
	assert.False(t, balancer.mayReject(i))
	i.operation = 0
	assert.True(t, balancer.mayAttempt(i, 1))
	balancer.config.hedging = false
	assert.False(t, balancer.mayAttempt(i, 1), "second copies are not allowed")
}

// Regression test for workers that send start notices which the settings do not announce: each served once,
// and was then taken to have one waiting for good.
func TestUnannouncedStartNoticesShutNoWorkerOut(t *testing.T) {
	config := testConfig
	config.StartNotices = false
	effects := &recorder{}
	balancer := New(config, 1, effects)
	balancer.SetTime(100 * Second)
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, AllEndpoints, FromDiscovery)
	for range 3 {
		balancer.RequestArrived(0, Arrival{Timeout: 3 * Second})
		balancer.RunDueRules()
		balancer.AttemptStarted(0, 0)
		balancer.AttemptStarted(0, 0)
		balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
		balancer.RunDueRules()
		assert.Zero(t, balancer.workers[0].unstarted)
	}
	assert.Equal(t, []string{"attempt 0 to 0", "attempt 0 to 0", "attempt 0 to 0"}, effects.lines[len(effects.lines)-3:])
}

// Regression test for a second start notice for one attempt, which would count one that still waits as begun.
func TestSecondStartNoticeChangesNothing(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	for id := range RequestID(2) {
		balancer.RequestArrived(id, Arrival{Timeout: 3 * Second})
		balancer.startAttempt(id, 0)
	}
	balancer.AttemptStarted(0, 0)
	balancer.AttemptStarted(0, 0)
	assert.Equal(t, 1, balancer.workers[0].unstarted)
}
