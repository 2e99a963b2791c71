package balancer

// A worker that refuses connections has no process: the next one is cold, and the endpoint list names its start late.
// workerWarmup.exitedAt is the moment at which the process was seen to end, or one of these values.
const (
	// noExit stands for a process that nobody has seen end.
	noExit = DistantPast
	// suspectedExit stands for the unknown moment at which a process may have ended that nobody saw end. Any start that
	// the list names later is newer.
	suspectedExit = DistantPast + 1
)

// recordProcessExit notes that the process of a worker has ended. While no list is watched, the other workers of its
// zone may have ended with it, as in a power loss, except those where an attempt runs.
func (b *Balancer) recordProcessExit(id WorkerID) {
	b.warmup.exitSeen = true
	exited := &b.workers[id]
	exited.warmup.recordExit(b.now)
	exited.warmup.credit.earning = false
	if b.polling.Watching() {
		return
	}
	for _, other := range b.subsetting.ring {
		w := &b.workers[other]
		runsNothing := w.inFlight <= w.unstarted
		if w.zone == exited.zone && w.warmup.exitedAt == noExit && runsNothing {
			w.warmup.recordExit(suspectedExit)
		}
	}
}

// recordExit notes when the worker's process ended. What proved it warm is void.
func (w *workerWarmup) recordExit(at Time) {
	w.exitedAt = at
	w.respondedAt = never
	w.verifiedSize = 0
}

// mayHaveRestarted reports whether a worker's process may be newer than the list says. A list that is watched names a
// start within the poll interval.
func (b *Balancer) mayHaveRestarted(w *workerWarmup) bool {
	return w.exitedAt != noExit && !b.polling.WatchedSince(w.exitedAt, b.now)
}

// recordResponse notes a response to an attempt. One that was sent since the worker's process was seen to end shows that
// the next process runs.
func (b *Balancer) recordResponse(answered *attempt) {
	w := &b.workers[answered.worker].warmup
	if w.respondedAt == never && answered.sentAt >= w.exitedAt {
		w.respondedAt = b.now
	}
}
