package balancer

import "slices"

// mayReject reports whether the request may be rejected (the proxy responds with 429). A rejection promises the client that
// a retry is harmless, on any worker and at any time. A deduplicated request that may have run is therefore not
// rejected, even if all workers would drop a repeat now: the client may retry when they have forgotten the key.
func (b *Balancer) mayReject(req *request) bool {
	if b.operations.byID[req.operation].idempotency == Idempotent {
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
