package balancer

// workerWarmup holds the warm-up state of a worker and the work recently sent to it. The warm-up factor of a worker
// depends on its age: see warmupFactor.
type workerWarmup struct {
	startedAt       Time // by the endpoint list, or DistantPast
	exitedAt        Time // time at which its process was observed to exit: see process_exit.go
	firstResponseAt Time // first response of the next process after that exit; never until there is one
	verifiedSize    Work // size of the largest request that ran at the pace of a warm worker

	sends  []send // sends within the warm-up window, oldest first
	credit warmupCredit
}

// send records work sent to a worker.
type send struct {
	sentAt    Time
	work      Work
	bySibling bool // sent by another process of this dispatcher
}

// warmup holds the warm-up state that all workers have in common.
type warmup struct {
	fleetRestartAt Time // start time of this dispatcher if all dispatchers lost power, or noFleetRestart
	latestStart    Time // latest start time of any worker in the endpoint list, or DistantPast
	exitObserved   bool // the process of at least one worker was observed to exit

	newRequests int // requests that have arrived, not counting client retries
	capacity    fleetCapacity
}

// noFleetRestart is the value of fleetRestartAt unless all dispatchers have lost power.
const noFleetRestart Time = 0

// warmupFactorAt returns the warm-up factor of a worker of a given age, which is the share of its full capacity that is
// available. It grows linearly from initialWarmupFactor to 1 within warmupDuration.
func (c *derivedConfig) warmupFactorAt(age Duration) float64 {
	if c.warmupDuration == 0 || age >= c.warmupDuration {
		return 1
	}
	return c.initialWarmupFactor + (1-c.initialWarmupFactor)*float64(max(age, 0))/float64(c.warmupDuration)
}

// warmupFactor returns a lower bound of a worker's warm-up factor by its age. If its process was observed to exit, the
// next process is treated as started at its first response.
func (b *Balancer) warmupFactor(id WorkerID) float64 {
	w := &b.workers[id].warmup
	startedAt := w.startedAt
	if b.mayHaveRestartedAfterExit(w) {
		startedAt = max(startedAt, min(w.firstResponseAt, b.now))
	}
	if startedAt == DistantPast {
		return 1
	}
	return b.config.warmupFactorAt(b.now.Sub(startedAt))
}

// allKnownWarm reports whether every worker is known to have a warm-up factor of 1. It takes constant time because it
// does not check each worker, so it may return false although all workers are warm.
func (b *Balancer) allKnownWarm() bool {
	if b.warmup.exitObserved {
		return false
	}
	latest := b.warmup.latestStart
	return latest == DistantPast || b.now.Sub(latest) >= b.config.warmupDuration
}

// confirmedWarmupFactor returns a lower bound of a worker's warm-up factor for work of a given size. It is at most
// initialWarmupFactor if a restart is suspected.
func (b *Balancer) confirmedWarmupFactor(id WorkerID, size Work) float64 {
	factor := b.warmupFactor(id)
	if b.restartSuspected(&b.workers[id].warmup, size) {
		return min(factor, b.config.initialWarmupFactor)
	}
	return factor
}

// restartSuspected reports whether a worker may have restarted unobserved since its last start in the endpoint list. A
// request that ran faster than a cold worker can run it ends the suspicion for work up to overloadFactor times as
// large. Hints are too inaccurate for larger work: the largest requests would all be sent to the first worker that
// seems warm. A later start in the list also ends the suspicion.
func (b *Balancer) restartSuspected(w *workerWarmup, size Work) bool {
	if b.config.warmupDuration == 0 || float64(size) <= b.config.overloadFactor*float64(w.verifiedSize) {
		return false
	}
	return b.startPredatesFleetRestart(w) || b.listMayPredateStarts()
}

// startPredatesFleetRestart reports whether all dispatchers lost power after the worker's last known start and the
// worker may have lost power with them. This is ruled out once the list has been watched for the maximum poll interval.
func (b *Balancer) startPredatesFleetRestart(w *workerWarmup) bool {
	restart := b.warmup.fleetRestartAt
	if restart == noFleetRestart || w.startedAt >= restart {
		return false
	}
	return !b.polling.WatchedSince(DistantPast, b.now)
}

// listMayPredateStarts reports whether this dispatcher uses an endpoint list from before its own start, its polls fail,
// and it has received no message from a peer that has run for longer.
func (b *Balancer) listMayPredateStarts() bool {
	return !b.polling.Answered() && b.polling.Failing() && !b.gossip.hasSeniorPeer()
}

// observeSuccess records the duration of a successful attempt. A short duration proves that the worker is warm.
func (b *Balancer) observeSuccess(id WorkerID, req *request, runTime Duration) {
	if float64(req.size) >= verifiedPace*float64(runTime) {
		w := &b.workers[id].warmup
		w.verifiedSize = max(w.verifiedSize, req.size)
	}
	b.operations.byID[req.operation].observeRun(runTime)
}

// recordSend records work sent to a worker, and drops the records of sends before the window. Sends to warm workers are
// recorded too, because such a worker may have restarted unnoticed.
func (w *workerWarmup) recordSend(sent send, windowStart Time) {
	w.sends = append(w.pruneSends(windowStart), sent)
}

// pruneSends returns the sends to the worker after windowStart, and drops the records of earlier ones.
func (w *workerWarmup) pruneSends(windowStart Time) []send {
	recent := w.sends
	for len(recent) > 0 && recent[0].sentAt <= windowStart {
		recent = recent[1:]
	}
	w.sends = recent
	return recent
}

// warmupWindowStart returns the time after which sends count against the budget of a warming worker.
func (b *Balancer) warmupWindowStart() Time { return b.now.Add(-b.config.warmupWindow) }

// recordListedStart records the start time of a new worker process in the endpoint list. The process has to warm up.
func (w *workerWarmup) recordListedStart(startedAt Time) {
	w.startedAt = startedAt
	w.credit.initialized = false
	if startedAt >= w.exitedAt {
		w.exitedAt = noExit
	}
}
