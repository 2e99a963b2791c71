package balancer

const (
	// minFreeSlotRatio is the share of load reports with a free slot below which workers that no peer tells of are
	// taken to be full.
	minFreeSlotRatio = 0.5

	// nonIdempotentProbeDelay is how long after a probe is due non-idempotent work may make it, if no other work has.
	nonIdempotentProbeDelay = Duration(8 * Second)
)

// pickWorker finds a worker for a request: the next one with room in the round-robin order of its interval, or else in
// those of the other subsets. Workers that no peer tells of are tried last, and not for a while after one refused;
// those of this dispatcher's zone come first, where no peer tells of any only for the first attempt.
func (b *Balancer) pickWorker(request *request) (WorkerID, bool) {
	if !b.config.gossip && !b.noneWarming() { // warming workers get their credit as it falls due: saved up, all might send theirs at once
		if worker, ok := b.pickFromSubset(request, wholeRing, pickLimits{withCredit: true, sameZone: true}); ok {
			return worker, ok
		}
	}
	if b.config.crossZoneCost > 0 && (b.config.gossip || len(request.attempts) == 0) {
		if worker, ok := b.pickFromAnySubset(request, pickLimits{sameZone: true}); ok {
			return worker, true
		}
	}
	return b.pickFromAnySubset(request, pickLimits{})
}

func (b *Balancer) pickFromAnySubset(request *request, limits pickLimits) (WorkerID, bool) {
	for _, subset := range [...]int{request.interval, bothIntervals, wholeRing} {
		if subset == wholeRing && (b.slots.freeSlotRatio < minFreeSlotRatio || b.now < b.gossip.unheardNotBefore) {
			continue
		}
		if worker, ok := b.pickFromSubset(request, subset, limits); ok {
			return worker, true
		}
	}
	return 0, false
}

// pickLimits leave workers out of a pick.
type pickLimits struct {
	sameZone   bool // all but those of this dispatcher's zone
	withCredit bool // all but those that warm up and have credit for an attempt
}

func (b *Balancer) pickFromSubset(request *request, number int, limits pickLimits) (WorkerID, bool) {
	subset := &b.subsetting.subsets[number]
	for position, id := range b.maybeFreeWorkers(subset) {
		if !b.suits(request, id, limits) || !b.isAvailable(id) || b.exceedsMeanLoad(subset, id) ||
			!b.withinWarmupBudget(id, request.size) || !b.mayAttempt(request, id) {
			continue
		}
		if limits.withCredit && b.workers[id].credit < 1 {
			continue
		}
		subset.roundRobin = (position + 1) % len(subset.workers)
		return id, true
	}
	return 0, false
}

// suits tells whether a worker is fit for a request, apart from whether it has room.
func (b *Balancer) suits(request *request, id WorkerID, limits pickLimits) bool {
	worker := &b.workers[id]
	operation := &b.operations.byID[request.operation]
	switch {
	case limits.sameZone && worker.zone != b.config.zone:
		return false
	case b.now < b.zones[worker.zone].ejectedUntil:
		return false
	case operation.kind != AnyKind && operation.kind != worker.kind:
		return false
	case limits.withCredit && b.warmupFactor(id) >= 1:
		return false
	case operation.idempotency == NonIdempotent && !b.mayTryNonIdempotent(worker):
		return false
	case !request.late && b.sizes.median != 0 && !b.inTimeDespiteWarmup(request, operation, id):
		return false
	}
	// What is beyond its quota leaves room to others.
	return float64(b.load(id)) < (1+request.quotaWeight)/2*b.estimatedSlots(id)
}

// mayTryNonIdempotent tells whether non-idempotent work may go to a worker that has failed. Where what failed may have
// run, other work tries it first, unless none has for a while after the probe is due.
func (b *Balancer) mayTryNonIdempotent(worker *worker) bool {
	return worker.consecutiveFailures == 0 || !worker.possiblyExecuted || b.now >= worker.probeAfter.Add(nonIdempotentProbeDelay)
}

// inTimeDespiteWarmup tells whether a request would not be late at a worker only because that is warming up.
func (b *Balancer) inTimeDespiteWarmup(request *request, operation *operation, id WorkerID) bool {
	return float64(request.size)*(1/b.warmupFactor(id)-1-operation.slack) <= float64(operation.latencyObjective)
}

// isAvailable tells whether a worker may take an attempt now.
func (b *Balancer) isAvailable(id WorkerID) bool {
	worker := &b.workers[id]
	return worker.state == Healthy && b.now >= max(worker.probeAfter, worker.notBefore) && worker.unstarted == 0 &&
		(worker.consecutiveFailures == 0 || worker.inFlight == 0) && float64(b.load(id)) < b.roundedSlots(id)
}
