package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/sizeinterval"
)

// setCutPoint replaces the sample with just enough sizes for a cut point, which is the given size.
func setCutPoint(t *testing.T, balancer *Balancer, size Work) {
	t.Helper()
	setSizes(balancer, slices.Repeat([]Work{size}, sizeinterval.MinSample)...)
	assert.Equal(t, []Work{size}, balancer.sizes.CutPoints())
}

func TestPickWorkerRotatesThroughIntervalSubset(t *testing.T) {
	const (
		smallInterval = 0
		largeInterval = 1
		blockSize     = 3 // workers per interval
	)
	balancer, _ := newWarmBalancer(2*blockSize, 1)
	setCutPoint(t, balancer, 100)
	smallPicks := map[WorkerID]int{}
	largePicks := map[WorkerID]int{}
	for range 2 * blockSize {
		picked, ok := balancer.pickWorker(newUnattemptedRequest(smallInterval))
		assert.True(t, ok)
		smallPicks[picked]++
		picked, _ = balancer.pickWorker(newUnattemptedRequest(largeInterval))
		largePicks[picked]++
	}
	for position, id := range balancer.subsetting.ring {
		interval := position / blockSize
		assert.Equal(t, []int{2, 0}[interval], smallPicks[id])
		assert.Equal(t, []int{0, 2}[interval], largePicks[id])
	}
}

func TestPickWorkerUsesOtherIntervalsWhenOwnIsFull(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	setCutPoint(t, balancer, 100)
	ownBlock, otherBlock := balancer.subsetting.ring[:2], balancer.subsetting.ring[2:]
	for _, id := range ownBlock {
		balancer.workers[id].unstarted = 1
	}
	picked, ok := balancer.pickWorker(newUnattemptedRequest(0))
	assert.True(t, ok)
	assert.Contains(t, otherBlock, picked)
}

func TestPickWorkerSkipsWorkersAboveTwiceMeanLoad(t *testing.T) {
	balancer, _ := newWarmBalancer(4, 1)
	busy := balancer.subsetting.ring[2]
	balancer.addInFlight(busy, 3)
	for range 8 {
		picked, ok := balancer.pickWorker(newUnattemptedRequest(0))
		assert.True(t, ok)
		assert.NotEqual(t, busy, picked)
	}
}

func TestDrainingAndGoneWorkersAreNotAvailable(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", State: Draining}}, ChangedEndpoints, FromDiscovery)
	assert.False(t, balancer.isAvailable(0))
	assert.True(t, balancer.isAvailable(1))
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0"}}, AllEndpoints, FromDiscovery)
	assert.True(t, balancer.isAvailable(0), "a draining worker that is listed as healthy again is available")
	assert.False(t, balancer.isAvailable(1), "a worker that is absent from a list of all endpoints is gone")
}

// At two fifths of its capacity a worker runs longer by 1.5 times the size, and this excess may not exceed the
// objective of 1 s.
func TestPickWorkerSkipsWarmingWorkerThatWouldMissObjective(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	balancer.workers[0].warmup.startedAt = balancer.now - 5*Second
	setSlots(balancer, 9)
	balancer.config.dispatchers = 1
	setSizes(balancer, Second) // requests have hints
	newRequest := func(size Work) *request {
		req := newUnattemptedRequest(allIntervals)
		req.size = size
		return req
	}
	for size, sent := range map[Work]bool{Second / 2: true, Second: false} {
		_, ok := balancer.pickWorker(newRequest(size))
		assert.Equal(t, sent, ok, "size %d", size)
	}
	late := newRequest(Second)
	late.late = true
	_, ok := balancer.pickWorker(late)
	assert.True(t, ok, "the answer will be late on any worker, and may still have value")
	setSizes(balancer, 0)
	_, ok = balancer.pickWorker(newRequest(Second))
	assert.True(t, ok, "without hints the run time is unknown")
}

func TestPickWorkerReservesSlotsForRequestsWithinQuota(t *testing.T) {
	balancer, _ := newWarmBalancer(1, 1)
	setSlots(balancer, 3)
	balancer.config.gossip = true
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 2})
	beyondQuota := newUnattemptedRequest(allIntervals)
	beyondQuota.quotaWeight = 0.2
	_, ok := balancer.pickWorker(beyondQuota)
	assert.False(t, ok)
	_, ok = balancer.pickWorker(newUnattemptedRequest(allIntervals))
	assert.True(t, ok)
}

func TestPickWorkerUsesWholeRingUntilRejection(t *testing.T) {
	const sent = sizeinterval.Count + 2
	balancer, effects := newWarmBalancer(9, 1)
	balancer.config.gossip = true
	balancer.config.dispatchers = 9
	balancer.config.dispatchersPerWorker = 1
	balancer.config.hedging = false
	balancer.updateSubsets()
	assert.Len(t, balancer.subsetting.subsets[allIntervals].workers, sizeinterval.Count)
	for id := range RequestID(sent) {
		submitRequest(balancer, id, Arrival{Operation: nonIdempotentOp, Timeout: 10 * Second, SizeHint: Second})
	}
	assert.Len(t, effects.lines, sent)
	endFirstAttempt(balancer, sizeinterval.Count, Overloaded)
	assert.Len(t, effects.lines, sent, "pending: other workers with unreported load may be full as well")
	balancer.now += Second + 1
	balancer.due.capacityChanged = true
	balancer.RunDueRules()
	assert.Greater(t, len(effects.lines), sent)
}

// Regression test for requests that used up their attempts in a full zone while another zone had free slots. Without
// gossip, each request has to find out on its own that the zone is full.
func TestRetryMayLeaveFullZoneWithoutGossip(t *testing.T) {
	const (
		seeds             = 20
		nearZone   ZoneID = 0
		farZone    ZoneID = 1
		gossipCost        = 0.0001
	)
	countCrossZoneRetries := func(gossip bool) (retries int) {
		for seed := range uint64(seeds) {
			config := testConfig
			config.Objective.CrossZoneCost = 0.05
			config.Gossip.Enabled = gossip
			config.Gossip.MessageCost = gossipCost
			var endpoints []Endpoint
			for id := range WorkerID(8) {
				endpoints = append(endpoints, Endpoint{Worker: id, ID: string(rune('a' + id)), Zone: ZoneID(id % 2)})
			}
			balancer, _ := newTestBalancer(config, seed, endpoints)
			submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 30 * Second, SizeHint: 100})
			first := workerOfAttempt(balancer, 0, 0)
			assert.Equal(t, nearZone, balancer.workers[first].zone, "the first attempt stays in the zone")
			endFirstAttempt(balancer, 0, Overloaded)
			second := workerOfAttempt(balancer, 0, 1)
			if balancer.workers[second].zone == farZone {
				retries++
			}
		}
		return retries
	}
	assert.Zero(t, countCrossZoneRetries(true), "peers report the load of the workers of the zone")
	assert.InDelta(t, seeds/2, countCrossZoneRetries(false), 8)
}
