package proxy

import (
	"context"
	"net/http"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// The lifecycle of a request: Serve validates and counts it, rejectOrSubmit rejects it or submits it to the balancer,
// and execute follows the balancer's decisions until there is a response. Each attempt runs on a goroutine of its own
// (attempt.go).

// Serve handles one request, whose last byte was read at arrivedAt, and returns the response. It returns nil if the
// client disconnected or ctx ended before the response, and protocol.Migrated if the sibling process will respond.
func (p *Proxy) Serve(ctx context.Context, h *protocol.Head, body []byte, arrivedAt time.Time) *protocol.Response {
	request, err := protocol.ParseRequest(h)
	if err != nil {
		return p.RejectMalformed(err)
	}
	current := p.settings.Load() // loaded once: the request uses the same settings until it ends
	arrival, err := current.newArrival(request)
	if err != nil {
		return p.RejectMalformed(err)
	}
	switch free, err := p.requestIDs.open(request.ID); {
	case err != nil: // a request with the ID may be running at the successor
		p.log.Warn().Err(err).Str("id", request.ID).Msg("request ID not claimed")
		return p.respondFailed()
	case !free:
		return p.respondDuplicateID()
	}
	request.Body = body
	r := &inFlightRequest{
		request:        request,
		settings:       current,
		deadline:       arrivedAt.Add(request.Timeout),
		markedRetry:    h.IsRetry(),
		closeRequested: h.CloseRequested(),
		acceptsInterim: h.AcceptsInterim(),
		result:         newResultChannel(),
	}
	response := p.serveCounted(request.Operation, func() *protocol.Response { return p.rejectOrSubmit(ctx, r, arrival) })
	p.endRequestID(r, response)
	return response
}

// endRequestID frees the ID of a request that has ended, or retains it if the request must not be executed again. response
// is nil if the client has disconnected.
func (p *Proxy) endRequestID(r *inFlightRequest, response *protocol.Response) {
	if r.mustNotRepeat && mayHaveBeenExecuted(response) {
		p.requestIDs.retain(r.request.ID)
		return
	}
	p.requestIDs.close(r.request.ID)
}

// mayHaveBeenExecuted reports whether a request for which an attempt was started may have been executed, or may still be.
// The sibling process decides this for a migrated request.
func mayHaveBeenExecuted(response *protocol.Response) bool {
	if response == nil {
		return true
	}
	return response.Status == http.StatusOK || response.Status == http.StatusBadGateway
}

// rejectOrSubmit rejects a valid request if this process cannot finish it (canFinish) or Recovery does not admit it,
// and submits it to the balancer otherwise. Overload is checked before this, from the request head alone
// (RespondToHead), and afterwards by the balancer.
func (p *Proxy) rejectOrSubmit(ctx context.Context, r *inFlightRequest, arrival balancer.Arrival) *protocol.Response {
	if !p.canFinish(arrival) {
		return p.respondUnavailable(r.settings.unavailableRetryAfter)
	}
	if p.config.Recovery == nil {
		return p.submit(ctx, r, arrival)
	}
	admission := p.config.Recovery.Admit(arrival)
	if !admission.Admitted {
		return p.respondUnavailable(admission.RetryAfter)
	}
	response := p.submit(ctx, r, arrival)
	admission.Done(response != nil && response.Status == http.StatusOK)
	return response
}

// canFinish reports whether this process accepts new requests and can respond to this one before the process exits.
func (p *Proxy) canFinish(arrival balancer.Arrival) bool {
	phase := p.lifecycle.PhaseAt(time.Now())
	if !phase.AdmitsRequests() {
		return false
	}
	// If there is a successor, requests in flight are migrated to it before this process exits.
	endsWithProcess := phase.IsStopping() && phase != lifecycle.StoppingHandedOff
	return !endsWithProcess || !p.balancer.WouldMissStopDeadline(arrival)
}

// submit passes a request to the balancer, together with any earlier attempt that may have executed it, and returns the
// response. The request fails if it may have been executed at an unknown worker.
func (p *Proxy) submit(ctx context.Context, r *inFlightRequest, arrival balancer.Arrival) *protocol.Response {
	prior, err := p.findPriorAttempt(r)
	switch {
	case err != nil:
		return p.respondFailed()
	case prior != nil:
		r.handle = p.balancer.SubmitWithPriorAttempt(arrival, *prior)
	default:
		r.handle = p.balancer.Submit(arrival)
	}
	return p.execute(ctx, r)
}

// execute follows the balancer's decisions on a request until there is a response.
func (p *Proxy) execute(ctx context.Context, r *inFlightRequest) *protocol.Response {
	if p.config.MigratesRequests {
		p.inFlight.Store(r, nil)
		defer p.inFlight.Delete(r)
	}
	for {
		decision, err := r.handle.Pick(ctx)
		if err != nil { // the client disconnected, or ctx ended for another reason
			r.cancelMigration()
			return p.respondDisconnected()
		}
		switch decision.Action {
		case balancer.SendAttempt:
			r.mustNotRepeat = decision.Idempotency != balancer.Idempotent
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
