package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// inFlightRequest is a request from its admission to its answer.
type inFlightRequest struct {
	request        *protocol.Request
	settings       *settings // in force when it arrived
	handle         *balancer.RequestHandle
	deadline       time.Time // of its client
	closeRequested bool      // the client's connection ends with the answer
	acceptsInterim bool      // the client takes interim responses

	mu        sync.Mutex
	attempts  map[int]*attempt // in flight, by their numbers
	migration *migration       // set before Pick returns RespondElsewhere
}

func (r *inFlightRequest) addAttempt(number int, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[int]*attempt{}
	}
	r.attempts[number] = a
}

func (r *inFlightRequest) removeAttempt(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, number)
}

func (r *inFlightRequest) attemptsInFlight() map[int]*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.attempts)
}

// Serve answers one request that arrived at a time. It returns nil where the client left before its answer, when ctx
// ends, and protocol.Migrated where the sibling process will answer.
func (p *Proxy) Serve(ctx context.Context, h *protocol.Head, body []byte, arrivedAt time.Time) *protocol.Response {
	request, err := protocol.ParseRequest(h)
	if err != nil {
		return p.MalformedRequest(err)
	}
	current := p.settings.Load() // once: the request is served to its end under these
	arrival, err := current.arrivalOf(request)
	if err != nil {
		return p.MalformedRequest(err)
	}
	if !p.requestIDs.open(request.ID) { // the request that has this ID goes on undisturbed
		return p.refuseInvalid(&protocol.Response{Status: 409})
	}
	defer p.requestIDs.close(request.ID)
	request.Body = body
	r := &inFlightRequest{
		request: request, settings: current, deadline: arrivedAt.Add(request.Timeout),
		closeRequested: h.CloseRequested(), acceptsInterim: h.AcceptsInterim(),
	}
	return p.counted(request.Operation, func() *protocol.Response { return p.admit(ctx, r, arrival, h.IsRetry()) })
}

// admit answers a valid request: it rejects it, or submits it to the balancer. A process that stops rejects what it
// could not finish. isRetry is its client's mark of a repeat.
func (p *Proxy) admit(ctx context.Context, r *inFlightRequest, arrival balancer.Arrival, isRetry bool,
) *protocol.Response {
	phase := p.lifecycle.PhaseAt(time.Now())
	endsWithProcess := phase.IsStopping() && phase != lifecycle.StoppingHandedOff
	if !phase.AdmitsRequests() || endsWithProcess && p.balancer.WouldMissStop(arrival) {
		p.counters.rejected.Add(1)
		return &protocol.Response{Status: 503, RetryAfter: r.settings.maxRetryAfter}
	}
	if p.config.Recovery == nil {
		r.handle = p.balancer.Submit(arrival)
		return p.execute(ctx, r, make(chan string, 1))
	}
	admission := p.config.Recovery.Admit(arrival)
	if !admission.Admitted {
		p.counters.rejected.Add(1)
		return &protocol.Response{Status: 503, RetryAfter: admission.RetryAfter}
	}
	prior, err := p.priorAttempt(r, isRetry)
	if err != nil { // it may have been executed: a rejection would say that it was not
		admission.Done(false)
		p.counters.failed.Add(1)
		return &protocol.Response{Status: 502}
	}
	if prior == nil {
		r.handle = p.balancer.Submit(arrival)
	} else {
		r.handle = p.balancer.SubmitAfter(arrival, *prior)
	}
	response := p.execute(ctx, r, make(chan string, 1))
	admission.Done(response != nil && response.Status == 200)
	return response
}

// execute follows the balancer's decisions on a request up to its answer. The attempt that succeeds puts its result
// into results, which has room for one.
func (p *Proxy) execute(ctx context.Context, r *inFlightRequest, results chan string) *protocol.Response {
	if p.config.MigratesRequests {
		p.inFlight.Store(r, nil)
		defer p.inFlight.Delete(r)
	}
	for {
		decision, err := r.handle.Pick(ctx)
		if err != nil {
			r.cancelMigration()
			p.counters.clientLeft.Add(1)
			return nil
		}
		switch decision.Action {
		case balancer.SendAttempt:
			a := p.newAttempt(r, decision)
			p.background.Go(func() error {
				p.runAttempt(r, a, results, func() attemptResult { return a.run(decision.Ctx, decision.Worker) })
				return nil
			})
		case balancer.RespondResult:
			p.counters.succeeded.Add(1)
			return &protocol.Response{Status: 200, Body: []byte(<-results)}
		case balancer.RespondRejected:
			p.counters.rejected.Add(1)
			return &protocol.Response{Status: 429, RetryAfter: decision.RetryAfter.Standard()}
		case balancer.RespondElsewhere:
			return p.migrate(ctx, r)
		default:
			p.counters.failed.Add(1)
			return &protocol.Response{Status: 502}
		}
	}
}
