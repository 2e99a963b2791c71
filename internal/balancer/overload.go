package balancer

// backOff prevents attempts at a worker for the given duration. If peers do not report their load on the worker to this
// dispatcher, it does the same for all workers with unreported load, because those may be full as well.
func (b *Balancer) backOff(id WorkerID, duration Duration) {
	until := b.now.Add(duration)
	b.workers[id].health.BackOff(until)
	if !b.receivesLoadOf(id) {
		b.gossip.unreportedNotBefore = until
	}
}

// overloadBackoff returns the backoff for a worker that rejected an attempt as overloaded. For a warm worker this is
// the expected run time of the operation, after which a slot is likely to be free. For a warming worker it is the whole
// warm-up window. Rejected attempts count against its budget as well, but are not part of the load that peers report,
// so every peer would try the worker again.
func (b *Balancer) overloadBackoff(id WorkerID, rejected OperationID) Duration {
	if b.confirmedWarmupFactor(id, b.sizes.Median()) == 1 {
		return b.operations.byID[rejected].expectedRun()
	}
	return b.config.warmupWindow
}
