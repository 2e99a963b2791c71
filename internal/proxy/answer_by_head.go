package proxy

import (
	"net/http"
	"time"

	"canvasroute/internal/protocol"
)

// RespondToHead answers what can be answered by the head alone: health checks, unknown paths and methods, and requests
// that are rejected before their body is read. It returns nil for a request that Serve should answer.
func (p *Proxy) RespondToHead(h *protocol.Head) *protocol.Response {
	switch h.Path() {
	case protocol.PathHealth:
		return p.answerHealthCheck(h)
	case protocol.PathRequest:
		return p.shedByHead(h)
	}
	return p.refusePath()
}

// answerHealthCheck answers a load balancer.
func (p *Proxy) answerHealthCheck(h *protocol.Head) *protocol.Response {
	if h.Method != http.MethodGet && h.Method != http.MethodHead {
		return p.refuseMethod("GET, HEAD")
	}
	if !p.healthy() {
		return respondUnhealthy()
	}
	return respondHealthy()
}

// shedByHead rejects a request where this process serves no more or is overloaded. It returns nil for one that is
// admitted so far.
func (p *Proxy) shedByHead(h *protocol.Head) *protocol.Response {
	if h.Method != http.MethodPost {
		return p.refuseMethod("POST")
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
