package balancer

import "slices"

// mayReject reports whether the request may be rejected (the proxy responds with 429). The client may then retry on any
// worker, so a repeat must be harmless on every worker, or the request must certainly not have run.
func (b *Balancer) mayReject(req *request) bool {
	op := &b.operations.byID[req.operation]
	switch {
	case op.idempotency == Idempotent:
		return true
	case op.idempotency == IdempotentByKey && op.dedupScope == ScopeAll:
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(earlier attempt) bool { return earlier.mayRun() })
}

// rejectOrFail sends the final answer immediately: a rejection if that is permitted, otherwise a failure (502). The
// rejection has a Retry-After if a late answer still has value: see newOperation.
func (b *Balancer) rejectOrFail(id RequestID) {
	req := b.requests.get(id)
	if worstChanged := b.operations.observeLoss(req.operation, req.size); worstChanged {
		b.pending.sort(b.comparePriority)
	}
	if b.mayReject(req) {
		b.effects.Reject(id, b.operations.byID[req.operation].retryAfter)
	} else {
		b.effects.Fail(id)
	}
	b.closeRequest(id)
}
