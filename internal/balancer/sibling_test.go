package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against two processes that each take a worker for free, and tell peers of their own part.
func TestWhatTheTwinHasOutCountsAsOurs(t *testing.T) {
	f, _ := facadeOf(namedTerms(), 2)
	c := pick(t, f.Submit(Arrival{Timeout: 3 * Second}))
	f.UpdateSibling(Predecessor, []Load{{c.Worker, 3}, {1 - c.Worker, 2}, {99, 1}})
	assert.Equal(t, []int{4, 2}, []int{f.balancer.load(c.Worker), f.balancer.load(1 - c.Worker)})
	assert.Equal(t, []Load{{c.Worker, 1}}, f.InFlightFor(Predecessor), "it is not told what it told")
	assert.Len(t, f.InFlightFor(Successor), 2, "one after us is told all")
	f.UpdateSibling(Predecessor, []Load{{c.Worker, 1}})
	assert.Equal(t, []int{2, 0}, []int{f.balancer.load(c.Worker), f.balancer.load(1 - c.Worker)})
	f.UpdateSibling(Predecessor, nil)
	assert.Equal(t, 1, f.balancer.load(c.Worker))
	f.update(func(d *Balancer) { d.addRecentSends([]RecentSend{{1, 500}, {99, 1}}) })
	assert.Empty(t, f.balancer.recentSendsSince(0), "what it sent is not ours to tell")
	assert.Equal(t, Work(500), f.balancer.workers[1].sends[len(f.balancer.workers[1].sends)-1].work)
}
