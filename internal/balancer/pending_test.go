package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPendingOrderIsByValueThenLatestStart(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.workers[0].unstarted = 1 // so that all requests wait
	for id, operation := range []OperationID{idempotentOp, idempotentOp, nonIdempotentOp} {
		balancer.now += 10
		balancer.RequestArrived(RequestID(id), Arrival{Operation: operation, Timeout: 10 * Second, SizeHint: 100})
	}
	balancer.requests.byID[0].quotaWeight = balancer.config.overQuotaWeight
	balancer.updateCutPoints()
	assert.Equal(t, []RequestID{2, 1, 0}, balancer.pending.ids)
}

func TestWorstOperationGainsPriority(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.config.worstOperationWeight = 1
	balancer.workers[0].health.ProbeAfter = 200 * Second // so that all requests wait
	for id, operation := range []OperationID{nonIdempotentOp, idempotentOp, nonIdempotentOp} {
		balancer.now++
		balancer.RequestArrived(RequestID(id), Arrival{Operation: operation, Timeout: 10 * Second, SizeHint: Second})
	}
	assert.Equal(t, []RequestID{0, 2, 1}, balancer.pending.ids, "requests are ordered by value")
	balancer.RequestArrived(3, Arrival{Timeout: 10 * Second, SizeHint: Second})
	balancer.rejectOrFail(3)
	assert.Equal(t, []RequestID{1, 0, 2}, balancer.pending.ids, "the operation with the largest loss comes first, or its low value would leave it unserved")
}
