package proxy

import (
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/protocol"
)

// errNotReady is the error of a process that should get no new clients.
var errNotReady = errors.New("takes no clients")

// AnswerByHead answers what can be answered by the head alone: health checks, unknown paths and methods, and requests that are
// rejected before their body is read. It returns nil for a request that Serve should answer.
func (p *Proxy) AnswerByHead(h *protocol.Head) *protocol.Response {
	switch path := h.Path(); {
	case path == protocol.PathHealth && (h.Method == "GET" || h.Method == "HEAD"):
		if p.workersAvailable() != nil || !p.lifecycle.PhaseAt(time.Now()).Healthy() {
			return &protocol.Response{Status: 503}
		}
		return &protocol.Response{Status: 200}
	case path == protocol.PathHealth:
		return p.refuseInvalid(&protocol.Response{Status: 405, Allow: "GET, HEAD"})
	case path != protocol.PathRequest:
		return p.refuseInvalid(&protocol.Response{Status: 404})
	case h.Method != "POST":
		return p.refuseInvalid(&protocol.Response{Status: 405, Allow: "POST"})
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

// Ready returns nil while this process should get new clients, or else an error that says why not.
func (p *Proxy) Ready() error {
	if phase := p.lifecycle.PhaseAt(time.Now()); !phase.TakesClients() {
		return fmt.Errorf("%w: %v", errNotReady, phase)
	}
	return p.workersAvailable()
}

// workersAvailable returns nil where there are workers to send to.
func (p *Proxy) workersAvailable() error {
	switch {
	case !p.discovery.Answered():
		return fmt.Errorf("%w: no list of workers yet", errNotReady)
	case !p.endpoints.HasWorkers():
		return fmt.Errorf("%w: no worker is listed", errNotReady)
	}
	if p.config.Recovery != nil {
		if err := p.config.Recovery.Ready(); err != nil {
			return fmt.Errorf("%w: %w", errNotReady, err)
		}
	}
	return nil
}

// MalformedRequest returns the answer to a request that cannot be parsed.
func (p *Proxy) MalformedRequest(err error) *protocol.Response {
	return p.refuseInvalid(protocol.RejectionOf(err))
}

// OverBudget returns the answer to a request on a connection beyond the limit; h is nil where no head was read. The
// request was sent to no worker.
func (p *Proxy) OverBudget(h *protocol.Head) *protocol.Response {
	p.counters.overBudget.Add(1)
	return p.rejectByHead(h)
}

// rejectByHead rejects a request that was not admitted, and counts it for its operation where there is a head.
func (p *Proxy) rejectByHead(h *protocol.Head) *protocol.Response {
	response := &protocol.Response{Status: 503, RetryAfter: p.settings.Load().maxRetryAfter}
	if h == nil {
		return response
	}
	if counts := p.operations.of(h.Operation()); counts != nil {
		counts.countResponse(response)
	}
	return response
}

// refuseInvalid counts the answer to an invalid request.
func (p *Proxy) refuseInvalid(response *protocol.Response) *protocol.Response {
	p.counters.invalid.Add(1)
	return response
}
