package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// refuse lands an invocation and lets the worker that gets it refuse the connection.
func refuse(d *Balancer) WorkerID {
	const inv = 0
	d.RequestArrived(inv, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: 100})
	d.RunDueRules()
	w := d.requests.byID[inv].attempts[0].worker
	d.AttemptEnded(inv, 0, ConnectionRefused, false)
	return w
}

// Guards against a worker that lost power and is back, and is sent to as a warm one since no list says otherwise.
func TestWorkerWhoseProcessWasSeenToEndIsColdFromWhenItIsHeardAgain(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	w := refuse(d)
	assert.Equal(t, d.config.initialWarmup, d.warmupFactor(w), "as cold as can be until it is heard")
	assert.False(t, d.withinWarmupBudget(w, Work(4*d.config.initialWarmup*float64(d.config.warmupWindow))), "so much would push it over")
	d.EndpointsUnavailable()
	d.SetTime(d.now + 15*Second)
	assert.Equal(t, d.config.initialWarmup, d.warmupFactor(w), "nobody knows when it was back")
	d.RequestArrived(1, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: 100})
	d.RunDueRules()
	d.AttemptStarted(1, 0)
	assert.Equal(t, d.config.initialWarmup, d.warmupFactor(w))
	d.SetTime(d.now + d.config.warmupDuration/2)
	assert.InDelta(t, d.config.initialWarmup+(1-d.config.initialWarmup)/2, d.warmupFactor(w), 0.01, "it warms from then on")
}

func TestListThatIsFollowedTellsInTimeWhetherAProcessIsNew(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	w := refuse(d)
	d.SetTime(d.now + d.config.maxPollInterval - 1)
	assert.Less(t, d.warmupFactor(w), 1.0)
	d.SetTime(d.now + 1)
	assert.Equal(t, 1.0, d.warmupFactor(w), "it would have told by now")

	d, _ = newWarmBalancer(1, 1)
	w = refuse(d)
	d.EndpointsUnavailable()
	d.SetTime(d.now + 2*d.config.maxPollInterval)
	assert.Less(t, d.warmupFactor(w), 1.0, "nobody tells while no list is followed")
	d.UpdateEndpoints([]Endpoint{{Worker: w, ID: "w0", StartedAt: d.now - d.config.warmupDuration/2}}, false, true)
	assert.InDelta(t, d.config.initialWarmup+(1-d.config.initialWarmup)/2, d.warmupFactor(w), 0.01, "what the list tells is exact")
}

// Guards against a list that tells late of a start before the end that was seen.
func TestStartBeforeTheEndThatWasSeenWarmsNobody(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	w := refuse(d)
	d.UpdateEndpoints([]Endpoint{{Worker: w, ID: "w0", StartedAt: d.now - d.config.warmupDuration/2}}, false, true)
	assert.Equal(t, d.config.initialWarmup, d.warmupFactor(w))
}

// Guards against a zone that has lost power while no list is to be had: only a part of it is met meanwhile.
func TestOthersOfAZoneMayHaveEndedTooWhileNoListIsFollowed(t *testing.T) {
	for _, followed := range []bool{true, false} {
		d, _ := newWarmBalancer(8, 1)
		d.RequestArrived(7, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: 100})
		d.RunDueRules()
		d.AttemptStarted(7, 0)
		runs := d.requests.byID[7].attempts[0].worker
		if !followed {
			d.EndpointsUnavailable()
		}
		gone := refuse(d)
		for w := range WorkerID(8) {
			doubted := w == gone || !followed && d.workers[w].zone == d.workers[gone].zone && w != runs
			assert.Equal(t, doubted, d.warmupFactor(w) < 1, "worker %d, followed %v", w, followed)
		}
	}
}

// lonelyDispatcher goes by a list from before its start, and has called for another one in vain.
func lonelyDispatcher() *Balancer {
	d, _ := newWarmBalancer(4, 1)
	d.config.gossip, d.discovery.answered, d.discovery.watching = true, false, false
	d.EndpointsUnavailable()
	return d
}

func TestDispatcherThatMeetsNobodyWhoHasLivedLongerTakesWorkersForCold(t *testing.T) {
	much := Work(testConfig.OverloadFactor * testConfig.InitialWarmup * float64(testConfig.WarmupWindow))
	d := lonelyDispatcher()
	assert.False(t, d.withinWarmupBudget(0, much))
	d.ReceiveLoad(1, Load{Worker: 3, InFlight: 1})
	assert.True(t, d.withinWarmupBudget(0, much), "one who lives tells of what is out")
	d.gossip.recordPeerAge(1, true)
	assert.False(t, d.withinWarmupBudget(0, much), "it has just started too")
	d.gossip.recordPeerAge(1, false)
	assert.False(t, d.withinWarmupBudget(0, much), "and what it tells is of no older date")

	hint := much / Work(testConfig.OverloadFactor)
	paced := func(took float64) WorkerID {
		d = lonelyDispatcher()
		d.RequestArrived(0, Arrival{Operation: 0, Timeout: 20 * Second, SizeHint: hint})
		d.RunDueRules()
		w := d.requests.byID[0].attempts[0].worker
		d.AttemptStarted(0, 0)
		d.SetTime(d.now + Time(took*float64(hint)))
		d.AttemptEnded(0, 0, Succeeded, true)
		return w
	}
	w := paced(1.6)
	assert.False(t, d.withinWarmupBudget(w, much), "a hint may be as far off, at a worker that is cold")
	w = paced(1.4)
	assert.True(t, d.withinWarmupBudget(w, much), "no cold worker is so fast")
	assert.False(t, d.withinWarmupBudget(w, 2*much), "but the largest would all go to the first that seems warm")
	assert.False(t, d.withinWarmupBudget((w+1)%4, much))
	d.UpdateEndpoints(nil, false, true)
	assert.True(t, d.withinWarmupBudget((w+1)%4, much), "a list that is followed tells of starts")
}
