package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// manyDispatchers is a number of dispatchers at which a share of a warm-up budget is too small for a request, so that
// they use warm-up credit.
const manyDispatchers = 200

// newWarmupCreditBalancer returns the Balancer of one of manyDispatchers. Its workers are worker 0, which started 5 s
// ago and is at two fifths of its capacity, and the given warm workers.
func newWarmupCreditBalancer(config Config, position int, warm []Endpoint) *Balancer {
	config.Dispatchers = manyDispatchers
	config.Position = position
	warming := Endpoint{Worker: 0, ID: "w0", StartedAt: testStart - 5*Second}
	balancer, _ := newTestBalancer(config, 1, append([]Endpoint{warming}, warm...))
	return balancer
}

// Regression test: if the shares of the budget were too small for any request, nearly all dispatchers sent nothing to a
// warming worker. With credit, each dispatcher sends in proportion to its own arrivals, and the initial credits are
// evenly distributed.
func TestWarmupCreditIsEarnedByArrivals(t *testing.T) {
	const (
		warming, warm WorkerID = 0, 1
		arrivals               = 5
		warmingShare           = 0.4 / 2.4 // of the capacity of all workers
		creditFactor           = 2         // half of the overload factor
	)
	sent := 0
	for position := range manyDispatchers {
		others := []Endpoint{{Worker: warm, ID: "w1"}, {Worker: 2, ID: "w2"}}
		balancer := newWarmupCreditBalancer(testConfig, position, others)
		assert.False(t, balancer.withinWarmupBudget(warming, 100), "no credit before the first arrival")
		for id := range RequestID(arrivals) {
			balancer.RequestArrived(id, Arrival{Timeout: 10 * Second, SizeHint: 100})
			if balancer.withinWarmupBudget(warming, 100) {
				sent++
				balancer.startAttempt(id, warming)
				assert.False(t, balancer.withinWarmupBudget(warming, 100), "the credit is at most one attempt")
			}
		}
		balancer.warmup.newRequests += 1000 // none of them was sent to the worker
		assert.True(t, balancer.withinWarmupBudget(warming, 100))
		balancer.RequestArrived(5, Arrival{Timeout: 10 * Second, SizeHint: 100})
		balancer.startAttempt(5, warming)
		assert.False(t, balancer.withinWarmupBudget(warming, 100), "the credit is at most one attempt after many arrivals")
		balancer.RequestArrived(6, Arrival{Timeout: 5 * Second, SizeHint: 100})
		assert.Equal(t, 1006, balancer.warmup.newRequests, "a client retry earns no credit")
		assert.True(t, balancer.withinWarmupBudget(warm, 1<<40))
	}
	assert.InDelta(t, manyDispatchers*arrivals*creditFactor*warmingShare, sent, 10)
}

// Regression test: many dispatchers kept their credit until the round-robin order reached the worker, and all of them
// spent it at once when other workers were removed.
func TestWarmupCreditIsSpentOnceItReachesOneAttempt(t *testing.T) {
	const warming WorkerID = 0
	var warm []Endpoint
	for id := WorkerID(1); id < 20; id++ {
		warm = append(warm, Endpoint{Worker: id, ID: string(rune('a' + id))})
	}
	config := testConfig
	config.LoadReports.FreeSlots = NotReported
	balancer := newWarmupCreditBalancer(config, 7, warm)
	for rotation := range 20 {
		balancer.RequestArrived(RequestID(rotation), Arrival{Timeout: 20 * Second, SizeHint: 100})
		for number := range balancer.subsetting.subsets {
			balancer.subsetting.subsets[number].roundRobin = rotation
		}
		balancer.withinWarmupBudget(warming, 100)
		balancer.workers[warming].warmup.credit.attempts = 0.5
		picked, ok := balancer.pickWorker(&balancer.requests.byID[rotation])
		assert.True(t, ok)
		assert.NotEqual(t, warming, picked, "its credit is below one attempt")
		balancer.workers[warming].warmup.credit.attempts = 1
		picked, _ = balancer.pickWorker(&balancer.requests.byID[rotation])
		assert.Equal(t, warming, picked, "at any position of the round-robin order")
	}
	balancer.warmup.newRequests += 1000
	assert.True(t, balancer.withinWarmupBudget(warming, 100))
	balancer.recordProcessExit(warming)
	balancer.workers[warming].warmup.exitedAt = noExit // as after the list reports the start of the next process
	assert.False(t, balancer.withinWarmupBudget(warming, 100), "the credit for the next process starts below one attempt again, by the rank of the dispatcher")
}
