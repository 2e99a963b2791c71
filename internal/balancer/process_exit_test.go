package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// refuseConnection submits a request, makes its worker refuse the connection, and returns the worker.
func refuseConnection(balancer *Balancer) WorkerID {
	submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 20 * Second, SizeHint: 100})
	refusing := workerOfAttempt(balancer, 0, 0)
	balancer.AttemptEnded(0, 0, ConnectionRefused, NoAnswer)
	return refusing
}

// halfWarmedUp returns the warm-up factor after half of the warm-up duration.
func halfWarmedUp(balancer *Balancer) float64 {
	initial := balancer.config.initialWarmupFactor
	return initial + (1-initial)/2
}

// startedHalfWarmupAgo returns the endpoint of a worker that started half of the warm-up duration ago.
func startedHalfWarmupAgo(balancer *Balancer, id WorkerID) []Endpoint {
	startedAt := balancer.now.Add(-balancer.config.warmupDuration / 2)
	return []Endpoint{{Worker: id, ID: "w0", StartedAt: startedAt}}
}

// Regression test: a worker that restarted after a power loss was treated as warm because no endpoint list reported the
// restart.
func TestWorkerWarmsUpFromItsFirstResponseAfterAnExit(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	exited := refuseConnection(balancer)
	initial := balancer.config.initialWarmupFactor
	assert.Equal(t, initial, balancer.warmupFactor(exited), "before its first response")
	initialBudget := Work(4 * initial * float64(balancer.config.warmupWindow))
	assert.False(t, balancer.withinWarmupBudget(exited, initialBudget), "this much work would overload it")
	balancer.EndpointsUnavailable()
	balancer.SetTime(balancer.now + 15*Second)
	assert.Equal(t, initial, balancer.warmupFactor(exited), "its restart time is unknown")
	submitRequest(balancer, 1, Arrival{Operation: idempotentOp, Timeout: 20 * Second, SizeHint: 100})
	balancer.AttemptStarted(1, 0)
	assert.Equal(t, initial, balancer.warmupFactor(exited))
	balancer.SetTime(balancer.now.Add(balancer.config.warmupDuration / 2))
	assert.InDelta(t, halfWarmedUp(balancer), balancer.warmupFactor(exited), 0.01, "it warms up from its first response")
}

func TestWatchedListEndsTheSuspicionOfARestart(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	exited := refuseConnection(balancer)
	balancer.SetTime(balancer.now.Add(balancer.config.polling.MaxInterval - 1))
	assert.Less(t, balancer.warmupFactor(exited), 1.0)
	balancer.SetTime(balancer.now + 1)
	assert.Equal(t, 1.0, balancer.warmupFactor(exited), "the list would have reported a restart")

	balancer, _ = newWarmBalancer(1, 1)
	exited = refuseConnection(balancer)
	balancer.EndpointsUnavailable()
	balancer.SetTime(balancer.now.Add(2 * balancer.config.polling.MaxInterval))
	assert.Less(t, balancer.warmupFactor(exited), 1.0, "the list is not watched")
	balancer.UpdateEndpoints(startedHalfWarmupAgo(balancer, exited), ChangedEndpoints, FromDiscovery)
	assert.InDelta(t, halfWarmedUp(balancer), balancer.warmupFactor(exited), 0.01, "the list reports the exact start")
}

// Regression test: a delayed list reported a start before the observed exit, and it was taken for the start of the next
// process.
func TestListedStartBeforeTheExitIsNotThatOfTheNextProcess(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	exited := refuseConnection(balancer)
	balancer.UpdateEndpoints(startedHalfWarmupAgo(balancer, exited), ChangedEndpoints, FromDiscovery)
	assert.Equal(t, balancer.config.initialWarmupFactor, balancer.warmupFactor(exited))
}

// Regression test for a zone that loses power while no endpoint list is available: this dispatcher observes refused
// connections for only some of its workers.
func TestOtherWorkersOfZoneAreSuspectedWhileListIsNotWatched(t *testing.T) {
	for _, watched := range []bool{true, false} {
		balancer, _ := newWarmBalancer(8, 1)
		submitRequest(balancer, 7, Arrival{Operation: idempotentOp, Timeout: 20 * Second, SizeHint: 100})
		balancer.AttemptStarted(7, 0)
		running := workerOfAttempt(balancer, 7, 0)
		if !watched {
			balancer.EndpointsUnavailable()
		}
		exited := refuseConnection(balancer)
		for id := range WorkerID(8) {
			sameZone := balancer.workers[id].zone == balancer.workers[exited].zone
			mayHaveExited := !watched && sameZone && id != running
			suspected := id == exited || mayHaveExited
			assert.Equal(t, suspected, balancer.warmupFactor(id) < 1, "worker %d, list watched: %v", id, watched)
		}
	}
}
