package balancer

// backOff sends nothing to a worker for a span. If its load from other dispatchers is not known here, it sends nothing
// to all such workers: they may be full as well.
func (b *Balancer) backOff(id WorkerID, span Duration) {
	until := b.now.Add(span)
	b.workers[id].health.BackOff(until)
	if !b.receivesLoadOf(id) {
		b.gossip.unreportedNotBefore = until
	}
}

// overloadBackoff returns how long nothing is sent to a worker that rejected an attempt as overloaded: until a slot comes
// free, after about a mean run. A worker that warms up is left alone for as long as what it is sent counts. What it
// rejects counts too and is in no load that peers report, so each of them would try it again.
func (b *Balancer) overloadBackoff(id WorkerID, rejected OperationID) Duration {
	if b.confirmedWarmup(id, b.sizes.Median()) == 1 {
		return b.operations.byID[rejected].expectedRun()
	}
	return b.config.warmupWindow
}
