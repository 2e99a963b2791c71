package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// permittedRetries lists which retries are permitted after an attempt at worker 0.
type permittedRetries struct {
	sameZone  bool // another attempt at worker 0, which is the only one in its cell
	otherZone bool // another attempt at worker 1
	reject    bool // a rejection, after which the client may retry
}

func TestPermittedRetriesAfterEachOutcome(t *testing.T) {
	all := permittedRetries{sameZone: true, otherZone: true, reject: true}
	neverRan := []Outcome{Overloaded, NoConnection, NotSent}
	mayHaveRun := []Outcome{WorkerError, TimedOut, ConnectionReset, Canceled, ConnectionStale}
	assertPermitted := func(operation OperationID, outcome Outcome, want permittedRetries) {
		balancer, _ := newWarmBalancer(4, 1)
		balancer.RequestArrived(0, Arrival{Operation: operation, Timeout: 10 * Second, SizeHint: 100})
		req := &balancer.requests.byID[0]
		balancer.startAttempt(0, 0)
		balancer.AttemptEnded(0, 0, outcome, NoAnswer)
		req.closed = false // as if the request had no answer yet
		assert.Equal(t, want.sameZone, balancer.mayAttempt(req, 0), "operation %d, outcome %d: same zone", operation, outcome)
		assert.Equal(t, want.otherZone, balancer.mayAttempt(req, 1), "operation %d, outcome %d: other zone", operation, outcome)
		assert.Equal(t, want.reject, balancer.mayReject(req), "operation %d, outcome %d: reject", operation, outcome)
		balancer.now += 6 * Second
		mayRepeat := operation == idempotentOp || slices.Contains(neverRan, outcome)
		assert.Equal(t, mayRepeat, balancer.mayAttempt(req, 0), "operation %d, outcome %d: after the dedup window", operation, outcome)
	}
	for operation := range OperationID(len(testConfig.Operations)) {
		for _, outcome := range neverRan {
			assertPermitted(operation, outcome, all)
		}
	}
	for _, outcome := range mayHaveRun {
		assertPermitted(idempotentOp, outcome, all)
		assertPermitted(nonIdempotentOp, outcome, permittedRetries{})
		assertPermitted(zoneKeyedOp, outcome, permittedRetries{sameZone: true})
		assertPermitted(fleetKeyedOp, outcome, permittedRetries{sameZone: true, otherZone: true})
		assertPermitted(cellKeyedOp, outcome, permittedRetries{sameZone: true})
	}
}

// A deduplicated request that may have run must not be rejected, at whatever time. The client may retry a rejected
// request when the workers have forgotten its key, and the effect would happen twice.
func TestDeduplicatedRequestThatMayHaveRunFails(t *testing.T) {
	const window = 5 * Second
	for _, timeout := range []Duration{window / 2, 2 * window} {
		balancer, effects := newWarmBalancer(1, 1)
		submitRequest(balancer, 0, Arrival{Operation: fleetKeyedOp, Timeout: timeout, SizeHint: 100})
		balancer.SetTime(balancer.now.Add(timeout))
		balancer.RunDueRules()
		assert.Contains(t, effects.lines, "fail 0", timeout)
	}
}

func TestAttemptInFlightMayHaveRun(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	req := newUnattemptedRequest(0)
	req.operation = nonIdempotentOp
	req.inFlight = 1
	req.attempts = []attempt{{worker: 0, sentAt: balancer.now, inFlight: true}}
	assert.False(t, balancer.mayAttempt(req, 1))
	assert.False(t, balancer.mayReject(req))
	req.operation = idempotentOp
	assert.True(t, balancer.mayAttempt(req, 1))
	balancer.config.hedging = false
	assert.False(t, balancer.mayAttempt(req, 1), "hedged requests are not permitted")
}
