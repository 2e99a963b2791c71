package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a successor that begins with nothing: eight slots believed, and every failure to be found
// out again.
func TestWhatWasLearntIsInherited(t *testing.T) {
	terms := namedTerms()
	terms.ReportFree, terms.Gossip = -1, true
	old, now := facadeOf(terms, 4)
	old.update(func(d *Balancer) {
		d.slots.kinds[0].votes, d.slots.kinds[0].maxObserved = []int{0, 2, 2, 5, -9, -9}, 3
		d.setSlotEstimate(0, 3)
		d.workers[2].consecutiveFailures, d.workers[2].probeAfter, d.zones[1].ejectedUntil, d.zones[1].failures = 2, d.now+Second, d.now+Second, 4
		for n := range 60 {
			d.observeSize(Work(100 + n))
		}
		d.ReceiveLoad(1, Load{3, 2})
		d.quotaWeight(0)
		d.operations.byID[1].requestedWork, d.operations.byID[1].longestTimeout = 700, 9*Second
	})
	next, at := facadeOf(terms, 4)
	*at = *now
	next.Restore(passed(t, old.Snapshot()))
	d, was := next.balancer, old.balancer
	for _, pair := range [][2]any{
		{was.slots, d.slots},
		{failures(was), failures(d)},
		{was.zones, d.zones},
		{was.sizes.sample, d.sizes.sample},
		{was.quotas.tenants[0].usage, d.quotas.tenants[0].usage},
		{was.operations.byID, d.operations.byID},
		{peersInFlight(was), peersInFlight(d)},
	} {
		assert.Equal(t, fmt.Sprint(pair[0]), fmt.Sprint(pair[1]))
	}
	_, avoided := next.WorkerCounts()
	assert.Equal(t, 3, avoided, "one that failed, and two in a zone that is taken for lost")
}

// failures are the failures in a row at each worker, and when it is tried again.
func failures(d *Balancer) (all [][2]int) {
	for _, w := range d.workers {
		all = append(all, [2]int{w.consecutiveFailures, int(w.probeAfter)})
	}
	return all
}

func peersInFlight(d *Balancer) (all []int) {
	for _, w := range d.workers {
		all = append(all, w.peerInFlight)
	}
	return all
}
