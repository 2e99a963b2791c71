package balancer

// reviewOpenRequests goes through the open requests, the latest first, as those have the most time to gain. A request
// that is out of time gets its answer. An attempt that waits in a worker's queue is migrated, and one that runs for
// very long is hedged.
func (b *Balancer) reviewOpenRequests() {
	b.due.reviewAt = b.now.Add(b.config.patience)
	b.due.capacityChanged = true
	for id := range b.requests.newestFirst() {
		req := b.requests.get(id)
		if req.queued && !req.late && b.now > req.latestStart {
			b.demote(id)
		}
		b.reviewRequest(id, req)
		if !req.closed {
			b.due.scheduleReview(req.deadline)
		}
	}
}

// demote moves a pending request that has become late behind those that may still be in time.
func (b *Balancer) demote(id RequestID) {
	b.dequeue(id)
	b.requests.get(id).late = true
	b.enqueue(id)
}

// reviewRequest does what a request needs most. Pending requests come before further attempts of those in flight.
func (b *Balancer) reviewRequest(id RequestID, req *request) {
	waiting := b.unstartedAttempt(req)
	switch {
	case b.outOfTime(req), b.clogsQueue(req, waiting):
		b.rejectOrFail(id)
	case len(b.pending.ids) > 0: // nothing: slots are short
	case waiting != nil:
		if b.shouldMigrate(req, waiting) {
			b.migrateUnstarted(id, waiting)
		}
	case b.shouldHedge(req):
		b.hedge(id)
	}
}

// outOfTime reports whether the final answer is due: at the deadline, whatever is in flight, and before it once no start
// is waited for any more.
func (b *Balancer) outOfTime(req *request) bool {
	return b.now >= req.deadline || req.inFlight == 0 && b.now > req.latestWaitedStart
}
