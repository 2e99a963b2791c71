package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// trailerTimeout bounds the wait for the end of a response after its last line has come.
const trailerTimeout = 250 * time.Millisecond

// attempt is one attempt of a request at a worker.
type attempt struct {
	proxy       *Proxy
	request     *protocol.Request
	settings    *settings
	number      int
	deadline    time.Time // of the client
	retryBefore time.Time // end of the retry window, zero where there is none
	freshness   transport.Freshness
	reused      bool // its connection has been used before
	migrated    bool // the sibling process continues it
	events      attemptEvents
	pause       *readPause
}

// attemptEvents report the progress of an attempt to the balancer.
type attemptEvents struct {
	sent      func() // its last byte was sent
	delivered func() // the worker has it
	started   func() // the worker executes it
	giveUp    func() // the request cannot be sent at all
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	outcome balancer.Outcome
	result  string // of a succeeded attempt
	// finish closes the connection or returns it to the pool, after the outcome has been reported. It may be nil.
	finish func()
}

// requiredFreshness is how sure an attempt must be that its connection is still open, by the operation. An operation
// that may not be executed twice needs the most. One that may be repeated in a group of workers alone must not take the
// end of an old connection for an answer.
var requiredFreshness = map[balancer.Idempotency]transport.Freshness{
	balancer.Idempotent:      transport.AnyConnection,
	balancer.IdempotentByKey: transport.Settled,
	balancer.NonIdempotent:   transport.VerifiedOnly,
}

func (p *Proxy) newAttempt(r *inFlightRequest, decision balancer.Decision) *attempt {
	number := decision.Attempt
	return &attempt{
		proxy: p, request: r.request, settings: r.settings, number: number, deadline: r.deadline,
		retryBefore: decision.SendBy, freshness: requiredFreshness[decision.Idempotency], pause: newReadPause(),
		events: attemptEvents{
			sent:      func() { r.handle.ReportSent(number) },
			delivered: func() { r.handle.ReportDelivered(number) },
			started:   func() { r.handle.ReportStarted(number) },
			giveUp:    r.handle.RejectOrFail,
		},
	}
}

// runAttempt runs an attempt and reports its outcome once, unless the sibling process continues it.
func (p *Proxy) runAttempt(r *inFlightRequest, a *attempt, results chan<- string, run func() attemptResult) {
	r.addAttempt(a.number, a)
	ended := run()
	r.removeAttempt(a.number)
	if a.migrated {
		ended.finish()
		return
	}
	p.counters.countOutcome(ended.outcome)
	if r.handle.Report(a.number, ended.outcome) {
		results <- ended.result
	}
	if ended.finish != nil {
		ended.finish()
	}
}

// run sends the attempt to a worker and waits for its response. ctx ends when the attempt is canceled or timed out.
func (a *attempt) run(ctx context.Context, worker balancer.WorkerID) attemptResult {
	notSent := attemptResult{outcome: balancer.NotSent}
	conn, err := a.connect(ctx, worker)
	if err != nil {
		return attemptResult{outcome: a.connectOutcome(ctx, worker, err)}
	}
	if ctx.Err() != nil {
		a.proxy.pool.Put(conn)
		return notSent
	}
	// Before it is sent: after a loss of power nobody else would know which worker has the key.
	if err := a.proxy.persistKey(ctx, a.settings, a.request, worker); err != nil {
		a.proxy.pool.Put(conn)
		a.proxy.log.Warn().Err(err).Msg("attempt not sent: key not persisted")
		a.events.giveUp()
		return notSent
	}
	if a.proxy.hooks.beforeSend != nil {
		a.proxy.hooks.beforeSend()
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	// While the connection was opened or the key written, the client may have left, the retry window may have ended, and
	// the worker may drain or be replaced. None of that is a failure of the worker.
	if ctx.Err() != nil || a.retryWindowEnded() || !a.proxy.endpoints.Accepts(worker, conn.Addr()) {
		if !stop() { // the interrupt has come or is about to: the pool must not keep the connection
			conn.Interrupt()
		}
		a.proxy.pool.Put(conn)
		return notSent
	}
	a.reused = conn.Reused()
	if err := a.send(conn, protocol.AppendWorkerRequest(nil, a.request, time.Until(a.deadline))); err != nil {
		stop()
		return attemptResult{outcome: a.sendOutcome(ctx, conn, err)}
	}
	a.events.sent()
	a.proxy.counters.sent.Add(1)
	return a.await(ctx, conn, stop)
}

// connect returns a connection to a worker. It waits up to the dial timeout and the end of the retry window.
func (a *attempt) connect(ctx context.Context, worker balancer.WorkerID) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.dialTimeout)
	defer cancel()
	if !a.retryBefore.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, a.retryBefore)
		defer cancelDeadline()
	}
	return a.proxy.pool.Get(ctx, a.proxy.endpoints.Endpoint(worker).Address, a.freshness)
}

// connectOutcome is the outcome of an attempt that got no connection.
func (a *attempt) connectOutcome(ctx context.Context, worker balancer.WorkerID, err error) balancer.Outcome {
	if ctx.Err() != nil || a.retryWindowEnded() {
		return balancer.NotSent
	}
	if errors.Is(err, transport.ErrPoolExhausted) { // no failure of the worker
		a.proxy.log.Warn().Msg("connection limit reached")
		return balancer.NotSent
	}
	address := a.proxy.endpoints.Endpoint(worker).Address
	a.proxy.log.Info().Str("side", "worker").Str("addr", address).Str("reason", "not_up").Err(err).
		Msg("connection failed")
	if errors.Is(err, syscall.ECONNREFUSED) {
		return balancer.ConnectionRefused
	}
	return balancer.NoConnection
}

// retryWindowEnded reports whether the worker might execute the attempt a second time if it were sent now.
func (a *attempt) retryWindowEnded() bool {
	return !a.retryBefore.IsZero() && !time.Now().Before(a.retryBefore)
}

// send sends the message. After an error the worker cannot have executed it: its last byte was not written.
func (a *attempt) send(conn *transport.Conn, message []byte) error {
	if a.reused && a.freshness != transport.AnyConnection {
		return conn.SendOnReused(a.settings.dialTimeout, message)
	}
	return conn.Send(a.settings.dialTimeout, message)
}

// sendOutcome closes the connection of an attempt that could not be sent, and returns the outcome.
func (a *attempt) sendOutcome(ctx context.Context, conn *transport.Conn, err error) balancer.Outcome {
	conn.CloseFor(closeReason(err, ctx.Err() != nil), err)
	if ctx.Err() != nil {
		return balancer.NotSent
	}
	if conn.Reused() { // the end of a connection that was kept is no failure of the worker
		a.proxy.pool.MarkSuspect(conn.Addr())
		return balancer.NotSent
	}
	return balancer.NoConnection
}

// resume continues an attempt that the sibling process had sent.
func (a *attempt) resume(ctx context.Context, conn *transport.Conn) attemptResult {
	return a.await(ctx, conn, context.AfterFunc(ctx, conn.Interrupt))
}

// await waits for the worker's response. stop prevents the interrupt of conn when ctx ends, and reports whether it did.
func (a *attempt) await(ctx context.Context, conn *transport.Conn, stop func() bool) attemptResult {
	if a.proxy.config.MigratesRequests {
		conn.StartRecording()
	}
	r := a.receive(ctx, conn)
	interrupted := !stop()
	conn.StopRecording()
	a.migrated = r.migrated
	if a.migrated {
		return attemptResult{finish: func() { conn.CloseFor(transport.Migrated, nil) }}
	}
	return attemptResult{r.outcome, r.result, func() {
		err := r.err
		if err == nil { // without its last chunk, the connection cannot be used again
			conn.SetReadTimeout(trailerTimeout)
			err = conn.ReadChunks(&r.body, func([]byte) bool { return true })
		}
		switch {
		case err != nil:
			conn.CloseFor(closeReason(err, interrupted), err)
		case interrupted:
			conn.CloseFor(transport.AttemptCanceled, nil)
		default:
			a.proxy.pool.Put(conn)
		}
	}}
}

// closeReason classifies the error that ends a connection.
func closeReason(err error, interrupted bool) transport.CloseReason {
	switch {
	case interrupted:
		return transport.AttemptCanceled
	case errors.Is(err, errMalformedResponse):
		return transport.Malformed
	case errors.Is(err, errCloseRequested):
		return transport.CloseRequested
	case errors.Is(err, errTruncatedResponse):
		return transport.PeerAborted
	}
	return transport.CloseReasonOf(err)
}
