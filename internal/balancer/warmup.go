package balancer

// verifiedPace is the share of its hinted pace at which work proves that its worker is warm: hints are rough.
const verifiedPace = 0.7

// capacityRefreshes is how many times in a warm-up window the capacity of all healthy workers is added up.
const capacityRefreshes = 8

// warmup owns what the warm-up of all workers has in common. What is known of one is in workerWarmup.
type warmup struct {
	fleetRestartAt Time    // since when this dispatcher is back, where all lost power; 0: they did not
	latestStart    Time    // of any worker, by the endpoint list
	exitSeen       bool    // the process of some worker was seen to end
	firstTries     int     // requests that arrived, but for those whose client came again
	warmCapacity   float64 // of all healthy workers together, in warm workers
	warmCapacityAt Time    // when it was added up
}

// warmupFactor is the share of its capacity that a worker certainly has, by its age. Where its process was seen to end
// the next one is no older than its first response.
func (b *Balancer) warmupFactor(id WorkerID) float64 {
	worker := &b.workers[id]
	startedAt := worker.startedAt
	if b.mayHaveRestarted(worker) {
		startedAt = max(startedAt, min(worker.respondedAt, b.now))
	}
	if startedAt == 0 || b.config.warmupDuration == 0 || b.now.Sub(startedAt) >= b.config.warmupDuration {
		return 1
	}
	age := float64(max(b.now.Sub(startedAt), 0))
	return b.config.initialWarmup + (1-b.config.initialWarmup)*age/float64(b.config.warmupDuration)
}

// noneWarming tells that no worker has a warm-up factor below 1, without going through all of them.
func (b *Balancer) noneWarming() bool {
	return !b.warmup.exitSeen && (b.warmup.latestStart == 0 || b.now.Sub(b.warmup.latestStart) >= b.config.warmupDuration)
}

// mayHaveRestarted tells whether a worker's process may be newer than the list says. A list that is watched says so
// within its longest interval.
func (b *Balancer) mayHaveRestarted(worker *worker) bool {
	if worker.exitedAt == 0 {
		return false
	}
	listedBy := max(b.discovery.watchingSince, worker.exitedAt).Add(b.config.maxPollInterval)
	return !b.discovery.watching || b.now < listedBy
}

// confirmedWarmup is the share of its capacity that a worker has by its age, and no more than that of one that has just
// started where a restart is suspected for work of a size.
func (b *Balancer) confirmedWarmup(id WorkerID, size Work) float64 {
	factor := b.warmupFactor(id)
	if b.restartSuspected(id, size) {
		return min(factor, b.config.initialWarmup)
	}
	return factor
}

// restartSuspected tells whether a worker may have started since the list spoke of it, though nothing was seen of that:
// where all lost power, until the list has been watched for as long as it may stay silent; and where this dispatcher goes
// by a list from before its start, cannot get another one, and hears no peer that has run for longer. A later start in
// the list ends the suspicion. So does work done at a pace that no cold worker has, for work that is not larger than
// some such pieces: hints are rough, and the largest would all go to the first worker that seems warm.
func (b *Balancer) restartSuspected(id WorkerID, size Work) bool {
	worker := &b.workers[id]
	if b.config.warmupDuration == 0 || float64(size) <= b.config.overloadFactor*float64(worker.verifiedSize) {
		return false
	}
	if restart := b.warmup.fleetRestartAt; restart > 0 && worker.startedAt < restart {
		if !b.discovery.watching || b.now < b.discovery.watchingSince.Add(b.config.maxPollInterval) {
			return true
		}
	}
	return !b.discovery.answered && b.discovery.failedPolls > 0 && !b.gossip.hearsSenior()
}

// recordProcessExit takes notice that the process of a worker has ended: the next one is cold, and the list says so
// late. While no list is watched the other workers of its zone may have ended with it, as in a power loss, but for
// those where an attempt runs.
func (b *Balancer) recordProcessExit(id WorkerID) {
	b.warmup.exitSeen = true
	exited := &b.workers[id]
	exited.exitedAt = b.now
	exited.respondedAt = never
	exited.verifiedSize = 0
	exited.earnsCredit = false
	if b.discovery.watching {
		return
	}
	for _, other := range b.subsetting.ring {
		worker := &b.workers[other]
		if worker.zone == exited.zone && worker.exitedAt == 0 && worker.inFlight <= worker.unstarted {
			worker.exitedAt = 1 // long ago: any start that the list tells of later is newer
			worker.respondedAt = never
			worker.verifiedSize = 0
		}
	}
}

// recordResponse takes notice of a response to an attempt. One that was sent since the worker's process was seen to end
// shows that the next process runs.
func (b *Balancer) recordResponse(answered *attempt) {
	worker := &b.workers[answered.worker]
	if worker.respondedAt == never && answered.sentAt >= worker.exitedAt {
		worker.respondedAt = b.now
	}
}

// observeSuccess takes notice of how long an attempt that succeeded took: it may show that its worker is warm.
func (b *Balancer) observeSuccess(id WorkerID, request *request, took Duration) {
	if float64(request.size) >= verifiedPace*float64(took) {
		worker := &b.workers[id]
		worker.verifiedSize = max(worker.verifiedSize, request.size)
	}
	b.operations.byID[request.operation].observeRun(took)
}

// recordSend takes notice of work sent to a worker. That is kept for warm workers too: one may have restarted and nobody
// knows it yet.
func (w *workerWarmup) recordSend(sent send, windowStart Time) {
	w.sends = append(w.sendsAfter(windowStart), sent)
}

// sendsAfter is what was sent to the worker after a moment. What was sent before is dropped.
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

// warmupCredit is how many attempts a warming worker may get from here, where dispatchers are many and no peer tells what
// it sends: of the first tries that arrive here, the worker's share of the capacity of all healthy workers, and half of
// the overload factor beyond it. What arrives at all dispatchers is no more than warm workers can take, so what all
// send there is no more than half of the worker's budget, whatever traffic each has. At most one attempt is saved up.
func (b *Balancer) warmupCredit(id WorkerID, factor float64) float64 {
	b.refreshWarmCapacity()
	worker := &b.workers[id]
	if !worker.earnsCredit {
		worker.earnsCredit = true
		worker.credit = float64(b.creditRank(id)) / float64(b.config.dispatchers)
		worker.creditCount = b.warmup.firstTries
	}
	tries := float64(b.warmup.firstTries - worker.creditCount)
	gain := b.config.overloadFactor / 2 * factor / max(b.warmup.warmCapacity, factor) * tries
	worker.credit = min(worker.credit+gain, 1)
	worker.creditCount = b.warmup.firstTries
	return worker.credit
}

// refreshWarmCapacity adds up the capacity of all healthy workers, some times in a warm-up window.
func (b *Balancer) refreshWarmCapacity() {
	if b.warmup.warmCapacity != 0 && b.now <= b.warmup.warmCapacityAt.Add(b.config.warmupWindow/capacityRefreshes) {
		return
	}
	b.warmup.warmCapacity = 0
	b.warmup.warmCapacityAt = b.now
	for _, id := range b.subsetting.ring {
		if b.workers[id].state == Healthy {
			b.warmup.warmCapacity += b.warmupFactor(id)
		}
	}
}

// creditRank is this dispatcher's place among all, another one for each worker. The credit of each begins at another
// figure, so that they do not all send to a new worker at once.
func (b *Balancer) creditRank(id WorkerID) int {
	first := int(b.workers[id].hash % uint64(b.config.dispatchers))
	return (first + b.config.position) % b.config.dispatchers
}
