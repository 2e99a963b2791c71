package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Limits used in TestSlowStartLimits, by the way in which dispatchers divide the budget.
var (
	gossipLimits = slowStartLimits{
		overloadFactor: 4,
		window:         Second,
		dispatchers:    10,
		gossip:         true,
	}
	fewDispatchersLimits = slowStartLimits{
		overloadFactor: 4,
		window:         Second,
		dispatchers:    2,
		minUsefulShare: Second / 10,
	}
	manyDispatchersLimits = slowStartLimits{
		overloadFactor: 4,
		window:         Second,
		dispatchers:    300,
		minUsefulShare: Second / 10,
	}
)

// usableBudget is the part of the budget in TestSlowStartLimits that gossiping dispatchers may use.
const usableBudget = 4 * Second * 65 / 100 // without the worker's own capacity and gossipReserve

var slowStartCases = map[string]struct {
	limits slowStartLimits
	worker warmingWorker
	size   Work
	want   exclusion
}{
	"gossip, within limits": {
		limits: gossipLimits,
		worker: warmingWorker{load: 1, loadShared: true},
		size:   Second,
		want:   eligible,
	},
	"gossip, no free slot": {
		limits: gossipLimits,
		worker: warmingWorker{load: 2, loadShared: true},
		size:   Second,
		want:   noFreeSlot,
	},
	"gossip, load unknown": {
		limits: gossipLimits,
		worker: warmingWorker{},
		size:   Second,
		want:   loadUnknown,
	},
	"gossip, request too large": {
		limits: gossipLimits,
		worker: warmingWorker{loadShared: true},
		size:   usableBudget/2 + 1,
		want:   warmupBudgetExceeded,
	},
	"gossip, budget used up": {
		limits: gossipLimits,
		worker: warmingWorker{loadShared: true, recentWork: usableBudget},
		size:   1,
		want:   warmupBudgetExceeded,
	},
	"own share, within limits": {
		limits: fewDispatchersLimits,
		worker: warmingWorker{load: 9},
		size:   Second / 2,
		want:   eligible,
	},
	"own share, used up": {
		limits: fewDispatchersLimits,
		worker: warmingWorker{recentWork: Second / 2},
		size:   Second / 5,
		want:   warmupBudgetExceeded,
	},
	"own share, request too large": {
		limits: fewDispatchersLimits,
		worker: warmingWorker{},
		size:   Second,
		want:   warmupBudgetExceeded,
	},
}

// The budget of a worker with two slots at half of its capacity is 4 * 0.5 * 2 = 4 s of work in a window of 1 s.
func TestSlowStartLimits(t *testing.T) {
	for name, c := range slowStartCases {
		t.Run(name, func(t *testing.T) {
			c.worker.warmupFactor = 0.5
			c.worker.slots = 2
			assert.False(t, c.limits.usesCredit(c.worker))
			assert.Equal(t, c.want, c.limits.exclusionFor(c.worker, c.size))
		})
	}
	assert.True(t, manyDispatchersLimits.usesCredit(warmingWorker{warmupFactor: 0.5, slots: 2}), "a share is too small for a request")
}

func TestWarmupBudgetIsSharedAmongDispatchers(t *testing.T) {
	const (
		warming, warm       WorkerID = 0, 1
		overloadFactor               = 4
		initialWarmupFactor          = 0.2
		slots                        = 1 // initial value of MaxObserved
		window                       = 2 * Second
		dispatchers                  = 2
	)
	balancer, _ := newWarmBalancer(2, 1)
	balancer.now += Second
	restarted := []Endpoint{{Worker: warming, ID: "w0", StartedAt: balancer.now}}
	balancer.UpdateEndpoints(restarted, ChangedEndpoints, FromDiscovery)
	share := overloadFactor * initialWarmupFactor * slots * float64(window) * (1 - warmupReserve) / dispatchers
	balancer.config.meanObjective = share // a share has room for exactly one request
	assert.True(t, balancer.withinWarmupBudget(warming, Work(share)))
	assert.False(t, balancer.withinWarmupBudget(warming, Work(share)+1))
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Work(share)})
	balancer.startAttempt(0, warming)
	assert.False(t, balancer.withinWarmupBudget(warming, 1), "sent work counts, whatever the outcome of its attempt")
	balancer.now += window
	assert.True(t, balancer.withinWarmupBudget(warming, 1), "the window has passed")
	assert.True(t, balancer.withinWarmupBudget(warm, 1<<40), "a warm worker has no warm-up budget")
}

// Dispatchers may have different slot estimates for a worker. The budget is based on the largest one.
func TestDispatchersTogetherStayWithinTheWarmupBudget(t *testing.T) {
	const (
		dispatchers = 200
		minSlots    = 3.0
		maxSlots    = 4.0
		ageStep     = Duration(Second)
	)
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.dispatchers = dispatchers
	balancer.config.meanObjective = 1 // requests are so small that the share of each dispatcher has room for one
	balancer.now = 200 * Second
	for age := Duration(0); age < testConfig.Warmup.Duration; age += ageStep {
		started := []Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now.Add(-age)}}
		balancer.UpdateEndpoints(started, ChangedEndpoints, FromDiscovery)
		sent := Work(0)
		for position := range dispatchers {
			balancer.config.position = position
			balancer.slots.kinds[0].MaxObserved = minSlots + (maxSlots-minSlots)*float64(position%2)
			for size := Work(1); balancer.withinWarmupBudget(0, size); size++ {
				sent++
			}
		}
		budget := testConfig.Warmup.OverloadFactor * balancer.warmupFactor(0) * maxSlots * float64(testConfig.Warmup.Window)
		assert.Positive(t, sent, "age %d", age)
		assert.Less(t, float64(sent), budget, "age %d", age)
	}
}

func TestWarmingWorkerIsUsedOnlyIfItsLoadIsKnown(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.gossip = true
	restarted := []Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now}}
	balancer.UpdateEndpoints(restarted, ChangedEndpoints, FromDiscovery)
	assert.True(t, balancer.withinWarmupBudget(0, 100))
	balancer.workers[0].gossip.peerInFlight = 1 // equals MaxObserved
	assert.False(t, balancer.withinWarmupBudget(0, 100))
	balancer.workers[0].gossip.peerInFlight = 0
	balancer.subsetting.subsets[allIntervals].positions[0] = notInSubset
	assert.False(t, balancer.withinWarmupBudget(0, 100))
}
