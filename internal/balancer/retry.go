package balancer

import "slices"

// mayAttempt reports whether one more attempt of a request may be sent to a worker.
func (b *Balancer) mayAttempt(req *request, id WorkerID) bool {
	return b.attemptExclusion(req, id) == eligible
}

// attemptExclusion returns why a request may have no more attempts, or none at a worker, or eligible. A non-idempotent
// request is never executed twice: after an attempt that may have run, only workers that would deduplicate the repeat
// remain eligible.
func (b *Balancer) attemptExclusion(req *request, id WorkerID) exclusion {
	switch {
	case req.closed:
		return requestClosed
	case b.now >= req.deadline:
		return deadlinePassed
	case len(req.attempts) >= req.attemptLimit:
		return attemptLimit
	case req.inFlight > 0 && !b.config.hedging:
		return hedgingDisabled
	}
	op := &b.operations.byID[req.operation]
	for n := range req.attempts {
		earlier := &req.attempts[n]
		if earlier.inFlight && earlier.worker == id {
			return alreadyOnWorker
		}
		if earlier.mayRun() && !b.isRepeatSafe(op, earlier, id) {
			return unsafeRepeat
		}
	}
	return eligible
}

// isRepeatSafe reports whether an attempt at a worker has no second effect if an earlier attempt has run.
func (b *Balancer) isRepeatSafe(op *operation, earlier *attempt, id WorkerID) bool {
	switch op.idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		remembered := b.now < b.dedupExpiresAt(op, earlier)
		return remembered && op.dedupScope.sharesKeys(&b.workers[earlier.worker], &b.workers[id])
	}
	return false
}

// dedupExpiresAt returns the time from which workers may have forgotten the key of an attempt, less a safety margin.
func (b *Balancer) dedupExpiresAt(op *operation, earlier *attempt) Time {
	return earlier.sentAt.Add(op.dedupWindow - b.config.timingMargin)
}

// sharesKeys reports whether the second worker has the keys of the requests that the first one has executed.
func (s DedupScope) sharesKeys(first, second *worker) bool {
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

// mayAttemptAnywhere reports whether one more attempt may be sent to some healthy worker, now or as soon as that worker
// has a free slot.
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
