package proxy

import (
	"net/http"
	"time"

	"canvasroute/internal/protocol"
)

// The answers to clients, by the decision that leads to each. The functions below count the answers that they return,
// except to health checks.
//
//   - 200: an attempt has succeeded. To a health check: there are workers, and the process serves.
//   - 400: the request is malformed, or its operation or tenant is unknown. (408, 413 and 431:
//     protocol.RejectionForError.)
//   - 404: the path is unknown.
//   - 405: the path does not have the method.
//   - 409: another request with the same ID is open.
//   - 429: the balancer has rejected the request, which may be sent again: it was not executed, or its operation is
//     idempotent in the whole fleet.
//   - 502: the request has failed, and its outcome is unknown.
//   - 503: the request was rejected before the balancer had it. The process is drained, stops too soon, recovers, is
//     overloaded, or has too many connections. To a health check: there are no workers, or the process drains or stops.
//
// A client that has left gets no answer, nor does one whose request the sibling process continues.

// respondSucceeded answers with the result of the attempt that succeeded.
func (p *Proxy) respondSucceeded(result string) *protocol.Response {
	p.counters.succeeded.Add(1)
	return &protocol.Response{Status: http.StatusOK, Body: []byte(result)}
}

// respondRejected answers a request that the balancer has rejected, and that may be sent again. retryAfter is the
// advice to the client, 0 for none.
func (p *Proxy) respondRejected(retryAfter time.Duration) *protocol.Response {
	p.counters.rejected.Add(1)
	return &protocol.Response{Status: http.StatusTooManyRequests, RetryAfter: retryAfter}
}

// respondUnavailable answers a valid request that is rejected before the balancer has it. retryAfter is the advice to
// the client, 0 for none.
func (p *Proxy) respondUnavailable(retryAfter time.Duration) *protocol.Response {
	p.counters.rejected.Add(1)
	return &protocol.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// respondFailed answers a request whose outcome is unknown. A rejection would say that it may be sent again.
func (p *Proxy) respondFailed() *protocol.Response {
	p.counters.failed.Add(1)
	return &protocol.Response{Status: http.StatusBadGateway}
}

// respondToNobody ends a request whose client has left.
func (p *Proxy) respondToNobody() *protocol.Response {
	p.counters.clientLeft.Add(1)
	return nil
}

// respondElsewhere ends a request here that the sibling process continues.
func (p *Proxy) respondElsewhere() *protocol.Response {
	p.counters.migrated.Add(1)
	return protocol.Migrated
}

// respondHealthy answers a health check.
func respondHealthy() *protocol.Response { return &protocol.Response{Status: http.StatusOK} }

// respondUnhealthy answers a health check.
func respondUnhealthy() *protocol.Response {
	return &protocol.Response{Status: http.StatusServiceUnavailable}
}

// MalformedRequest returns the answer to a request that cannot be parsed.
func (p *Proxy) MalformedRequest(err error) *protocol.Response {
	return p.refuseInvalid(protocol.RejectionForError(err))
}

// refuseDuplicateID answers a request whose ID another one has open. That one is not affected.
func (p *Proxy) refuseDuplicateID() *protocol.Response {
	return p.refuseInvalid(&protocol.Response{Status: http.StatusConflict})
}

// refusePath answers a request for an unknown path.
func (p *Proxy) refusePath() *protocol.Response {
	return p.refuseInvalid(&protocol.Response{Status: http.StatusNotFound})
}

// refuseMethod answers a request with a method that its path does not have; allowed are those that it has.
func (p *Proxy) refuseMethod(allowed string) *protocol.Response {
	return p.refuseInvalid(&protocol.Response{Status: http.StatusMethodNotAllowed, Allow: allowed})
}

// refuseInvalid counts the answer to an invalid request.
func (p *Proxy) refuseInvalid(answer *protocol.Response) *protocol.Response {
	p.counters.invalid.Add(1)
	return answer
}

// OverBudget returns the answer to a request for which there is no connection slot or no memory for its body; h is nil
// where no head was read. The
// request was sent to no worker.
func (p *Proxy) OverBudget(h *protocol.Head) *protocol.Response {
	p.counters.overBudget.Add(1)
	return p.rejectByHead(h)
}

// rejectByHead rejects a request before its body is read. It counts the answer for the request's operation where there
// is a head that names a known one.
func (p *Proxy) rejectByHead(h *protocol.Head) *protocol.Response {
	answer := &protocol.Response{Status: http.StatusServiceUnavailable, RetryAfter: p.settings.Load().maxRetryAfter}
	if h == nil {
		return answer
	}
	if counts := p.operations.of(h.Operation()); counts != nil {
		counts.countAnswer(answer)
	}
	return answer
}
