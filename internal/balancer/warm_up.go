package balancer

// workerWarmup is how warm a worker is, and what it was sent. A worker warms up by its age: see warmupFactor.
type workerWarmup struct {
	startedAt    Time // by the endpoint list, or LongAgo
	exitedAt     Time // when its process was seen to end: see process_exit.go
	respondedAt  Time // first response of the process after that one; the value never until then
	verifiedSize Work // largest work that was done at the pace of a warm worker

	sends  []send // within the warm-up window, the oldest first
	credit warmupCredit
}

// send is work sent to a worker.
type send struct {
	sentAt    Time
	work      Work
	bySibling bool // by another process of this dispatcher
}

// warmup owns what the warm-up of all workers has in common.
type warmup struct {
	fleetRestartAt Time // since when this dispatcher is back, where all lost power; noFleetRestart if they did not
	latestStart    Time // of any worker, by the endpoint list, or LongAgo
	exitSeen       bool // the process of some worker was seen to end

	firstTries int // requests that arrived, without retries of their clients
	capacity   fleetCapacity
}

// noFleetRestart is the value of fleetRestartAt where not all dispatchers have lost power.
const noFleetRestart Time = 0

// warmupFactorAt returns the share of its capacity that a worker has some time after its start: it grows linearly from
// initialWarmup to 1 within warmupDuration.
func (c *derivedConfig) warmupFactorAt(age Duration) float64 {
	if c.warmupDuration == 0 || age >= c.warmupDuration {
		return 1
	}
	return c.initialWarmup + (1-c.initialWarmup)*float64(max(age, 0))/float64(c.warmupDuration)
}

// warmupFactor returns the share of its capacity that a worker certainly has, by its age. Where its process was seen to
// end, the next one is no older than its first response.
func (b *Balancer) warmupFactor(id WorkerID) float64 {
	w := &b.workers[id].warmup
	startedAt := w.startedAt
	if b.mayHaveRestarted(w) {
		startedAt = max(startedAt, min(w.respondedAt, b.now))
	}
	if startedAt == LongAgo {
		return 1
	}
	return b.config.warmupFactorAt(b.now.Sub(startedAt))
}

// certainlyNoneWarming reports that no worker has a warm-up factor below 1. It may report false though all are warm: it
// costs the same for any number of workers, and does not follow each of them.
func (b *Balancer) certainlyNoneWarming() bool {
	if b.warmup.exitSeen {
		return false
	}
	latest := b.warmup.latestStart
	return latest == LongAgo || b.now.Sub(latest) >= b.config.warmupDuration
}

// confirmedWarmup returns the share of its capacity that a worker certainly has for work of a size. It is that of a
// worker that has just started where a restart is suspected.
func (b *Balancer) confirmedWarmup(id WorkerID, size Work) float64 {
	factor := b.warmupFactor(id)
	if b.restartSuspected(&b.workers[id].warmup, size) {
		return min(factor, b.config.initialWarmup)
	}
	return factor
}

// restartSuspected reports whether a worker may have started since the list last named its start, though nobody saw it.
// Work done at a pace that no cold worker has ends the suspicion for work up to overloadFactor times as large. Beyond
// that hints are too rough: the largest requests would all go to the first worker that seems warm. A later start in the
// list ends it too.
func (b *Balancer) restartSuspected(w *workerWarmup, size Work) bool {
	if b.config.warmupDuration == 0 || float64(size) <= b.config.overloadFactor*float64(w.verifiedSize) {
		return false
	}
	return b.startPredatesFleetRestart(w) || b.listMayPredateStarts()
}

// startPredatesFleetRestart reports whether all dispatchers lost power after the worker's last known start. Until the
// list has been watched for as long as it may stay silent, the worker may have lost power with them.
func (b *Balancer) startPredatesFleetRestart(w *workerWarmup) bool {
	restart := b.warmup.fleetRestartAt
	if restart == noFleetRestart || w.startedAt >= restart {
		return false
	}
	return !b.polling.WatchedSince(LongAgo, b.now)
}

// listMayPredateStarts reports whether this dispatcher goes by a list from before its start, cannot get another one, and
// has heard of no peer that has run for longer.
func (b *Balancer) listMayPredateStarts() bool {
	return !b.polling.Answered() && b.polling.Failing() && !b.gossip.hasSeniorPeer()
}

// observeSuccess notes how long an attempt that succeeded took. It may prove that its worker is warm.
func (b *Balancer) observeSuccess(id WorkerID, req *request, took Duration) {
	if float64(req.size) >= verifiedPace*float64(took) {
		w := &b.workers[id].warmup
		w.verifiedSize = max(w.verifiedSize, req.size)
	}
	b.operations.byID[req.operation].observeRun(took)
}

// recordSend notes work sent to a worker, and forgets what was sent before the window. Sends to warm workers are kept
// too: one may have restarted without anybody knowing it yet.
func (w *workerWarmup) recordSend(sent send, windowStart Time) {
	w.sends = append(w.sendsAfter(windowStart), sent)
}

// sendsAfter returns what was sent to the worker after a moment, and forgets what was sent before.
func (w *workerWarmup) sendsAfter(windowStart Time) []send {
	recent := w.sends
	for len(recent) > 0 && recent[0].sentAt <= windowStart {
		recent = recent[1:]
	}
	w.sends = recent
	return recent
}

// warmupWindowStart is the moment after which what was sent to a warming worker counts.
func (b *Balancer) warmupWindowStart() Time { return b.now.Add(-b.config.warmupWindow) }

// recordListedStart notes that the list names a new process, which has to warm up.
func (w *workerWarmup) recordListedStart(startedAt Time) {
	w.startedAt = startedAt
	w.credit.earning = false
	if startedAt >= w.exitedAt {
		w.exitedAt = noExit
	}
}
