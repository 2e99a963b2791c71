package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/polling"
)

// refuseConnection arrives a request and lets the worker that gets it refuse the connection.
func refuseConnection(balancer *Balancer) WorkerID {
	const inv = 0
	balancer.RequestArrived(inv, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: 100})
	balancer.RunDueRules()
	w := balancer.requests.byID[inv].attempts[0].worker
	balancer.AttemptEnded(inv, 0, ConnectionRefused, NoAnswer)
	return w
}

// Regression test for a worker that lost power and is back, and is sent to as a warm one since no list says otherwise.
func TestWorkerWarmsUpFromItsFirstResponseAfterAnExit(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	w := refuseConnection(balancer)
	assert.Equal(t, balancer.config.initialWarmup, balancer.warmupFactor(w), "as cold as can be until it is heard")
	assert.False(t, balancer.withinWarmupBudget(w, Work(4*balancer.config.initialWarmup*float64(balancer.config.warmupWindow))), "so much would push it over")
	balancer.EndpointsUnavailable()
	balancer.SetTime(balancer.now + 15*Second)
	assert.Equal(t, balancer.config.initialWarmup, balancer.warmupFactor(w), "nobody knows when it was back")
	balancer.RequestArrived(1, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.AttemptStarted(1, 0)
	assert.Equal(t, balancer.config.initialWarmup, balancer.warmupFactor(w))
	balancer.SetTime(balancer.now.Add(balancer.config.warmupDuration / 2))
	assert.InDelta(t, balancer.config.initialWarmup+(1-balancer.config.initialWarmup)/2, balancer.warmupFactor(w), 0.01, "it warms from then on")
}

func TestWatchedListEndsTheSuspicionOfARestart(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	w := refuseConnection(balancer)
	balancer.SetTime(balancer.now.Add(balancer.config.maxPollInterval - 1))
	assert.Less(t, balancer.warmupFactor(w), 1.0)
	balancer.SetTime(balancer.now + 1)
	assert.Equal(t, 1.0, balancer.warmupFactor(w), "it would have told by now")

	balancer, _ = newWarmBalancer(1, 1)
	w = refuseConnection(balancer)
	balancer.EndpointsUnavailable()
	balancer.SetTime(balancer.now.Add(2 * balancer.config.maxPollInterval))
	assert.Less(t, balancer.warmupFactor(w), 1.0, "nobody tells while no list is followed")
	balancer.UpdateEndpoints([]Endpoint{{Worker: w, ID: "w0", StartedAt: balancer.now.Add(-balancer.config.warmupDuration / 2)}}, ChangedEndpoints, FromDiscovery)
	assert.InDelta(t, balancer.config.initialWarmup+(1-balancer.config.initialWarmup)/2, balancer.warmupFactor(w), 0.01, "what the list tells is exact")
}

// Regression test for a list that tells late of a start before the end that was seen.
func TestStartBeforeTheExitWarmsNobody(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	w := refuseConnection(balancer)
	balancer.UpdateEndpoints([]Endpoint{{Worker: w, ID: "w0", StartedAt: balancer.now.Add(-balancer.config.warmupDuration / 2)}}, ChangedEndpoints, FromDiscovery)
	assert.Equal(t, balancer.config.initialWarmup, balancer.warmupFactor(w))
}

// Regression test for a zone that has lost power while no list is to be had: only a part of it is met meanwhile.
func TestOthersOfAZoneMayHaveExitedWhileNoListIsWatched(t *testing.T) {
	for _, followed := range []bool{true, false} {
		balancer, _ := newWarmBalancer(8, 1)
		balancer.RequestArrived(7, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: 100})
		balancer.RunDueRules()
		balancer.AttemptStarted(7, 0)
		runs := balancer.requests.byID[7].attempts[0].worker
		if !followed {
			balancer.EndpointsUnavailable()
		}
		gone := refuseConnection(balancer)
		for w := range WorkerID(8) {
			doubted := w == gone || !followed && balancer.workers[w].zone == balancer.workers[gone].zone && w != runs
			assert.Equal(t, doubted, balancer.warmupFactor(w) < 1, "worker %d, followed %v", w, followed)
		}
	}
}

// newIsolatedBalancer goes by a list from before its start, and has called for another one in vain.
func newIsolatedBalancer() *Balancer {
	balancer, _ := newWarmBalancer(4, 1)
	balancer.config.gossip = true
	balancer.polling = polling.NewSchedule(balancer.config.polling)
	balancer.EndpointsUnavailable()
	return balancer
}

func TestIsolatedDispatcherTakesWorkersForCold(t *testing.T) {
	much := Work(testConfig.OverloadFactor * testConfig.InitialWarmup * float64(testConfig.WarmupWindow))
	balancer := newIsolatedBalancer()
	assert.False(t, balancer.withinWarmupBudget(0, much))
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 3, InFlight: 1})
	assert.True(t, balancer.withinWarmupBudget(0, much), "one who lives tells of what is in flight")
	balancer.gossip.recordJuniorPeer(1)
	assert.False(t, balancer.withinWarmupBudget(0, much), "it has just started too")
	balancer.gossip.recordPeer(1)
	assert.False(t, balancer.withinWarmupBudget(0, much), "and what it tells is of no older date")

	hint := much / Work(testConfig.OverloadFactor)
	paced := func(took float64) WorkerID {
		balancer = newIsolatedBalancer()
		balancer.RequestArrived(0, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: hint})
		balancer.RunDueRules()
		w := balancer.requests.byID[0].attempts[0].worker
		balancer.AttemptStarted(0, 0)
		balancer.SetTime(balancer.now + Time(took*float64(hint)))
		balancer.AttemptEnded(0, 0, Succeeded, FinalAnswer)
		return w
	}
	w := paced(1.6)
	assert.False(t, balancer.withinWarmupBudget(w, much), "a hint may be as far off, at a worker that is cold")
	w = paced(1.4)
	assert.True(t, balancer.withinWarmupBudget(w, much), "no warming worker is so fast")
	assert.False(t, balancer.withinWarmupBudget(w, 2*much), "but the largest would all go to the first that seems warm")
	assert.False(t, balancer.withinWarmupBudget((w+1)%4, much))
	balancer.UpdateEndpoints(nil, ChangedEndpoints, FromDiscovery)
	assert.True(t, balancer.withinWarmupBudget((w+1)%4, much), "a list that is followed tells of starts")
}
