package balancer

// gossipReserve is the share of a warming worker's budget that is left unused when its dispatchers share their load. It
// covers attempts that have not been reported to peers yet. It is smaller than warmupReserve because an attempt that
// runs for longer than its hint stays in flight and occupies its slot.
const gossipReserve = 0.1

// slowStartLimits holds the limits on the work that all dispatchers together send to a warming worker. A worker breaks
// down if it receives more than overloadFactor times its capacity within the warm-up window. Attempts that it rejects
// count as well.
type slowStartLimits struct {
	overloadFactor float64  // work that a worker can receive, as a multiple of its current capacity
	window         Duration // period over which the work sent to the worker is summed
	dispatchers    int      // number of dispatchers that may send to the same worker
	gossip         bool     // dispatchers share their load
	minUsefulShare float64  // smallest share of the budget that has room for a request, in ticks of work
}

// slowStartLimits returns the slow start limits of the current configuration.
func (c *derivedConfig) slowStartLimits() slowStartLimits {
	return slowStartLimits{
		overloadFactor: c.overloadFactor,
		window:         c.warmupWindow,
		dispatchers:    c.dispatchers,
		gossip:         c.gossip,
		minUsefulShare: c.meanObjective, // assumes that a request runs no longer than its latency objective
	}
}

// warmingWorker holds the state of a worker to which the slow start limits apply.
type warmingWorker struct {
	warmupFactor float64 // share of its full capacity that is available, below 1
	slots        float64 // most attempts that a warm worker of its kind was observed to run at once
	recentWork   Work    // work that this dispatcher sent to it within the window
	load         int     // attempts in flight at the worker
	loadShared   bool    // load includes the attempts of all dispatchers that use the worker
}

// exclusionFor returns the limit that excludes a worker from one more attempt, or eligible. It must not be called if
// usesCredit returns true.
func (s *slowStartLimits) exclusionFor(w warmingWorker, size Work) exclusion {
	if s.gossip {
		return s.exclusionWithGossip(w, size)
	}
	return s.exclusionByOwnShare(w, size)
}

// exclusionWithGossip is exclusionFor for dispatchers that share their load. In the worst case, all attempts in flight
// were sent within the window, and the worker has also completed as much work as its capacity allows. A dispatcher that
// does not receive the load of its peers sends nothing.
func (s *slowStartLimits) exclusionWithGossip(w warmingWorker, size Work) exclusion {
	capacityShare := 1 / s.overloadFactor // as a share of the budget
	budget := s.budget(w)
	budget *= 1 - capacityShare - gossipReserve
	switch {
	case !w.loadShared:
		return loadUnknown
	case float64(w.load) >= w.slots:
		return noFreeSlot
	case float64(size) > budget/w.slots, float64(w.recentWork+size) > budget:
		return warmupBudgetExceeded
	}
	return eligible
}

// exclusionByOwnShare is exclusionFor for dispatchers that do not share their load: each one has the same share of the
// budget.
func (s *slowStartLimits) exclusionByOwnShare(w warmingWorker, size Work) exclusion {
	if float64(w.recentWork+size) > s.ownShare(w) {
		return warmupBudgetExceeded
	}
	return eligible
}

// usesCredit reports whether dispatchers do not share their load and are so many that one dispatcher's share of the
// budget is too small for a request. If so, each dispatcher earns single attempts: see warmupCredit.
func (s *slowStartLimits) usesCredit(w warmingWorker) bool {
	return !s.gossip && s.ownShare(w) < s.minUsefulShare
}

// budget returns the most work that a worker can receive within the window without breaking down, in ticks.
func (s *slowStartLimits) budget(w warmingWorker) float64 {
	return s.overloadFactor * w.warmupFactor * w.slots * float64(s.window)
}

// ownShare returns the part of the budget that one dispatcher may use, in ticks.
func (s *slowStartLimits) ownShare(w warmingWorker) float64 {
	return s.budget(w) * (1 - warmupReserve) / float64(s.dispatchers)
}

// slowStartExclusion returns the slow start limit that excludes a worker from one more attempt, or eligible. It also
// updates the state of the worker: it drops the sends that precede the warm-up window and adds the credit earned.
func (b *Balancer) slowStartExclusion(id WorkerID, size Work) exclusion {
	factor := b.confirmedWarmupFactor(id, size)
	if factor == 1 {
		return eligible
	}
	target := warmingWorker{
		warmupFactor: factor,
		slots:        b.maxObservedSlots(id),
		recentWork:   b.workers[id].warmup.workSentAfter(b.warmupWindowStart()),
		load:         b.load(id),
		loadShared:   b.receivesLoadOf(id),
	}
	limits := b.config.slowStartLimits()
	if !limits.usesCredit(target) {
		return limits.exclusionFor(target, size)
	}
	if b.earnCredit(id, factor) < 1 {
		return noWarmupCredit
	}
	return eligible
}

// workSentAfter returns the work sent to the worker after windowStart, and drops the records of earlier sends.
func (w *workerWarmup) workSentAfter(windowStart Time) Work {
	total := Work(0)
	for _, sent := range w.pruneSends(windowStart) {
		total += sent.work
	}
	return total
}
