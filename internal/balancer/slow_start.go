package balancer

// gossipReserve is the share of a warming worker's budget that is not used where its dispatchers share their load. It
// covers what they have not yet reported to each other. It is smaller than warmupReserve, as a run that is longer than
// its hint stays in flight and keeps its slot.
const gossipReserve = 0.1

// slowStart limits what all dispatchers together send to a worker that warms up. A worker breaks down that gets more
// than overloadFactor times its capacity within the warm-up window; attempts that it rejects count too.
type slowStart struct {
	overloadFactor      float64  // times its present capacity that a worker bears
	window              Duration // over which the work sent to it is added up
	dispatchers         int      // that may send to the same worker
	gossip              bool     // dispatchers share their load
	smallestUsefulShare float64  // of the budget, in ticks of work: a smaller one holds no request
}

// slowStart returns the rule under the configuration in force.
func (c *derivedConfig) slowStart() slowStart {
	return slowStart{
		overloadFactor:      c.overloadFactor,
		window:              c.warmupWindow,
		dispatchers:         c.dispatchers,
		gossip:              c.gossip,
		smallestUsefulShare: c.meanObjective, // a request runs for no longer than its objective
	}
}

// warmingWorker is what the rule goes by.
type warmingWorker struct {
	warmupFactor float64 // share of its capacity that it has, below 1
	slots        float64 // attempts that a warm worker of its kind certainly runs at once
	recentWork   Work    // sent to it from here within the window
	load         int     // attempts in flight there
	loadShared   bool    // load includes the attempts of all dispatchers that use the worker
}

// admits returns the limit that forbids to send a worker one more attempt, or eligible. It must not be asked where
// dividesByCredit holds.
func (s *slowStart) admits(w warmingWorker, size Work) exclusion {
	if s.gossip {
		return s.admitsWithGossip(w, size)
	}
	return s.admitsOwnShare(w, size)
}

// admitsWithGossip applies where dispatchers share their load. At worst all attempts in flight were sent within the
// window, and the worker finished no more than its own capacity beside them. Dispatchers that do not see the load of
// the others send nothing.
func (s *slowStart) admitsWithGossip(w warmingWorker, size Work) exclusion {
	ownCapacity := 1 / s.overloadFactor // as a share of the budget
	budget := s.budget(w)
	budget *= 1 - ownCapacity - gossipReserve
	switch {
	case !w.loadShared:
		return loadUnknown
	case float64(w.load) >= w.slots:
		return noFreeSlot
	case float64(size) > budget/w.slots, float64(w.recentWork+size) > budget:
		return beyondWarmupBudget
	}
	return eligible
}

// admitsOwnShare applies where dispatchers know nothing of each other: each one has the same share of the budget.
func (s *slowStart) admitsOwnShare(w warmingWorker, size Work) exclusion {
	if float64(w.recentWork+size) > s.ownShare(w) {
		return beyondWarmupBudget
	}
	return eligible
}

// dividesByCredit reports whether dispatchers are so many that one's share of the budget would hold no request. Each
// then earns its attempts one by one: see warmupCredit.
func (s *slowStart) dividesByCredit(w warmingWorker) bool {
	return !s.gossip && s.ownShare(w) < s.smallestUsefulShare
}

// budget returns the work that a worker bears within the window, in ticks.
func (s *slowStart) budget(w warmingWorker) float64 {
	return s.overloadFactor * w.warmupFactor * w.slots * float64(s.window)
}

func (s *slowStart) ownShare(w warmingWorker) float64 {
	return s.budget(w) * (1 - warmupReserve) / float64(s.dispatchers)
}

// slowStartExclusion returns the limit that forbids to send a worker one more attempt as it warms up, or eligible. It
// brings what it goes by up to date: sends before the window are forgotten, and credit is earned.
func (b *Balancer) slowStartExclusion(id WorkerID, size Work) exclusion {
	factor := b.confirmedWarmup(id, size)
	if factor == 1 {
		return eligible
	}
	target := warmingWorker{
		warmupFactor: factor,
		slots:        b.maxObservedSlots(id),
		recentWork:   b.workers[id].warmup.workSince(b.warmupWindowStart()),
		load:         b.load(id),
		loadShared:   b.receivesLoadOf(id),
	}
	limits := b.config.slowStart()
	if !limits.dividesByCredit(target) {
		return limits.admits(target, size)
	}
	if b.earnCredit(id, factor) < 1 {
		return noWarmupCredit
	}
	return eligible
}

// workSince returns the work sent to the worker after a moment, and forgets what was sent before.
func (w *workerWarmup) workSince(windowStart Time) Work {
	total := Work(0)
	for _, sent := range w.sendsAfter(windowStart) {
		total += sent.work
	}
	return total
}
