package balancer

import (
	"slices"
)

const (
	// zoneFailureThreshold is the number of consecutive attempts that broke or found nobody in a zone, with none
	// started, after which the zone is ejected.
	zoneFailureThreshold = 3

	firstEjection        = Duration(Second) // doubled with each further failure
	maxEjectionDoublings = 3
)

// recordFailure counts an attempt that failed by its worker, and ejects that where another attempt would probably fail.
func (b *Balancer) recordFailure(failed *attempt, outcome Outcome) {
	worker := &b.workers[failed.worker]
	if outcome == ConnectionRefused {
		b.recordProcessExit(failed.worker)
	}
	worker.possiblyExecuted = worker.possiblyExecuted || failed.mayHaveRun
	if outcome != WorkerError {
		b.recordZoneFailure(failed.worker)
	}
	if worker.consecutiveFailures > 0 && b.now < worker.probeAfter {
		return // the failure that ejected it also ended all else that was in flight there
	}
	worker.consecutiveFailures++
	if outcome.neverRan() || worker.consecutiveFailures > 1 { // a single attempt that broke is chance
		worker.probeAfter = b.now.Add(firstEjection << min(worker.consecutiveFailures-1, maxEjectionDoublings))
		b.effects.Log(WorkerEjected{Worker: failed.worker, ConsecutiveFailures: worker.consecutiveFailures})
	}
}

// recordZoneFailure counts an attempt that broke or found nobody for its worker's zone, and ejects a zone that seems lost
// unless no other is left. A lost zone stays listed for seconds, and a request has not attempts enough to find out
// worker by worker.
func (b *Balancer) recordZoneFailure(id WorkerID) {
	failed := b.workers[id].zone
	zone := &b.zones[failed]
	zone.failures++
	if zone.failures < zoneFailureThreshold || b.now < zone.ejectedUntil || !b.hasOtherZone(failed) {
		return
	}
	zone.ejectedUntil = b.now.Add(firstEjection << min(zone.failures-zoneFailureThreshold, maxEjectionDoublings))
	b.effects.Log(ZoneEjected{Zone: failed, ConsecutiveFailures: zone.failures})
}

// hasOtherZone tells whether there is a healthy worker in a zone that is not ejected, beside one zone.
func (b *Balancer) hasOtherZone(id ZoneID) bool {
	return slices.ContainsFunc(b.subsetting.ring, func(other WorkerID) bool {
		worker := &b.workers[other]
		return worker.zone != id && worker.state == Healthy && b.now >= b.zones[worker.zone].ejectedUntil
	})
}

// recordZoneSuccess ends the ejection of a worker's zone.
func (b *Balancer) recordZoneSuccess(id WorkerID) {
	zone := &b.zones[b.workers[id].zone]
	zone.failures = 0
	zone.ejectedUntil = 0
}

// hearsLoadOf tells whether peers tell this dispatcher what they have in flight at a worker.
func (b *Balancer) hearsLoadOf(id WorkerID) bool {
	return b.config.gossip && b.subsetting.inSubset(bothIntervals, id)
}

// backOff sends nothing to a worker for a while, nor to all that no peer tells of if it is one of them: these may be
// full as well.
func (b *Balancer) backOff(id WorkerID, span Duration) {
	b.workers[id].probeAfter = b.now.Add(span)
	if !b.hearsLoadOf(id) {
		b.gossip.unheardNotBefore = b.now.Add(span)
	}
}

// overloadBackoff is how long nothing is sent to a worker that refused an attempt as overloaded: until a slot comes free,
// after about a mean run. A worker that is warming up is left alone for as long as what it is sent counts: what it
// refuses counts too, is in no load that peers tell of, and each of them would try it again.
func (b *Balancer) overloadBackoff(id WorkerID, operation OperationID) Duration {
	if b.confirmedWarmup(id, b.sizes.median) == 1 {
		return b.operations.byID[operation].expectedRun()
	}
	return b.config.warmupWindow
}
