package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for a worker that reports a start and then never responds: the client waited until its deadline.
func TestLongRunIsHedgedIfAnotherWorkerHasFreeSlots(t *testing.T) {
	const timeout = 90 * Second
	for _, c := range []struct {
		name      string
		operation OperationID
		ran       Duration
		otherLoad int // attempts of peers at the other worker
		attempts  int
	}{
		{name: "ran for more than half of its timeout", operation: idempotentOp, ran: 50 * Second, attempts: 2},
		{name: "ran for less than half of its timeout", operation: idempotentOp, ran: 40 * Second, attempts: 1},
		{name: "other worker is busy", operation: idempotentOp, ran: 50 * Second, otherLoad: 4, attempts: 1},
		{name: "not idempotent", operation: nonIdempotentOp, ran: 50 * Second, attempts: 1},
	} {
		balancer, _ := newWarmBalancer(2, 1)
		balancer.config.gossip = true
		both := &balancer.subsetting.subsets[allIntervals]
		both.workers = balancer.subsetting.ring
		both.reindex(balancer.workers)
		submitRequest(balancer, 0, Arrival{Operation: c.operation, Timeout: timeout, SizeHint: 1000})
		balancer.AttemptStarted(0, 0)
		other := 1 - workerOfAttempt(balancer, 0, 0)
		balancer.workers[other].gossip.peerInFlight = c.otherLoad
		balancer.now = balancer.now.Add(c.ran)
		balancer.reviewOpenRequests()
		assert.Len(t, balancer.requests.byID[0].attempts, c.attempts, c.name)
	}
}
