package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for bounds on the number of dispatchers or workers: with 1,024 of each every worker is listed, in some
// dispatcher's part, and used, with messages and without.
func TestAllWorkersOfALargeFleetAreUsed(t *testing.T) {
	const many = 1024
	var list []Endpoint
	for w := range many {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 64), Cell: CellID(w / 4)})
	}
	for _, peers := range []bool{true, false} {
		kept, told := make([]int, many), 0
		for position := range many {
			config := testConfig
			config.Dispatchers, config.Position, config.Gossip, config.GossipCost = many, position, peers, 0.001
			effects := &recorder{}
			balancer := New(config, uint64(position), effects)
			balancer.SetTime(100 * Second)
			balancer.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
			assert.Len(t, balancer.subsetting.ring, many)
			for _, w := range balancer.subsetting.subsets[bothIntervals].workers {
				kept[w]++
			}
			if position == many-1 {
				for id := range RequestID(2 * many) {
					balancer.RequestArrived(id, Arrival{Timeout: 20 * Second, SizeHint: 100})
				}
				balancer.RunDueRules()
				balancer.SetTime(balancer.now.Add(balancer.config.margin))
				balancer.RunDueRules()
				used := 0
				for _, w := range balancer.workers {
					used += min(w.inFlight, 1)
				}
				assert.Equal(t, many, used, "each has room for one that has not begun")
				for peer := range balancer.subsetPeers(balancer.subsetting.subsets[bothIntervals].workers[0]) {
					assert.Less(t, int(peer), many)
					told++
				}
			}
		}
		for w, n := range kept {
			assert.Positive(t, n, "worker %d is nobody's", w)
		}
		assert.Positive(t, told)
	}
}
