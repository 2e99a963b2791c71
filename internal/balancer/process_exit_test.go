package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// refuseConnection has a request arrive, and the worker that gets it refuse the connection. It returns the worker.
func refuseConnection(balancer *Balancer) WorkerID {
	submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 20 * Second, SizeHint: 100})
	refusing := workerOfAttempt(balancer, 0, 0)
	balancer.AttemptEnded(0, 0, ConnectionRefused, NoAnswer)
	return refusing
}

// halfWarmedUp is the warm-up factor after half of the warm-up duration.
func halfWarmedUp(balancer *Balancer) float64 {
	initial := balancer.config.initialWarmup
	return initial + (1-initial)/2
}

// startedHalfWarmupAgo returns the endpoint of a worker that has started half of the warm-up duration ago.
func startedHalfWarmupAgo(balancer *Balancer, id WorkerID) []Endpoint {
	startedAt := balancer.now.Add(-balancer.config.warmupDuration / 2)
	return []Endpoint{{Worker: id, ID: "w0", StartedAt: startedAt}}
}

// Regression test for a worker that lost power, is back, and is taken to be warm because no list says otherwise.
func TestWorkerWarmsUpFromItsFirstResponseAfterAnExit(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	exited := refuseConnection(balancer)
	initial := balancer.config.initialWarmup
	assert.Equal(t, initial, balancer.warmupFactor(exited), "until its first response")
	initialBudget := Work(4 * initial * float64(balancer.config.warmupWindow))
	assert.False(t, balancer.withinWarmupBudget(exited, initialBudget), "so much would overload it")
	balancer.EndpointsUnavailable()
	balancer.SetTime(balancer.now + 15*Second)
	assert.Equal(t, initial, balancer.warmupFactor(exited), "nobody knows when it has restarted")
	submitRequest(balancer, 1, Arrival{Operation: idempotentOp, Timeout: 20 * Second, SizeHint: 100})
	balancer.AttemptStarted(1, 0)
	assert.Equal(t, initial, balancer.warmupFactor(exited))
	balancer.SetTime(balancer.now.Add(balancer.config.warmupDuration / 2))
	assert.InDelta(t, halfWarmedUp(balancer), balancer.warmupFactor(exited), 0.01, "it warms up from its response on")
}

func TestWatchedListEndsTheSuspicionOfARestart(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	exited := refuseConnection(balancer)
	balancer.SetTime(balancer.now.Add(balancer.config.polling.MaxInterval - 1))
	assert.Less(t, balancer.warmupFactor(exited), 1.0)
	balancer.SetTime(balancer.now + 1)
	assert.Equal(t, 1.0, balancer.warmupFactor(exited), "the list would name a restart by now")

	balancer, _ = newWarmBalancer(1, 1)
	exited = refuseConnection(balancer)
	balancer.EndpointsUnavailable()
	balancer.SetTime(balancer.now.Add(2 * balancer.config.polling.MaxInterval))
	assert.Less(t, balancer.warmupFactor(exited), 1.0, "no list is watched")
	balancer.UpdateEndpoints(startedHalfWarmupAgo(balancer, exited), ChangedEndpoints, FromDiscovery)
	assert.InDelta(t, halfWarmedUp(balancer), balancer.warmupFactor(exited), 0.01, "the start in the list is exact")
}

// Regression test for a list that comes late and names a start before the exit that was seen.
func TestListedStartBeforeTheExitIsNotThatOfTheNextProcess(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	exited := refuseConnection(balancer)
	balancer.UpdateEndpoints(startedHalfWarmupAgo(balancer, exited), ChangedEndpoints, FromDiscovery)
	assert.Equal(t, balancer.config.initialWarmup, balancer.warmupFactor(exited))
}

// Regression test for a zone that has lost power while no list can be had: only some of its workers are seen to refuse
// connections meanwhile.
func TestOthersOfAZoneMayHaveExitedWhileNoListIsWatched(t *testing.T) {
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
