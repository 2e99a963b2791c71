package balancer

import "slices"

// mayAttempt tells whether one more attempt of a request may go to a worker. An operation that is not idempotent is
// never executed twice: each attempt that may have run leaves only the workers that would drop a repeat of it.
func (b *Balancer) mayAttempt(request *request, id WorkerID) bool {
	if request.closed || b.now >= request.deadline || len(request.attempts) >= request.attemptLimit {
		return false
	}
	if request.inFlight > 0 && !b.config.hedging {
		return false
	}
	operation := &b.operations.byID[request.operation]
	for n := range request.attempts {
		earlier := &request.attempts[n]
		if earlier.inFlight && earlier.worker == id {
			return false
		}
		mayRun := earlier.inFlight || earlier.mayHaveRun
		if mayRun && operation.idempotency != Idempotent && !b.dropsRepeat(operation, earlier, id) {
			return false
		}
	}
	return true
}

// dropsRepeat tells whether a worker would drop an attempt that repeats an earlier one, if that has run.
func (b *Balancer) dropsRepeat(operation *operation, earlier *attempt, id WorkerID) bool {
	if operation.idempotency == NonIdempotent || b.now >= earlier.sentAt.Add(operation.dedupWindow-b.config.margin) {
		return false
	}
	first := &b.workers[earlier.worker]
	second := &b.workers[id]
	switch operation.dedupScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return first.zone == second.zone
	case ScopeCell:
		return first.cell == second.cell
	}
	return false
}

// mayAttemptAnywhere tells whether one more attempt may go to some healthy worker, now or as that has room.
func (b *Balancer) mayAttemptAnywhere(request *request) bool {
	return slices.ContainsFunc(b.subsetting.ring, func(id WorkerID) bool {
		return b.workers[id].state == Healthy && b.mayAttempt(request, id)
	})
}

// mayReject tells whether the client may be told to come again: that needs an operation that may run twice, or that
// nothing has run.
func (b *Balancer) mayReject(request *request) bool {
	operation := &b.operations.byID[request.operation]
	switch {
	case operation.idempotency == Idempotent:
		return true
	case operation.idempotency == IdempotentByKey && operation.dedupScope == ScopeAll:
		return true
	}
	return !slices.ContainsFunc(request.attempts, func(earlier attempt) bool { return earlier.inFlight || earlier.mayHaveRun })
}

// startAttempt sends an attempt of a request to a worker.
func (b *Balancer) startAttempt(id RequestID, target WorkerID) {
	request := b.requests.get(id)
	request.attempts = append(request.attempts, attempt{worker: target, sentAt: b.now, inFlight: true})
	request.inFlight++
	b.addInFlight(target, 1)
	worker := &b.workers[target]
	if b.config.startNotices {
		worker.unstarted++
	}
	worker.recordSend(send{sentAt: b.now, work: request.size}, b.warmupWindowStart())
	worker.credit = max(worker.credit-1, 0)
	b.markLoadChanged(target)
	b.effects.SendAttempt(id, target, 0)
}

// rejectOrFail gives the final answer at once: a rejection where that is permitted, else a failure.
func (b *Balancer) rejectOrFail(id RequestID) {
	request := b.requests.get(id)
	if worstChanged := b.operations.observeLoss(request.operation, request.size); worstChanged {
		b.pending.sort(b.comparePriority)
	}
	if b.mayReject(request) {
		b.effects.Reject(id, b.operations.byID[request.operation].retryAfter)
	} else {
		b.effects.Fail(id)
	}
	b.closeRequest(id, NoAttempt)
}

// closeRequest ends a request, and cancels its attempts but for the one with the number kept, or NoAttempt.
func (b *Balancer) closeRequest(id RequestID, kept int) {
	request := b.requests.get(id)
	if request.closed {
		return
	}
	for number := range request.attempts {
		if request.attempts[number].inFlight && b.config.cancellation && number != kept {
			b.effects.CancelAttempt(id, number)
		}
	}
	request.closed = true
	if request.queued {
		b.dequeue(id)
	}
	b.requests.removeOpen(id)
}
