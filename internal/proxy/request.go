package proxy

import (
	"context"
	"net/http"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// The life of a request: Serve checks it, admit rejects it or submits it to the balancer, and execute follows the
// balancer's decisions up to its answer. Each attempt runs beside that (attempt.go).

// Serve answers one request whose last byte was read at arrivedAt. It returns nil where the client left before its
// answer or ctx ended, and protocol.Migrated where the sibling process will answer.
func (p *Proxy) Serve(ctx context.Context, h *protocol.Head, body []byte, arrivedAt time.Time) *protocol.Response {
	request, err := protocol.ParseRequest(h)
	if err != nil {
		return p.RejectMalformed(err)
	}
	current := p.settings.Load() // once: the request is served to its end under these
	arrival, err := current.arrivalOf(request)
	if err != nil {
		return p.RejectMalformed(err)
	}
	if !p.requestIDs.open(request.ID) {
		return p.refuseDuplicateID()
	}
	defer p.requestIDs.close(request.ID)
	request.Body = body
	r := &inFlightRequest{
		request:        request,
		settings:       current,
		deadline:       arrivedAt.Add(request.Timeout),
		markedRepeat:   h.IsRetry(),
		closeRequested: h.CloseRequested(),
		acceptsInterim: h.AcceptsInterim(),
		result:         newResultChannel(),
	}
	return p.counted(request.Operation, func() *protocol.Response { return p.admit(ctx, r, arrival) })
}

// admit answers a valid request. It rejects the request while the process stops or recovers, and submits it otherwise.
// Overload is decided on before, by the head alone (RespondToHead), and afterwards by the balancer.
func (p *Proxy) admit(ctx context.Context, r *inFlightRequest, arrival balancer.Arrival) *protocol.Response {
	if !p.canFinish(arrival) {
		return p.respondUnavailable(r.settings.maxRetryAfter)
	}
	if p.config.Recovery == nil {
		return p.submit(ctx, r, arrival)
	}
	admission := p.config.Recovery.Admit(arrival)
	if !admission.Admitted {
		return p.respondUnavailable(admission.RetryAfter)
	}
	answer := p.submit(ctx, r, arrival)
	admission.Done(answer != nil && answer.Status == http.StatusOK)
	return answer
}

// canFinish reports whether this process serves new requests, and would have answered one with this arrival before it
// ends.
func (p *Proxy) canFinish(arrival balancer.Arrival) bool {
	phase := p.lifecycle.PhaseAt(time.Now())
	if !phase.AdmitsRequests() {
		return false
	}
	// With a successor, requests in flight are migrated at the end.
	endsWithProcess := phase.IsStopping() && phase != lifecycle.StoppingHandedOff
	return !endsWithProcess || !p.balancer.WouldMissStop(arrival)
}

// submit passes a request to the balancer, with where it may have been executed before, and answers it. Where it may
// have been executed at an unknown worker, the request fails.
func (p *Proxy) submit(ctx context.Context, r *inFlightRequest, arrival balancer.Arrival) *protocol.Response {
	prior, err := p.priorAttempt(r)
	switch {
	case err != nil:
		return p.respondFailed()
	case prior != nil:
		r.handle = p.balancer.SubmitAfter(arrival, *prior)
	default:
		r.handle = p.balancer.Submit(arrival)
	}
	return p.execute(ctx, r)
}

// execute follows the balancer's decisions on a request up to its answer.
func (p *Proxy) execute(ctx context.Context, r *inFlightRequest) *protocol.Response {
	if p.config.MigratesRequests {
		p.inFlight.Store(r, nil)
		defer p.inFlight.Delete(r)
	}
	for {
		decision, err := r.handle.Pick(ctx)
		if err != nil { // the client has left, or ctx has ended otherwise
			r.cancelMigration()
			return p.respondToNobody()
		}
		switch decision.Action {
		case balancer.SendAttempt:
			p.startAttempt(r, decision)
		case balancer.RespondResult:
			return p.respondSucceeded(<-r.result)
		case balancer.RespondRejected:
			return p.respondRejected(decision.RetryAfter.Standard())
		case balancer.RespondElsewhere:
			return p.migrate(ctx, r)
		default: // balancer.RespondFailed
			return p.respondFailed()
		}
	}
}
