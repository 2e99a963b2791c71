package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against bounds on the number of dispatchers or workers: with 1,024 of each every worker is listed, in some
// dispatcher's part, and used, with messages and without.
func TestManyDispatchersAndWorkersAreAllTaken(t *testing.T) {
	const many = 1024
	var list []Endpoint
	for w := range many {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 64), Cell: CellID(w / 4)})
	}
	for _, peers := range []bool{true, false} {
		kept, told := make([]int, many), 0
		for position := range many {
			terms := testConfig
			terms.Dispatchers, terms.Position, terms.Gossip, terms.GossipCost = many, position, peers, 0.001
			b := &recorder{}
			d := New(terms, uint64(position), b)
			d.SetTime(100 * Second)
			d.UpdateEndpoints(list, true, true)
			assert.Len(t, d.subsetting.ring, many)
			for _, w := range d.subsetting.subsets[bothIntervals].workers {
				kept[w]++
			}
			if position == many-1 {
				for inv := range RequestID(2 * many) {
					d.RequestArrived(inv, Arrival{Timeout: 20 * Second, SizeHint: 100})
				}
				d.RunDueRules()
				d.SetTime(d.now + d.config.margin)
				d.RunDueRules()
				used := 0
				for _, w := range d.workers {
					used += min(w.inFlight, 1)
				}
				assert.Equal(t, many, used, "each has room for one that has not begun")
				for peer := range d.subsetPeers(d.subsetting.subsets[bothIntervals].workers[0]) {
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
