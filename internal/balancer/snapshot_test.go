package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for a successor that begins with nothing: eight slots believed, and every failure to be found
// out again.
func TestSnapshotIsRestored(t *testing.T) {
	config := namedConfig()
	config.ReportFree, config.Gossip = -1, true
	old, now := newTestPicker(config, 4)
	old.update(func(balancer *Balancer) {
		balancer.slots.kinds[0].Votes, balancer.slots.kinds[0].MaxObserved = []int{0, 2, 2, 5, -9, -9}, 3
		balancer.setSlotEstimate(0, 3)
		balancer.workers[2].health.ConsecutiveFailures, balancer.workers[2].health.ProbeAfter, balancer.zones[1].health.EjectedUntil, balancer.zones[1].health.Failures = 2, balancer.now+Second, balancer.now+Second, 4
		for n := range 60 {
			balancer.observeSize(Work(100 + n))
		}
		balancer.ReceiveLoad(1, WorkerLoad{3, 2})
		balancer.quotaWeight(0)
		balancer.operations.byID[1].requestedWork, balancer.operations.byID[1].longestTimeout = 700, 9*Second
	})
	next, at := newTestPicker(config, 4)
	*at = *now
	next.Restore(passed(t, old.Snapshot()))
	balancer, was := next.balancer, old.balancer
	for _, pair := range [][2]any{
		{was.slots, balancer.slots},
		{failures(was), failures(balancer)},
		{was.zones, balancer.zones},
		{was.sizes.Sample(), balancer.sizes.Sample()},
		{was.tenants.Usage(), balancer.tenants.Usage()},
		{was.operations.byID, balancer.operations.byID},
		{peersInFlight(was), peersInFlight(balancer)},
	} {
		assert.Equal(t, fmt.Sprint(pair[0]), fmt.Sprint(pair[1]))
	}
	_, avoided := next.WorkerCounts()
	assert.Equal(t, 3, avoided, "one that failed, and two in a zone that is taken for lost")
}

// failures are the failures in a row at each worker, and when it is tried again.
func failures(balancer *Balancer) (all [][2]int) {
	for _, w := range balancer.workers {
		all = append(all, [2]int{w.health.ConsecutiveFailures, int(w.health.ProbeAfter)})
	}
	return all
}

func peersInFlight(balancer *Balancer) (all []int) {
	for _, w := range balancer.workers {
		all = append(all, w.gossip.peerInFlight)
	}
	return all
}
