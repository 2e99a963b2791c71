package balancer

// reviewOpenRequests reviews the open requests, newest first, because those have the most time left to
// benefit from another attempt. An expired request is rejected or fails. An attempt that waits in a worker's queue is
// redispatched, and an attempt that has run for very long is hedged.
func (b *Balancer) reviewOpenRequests() {
	b.due.reviewAt = b.now.Add(b.config.startTimeout)
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

// demote moves a pending request that has become late behind those that can still meet their objective.
func (b *Balancer) demote(id RequestID) {
	b.dequeue(id)
	b.requests.get(id).late = true
	b.enqueue(id)
}

// reviewRequest takes the most urgent action for a request. Pending requests take precedence over further attempts of
// requests in flight.
func (b *Balancer) reviewRequest(id RequestID, req *request) {
	waiting := b.unstartedAttempt(req)
	switch {
	case b.isFinalAnswerDue(req), b.shouldRejectUnstarted(req, waiting):
		b.rejectOrFail(id)
	case len(b.pending.ids) > 0: // no action: slots are scarce
	case waiting != nil:
		if b.shouldRedispatch(req, waiting) {
			b.redispatchUnstarted(id, waiting)
		}
	case b.shouldHedge(req):
		b.hedge(id)
	}
}

// isFinalAnswerDue reports whether the request must be answered now: at its deadline in any case, and before that if no
// attempt is in flight and the time to wait for a start has passed.
func (b *Balancer) isFinalAnswerDue(req *request) bool {
	return b.now >= req.deadline || req.inFlight == 0 && b.now > req.startWaitDeadline
}
