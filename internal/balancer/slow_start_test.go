package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The rules of TestSlowStartLimits, by how dispatchers divide the budget.
var (
	gossipingRule = slowStart{
		overloadFactor: 4,
		window:         Second,
		dispatchers:    10,
		gossip:         true,
	}
	fewRule = slowStart{
		overloadFactor:      4,
		window:              Second,
		dispatchers:         2,
		smallestUsefulShare: Second / 10,
	}
	manyRule = slowStart{
		overloadFactor:      4,
		window:              Second,
		dispatchers:         300,
		smallestUsefulShare: Second / 10,
	}
)

// usableBudget is the part of the budget that TestSlowStartLimits may send with gossip.
const usableBudget = 4 * Second * 65 / 100 // without what the worker does itself, and the reserve

var slowStartCases = map[string]struct {
	rule   slowStart
	worker warmingWorker
	size   Work
	want   exclusion
}{
	"loads shared": {
		rule:   gossipingRule,
		worker: warmingWorker{load: 1, loadShared: true},
		size:   Second,
		want:   eligible,
	},
	"loads shared, slots taken": {
		rule:   gossipingRule,
		worker: warmingWorker{load: 2, loadShared: true},
		size:   Second,
		want:   noFreeSlot,
	},
	"loads shared, but not here": {
		rule:   gossipingRule,
		worker: warmingWorker{},
		size:   Second,
		want:   loadUnknown,
	},
	"loads shared, too large": {
		rule:   gossipingRule,
		worker: warmingWorker{loadShared: true},
		size:   usableBudget/2 + 1,
		want:   warmupBudgetExceeded,
	},
	"loads shared, budget spent": {
		rule:   gossipingRule,
		worker: warmingWorker{loadShared: true, recentWork: usableBudget},
		size:   1,
		want:   warmupBudgetExceeded,
	},
	"own share": {
		rule:   fewRule,
		worker: warmingWorker{load: 9},
		size:   Second / 2,
		want:   eligible,
	},
	"own share, spent": {
		rule:   fewRule,
		worker: warmingWorker{recentWork: Second / 2},
		size:   Second / 5,
		want:   warmupBudgetExceeded,
	},
	"own share, larger than that": {
		rule:   fewRule,
		worker: warmingWorker{},
		size:   Second,
		want:   warmupBudgetExceeded,
	},
}

// A worker of two slots at half of its capacity bears 4 * 0.5 * 2 = 4 s of work in a window of 1 s.
func TestSlowStartLimits(t *testing.T) {
	for name, c := range slowStartCases {
		t.Run(name, func(t *testing.T) {
			c.worker.warmupFactor = 0.5
			c.worker.slots = 2
			assert.False(t, c.rule.dividesByCredit(c.worker))
			assert.Equal(t, c.want, c.rule.admits(c.worker, c.size))
		})
	}
	assert.True(t, manyRule.dividesByCredit(warmingWorker{warmupFactor: 0.5, slots: 2}), "a share would hold no request")
}

func TestWarmupBudgetIsSharedAmongDispatchers(t *testing.T) {
	const (
		warming, warm  WorkerID = 0, 1
		overloadFactor          = 4
		initialWarmup           = 0.2
		slots                   = 1 // one attempt was seen to run at once
		window                  = 2 * Second
		dispatchers             = 2
	)
	balancer, _ := newWarmBalancer(2, 1)
	balancer.now += Second
	restarted := []Endpoint{{Worker: warming, ID: "w0", StartedAt: balancer.now}}
	balancer.UpdateEndpoints(restarted, ChangedEndpoints, FromDiscovery)
	share := overloadFactor * initialWarmup * slots * float64(window) * (1 - warmupReserve) / dispatchers
	balancer.config.meanObjective = share // as much as one request
	assert.True(t, balancer.withinWarmupBudget(warming, Work(share)))
	assert.False(t, balancer.withinWarmupBudget(warming, Work(share)+1))
	balancer.RequestArrived(0, Arrival{Timeout: 10 * Second, SizeHint: Work(share)})
	balancer.startAttempt(0, warming)
	assert.False(t, balancer.withinWarmupBudget(warming, 1), "work that was sent counts, however its attempt ends")
	balancer.now += window
	assert.True(t, balancer.withinWarmupBudget(warming, 1), "the window has passed")
	assert.True(t, balancer.withinWarmupBudget(warm, 1<<40), "a warm worker has no such budget")
}

// Dispatchers need not agree on the slots of a worker. The budget is that of the largest estimate.
func TestAllDispatchersTogetherKeepTheWarmupBudget(t *testing.T) {
	const (
		dispatchers = 200
		leastSlots  = 3.0
		mostSlots   = 4.0
		ageStep     = Duration(Second)
	)
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.dispatchers = dispatchers
	balancer.config.meanObjective = 1 // requests are so small that each dispatcher has a share
	balancer.now = 200 * Second
	for age := Duration(0); age < testConfig.Warmup.Duration; age += ageStep {
		started := []Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now.Add(-age)}}
		balancer.UpdateEndpoints(started, ChangedEndpoints, FromDiscovery)
		sent := Work(0)
		for position := range dispatchers {
			balancer.config.position = position
			balancer.slots.kinds[0].MaxObserved = leastSlots + (mostSlots-leastSlots)*float64(position%2)
			for size := Work(1); balancer.withinWarmupBudget(0, size); size++ {
				sent++
			}
		}
		budget := testConfig.Warmup.OverloadFactor * balancer.warmupFactor(0) * mostSlots * float64(testConfig.Warmup.Window)
		assert.Positive(t, sent, "age %d", age)
		assert.Less(t, float64(sent), budget, "age %d", age)
	}
}

func TestWarmingWorkerIsUsedOnlyWhereItsLoadIsKnown(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.config.gossip = true
	restarted := []Endpoint{{Worker: 0, ID: "w0", StartedAt: balancer.now}}
	balancer.UpdateEndpoints(restarted, ChangedEndpoints, FromDiscovery)
	assert.True(t, balancer.withinWarmupBudget(0, 100))
	balancer.workers[0].gossip.peerInFlight = 1 // as many as were seen to run at once
	assert.False(t, balancer.withinWarmupBudget(0, 100))
	balancer.workers[0].gossip.peerInFlight = 0
	balancer.subsetting.subsets[allIntervals].positions[0] = notInSubset
	assert.False(t, balancer.withinWarmupBudget(0, 100))
}
