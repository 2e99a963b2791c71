package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBlocksAreAlikeAtEveryDispatcher(t *testing.T) {
	a, _ := newWarmBalancer(9, 1)
	b, _ := newWarmBalancer(9, 2)
	var list []Endpoint
	for w := 8; w >= 0; w-- {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w)})
	}
	b.UpdateEndpoints(list, true, true)
	assert.Equal(t, a.subsetting.ring, b.subsetting.ring)
	assert.NotEqual(t, a.subsetting.subsets[wholeRing].roundRobin, b.subsetting.subsets[wholeRing].roundRobin, "each rotation starts at a place of its own")
}

func TestThoseToldOfAWorkerAreThoseThatHaveItInTheirPart(t *testing.T) {
	for _, size := range [][3]int{{9, 200, 21}, {85, 200, 21}, {300, 1000, 7}, {5, 3, 3}, {1, 40, 4}} {
		told, keep := map[WorkerID][]int{}, [][2]int(nil)
		for p := range size[1] {
			d, _ := newWarmBalancer(size[0], 1)
			d.config.position, d.config.dispatchers, d.config.dispatchersPerWorker = p, size[1], size[2]
			d.updateSubsets()
			for _, w := range d.subsetting.subsets[bothIntervals].workers {
				told[w] = append(told[w], p)
			}
			keep = nil
			for _, w := range d.workers {
				keep = append(keep, w.subsetPeerRange)
			}
		}
		for w := range WorkerID(size[0]) {
			var peers []int
			for p := keep[w][0]; p < keep[w][1]; p++ {
				peers = append(peers, p%size[1])
			}
			assert.ElementsMatch(t, told[w], peers, "worker %d of %v", w, size)
		}
	}
}
