package balancer

// minFreeSlotRatio is the share of load reports with a free slot below which workers whose load no peer reports are
// taken to be full.
const minFreeSlotRatio = 0.5

// pickWorker finds a worker for a request: the next eligible one in the round-robin order of its interval's subset, or
// else in those of the other subsets (STAR). Without gossip, warming workers that are owed an attempt come first.
// Workers of this dispatcher's zone come first. Where dispatchers do not share their load, they come first for the
// first attempt only: later ones may as well try elsewhere.
func (b *Balancer) pickWorker(req *request) (WorkerID, bool) {
	if !b.config.gossip && !b.certainlyNoneWarming() {
		// A warming worker gets its credit as it falls due: if it were saved up, all dispatchers might send theirs at
		// once.
		limits := pickLimits{onlyWithCredit: true, sameZone: true}
		if id, ok := b.pickFromSubset(req, wholeRing, limits); ok {
			return id, true
		}
	}
	if b.config.crossZoneCost > 0 && (b.config.gossip || len(req.attempts) == 0) {
		if id, ok := b.pickFromAnySubset(req, pickLimits{sameZone: true}); ok {
			return id, true
		}
	}
	return b.pickFromAnySubset(req, pickLimits{})
}

func (b *Balancer) pickFromAnySubset(req *request, limits pickLimits) (WorkerID, bool) {
	for _, number := range [...]int{req.interval, allIntervals, wholeRing} {
		if number == wholeRing && !b.mayUseWholeRing() {
			continue
		}
		if id, ok := b.pickFromSubset(req, number, limits); ok {
			return id, true
		}
	}
	return 0, false
}

// mayUseWholeRing reports whether workers whose load no peer reports may be tried. They are not tried while most load
// reports show no free slot, nor for a while after one of them was full.
func (b *Balancer) mayUseWholeRing() bool {
	return b.slots.freeSlotRatio >= minFreeSlotRatio && b.now >= b.gossip.unreportedNotBefore
}

func (b *Balancer) pickFromSubset(req *request, number int, limits pickLimits) (WorkerID, bool) {
	among := &b.subsetting.subsets[number]
	for position, id := range b.maybeFreeWorkers(among) {
		if b.exclusionOf(req, id, among, limits) != eligible {
			continue
		}
		among.roundRobin = (position + 1) % len(among.workers)
		return id, true
	}
	return 0, false
}
