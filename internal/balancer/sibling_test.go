package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for two processes that each take a worker for free, and tell peers of their own part.
func TestLoadOfTheSiblingCountsAsOurs(t *testing.T) {
	picker, _ := newTestPicker(namedConfig(), 2)
	c := pick(t, picker.Submit(Arrival{Timeout: 3 * Second}))
	picker.UpdateSibling(Predecessor, []WorkerLoad{{c.Worker, 3}, {1 - c.Worker, 2}, {99, 1}})
	assert.Equal(t, []int{4, 2}, []int{picker.balancer.load(c.Worker), picker.balancer.load(1 - c.Worker)})
	assert.Equal(t, []WorkerLoad{{c.Worker, 1}}, picker.InFlightFor(Predecessor), "it is not told what it told")
	assert.Len(t, picker.InFlightFor(Successor), 2, "one after us is told all")
	picker.UpdateSibling(Predecessor, []WorkerLoad{{c.Worker, 1}})
	assert.Equal(t, []int{2, 0}, []int{picker.balancer.load(c.Worker), picker.balancer.load(1 - c.Worker)})
	picker.UpdateSibling(Predecessor, nil)
	assert.Equal(t, 1, picker.balancer.load(c.Worker))
	picker.update(func(balancer *Balancer) { balancer.addRecentSends([]RecentSend{{1, 500}, {99, 1}}) })
	assert.Empty(t, picker.balancer.recentSendsSince(0), "what it sent is not ours to tell")
	assert.Equal(t, Work(500), picker.balancer.workers[1].warmup.sends[len(picker.balancer.workers[1].warmup.sends)-1].work)
}
