package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// manyDispatchers are so many that one's share of a warm-up budget holds no request: they divide it by credit.
const manyDispatchers = 200

// newWarmupCreditBalancer returns one of manyDispatchers before a worker 0 that started 5 s ago, at two fifths of its
// capacity, and warm workers.
func newWarmupCreditBalancer(config Config, position int, warm []Endpoint) *Balancer {
	config.Dispatchers = manyDispatchers
	config.Position = position
	warming := Endpoint{Worker: 0, ID: "w0", StartedAt: testStart - 5*Second}
	balancer, _ := newTestBalancer(config, 1, append([]Endpoint{warming}, warm...))
	return balancer
}

// Regression test for shares of the budget that are too small for any request: nearly all dispatchers would leave a
// warming worker alone. Each sends there by its own arrivals, and their first credits are evenly spread.
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
		assert.False(t, balancer.withinWarmupBudget(warming, 100), "nothing has arrived, so nothing may be sent")
		for id := range RequestID(arrivals) {
			balancer.RequestArrived(id, Arrival{Timeout: 10 * Second, SizeHint: 100})
			if balancer.withinWarmupBudget(warming, 100) {
				sent++
				balancer.startAttempt(id, warming)
				assert.False(t, balancer.withinWarmupBudget(warming, 100), "one attempt at most is saved up")
			}
		}
		balancer.warmup.firstTries += 1000 // none of which suited the worker
		assert.True(t, balancer.withinWarmupBudget(warming, 100))
		balancer.RequestArrived(5, Arrival{Timeout: 10 * Second, SizeHint: 100})
		balancer.startAttempt(5, warming)
		assert.False(t, balancer.withinWarmupBudget(warming, 100), "one attempt at most, however many requests have arrived")
		balancer.RequestArrived(6, Arrival{Timeout: 5 * Second, SizeHint: 100})
		assert.Equal(t, 1006, balancer.warmup.firstTries, "the retry of a client earns nothing")
		assert.True(t, balancer.withinWarmupBudget(warm, 1<<40))
	}
	assert.InDelta(t, manyDispatchers*arrivals*creditFactor*warmingShare, sent, 10)
}

// Regression test for credits that many dispatchers save up until their rotations come round, and that they all spend at
// once when other workers are gone.
func TestWarmupCreditIsSpentAsItFallsDue(t *testing.T) {
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
		assert.NotEqual(t, warming, picked, "its credit is not due yet")
		balancer.workers[warming].warmup.credit.attempts = 1
		picked, _ = balancer.pickWorker(&balancer.requests.byID[rotation])
		assert.Equal(t, warming, picked, "wherever the rotation is")
	}
	balancer.warmup.firstTries += 1000
	assert.True(t, balancer.withinWarmupBudget(warming, 100))
	balancer.recordProcessExit(warming)
	balancer.workers[warming].warmup.exitedAt = noExit // as once the list names the start of the next process
	assert.False(t, balancer.withinWarmupBudget(warming, 100), "credit for the next process begins anew, evenly spread")
}
