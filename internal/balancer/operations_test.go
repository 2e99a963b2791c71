package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for meaningless statistics of the work that was lost, requested, or sent to a worker if requests have
// no size hints.
func TestSizesWithoutHintsAreMeanRuns(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.operations.byID[idempotentOp].meanRun = 500
	balancer.operations.byID[nonIdempotentOp].meanRun = 4000
	balancer.operations.byID[nonIdempotentOp].value = 8
	for id, operation := range []OperationID{idempotentOp, nonIdempotentOp} {
		balancer.RequestArrived(RequestID(id), Arrival{Operation: operation, Timeout: 20 * Second})
		assert.Equal(t, Work(balancer.operations.byID[operation].meanRun), balancer.requests.byID[id].size)
	}
	balancer.RunDueRules()
	assert.Equal(t, Work(500+4000), recentlySentWork(balancer))
	balancer.rejectOrFail(1)
	assert.Equal(t, nonIdempotentOp, balancer.operations.worst)
	balancer.RequestArrived(2, Arrival{Operation: idempotentOp, Timeout: 20 * Second})
	for range 3 {
		balancer.rejectOrFail(2)
		balancer.RequestArrived(2, Arrival{Operation: idempotentOp, Timeout: 20 * Second})
	}
	assert.Equal(t, nonIdempotentOp, balancer.operations.worst, "a loss of three out of four requests is a smaller share than one out of one")
}

// recentlySentWork returns the work sent to all workers within the warm-up window.
func recentlySentWork(balancer *Balancer) (total Work) {
	for id := range balancer.workers {
		total += balancer.workers[id].warmup.workSentAfter(balancer.warmupWindowStart())
	}
	return total
}

func TestStatisticsOfRunsSurviveReconfiguration(t *testing.T) {
	balancer, _ := newBalancerWithOpenRequest(t)
	balancer.SetTime(balancer.now + Second)
	balancer.operations.byID[idempotentOp].observeRun(Second)
	stricter := namedConfig()
	stricter.Operations[idempotentOp].Idempotency = NonIdempotent
	replacement := balancer.Reconfigure(stricter).Operations[idempotentOp]
	before := balancer.operations.byID[idempotentOp]
	after := balancer.operations.byID[replacement]
	assert.Equal(t, []any{before.meanRun, before.runs}, []any{after.meanRun, after.runs})
	assert.Equal(t, float64(Second), after.meanRun)
}
