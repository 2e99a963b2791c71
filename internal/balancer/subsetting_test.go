package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRingIsTheSameAtEveryDispatcher(t *testing.T) {
	const workers = 9
	first, _ := newWarmBalancer(workers, 1)
	second, _ := newWarmBalancer(workers, 2)
	var reversed []Endpoint
	for id := WorkerID(workers - 1); id >= 0; id-- {
		reversed = append(reversed, Endpoint{Worker: id, ID: fmt.Sprintf("w%d", id)})
	}
	second.UpdateEndpoints(reversed, AllEndpoints, FromDiscovery)
	assert.Equal(t, first.subsetting.ring, second.subsetting.ring)
	firstRotation := first.subsetting.subsets[wholeRing].roundRobin
	secondRotation := second.subsetting.subsets[wholeRing].roundRobin
	assert.NotEqual(t, firstRotation, secondRotation, "each dispatcher begins its rotation at another position")
}

func TestSubsetPeersHaveWorkerInTheirSubset(t *testing.T) {
	for _, c := range []struct{ workers, dispatchers, dispatchersPerWorker int }{
		{workers: 9, dispatchers: 200, dispatchersPerWorker: 21},
		{workers: 85, dispatchers: 200, dispatchersPerWorker: 21},
		{workers: 300, dispatchers: 1000, dispatchersPerWorker: 7},
		{workers: 5, dispatchers: 3, dispatchersPerWorker: 3},
		{workers: 1, dispatchers: 40, dispatchersPerWorker: 4},
	} {
		usedBy := map[WorkerID][]int{} // dispatchers that have the worker in their subset
		var peersOf []dispatcherRange  // by WorkerID, as computed by the last dispatcher
		for position := range c.dispatchers {
			balancer, _ := newWarmBalancer(c.workers, 1)
			balancer.config.position = position
			balancer.config.dispatchers = c.dispatchers
			balancer.config.dispatchersPerWorker = c.dispatchersPerWorker
			balancer.updateSubsets()
			for _, id := range balancer.subsetting.subsets[allIntervals].workers {
				usedBy[id] = append(usedBy[id], position)
			}
			peersOf = nil
			for _, worker := range balancer.workers {
				peersOf = append(peersOf, worker.gossip.subsetDispatchers)
			}
		}
		for id := range WorkerID(c.workers) {
			var subsetDispatchers []int
			for number := peersOf[id].from; number < peersOf[id].to; number++ {
				subsetDispatchers = append(subsetDispatchers, number%c.dispatchers)
			}
			assert.ElementsMatch(t, usedBy[id], subsetDispatchers, "worker %d of %+v", id, c)
		}
	}
}

// Regression test for limits on the number of dispatchers or workers. With 1,024 of each, with and without gossip, every
// worker is listed, in some dispatcher's subset, and used.
func TestAllWorkersOfALargeFleetAreUsed(t *testing.T) {
	const size = 1024 // number of workers, and of dispatchers
	var endpoints []Endpoint
	for id := range WorkerID(size) {
		endpoints = append(endpoints, Endpoint{
			Worker: id,
			ID:     fmt.Sprintf("w%d", id),
			Zone:   ZoneID(id % 64),
			Cell:   CellID(id / 4),
		})
	}
	for _, gossip := range []bool{true, false} {
		subsetsWith := make([]int, size) // by WorkerID
		var last *Balancer
		for position := range size {
			config := testConfig
			config.Dispatchers = size
			config.Position = position
			config.Gossip.Enabled = gossip
			config.Gossip.MessageCost = 0.001
			last, _ = newTestBalancer(config, uint64(position), endpoints)
			assert.Len(t, last.subsetting.ring, size)
			for _, id := range last.subsetting.subsets[allIntervals].workers {
				subsetsWith[id]++
			}
		}
		for id := range RequestID(2 * size) {
			last.RequestArrived(id, Arrival{Timeout: 20 * Second, SizeHint: 100})
		}
		last.RunDueRules()
		last.SetTime(last.now.Add(last.config.timingMargin))
		last.RunDueRules()
		assert.Equal(t, size, usedWorkers(last), "each worker accepts one unstarted attempt")
		peers := 0
		for peer := range last.subsetPeers(last.subsetting.subsets[allIntervals].workers[0]) {
			assert.Less(t, int(peer), size)
			peers++
		}
		for id, subsets := range subsetsWith {
			assert.Positive(t, subsets, "worker %d is in no subset", id)
		}
		assert.Positive(t, peers)
	}
}

// usedWorkers returns the number of workers with an attempt in flight.
func usedWorkers(balancer *Balancer) (used int) {
	for _, worker := range balancer.workers {
		if worker.inFlight > 0 {
			used++
		}
	}
	return used
}
