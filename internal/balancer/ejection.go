package balancer

import "slices"

// recordFailure records an attempt whose failure was caused by its worker, and ejects the worker if another attempt
// would probably fail too. See package outlier for the conditions.
func (b *Balancer) recordFailure(failed *attempt, outcome Outcome) {
	w := &b.workers[failed.worker]
	if outcome == ConnectionRefused {
		b.recordProcessExit(failed.worker)
	}
	if outcome != WorkerError { // a response from the worker proves that its zone is reachable
		b.recordZoneFailure(failed.worker)
	}
	if w.health.RecordFailure(b.now, outcome.failureClass()) {
		b.effects.Log(WorkerEjected{Worker: failed.worker, ConsecutiveFailures: w.health.ConsecutiveFailures})
	}
}

// recordZoneFailure records an attempt that lost its connection, or got none, as a failure of the worker's zone. It
// ejects the zone if the zone seems unreachable and another zone is available.
func (b *Balancer) recordZoneFailure(id WorkerID) {
	failed := b.workers[id].zone
	z := &b.zones[failed]
	if z.health.RecordFailure(b.now, func() bool { return b.hasOtherZone(failed) }) {
		b.effects.Log(ZoneEjected{Zone: failed, ConsecutiveFailures: z.health.Failures})
	}
}

// hasOtherZone reports whether a zone other than the given one has a healthy worker and is not ejected.
func (b *Balancer) hasOtherZone(excluded ZoneID) bool {
	return slices.ContainsFunc(b.subsetting.ring, func(id WorkerID) bool {
		w := &b.workers[id]
		return w.zone != excluded && w.state == Healthy && !b.zones[w.zone].health.Ejected(b.now)
	})
}

// recordZoneSuccess ends the ejection of a worker's zone and resets its failure count.
func (b *Balancer) recordZoneSuccess(id WorkerID) { b.zoneOf(id).health.RecordSuccess() }
