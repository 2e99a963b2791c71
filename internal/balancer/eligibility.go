package balancer

// exclusion is why a worker may not be sent an attempt of a request now.
type exclusion uint8

// The reasons, grouped by what causes them. exclusionOf has the order in which they are looked at.
const (
	eligible exclusion = iota

	// The worker does not suit the request.
	otherZone               // only workers of this dispatcher's zone are looked for
	zoneEjected             // attempts found nobody in its zone
	wrongKind               // the operation runs on workers of another kind
	notWarmingUp            // only workers that warm up are looked for
	awaitingIdempotentProbe // it failed, and a request that may run again has to try it first
	tooSlowWhileWarmingUp   // the request would be late there that would be in time at a warm worker

	// The worker takes no attempt of any request, or none of a tenant beyond its quota.
	notHealthy          // it is draining or gone
	unstartedAttempt    // it has not started an earlier attempt: it is full after all
	probeInFlight       // it failed, and one attempt that probes it is in flight
	noFreeSlot          // as many attempts are in flight as it has slots
	backingOff          // it is ejected, was overloaded, or it is another dispatcher's turn
	reservedWithinQuota // its last slots are for requests within their tenant's quota
	aboveMeanLoad       // it has more in flight than others of the subset (STAR)
	loadUnknown         // it warms up, and its load from other dispatchers is not known here
	beyondWarmupBudget  // it warms up, and all dispatchers together may send it no more
	noWarmupCredit      // it warms up, and this dispatcher has earned no attempt there

	// The request may have no more attempts, or none at this worker.
	requestClosed    // it has its answer
	deadlinePassed   // its client gives up
	attemptLimit     // it has had all its attempts
	hedgingForbidden // an attempt is in flight, and the platform allows no second one
	sameWorker       // an attempt is in flight there
	repeatNotSafe    // an earlier attempt may have run, and the worker would not drop the repeat
)

// pickLimits leave workers out of a search.
type pickLimits struct {
	sameZone       bool // all but those of this dispatcher's zone
	onlyWithCredit bool // all but those that warm up and have earned an attempt
}

// exclusionOf returns why a worker of a subset may not be sent an attempt of a request now, or eligible. Of several
// reasons it returns the first. The order matters from slow start on, which earns credit when it is asked.
//
// Workers outside the subset are left out before, and those that maybeFreeWorkers knows to be full. While the endpoint
// list is from before the start, no worker is looked for at all.
func (b *Balancer) exclusionOf(req *request, id WorkerID, among *subset, limits pickLimits) exclusion {
	if why := b.unsuitability(req, id, limits); why != eligible {
		return why
	}
	if why := b.unavailability(id); why != eligible {
		return why
	}
	if float64(b.load(id)) >= slotsWithinQuota(req.quotaWeight, b.estimatedSlots(id)) {
		return reservedWithinQuota
	}
	if b.exceedsMeanLoad(among, id) {
		return aboveMeanLoad
	}
	if why := b.slowStartExclusion(id, req.size); why != eligible {
		return why
	}
	if why := b.attemptExclusion(req, id); why != eligible {
		return why
	}
	if limits.onlyWithCredit && b.workers[id].warmup.credit.attempts < 1 {
		return noWarmupCredit
	}
	return eligible
}

// unsuitability returns why a worker does not suit a request, whether it takes attempts or not, or eligible.
func (b *Balancer) unsuitability(req *request, id WorkerID, limits pickLimits) exclusion {
	w := &b.workers[id]
	op := &b.operations.byID[req.operation]
	switch {
	case limits.sameZone && w.zone != b.config.zone:
		return otherZone
	case b.zones[w.zone].health.Ejected(b.now):
		return zoneEjected
	case op.kind != AnyKind && op.kind != w.kind:
		return wrongKind
	case limits.onlyWithCredit && b.warmupFactor(id) >= 1:
		return notWarmingUp
	case op.idempotency == NonIdempotent && !w.health.AcceptsNonIdempotent(b.now):
		return awaitingIdempotentProbe
	case b.lateOnlyByWarmup(req, op, id):
		return tooSlowWhileWarmingUp
	}
	return eligible
}

// lateOnlyByWarmup reports whether a request that could be in time would be late at a worker only because that one is
// warming up. Without size hints it reports false.
func (b *Balancer) lateOnlyByWarmup(req *request, op *operation, id WorkerID) bool {
	if req.late || b.sizes.Median() == 0 {
		return false
	}
	extraShare := 1/b.warmupFactor(id) - 1 - op.slack // by which the run is longer, as a share of the size
	inTime := float64(req.size)*extraShare <= float64(op.latencyObjective)
	return !inTime
}

// slotsWithinQuota returns the slots of a worker that a request of some weight may use: all within its tenant's quota,
// and down to half of them beyond it.
func slotsWithinQuota(quotaWeight, slots float64) float64 { return (1 + quotaWeight) / 2 * slots }

// isAvailable reports whether a worker may take an attempt now.
func (b *Balancer) isAvailable(id WorkerID) bool { return b.unavailability(id) == eligible }

// unavailability returns why a worker takes no attempt now, or eligible.
func (b *Balancer) unavailability(id WorkerID) exclusion {
	if why := b.lastingUnavailability(id); why != eligible {
		return why
	}
	w := &b.workers[id]
	if b.now < max(w.health.ProbeAfter, w.notBefore) {
		return backingOff
	}
	return eligible
}

// lastingUnavailability returns why a worker takes no attempt, at whatever time, until something changes about it, or
// eligible.
func (b *Balancer) lastingUnavailability(id WorkerID) exclusion {
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
