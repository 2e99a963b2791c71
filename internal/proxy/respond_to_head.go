package proxy

import (
	"net/http"
	"time"

	"canvasroute/internal/protocol"
)

// RespondToHead returns the response to a request that needs no body: a health check, an unknown path or method, or a
// request that is rejected before its body is read. It returns nil if Serve must handle the request.
func (p *Proxy) RespondToHead(h *protocol.Head) *protocol.Response {
	switch h.Path() {
	case protocol.PathHealth:
		return p.respondHealthCheck(h)
	case protocol.PathRequest:
		return p.respondToRequestHead(h)
	}
	return p.respondUnknownPath()
}

// respondHealthCheck returns the response to a health check of a load balancer.
func (p *Proxy) respondHealthCheck(h *protocol.Head) *protocol.Response {
	if h.Method != http.MethodGet && h.Method != http.MethodHead {
		return p.respondMethodNotAllowed("GET, HEAD")
	}
	if !p.isHealthy() {
		return respondUnhealthy()
	}
	return respondHealthy()
}

// respondToRequestHead returns the response to a request with a method other than POST, and to a request that is
// rejected because the process is drained or overloaded. It returns nil if Serve must handle the request.
func (p *Proxy) respondToRequestHead(h *protocol.Head) *protocol.Response {
	if h.Method != http.MethodPost {
		return p.respondMethodNotAllowed("POST")
	}
	if !p.lifecycle.PhaseAt(time.Now()).AdmitsRequests() {
		return p.rejectByHead(h)
	}
	if !p.admission.Admit() {
		p.counters.shed.Add(1)
		return p.rejectByHead(h)
	}
	return nil
}
