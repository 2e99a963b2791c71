package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for figures that mean nothing where no hints come: what is lost, and of what, and what a warming worker
// is sent.
func TestSizesWithoutHintsAreMeanRuns(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.operations.byID[0].meanRun, balancer.operations.byID[1].meanRun, balancer.operations.byID[1].value = 500, 4000, 8
	for id, op := range []OperationID{0, 1} {
		balancer.RequestArrived(RequestID(id), Arrival{Operation: op, Timeout: 20 * Second})
		assert.Equal(t, Work(balancer.operations.byID[op].meanRun), balancer.requests.byID[id].size)
	}
	balancer.RunDueRules()
	sent := Work(0)
	for w := range balancer.workers {
		for _, s := range balancer.workers[WorkerID(w)].warmup.sendsAfter(balancer.warmupWindowStart()) {
			sent += s.work
		}
	}
	assert.Equal(t, Work(4500), sent)
	balancer.rejectOrFail(1)
	assert.Equal(t, OperationID(1), balancer.operations.worst)
	balancer.RequestArrived(2, Arrival{Operation: 0, Timeout: 20 * Second})
	for n := 0; n < 3; n++ {
		balancer.rejectOrFail(RequestID(2))
		balancer.RequestArrived(2, Arrival{Operation: 0, Timeout: 20 * Second})
	}
	assert.Equal(t, OperationID(1), balancer.operations.worst, "three of four lost are less than one of one")
}

func TestStatisticsOfRunsSurviveReconfiguration(t *testing.T) {
	balancer, _ := newReconfigured(t)
	balancer.SetTime(balancer.now + Second)
	balancer.operations.byID[0].observeRun(Second)
	stricter := namedConfig()
	stricter.Operations[0].Idempotency = NonIdempotent
	n := balancer.Reconfigure(stricter).Operations[0]
	assert.Equal(t, []any{balancer.operations.byID[0].meanRun, balancer.operations.byID[0].runs}, []any{balancer.operations.byID[n].meanRun, balancer.operations.byID[n].runs})
	assert.Equal(t, float64(Second), balancer.operations.byID[n].meanRun)
}
