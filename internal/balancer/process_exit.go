package balancer

// A worker that refuses connections has no process. Its next process is cold, and the endpoint list reports the start
// with a delay. workerWarmup.exitedAt is the time at which the process was observed to exit, or one of these values.
const (
	// noExit means that no exit of the process was observed.
	noExit = DistantPast
	// suspectedExit means that the process may have exited unobserved at an unknown time. Every start time in a later
	// endpoint list is newer.
	suspectedExit = DistantPast + 1
)

// recordProcessExit records that the process of a worker has exited. While the endpoint list is not watched, the other
// workers in its zone may have exited too, as in a power loss, except those that run an attempt.
func (b *Balancer) recordProcessExit(id WorkerID) {
	b.warmup.exitObserved = true
	exited := &b.workers[id]
	exited.warmup.recordExit(b.now)
	exited.warmup.credit.initialized = false
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

// recordExit records when the worker's process exited, and discards the evidence that the worker was warm.
func (w *workerWarmup) recordExit(at Time) {
	w.exitedAt = at
	w.firstResponseAt = never
	w.verifiedSize = 0
}

// mayHaveRestartedAfterExit reports whether a worker's process may be newer than its start time in the endpoint list. A
// watched list reports a start within the maximum poll interval.
func (b *Balancer) mayHaveRestartedAfterExit(w *workerWarmup) bool {
	return w.exitedAt != noExit && !b.polling.WatchedSince(w.exitedAt, b.now)
}

// recordResponse records a response to an attempt. If the attempt was sent after the worker's process was observed to
// exit, the response proves that the next process is running.
func (b *Balancer) recordResponse(answered *attempt) {
	w := &b.workers[answered.worker].warmup
	if w.firstResponseAt == never && answered.sentAt >= w.exitedAt {
		w.firstResponseAt = b.now
	}
}
