package balancer

// exclusion is the reason why an attempt of a request may not be sent to a worker now.
type exclusion uint8

// The reasons, grouped by cause. exclusionOf defines the order in which they are checked.
const (
	eligible exclusion = iota

	// The worker is not suitable for the request.
	otherZone               // the search is limited to this dispatcher's zone
	zoneEjected             // attempts got no connection to the workers of its zone, or lost it
	wrongKind               // the operation requires another kind of worker
	notWarmingUp            // the search is limited to workers that are warming up
	awaitingIdempotentProbe // it failed, and must be probed by a request that may run again
	tooSlowWhileWarmingUp   // the request could meet its objective, but not on this worker while it is warming up

	// The worker accepts no attempt of any request, or none of a tenant beyond its quota.
	notHealthy           // the endpoint list shows it as draining or gone
	unstartedAttempt     // an earlier attempt has not started: the worker is full despite its estimated slots
	probeInFlight        // it failed, and an attempt that probes it is in flight
	noFreeSlot           // as many attempts are in flight as it has slots
	backingOff           // it is ejected, was overloaded, or its notBefore time has not been reached
	reservedForQuota     // its remaining slots are reserved for requests within their tenant's quota
	aboveMeanLoad        // it has too many more attempts in flight than the mean of the subset (STAR)
	loadUnknown          // it is warming up, and its load from other dispatchers is unknown
	warmupBudgetExceeded // it is warming up, and the budget of all dispatchers is used up
	noWarmupCredit       // it is warming up, and this dispatcher has no credit for an attempt

	// The request may have no further attempt, or none at this worker.
	requestClosed   // it has been answered or exported, or its client has disconnected
	deadlinePassed  // its deadline has passed
	attemptLimit    // it has reached its maximum number of attempts
	hedgingDisabled // an attempt is in flight, and the platform allows only one at a time
	alreadyOnWorker // an attempt of the request is in flight at the worker
	unsafeRepeat    // an earlier attempt may have run, and the worker would not deduplicate the repeat
)

// workerFilter restricts a search to some workers.
type workerFilter struct {
	sameZone       bool // only workers of this dispatcher's zone
	onlyWithCredit bool // only workers that are warming up and for which this dispatcher has credit
}

// exclusionOf returns why an attempt of a request may not be sent to a worker of a subset now, or eligible. If there
// are several reasons, it returns the first one. From slowStartExclusion on the order matters, because that check
// accrues credit when it is called.
//
// The callers skip workers outside the subset, and those that scanMaybeFree has found to be persistently unavailable.
// While attempts based on the endpoint list are forbidden (EndpointsStale), dispatchDueAt prevents any search for
// pending requests.
func (b *Balancer) exclusionOf(req *request, id WorkerID, candidates *subset, filter workerFilter) exclusion {
	if reason := b.suitabilityExclusion(req, id, filter); reason != eligible {
		return reason
	}
	if reason := b.availabilityExclusion(id); reason != eligible {
		return reason
	}
	if float64(b.load(id)) >= usableSlots(req.quotaWeight, b.estimatedSlots(id)) {
		return reservedForQuota
	}
	if b.exceedsMeanLoad(candidates, id) {
		return aboveMeanLoad
	}
	if reason := b.slowStartExclusion(id, req.size); reason != eligible {
		return reason
	}
	if reason := b.attemptExclusion(req, id); reason != eligible {
		return reason
	}
	if filter.onlyWithCredit && b.workers[id].warmup.credit.attempts < 1 {
		return noWarmupCredit
	}
	return eligible
}

// suitabilityExclusion returns why a worker is not suitable for a request, regardless of its load, or eligible.
func (b *Balancer) suitabilityExclusion(req *request, id WorkerID, filter workerFilter) exclusion {
	w := &b.workers[id]
	op := &b.operations.byID[req.operation]
	switch {
	case filter.sameZone && w.zone != b.config.zone:
		return otherZone
	case b.zones[w.zone].health.Ejected(b.now):
		return zoneEjected
	case op.kind != AnyKind && op.kind != w.kind:
		return wrongKind
	case filter.onlyWithCredit && b.warmupFactor(id) >= 1:
		return notWarmingUp
	case op.idempotency == NonIdempotent && !w.health.AcceptsNonIdempotent(b.now):
		return awaitingIdempotentProbe
	case b.missesObjectiveDueToWarmup(req, op, id):
		return tooSlowWhileWarmingUp
	}
	return eligible
}

// missesObjectiveDueToWarmup reports whether a request that could meet its objective would miss it on a worker only
// because that worker is warming up. Without size hints it reports false.
func (b *Balancer) missesObjectiveDueToWarmup(req *request, op *operation, id WorkerID) bool {
	if req.late || b.sizes.Median() == 0 {
		return false
	}
	extraShare := 1/b.warmupFactor(id) - 1 - op.slack // run time beyond Stretch times the size, as a share of the size
	inTime := float64(req.size)*extraShare <= float64(op.latencyObjective)
	return !inTime
}

// usableSlots returns how many slots of a worker a request may use, depending on its quota weight: all of them within
// its tenant's quota, and down to half of them beyond it.
func usableSlots(quotaWeight, slots float64) float64 { return (1 + quotaWeight) / 2 * slots }

// isAvailable reports whether a worker accepts an attempt now.
func (b *Balancer) isAvailable(id WorkerID) bool { return b.availabilityExclusion(id) == eligible }

// availabilityExclusion returns why a worker accepts no attempt now, or eligible.
func (b *Balancer) availabilityExclusion(id WorkerID) exclusion {
	if reason := b.persistentExclusion(id); reason != eligible {
		return reason
	}
	w := &b.workers[id]
	if b.now < max(w.health.ProbeAfter, w.notBefore) {
		return backingOff
	}
	return eligible
}

// persistentExclusion returns why a worker accepts no attempt until its state changes, however much time passes, or
// eligible.
func (b *Balancer) persistentExclusion(id WorkerID) exclusion {
	w := &b.workers[id]
	switch {
	case w.state != Healthy:
		return notHealthy
	case w.unstarted > 0:
		return unstartedAttempt
	case w.health.Suspect() && w.inFlight > 0:
		return probeInFlight
	case float64(b.load(id)) >= b.roundedSlots(id):
		return noFreeSlot
	}
	return eligible
}
