package proxy

import (
	"net/http"
	"time"

	"canvasroute/internal/protocol"
)

// Responses to clients, by status. The functions below also count the requests, except health checks. Requests rejected
// because the process is drained are counted only for their operation (rejectByHead). respondDisconnected and
// respondMigrated count requests to which this process sends no response.
//
//   - 200: an attempt succeeded. For a health check: there are workers, and the process is serving.
//   - 400: the request is malformed, or its operation or tenant is unknown.
//   - 408, 413 and 431: the request could not be read, see protocol.RejectionForError.
//   - 404: the path is unknown.
//   - 405: the path does not support the method.
//   - 409: another request with the same ID is open, or may have been executed and must not be executed again.
//   - 429: the balancer rejected the request, and the client may retry it: it was not executed, or its operation is
//     idempotent.
//   - 502: the request failed, and its outcome is unknown.
//   - 503: the request was rejected before it was submitted to the balancer. The process is drained, recovering or
//     overloaded, has too many connections or too little memory for bodies, or stops before the request would complete.
//     For a health check: there is no endpoint list or no worker, or the process is recovering, draining or stopping.
//
// There is no response to a client that has disconnected, and none from this process if the sibling process continues
// the request.

// respondSucceeded returns the response with the result of the attempt that succeeded.
func (p *Proxy) respondSucceeded(result string) *protocol.Response {
	p.counters.succeeded.Add(1)
	return &protocol.Response{Status: http.StatusOK, Body: []byte(result)}
}

// respondRejected returns the response to a request that the balancer has rejected. The client may retry it after
// retryAfter; 0 omits Retry-After.
func (p *Proxy) respondRejected(retryAfter time.Duration) *protocol.Response {
	p.counters.rejected.Add(1)
	return &protocol.Response{Status: http.StatusTooManyRequests, RetryAfter: retryAfter}
}

// respondUnavailable returns the response to a valid request that is rejected before it is submitted to the balancer.
// The client may retry it after retryAfter; 0 omits Retry-After.
func (p *Proxy) respondUnavailable(retryAfter time.Duration) *protocol.Response {
	p.counters.rejected.Add(1)
	return &protocol.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// respondFailed returns the response to a request whose outcome is unknown. A rejection would allow the client to retry
// it.
func (p *Proxy) respondFailed() *protocol.Response {
	p.counters.failed.Add(1)
	return &protocol.Response{Status: http.StatusBadGateway}
}

// respondDisconnected counts a request whose client has disconnected, and returns no response.
func (p *Proxy) respondDisconnected() *protocol.Response {
	p.counters.clientDisconnected.Add(1)
	return nil
}

// respondMigrated counts a request that the sibling process continues, and returns protocol.Migrated.
func (p *Proxy) respondMigrated() *protocol.Response {
	p.counters.migrated.Add(1)
	return protocol.Migrated
}

// respondHealthy returns the response to a health check that succeeds.
func respondHealthy() *protocol.Response { return &protocol.Response{Status: http.StatusOK} }

// respondUnhealthy returns the response to a health check that fails.
func respondUnhealthy() *protocol.Response {
	return &protocol.Response{Status: http.StatusServiceUnavailable}
}

// RejectMalformed returns the response to a request that could not be read or is invalid. err is the reason, such as a
// read timeout, a parse error or an unknown operation.
func (p *Proxy) RejectMalformed(err error) *protocol.Response {
	return p.respondInvalid(protocol.RejectionForError(err))
}

// respondDuplicateID returns the response to a request with the ID of another open request, which is not affected.
func (p *Proxy) respondDuplicateID() *protocol.Response {
	return p.respondInvalid(&protocol.Response{Status: http.StatusConflict})
}

// respondUnknownPath returns the response to a request for an unknown path.
func (p *Proxy) respondUnknownPath() *protocol.Response {
	return p.respondInvalid(&protocol.Response{Status: http.StatusNotFound})
}

// respondMethodNotAllowed returns the response to a request with a method that its path does not support. allowed lists
// the supported methods.
func (p *Proxy) respondMethodNotAllowed(allowed string) *protocol.Response {
	return p.respondInvalid(&protocol.Response{Status: http.StatusMethodNotAllowed, Allow: allowed})
}

// respondInvalid counts an invalid request and returns its response.
func (p *Proxy) respondInvalid(response *protocol.Response) *protocol.Response {
	p.counters.invalid.Add(1)
	return response
}

// RejectOverBudget returns the response to a request that exceeds the connection limit or the memory limit for bodies.
// The request was not sent to any worker. h is nil if the connection was evicted before the request was read
// completely, even if its head was read.
func (p *Proxy) RejectOverBudget(h *protocol.Head) *protocol.Response {
	p.counters.overBudget.Add(1)
	return p.rejectByHead(h)
}

// rejectByHead returns the response to a request that is rejected before its body is read. If h names a known
// operation, the response is counted for the operation.
func (p *Proxy) rejectByHead(h *protocol.Head) *protocol.Response {
	response := &protocol.Response{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: p.settings.Load().unavailableRetryAfter,
	}
	if h == nil {
		return response
	}
	if counts := p.operations.get(h.Operation()); counts != nil {
		counts.countResponse(response)
	}
	return response
}
