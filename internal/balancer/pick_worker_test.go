package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/sizeinterval"
)

func TestPickGoesRoundTheSubsetOfTheInterval(t *testing.T) {
	balancer, _ := newWarmBalancer(6, 1)
	setSizes(balancer, slices.Repeat([]Work{100}, sizeinterval.MinSample)...)
	assert.Equal(t, []Work{100}, balancer.sizes.CutPoints())
	small, large := map[WorkerID]int{}, map[WorkerID]int{}
	for range 6 {
		w, ok := balancer.pickWorker(&request{attemptLimit: 4, interval: 0, quotaWeight: 1, deadline: 200 * Second})
		assert.True(t, ok)
		small[w]++
		w, _ = balancer.pickWorker(&request{attemptLimit: 4, interval: 1, quotaWeight: 1, deadline: 200 * Second})
		large[w]++
	}
	for n, w := range balancer.subsetting.ring {
		assert.Equal(t, []int{2, 0}[n/3], small[w])
		assert.Equal(t, []int{0, 2}[n/3], large[w])
	}
}

func TestPickBorrowsFromOtherIntervals(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	setSizes(balancer, slices.Repeat([]Work{100}, sizeinterval.MinSample)...)
	assert.Equal(t, []Work{100}, balancer.sizes.CutPoints())
	balancer.workers[balancer.subsetting.ring[0]].unstarted, balancer.workers[balancer.subsetting.ring[1]].unstarted = 1, 1
	w, ok := balancer.pickWorker(&request{attemptLimit: 4, interval: 0, quotaWeight: 1, deadline: 200 * Second})
	assert.True(t, ok)
	assert.Contains(t, balancer.subsetting.ring[2:], w)
}

func TestPickPassesOverTwiceTheMeanLoad(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	busy := balancer.subsetting.ring[2]
	balancer.addInFlight(busy, 3)
	for range 8 {
		w, ok := balancer.pickWorker(&request{attemptLimit: 4, quotaWeight: 1, deadline: 200 * Second})
		assert.True(t, ok)
		assert.NotEqual(t, busy, w)
	}
}

func TestDrainingAndGoneWorkersAreNotAvailable(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", State: Draining}}, ChangedEndpoints, FromDiscovery)
	assert.False(t, balancer.isAvailable(0))
	assert.True(t, balancer.isAvailable(1))
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, AllEndpoints, FromDiscovery)
	assert.True(t, balancer.isAvailable(0), "a worker may come back")
	assert.False(t, balancer.isAvailable(1), "absent from a complete list")
}

func TestWarmingWorkerGetsNothingThatItsSlownessMakesLate(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.workers[0].warmup.startedAt, balancer.slots.kinds[0].MaxObserved, balancer.slots.kinds[0].Estimate = balancer.now-5*Second, 9, 9 // at two fifths of its capacity
	balancer.config.dispatchers = 1
	setSizes(balancer, Second) // hints come
	for size, taken := range map[Work]bool{Second / 2: true, Second: false} {
		_, ok := balancer.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: size, deadline: 200 * Second})
		assert.Equal(t, taken, ok, "1.5 times the size over the objective of a second: %d", size)
	}
	late := &request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: Second, deadline: 200 * Second, late: true}
	_, ok := balancer.pickWorker(late)
	assert.True(t, ok, "what is late in any case may still earn something")
	setSizes(balancer, 0)
	_, ok = balancer.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: Second, deadline: 200 * Second})
	assert.True(t, ok, "no hint tells that it would be late")
}

func TestTenantsBeyondTheirQuotaLeaveRoom(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.slots.kinds[0].Estimate, balancer.slots.kinds[0].MaxObserved = 3, 3
	balancer.config.gossip = true
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 2})
	_, ok := balancer.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, deadline: 200 * Second, quotaWeight: 0.2})
	assert.False(t, ok)
	_, ok = balancer.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, deadline: 200 * Second, quotaWeight: 1})
	assert.True(t, ok)
}

func TestPickGoesBeyondTheSubsetUntilAWorkerRefuses(t *testing.T) {
	balancer, effects := newWarmBalancer(9, 1)
	balancer.config.gossip, balancer.config.dispatchers, balancer.config.dispatchersPerWorker, balancer.config.hedging = true, 9, 1, false
	balancer.updateSubsets()
	assert.Len(t, balancer.subsetting.subsets[bothIntervals].workers, sizeinterval.Count)
	for id := range RequestID(sizeinterval.Count + 2) {
		balancer.RequestArrived(id, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: Second})
		balancer.RunDueRules()
	}
	assert.Len(t, effects.lines, sizeinterval.Count+2)
	balancer.AttemptEnded(sizeinterval.Count, 0, Overloaded, NoAnswer)
	balancer.RunDueRules()
	assert.Len(t, effects.lines, sizeinterval.Count+2, "pending: where nothing is told, others may be full as well")
	balancer.now += Second + 1
	balancer.due.capacityChanged = true
	balancer.RunDueRules()
	assert.Greater(t, len(effects.lines), sizeinterval.Count+2)
}

// Regression test for requests that use up their attempts on a zone that is full, each finding it out for
// itself, while others have room.
func TestRetryLeavesTheZoneWhereNoPeersTell(t *testing.T) {
	far := func(peers bool) (second int) {
		for seed := range uint64(20) {
			config := testConfig
			config.CrossZoneCost, config.Gossip, config.GossipCost = 0.05, peers, 0.0001
			balancer := New(config, seed, &recorder{})
			balancer.SetTime(100 * Second)
			var list []Endpoint
			for w := range 8 {
				list = append(list, Endpoint{Worker: WorkerID(w), ID: string(rune('a' + w)), Zone: ZoneID(w % 2)})
			}
			balancer.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
			balancer.RequestArrived(0, Arrival{Operation: 0, Timeout: 30 * Second, SizeHint: 100})
			balancer.RunDueRules()
			f := balancer.requests.byID[0].attempts
			assert.Equal(t, ZoneID(0), balancer.workers[f[0].worker].zone, "near at first")
			balancer.AttemptEnded(0, 0, Overloaded, NoAnswer)
			balancer.RunDueRules()
			second += int(balancer.workers[balancer.requests.byID[0].attempts[1].worker].zone)
		}
		return second
	}
	assert.Zero(t, far(true), "peers tell of those that are near")
	assert.InDelta(t, 10, far(false), 8)
}
