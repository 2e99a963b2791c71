package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for two processes of a dispatcher that both considered a worker free, and sent peers only their own
// loads.
func TestLoadOfSiblingCountsAsOwn(t *testing.T) {
	const unknown WorkerID = 99
	picker, _ := newTestPicker(namedConfig(), 2)
	used := pick(t, picker.Submit(Arrival{Timeout: 3 * Second})).Worker
	other := 1 - used
	picker.UpdateSibling(Predecessor, []WorkerLoad{
		{Worker: used, InFlight: 3},
		{Worker: other, InFlight: 2},
		{Worker: unknown, InFlight: 1},
	})
	assert.Equal(t, []int{4, 2}, []int{picker.balancer.load(used), picker.balancer.load(other)})
	ownLoad := []WorkerLoad{{Worker: used, InFlight: 1}}
	assert.Equal(t, ownLoad, picker.LoadsForSibling(Predecessor), "without the predecessor's load")
	assert.Len(t, picker.LoadsForSibling(Successor), 2, "a successor gets both loads")
	picker.UpdateSibling(Predecessor, []WorkerLoad{{Worker: used, InFlight: 1}})
	assert.Equal(t, []int{2, 0}, []int{picker.balancer.load(used), picker.balancer.load(other)})
	picker.UpdateSibling(Predecessor, nil)
	assert.Equal(t, 1, picker.balancer.load(used))
	picker.update(func(balancer *Balancer) { balancer.addRecentSends([]RecentSend{{1, 500}, {unknown, 1}}) })
	assert.Empty(t, picker.balancer.recentSendsSince(0), "the predecessor reports its own sends itself")
	sends := picker.balancer.workers[1].warmup.sends
	assert.Equal(t, Work(500), sends[len(sends)-1].work)
}
