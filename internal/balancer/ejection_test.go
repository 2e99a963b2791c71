package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/outlier"
)

// canPick reports whether a worker can be selected for a request of the operation.
func canPick(balancer *Balancer, operation OperationID) bool {
	req := newUnattemptedRequest(0)
	req.operation = operation
	_, ok := balancer.pickWorker(req)
	return ok
}

// Regression test: a worker that failed all attempts was always idle and therefore got more than its share of attempts.
func TestEjectedWorkerIsProbedByIdempotentRequests(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	attemptEndsWith := func(outcome Outcome) {
		balancer.RequestArrived(0, Arrival{Timeout: 90 * Second, SizeHint: 100})
		balancer.startAttempt(0, 0)
		balancer.AttemptEnded(0, 0, outcome, FinalAnswer)
	}
	attemptEndsWith(ConnectionReset)
	assert.True(t, canPick(balancer, nonIdempotentOp), "one lost connection does not eject the worker")
	attemptEndsWith(WorkerError)
	assert.False(t, canPick(balancer, idempotentOp), "ejected")
	balancer.now += 2 * Second
	assert.True(t, canPick(balancer, idempotentOp), "may be the probe")
	assert.False(t, canPick(balancer, nonIdempotentOp), "must not be the probe yet")
	balancer.now += 8 * Second
	assert.True(t, canPick(balancer, nonIdempotentOp), "no other request has probed the worker")
	attemptEndsWith(Succeeded)
	attemptEndsWith(WorkerError)
	assert.True(t, canPick(balancer, idempotentOp), "the success cleared the earlier failures")
}

// Regression test: one process exit ended all attempts in flight at the worker. Each of them was counted, which caused
// a long ejection.
func TestFailuresOfOneProcessExitCountOnce(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	for id := range RequestID(3) {
		balancer.RequestArrived(id, Arrival{Timeout: 90 * Second, SizeHint: 100})
		balancer.startAttempt(id, 0)
	}
	health := &balancer.workers[0].health
	balancer.AttemptEnded(0, 0, ConnectionStale, FinalAnswer)
	assert.Equal(t, 0, health.ConsecutiveFailures, "an idle connection may be closed by a healthy worker")
	balancer.AttemptEnded(1, 0, NoConnection, FinalAnswer)
	balancer.AttemptEnded(2, 0, NoConnection, FinalAnswer)
	assert.Equal(t, []any{1, balancer.now + Second}, []any{health.ConsecutiveFailures, health.ProbeAfter})
}

// Regression test: a request used up its attempts one by one on the workers of an unreachable zone that was still in
// the endpoint list.
func TestLostZoneIsEjectedAndProbed(t *testing.T) {
	const (
		otherZone ZoneID = 0
		lostZone  ZoneID = 1 // the zone of this dispatcher
	)
	balancer, effects := newWarmBalancer(40, 1)
	balancer.config.zone = lostZone
	balancer.config.crossZoneCost = 0.01
	balancer.config.startNotices = false
	lostAttempts := 0
	for id := range RequestID(10) {
		submitRequest(balancer, id, Arrival{Operation: zoneKeyedOp, Timeout: 20 * Second, SizeHint: 100})
		for req := &balancer.requests.byID[id]; !req.closed; balancer.RunDueRules() {
			latest := len(req.attempts) - 1
			if zoneOfWorker(balancer, req.attempts[latest].worker) == lostZone {
				lostAttempts++
				balancer.AttemptEnded(id, latest, NoConnection, NoAnswer)
				continue
			}
			balancer.AttemptEnded(id, latest, Succeeded, FinalAnswer)
		}
	}
	assert.Equal(t, outlier.ZoneThreshold, lostAttempts)
	assert.NotContains(t, fmt.Sprint(effects.lines), "reject")
	assert.NotContains(t, fmt.Sprint(effects.lines), "fail")

	pick := func() WorkerID {
		req := newUnattemptedRequest(allIntervals)
		req.size = 100
		picked, ok := balancer.pickWorker(req)
		assert.True(t, ok)
		return picked
	}
	assert.Equal(t, otherZone, zoneOfWorker(balancer, pick()), "ejected")
	balancer.SetTime(balancer.now + Second)
	probed := pick()
	assert.Equal(t, lostZone, zoneOfWorker(balancer, probed), "probed")
	balancer.recordZoneFailure(probed)
	assert.Equal(t, balancer.now+2*Second, balancer.zones[lostZone].health.EjectedUntil, "the second ejection is twice as long")
	balancer.recordZoneSuccess(probed)
	assert.Equal(t, lostZone, zoneOfWorker(balancer, pick()), "a success ends the ejection")
}

// zoneOfWorker returns the zone of a worker.
func zoneOfWorker(balancer *Balancer, id WorkerID) ZoneID { return balancer.workers[id].zone }

func TestLastZoneIsNeverEjected(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	for range 2 * outlier.ZoneThreshold {
		balancer.recordZoneFailure(0)
	}
	assert.LessOrEqual(t, balancer.zones[0].health.EjectedUntil, balancer.now)
	balancer, _ = newWarmBalancer(2, 1)
	for range 2 * outlier.ZoneThreshold {
		balancer.recordZoneFailure(0)
		balancer.recordZoneFailure(1)
	}
	assert.Greater(t, balancer.zones[0].health.EjectedUntil, balancer.now)
	assert.LessOrEqual(t, balancer.zones[1].health.EjectedUntil, balancer.now, "the last zone")
}

// Regression test: non-idempotent requests were not sent to the workers of a zone for many seconds after it had been
// unreachable. If the failed attempts never ran, such a request can be the probe, because its failure is harmless too.
func TestUnreachableWorkerIsProbedByNonIdempotentRequests(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome // outcome of the failed attempts
		probes  bool    // a non-idempotent request may be the probe
	}{
		{outcome: NoConnection, probes: true},
		{outcome: ConnectionRefused, probes: true},
		{outcome: ConnectionReset, probes: false},
		{outcome: WorkerError, probes: false},
	} {
		balancer, effects := newWarmBalancer(1, 1)
		balancer.config.warmupDuration = 0
		failTwice(balancer, c.outcome)
		health := &balancer.workers[0].health
		effects.lines = nil
		balancer.SetTime(health.ProbeAfter)
		submitRequest(balancer, 7, Arrival{Operation: nonIdempotentOp, Timeout: 20 * Second, SizeHint: 100})
		if c.probes {
			assert.Equal(t, []string{"attempt 7 to 0"}, effects.lines, "outcome %d", c.outcome)
			balancer.AttemptEnded(7, 0, NoConnection, NoAnswer)
			balancer.SetTime(health.ProbeAfter)
			submitRequest(balancer, 8, Arrival{Timeout: 20 * Second, SizeHint: 100})
			balancer.AttemptEnded(8, 0, WorkerError, NoAnswer)
			assert.True(t, health.PossiblyExecuted)
		} else {
			assert.Empty(t, effects.lines, "outcome %d", c.outcome)
		}
		restarted := []Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now}}
		balancer.UpdateEndpoints(restarted, ChangedEndpoints, FromDiscovery)
		assert.False(t, balancer.workers[0].health.PossiblyExecuted, "PossiblyExecuted is reset for the new process")
	}
}

// failTwice makes attempts at worker 0 fail until two consecutive failures have been counted.
func failTwice(balancer *Balancer, outcome Outcome) {
	health := &balancer.workers[0].health
	for id := RequestID(0); health.ConsecutiveFailures < 2; id++ {
		balancer.SetTime(max(balancer.now, health.ProbeAfter))
		submitRequest(balancer, id, Arrival{Timeout: 20 * Second, SizeHint: 100})
		balancer.AttemptEnded(id, 0, outcome, NoAnswer)
		balancer.ClientDisconnected(id, NoAttempt)
	}
}
