package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/polling"
)

// newIsolatedBalancer returns a Balancer that uses an endpoint list from before its start, and whose first poll has
// failed.
func newIsolatedBalancer() *Balancer {
	balancer, _ := newWarmBalancer(4, 1)
	balancer.config.gossip = true
	balancer.polling = polling.NewSchedule(balancer.config.polling)
	balancer.EndpointsUnavailable()
	return balancer
}

// initialBudget returns the whole warm-up budget of a worker with one slot that has just started, in ticks of work.
func initialBudget() Work {
	return Work(testConfig.Warmup.OverloadFactor * testConfig.Warmup.InitialShare * float64(testConfig.Warmup.Window))
}

func TestIsolatedDispatcherSuspectsRestarts(t *testing.T) {
	balancer := newIsolatedBalancer()
	assert.False(t, balancer.withinWarmupBudget(0, initialBudget()))
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 3, InFlight: 1})
	assert.True(t, balancer.withinWarmupBudget(0, initialBudget()), "a peer that has run for longer shares its load")
	balancer.gossip.recordJuniorPeer(1)
	assert.False(t, balancer.withinWarmupBudget(0, initialBudget()), "the peer has just started too")
	balancer.gossip.recordPeer(1)
	assert.False(t, balancer.withinWarmupBudget(0, initialBudget()), "later messages of the same peer do not change that")

	balancer, target := newIsolatedBalancerAfterRun(1.6)
	assert.False(t, balancer.withinWarmupBudget(target, initialBudget()), "a warming worker with a wrong hint may seem as fast")
	balancer, target = newIsolatedBalancerAfterRun(1.4)
	other := (target + 1) % 4
	assert.True(t, balancer.withinWarmupBudget(target, initialBudget()), "no warming worker is as fast")
	assert.False(t, balancer.withinWarmupBudget(target, 2*initialBudget()), "it must not get all of the largest requests")
	assert.False(t, balancer.withinWarmupBudget(other, initialBudget()))
	balancer.UpdateEndpoints(nil, ChangedEndpoints, FromDiscovery)
	assert.True(t, balancer.withinWarmupBudget(other, initialBudget()), "a watched list reports starts")
}

// newIsolatedBalancerAfterRun returns an isolated Balancer and a worker that has completed a request. The run time was
// timesHint times the size hint.
func newIsolatedBalancerAfterRun(timesHint float64) (*Balancer, WorkerID) {
	hint := initialBudget() / Work(testConfig.Warmup.OverloadFactor)
	balancer := newIsolatedBalancer()
	submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 20 * Second, SizeHint: hint})
	balancer.AttemptStarted(0, 0)
	balancer.SetTime(balancer.now + Time(timesHint*float64(hint)))
	balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
	return balancer, workerOfAttempt(balancer, 0, 0)
}
