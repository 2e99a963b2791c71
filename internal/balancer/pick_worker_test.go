package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRotationTakesTurnsWithinTheBlock(t *testing.T) {
	d, _ := newWarmBalancer(6, 1)
	d.sizes.cutPoints = []Work{100}
	small, large := map[WorkerID]int{}, map[WorkerID]int{}
	for range 6 {
		w, ok := d.pickWorker(&request{attemptLimit: 4, interval: 0, quotaWeight: 1, deadline: 200 * Second})
		assert.True(t, ok)
		small[w]++
		w, _ = d.pickWorker(&request{attemptLimit: 4, interval: 1, quotaWeight: 1, deadline: 200 * Second})
		large[w]++
	}
	for n, w := range d.subsetting.ring {
		assert.Equal(t, []int{2, 0}[n/3], small[w])
		assert.Equal(t, []int{0, 2}[n/3], large[w])
	}
}

func TestFullBlockBorrows(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	d.sizes.cutPoints = []Work{100}
	d.workers[d.subsetting.ring[0]].unstarted, d.workers[d.subsetting.ring[1]].unstarted = 1, 1
	w, ok := d.pickWorker(&request{attemptLimit: 4, interval: 0, quotaWeight: 1, deadline: 200 * Second})
	assert.True(t, ok)
	assert.Contains(t, d.subsetting.ring[2:], w)
}

func TestOverTwiceTheMeanIsPassedOver(t *testing.T) {
	d, _ := newWarmBalancer(4, 1)
	busy := d.subsetting.ring[2]
	d.addInFlight(busy, 3)
	for range 8 {
		w, ok := d.pickWorker(&request{attemptLimit: 4, quotaWeight: 1, deadline: 200 * Second})
		assert.True(t, ok)
		assert.NotEqual(t, busy, w)
	}
}

func TestDrainingAndGoneWorkersGetNothing(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", State: Draining}}, false, true)
	assert.False(t, d.isAvailable(0))
	assert.True(t, d.isAvailable(1))
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, true, true)
	assert.True(t, d.isAvailable(0), "a worker may come back")
	assert.False(t, d.isAvailable(1), "absent from a complete list")
}

func TestColdWorkerGetsNothingThatItsSlownessMakesLate(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.workers[0].startedAt, d.slots.kinds[0].maxObserved, d.slots.kinds[0].estimate = d.now-5*Second, 9, 9 // at two fifths of its capacity
	d.config.dispatchers, d.sizes.median = 1, Second                                                       // hints come
	for size, taken := range map[Work]bool{Second / 2: true, Second: false} {
		_, ok := d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: size, deadline: 200 * Second})
		assert.Equal(t, taken, ok, "1.5 times the size over the objective of a second: %d", size)
	}
	late := &request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: Second, deadline: 200 * Second, late: true}
	_, ok := d.pickWorker(late)
	assert.True(t, ok, "what is late in any case may still earn something")
	d.sizes.median = 0
	_, ok = d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, quotaWeight: 1, size: Second, deadline: 200 * Second})
	assert.True(t, ok, "no hint tells that it would be late")
}

func TestCustomersBeyondTheirShareLeaveRoom(t *testing.T) {
	d, _ := newWarmBalancer(1, 1)
	d.slots.kinds[0].estimate, d.slots.kinds[0].maxObserved = 3, 3
	d.config.gossip = true
	d.ReceiveLoad(1, Load{Worker: 0, InFlight: 2})
	_, ok := d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, deadline: 200 * Second, quotaWeight: 0.2})
	assert.False(t, ok)
	_, ok = d.pickWorker(&request{attemptLimit: 4, interval: bothIntervals, deadline: 200 * Second, quotaWeight: 1})
	assert.True(t, ok)
}

func TestFullPartsLeadElsewhereUntilOneIsFull(t *testing.T) {
	d, b := newWarmBalancer(9, 1)
	d.config.gossip, d.config.dispatchers, d.config.dispatchersPerWorker, d.config.hedging = true, 9, 1, false
	d.updateSubsets()
	assert.Len(t, d.subsetting.subsets[bothIntervals].workers, intervals)
	for inv := range RequestID(intervals + 2) {
		d.RequestArrived(inv, Arrival{Operation: 1, Timeout: 10 * Second, SizeHint: Second})
		d.RunDueRules()
	}
	assert.Len(t, b.lines, intervals+2)
	d.AttemptEnded(intervals, 0, Overloaded, false)
	d.RunDueRules()
	assert.Len(t, b.lines, intervals+2, "held: where nothing is told, others may be full as well")
	d.now += Second + 1
	d.due.capacityChanged = true
	d.RunDueRules()
	assert.Greater(t, len(b.lines), intervals+2)
}

// Guards against parts that many dispatchers have saved up, each for the moment in which its rotation comes round, and
// that all are sent once other workers are gone.
func TestColdWorkerGetsItsPartAsItFallsDue(t *testing.T) {
	terms := testConfig
	terms.Dispatchers, terms.Position, terms.ReportFree = 200, 7, -1
	d := New(terms, 1, &recorder{})
	d.SetTime(100 * Second)
	list := []Endpoint{{Worker: 0, ID: "w0", StartedAt: d.now - 5*Second}}
	for w := WorkerID(1); w < 20; w++ {
		list = append(list, Endpoint{Worker: w, ID: string(rune('a' + w))})
	}
	d.UpdateEndpoints(list, true, true)
	for turn := range 20 {
		d.RequestArrived(RequestID(turn), Arrival{Timeout: 20 * Second, SizeHint: 100})
		for p := range d.subsetting.subsets {
			d.subsetting.subsets[p].roundRobin = turn
		}
		d.withinWarmupBudget(0, 100)
		d.workers[0].credit = 0.5
		w, ok := d.pickWorker(&d.requests.byID[turn])
		assert.True(t, ok)
		assert.NotEqual(t, WorkerID(0), w, "not yet")
		d.workers[0].credit = 1
		w, _ = d.pickWorker(&d.requests.byID[turn])
		assert.Equal(t, WorkerID(0), w, "wherever the rotation stands")
	}
	d.warmup.firstTries += 1000
	assert.True(t, d.withinWarmupBudget(0, 100))
	d.recordProcessExit(0)
	d.workers[0].exitedAt = 0 // and a list has told of its start
	assert.False(t, d.withinWarmupBudget(0, 100), "its next process is shared anew: all would have saved up one for it")
}

// Guards against invocations that use up their forwards on a zone that is full, each finding it out for
// itself, while others have room.
func TestWhatFoundNobodyNearGoesAnywhereWhereNoPeersTell(t *testing.T) {
	far := func(peers bool) (second int) {
		for seed := range uint64(20) {
			terms := testConfig
			terms.CrossZoneCost, terms.Gossip, terms.GossipCost = 0.05, peers, 0.0001
			d := New(terms, seed, &recorder{})
			d.SetTime(100 * Second)
			var list []Endpoint
			for w := range 8 {
				list = append(list, Endpoint{Worker: WorkerID(w), ID: string(rune('a' + w)), Zone: ZoneID(w % 2)})
			}
			d.UpdateEndpoints(list, true, true)
			d.RequestArrived(0, Arrival{Operation: 0, Timeout: 30 * Second, SizeHint: 100})
			d.RunDueRules()
			f := d.requests.byID[0].attempts
			assert.Equal(t, ZoneID(0), d.workers[f[0].worker].zone, "near at first")
			d.AttemptEnded(0, 0, Overloaded, false)
			d.RunDueRules()
			second += int(d.workers[d.requests.byID[0].attempts[1].worker].zone)
		}
		return second
	}
	assert.Zero(t, far(true), "peers tell of those that are near")
	assert.InDelta(t, 10, far(false), 8)
}
