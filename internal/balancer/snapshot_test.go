package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for a successor that started without learned state: it assumed eight slots per worker, and failing
// workers and zones had to fail again before they were ejected.
func TestSnapshotIsRestored(t *testing.T) {
	config := namedConfig()
	config.LoadReports.FreeSlots = NotReported
	config.Gossip.Enabled = true
	predecessor, predecessorNow := newTestPicker(config, 4)
	predecessor.update(setLearnedState)
	successor, successorNow := newTestPicker(config, 4)
	*successorNow = *predecessorNow
	successor.Restore(jsonRoundTrip(t, predecessor.Snapshot()))
	before := predecessor.balancer
	after := successor.balancer
	for name, pair := range map[string]struct{ before, after any }{
		"slots":          {before.slots, after.slots},
		"failures":       {workerFailureStates(before), workerFailureStates(after)},
		"zones":          {before.zones, after.zones},
		"sizes":          {before.sizes.Sample(), after.sizes.Sample()},
		"quotas":         {before.tenants.Usage(), after.tenants.Usage()},
		"operations":     {before.operations.byID, after.operations.byID},
		"loads of peers": {peersInFlight(before), peersInFlight(after)},
	} {
		assert.Equal(t, fmt.Sprint(pair.before), fmt.Sprint(pair.after), name)
	}
	_, ejected := successor.WorkerCounts()
	assert.Equal(t, 3, ejected, "one worker, and two in an ejected zone")
}

// setLearnedState sets each kind of learned state of a Balancer.
func setLearnedState(balancer *Balancer) {
	balancer.slots.kinds[0].Votes = []int{0, 2, 2, 5, -9, -9}
	balancer.slots.kinds[0].MaxObserved = 3
	balancer.setSlotEstimate(0, 3)
	balancer.workers[2].health.ConsecutiveFailures = 2
	balancer.workers[2].health.ProbeAfter = balancer.now + Second
	balancer.zones[1].health.EjectedUntil = balancer.now + Second
	balancer.zones[1].health.Failures = 4
	for n := range 60 {
		balancer.observeSize(Work(100 + n))
	}
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 3, InFlight: 2})
	balancer.recordQuotaUsage(0)
	balancer.operations.byID[nonIdempotentOp].requestedWork = 700
	balancer.operations.byID[nonIdempotentOp].longestTimeout = 9 * Second
}

// workerFailureState is the failure state of one worker.
type workerFailureState struct {
	consecutive int
	probeAfter  Time
}

func workerFailureStates(balancer *Balancer) (failures []workerFailureState) {
	for _, worker := range balancer.workers {
		failures = append(failures, workerFailureState{
			consecutive: worker.health.ConsecutiveFailures,
			probeAfter:  worker.health.ProbeAfter,
		})
	}
	return failures
}

// peersInFlight returns the numbers of attempts that peers have in flight, by WorkerID.
func peersInFlight(balancer *Balancer) (inFlight []int) {
	for _, worker := range balancer.workers {
		inFlight = append(inFlight, worker.gossip.peerInFlight)
	}
	return inFlight
}
