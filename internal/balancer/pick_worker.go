package balancer

// minFreeSlotRatio is the minimum share of load reports that must show a free slot. Below it, workers whose load no
// peer reports are assumed to be full.
const minFreeSlotRatio = 0.5

// pickWorker selects a worker for a request: the next eligible one in the round-robin order of its interval's subset,
// or else of the other subsets (STAR). Without gossip, it prefers workers of this dispatcher's zone that are warming up
// and for which this dispatcher has credit for an attempt.
//
// If attempts in other zones have a cost, workers of this dispatcher's zone are preferred. If dispatchers do not share
// their load, this holds for the first attempt only: retries in a full zone would use up all attempts while another
// zone has free slots.
func (b *Balancer) pickWorker(req *request) (WorkerID, bool) {
	if !b.config.gossip && !b.allKnownWarm() {
		// Credit is spent as soon as it is earned: if it accumulated, all dispatchers could send their attempts to the same
		// worker at once.
		filter := workerFilter{onlyWithCredit: true, sameZone: true}
		if id, ok := b.pickFromSubset(req, wholeRing, filter); ok {
			return id, true
		}
	}
	if b.config.crossZoneCost > 0 && (b.config.gossip || len(req.attempts) == 0) {
		if id, ok := b.pickFromAnySubset(req, workerFilter{sameZone: true}); ok {
			return id, true
		}
	}
	return b.pickFromAnySubset(req, workerFilter{})
}

func (b *Balancer) pickFromAnySubset(req *request, filter workerFilter) (WorkerID, bool) {
	for _, number := range [...]int{req.interval, allIntervals, wholeRing} {
		if number == wholeRing && !b.mayUseWholeRing() {
			continue
		}
		if id, ok := b.pickFromSubset(req, number, filter); ok {
			return id, true
		}
	}
	return 0, false
}

// mayUseWholeRing reports whether workers whose load no peer reports may be tried. They are skipped while most load
// reports show no free slot, and for some time after one of them rejected an attempt or did not start it in time.
func (b *Balancer) mayUseWholeRing() bool {
	return b.slots.freeSlotRatio >= minFreeSlotRatio && b.now >= b.gossip.unreportedNotBefore
}

func (b *Balancer) pickFromSubset(req *request, number int, filter workerFilter) (WorkerID, bool) {
	candidates := &b.subsetting.subsets[number]
	for position, id := range b.maybeFreeWorkers(candidates) {
		if b.exclusionOf(req, id, candidates, filter) != eligible {
			continue
		}
		candidates.roundRobin = (position + 1) % len(candidates.workers)
		return id, true
	}
	return 0, false
}
