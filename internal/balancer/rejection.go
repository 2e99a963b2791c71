package balancer

import "slices"

// mayReject reports whether the client may be told to retry (the proxy answers 429). It may send the request to any
// worker then, so the request must be harmless to repeat there, or certainly not have run.
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

// rejectOrFail gives the final answer at once: a rejection where that is permitted, else a failure (502). The rejection
// has a Retry-After where a late answer still earns something: see newOperation.
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
