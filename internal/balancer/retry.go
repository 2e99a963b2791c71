package balancer

import "slices"

// mayAttempt reports whether one more attempt of a request may go to a worker.
func (b *Balancer) mayAttempt(req *request, id WorkerID) bool {
	return b.attemptExclusion(req, id) == eligible
}

// attemptExclusion returns why a request may have no more attempts, or none at a worker, or eligible. A request that is
// not idempotent is never executed twice: each attempt that may have run leaves only the workers that would drop a
// repeat.
func (b *Balancer) attemptExclusion(req *request, id WorkerID) exclusion {
	switch {
	case req.closed:
		return requestClosed
	case b.now >= req.deadline:
		return deadlinePassed
	case len(req.attempts) >= req.attemptLimit:
		return attemptLimit
	case req.inFlight > 0 && !b.config.hedging:
		return hedgingForbidden
	}
	op := &b.operations.byID[req.operation]
	for n := range req.attempts {
		earlier := &req.attempts[n]
		if earlier.inFlight && earlier.worker == id {
			return sameWorker
		}
		if earlier.mayRun() && !b.repeatIsSafe(op, earlier, id) {
			return repeatNotSafe
		}
	}
	return eligible
}

// repeatIsSafe reports whether an attempt at a worker has no second effect if an earlier one has run.
func (b *Balancer) repeatIsSafe(op *operation, earlier *attempt, id WorkerID) bool {
	switch op.idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		remembered := b.now < b.repeatUnsafeFrom(op, earlier)
		return remembered && op.dedupScope.joins(&b.workers[earlier.worker], &b.workers[id])
	}
	return false
}

// repeatUnsafeFrom returns the moment from which workers may have forgotten the key of an attempt, with a margin.
func (b *Balancer) repeatUnsafeFrom(op *operation, earlier *attempt) Time {
	return earlier.sentAt.Add(op.dedupWindow - b.config.margin)
}

// joins reports whether the second worker knows the keys that the first one has executed.
func (s DedupScope) joins(first, second *worker) bool {
	switch s {
	case ScopeAll:
		return true
	case ScopeZone:
		return first.zone == second.zone
	case ScopeCell:
		return first.cell == second.cell
	}
	return false
}

// mayAttemptAnywhere reports whether one more attempt may go to some healthy worker, now or as soon as it has a free
// slot.
func (b *Balancer) mayAttemptAnywhere(req *request) bool {
	return slices.ContainsFunc(b.subsetting.ring, func(id WorkerID) bool {
		return b.workers[id].state == Healthy && b.mayAttempt(req, id)
	})
}

// startAttempt sends an attempt of a request to a worker.
func (b *Balancer) startAttempt(id RequestID, target WorkerID) {
	req := b.requests.get(id)
	req.attempts = append(req.attempts, attempt{worker: target, sentAt: b.now, inFlight: true})
	req.inFlight++
	b.addInFlight(target, 1)
	w := &b.workers[target]
	if b.config.startNotices {
		w.unstarted++
	}
	w.warmup.recordSend(send{sentAt: b.now, work: req.size}, b.warmupWindowStart())
	w.warmup.credit.spend()
	b.markLoadChanged(target)
	b.effects.SendAttempt(id, target, 0)
}
