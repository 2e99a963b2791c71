package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRingIsTheSameAtEveryDispatcher(t *testing.T) {
	a, _ := newWarmBalancer(9, 1)
	other, _ := newWarmBalancer(9, 2)
	var list []Endpoint
	for w := 8; w >= 0; w-- {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w)})
	}
	other.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
	assert.Equal(t, a.subsetting.ring, other.subsetting.ring)
	assert.NotEqual(t, a.subsetting.subsets[wholeRing].roundRobin, other.subsetting.subsets[wholeRing].roundRobin, "each rotation starts at a place of its own")
}

func TestSubsetPeersAreThoseWithTheWorkerInTheirSubset(t *testing.T) {
	for _, size := range [][3]int{{9, 200, 21}, {85, 200, 21}, {300, 1000, 7}, {5, 3, 3}, {1, 40, 4}} {
		told, keep := map[WorkerID][]int{}, []peerRange(nil)
		for p := range size[1] {
			balancer, _ := newWarmBalancer(size[0], 1)
			balancer.config.position, balancer.config.dispatchers, balancer.config.dispatchersPerWorker = p, size[1], size[2]
			balancer.updateSubsets()
			for _, w := range balancer.subsetting.subsets[bothIntervals].workers {
				told[w] = append(told[w], p)
			}
			keep = nil
			for _, w := range balancer.workers {
				keep = append(keep, w.gossip.peers)
			}
		}
		for w := range WorkerID(size[0]) {
			var peers []int
			for p := keep[w].from; p < keep[w].to; p++ {
				peers = append(peers, p%size[1])
			}
			assert.ElementsMatch(t, told[w], peers, "worker %d of %v", w, size)
		}
	}
}
