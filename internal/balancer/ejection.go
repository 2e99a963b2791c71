package balancer

import "slices"

// recordFailure counts an attempt that failed by its worker, and ejects the worker where another attempt would probably
// fail. See package outlier for when that is.
func (b *Balancer) recordFailure(failed *attempt, outcome Outcome) {
	w := &b.workers[failed.worker]
	if outcome == ConnectionRefused {
		b.recordProcessExit(failed.worker)
	}
	if outcome != WorkerError { // a worker that answers shows that its zone can be reached
		b.recordZoneFailure(failed.worker)
	}
	if w.health.RecordFailure(b.now, outcome.failureKind()) {
		b.effects.Log(WorkerEjected{Worker: failed.worker, ConsecutiveFailures: w.health.ConsecutiveFailures})
	}
}

// recordZoneFailure counts an attempt that was cut off or found nobody for its worker's zone, and ejects a zone that
// seems lost unless no other is left.
func (b *Balancer) recordZoneFailure(id WorkerID) {
	failed := b.workers[id].zone
	z := &b.zones[failed]
	if z.health.RecordFailure(b.now, func() bool { return b.hasOtherZone(failed) }) {
		b.effects.Log(ZoneEjected{Zone: failed, ConsecutiveFailures: z.health.Failures})
	}
}

// hasOtherZone reports whether there is a healthy worker in a zone that is not ejected, beside one zone.
func (b *Balancer) hasOtherZone(than ZoneID) bool {
	return slices.ContainsFunc(b.subsetting.ring, func(id WorkerID) bool {
		w := &b.workers[id]
		return w.zone != than && w.state == Healthy && !b.zones[w.zone].health.Ejected(b.now)
	})
}

// recordZoneSuccess ends the ejection of a worker's zone.
func (b *Balancer) recordZoneSuccess(id WorkerID) { b.zoneOf(id).health.RecordSuccess() }
