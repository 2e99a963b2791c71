package proxy

import (
	"context"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// responseEndTimeout limits the time for reading the rest of a response whose outcome is already decided.
const responseEndTimeout = 250 * time.Millisecond

// attempt is one attempt of a request at a worker. It is owned by the goroutine that runs it, except for the field
// pause. While the attempt is paused, the goroutine that migrates its request may also read the other fields.
type attempt struct {
	proxy           *Proxy
	request         *protocol.Request
	settings        *settings // settings of the request
	number          int       // index among the request's attempts
	deadline        time.Time // when the client times out
	sendBy          time.Time // when the dedup window of an earlier attempt closes, zero for no limit
	reusePolicy     transport.ReusePolicy
	reused          bool // the connection had been used before this attempt
	endedByExporter bool // the attempt ended without an outcome, see endReader
	events          attemptEvents
	pause           *readPause
}

// attemptEvents are callbacks that report the progress of an attempt to the balancer.
type attemptEvents struct {
	sent         func() // the last byte of the attempt was written
	delivered    func() // the worker has received the attempt
	started      func() // the worker has started to execute the attempt
	rejectOrFail func() // the request cannot be sent to any worker and must be rejected or failed
}

// attemptResult is the result of an attempt that has ended.
type attemptResult struct {
	outcome balancer.Outcome
	result  string // result text if the attempt succeeded
	// finish closes the connection or returns it to the pool. It is called after the outcome has been reported, because
	// it may wait for the end of the response. It is nil if the attempt has no open connection.
	finish func()
}

// reusePolicies maps the idempotency of an operation to the policy for reusing idle connections. If a worker closes a
// reused connection during an attempt, it is unknown whether the attempt was executed. The policy depends on the
// consequences:
//   - Idempotent: the request can be retried at any worker, so any idle connection may be used.
//   - IdempotentByKey: retries would be limited to the group of workers that deduplicates the request, so an idle
//     connection must be settled.
//   - NonIdempotent: the request could not be retried, because it must not be executed twice. Its policy is therefore
//     the strictest.
var reusePolicies = map[balancer.Idempotency]transport.ReusePolicy{
	balancer.Idempotent:      transport.AnyConnection,
	balancer.IdempotentByKey: transport.Settled,
	balancer.NonIdempotent:   transport.SettledUnlessSuspect,
}

func (p *Proxy) newAttempt(r *inFlightRequest, decision balancer.Decision) *attempt {
	number := decision.Attempt
	return &attempt{
		proxy:       p,
		request:     r.request,
		settings:    r.settings,
		number:      number,
		deadline:    r.deadline,
		sendBy:      decision.SendBy,
		reusePolicy: reusePolicies[decision.Idempotency],
		pause:       newReadPause(),
		events: attemptEvents{
			sent:         func() { r.handle.ReportSent(number) },
			delivered:    func() { r.handle.ReportDelivered(number) },
			started:      func() { r.handle.ReportStarted(number) },
			rejectOrFail: r.handle.RejectOrFail,
		},
	}
}

// startAttempt starts the attempt that the balancer has decided on.
func (p *Proxy) startAttempt(r *inFlightRequest, decision balancer.Decision) {
	a := p.newAttempt(r, decision)
	p.runInBackground(r, a, func() attemptResult { return a.run(decision.Ctx, decision.Worker) })
}

// runInBackground runs an attempt on a new goroutine, which Proxy.Run waits for. The attempt may outlive its request,
// because the settings may not allow cancellation.
func (p *Proxy) runInBackground(r *inFlightRequest, a *attempt, run func() attemptResult) {
	p.background.Go(func() error {
		p.runAttempt(r, a, run)
		return nil
	})
}

// runAttempt runs an attempt and reports its outcome exactly once, unless the exporter has ended the attempt without an
// outcome (endReader).
func (p *Proxy) runAttempt(r *inFlightRequest, a *attempt, run func() attemptResult) {
	r.addAttempt(a)
	res := run()
	r.removeAttempt(a)
	if a.endedByExporter {
		res.finish()
		return
	}
	p.counters.countOutcome(res.outcome)
	if respondsToClient := r.handle.ReportOutcome(a.number, res.outcome); respondsToClient {
		r.result <- res.result
	}
	if res.finish != nil {
		res.finish()
	}
}

// run sends the attempt to a worker and waits for the response. ctx ends when the balancer cancels the attempt, or at
// the client's deadline.
//
// A worker cannot have executed an attempt whose last byte was not written. Until that byte is written, three events
// end the attempt without side effects (canStillSend): ctx ends, the dedup window closes, or the worker is no longer
// ready. The balancer cancels ctx whenever the request has a response or its client disconnects, even if the settings
// do not allow cancellation.
//
// After the last byte, the attempt ends with a response, when the worker closes the connection, or when ctx ends. The
// pool also interrupts the connection when the endpoint list shows that the worker has restarted. The outcome indicates
// whether the attempt may have been executed (lostOutcome).
//
// The balancer treats the attempt as unsent until events.sent reports the last byte. From then on the balancer
// cancels ctx only by decisions that the settings allow, or when the process exits. Before the report, a client that
// disconnects may cancel an attempt whose last byte was just written. That is harmless, because no client waits for the
// result.
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
	// The key is persisted before the attempt is sent: after a power loss, no other record shows which worker has it.
	if err := a.proxy.persistKey(ctx, a.settings, a.request, worker); err != nil {
		a.proxy.pool.Put(conn)
		a.proxy.log.Warn().Err(err).Msg("attempt not sent: key not persisted")
		a.events.rejectOrFail()
		return notSent
	}
	if a.proxy.hooks.beforeSend != nil {
		a.proxy.hooks.beforeSend()
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	if !a.canStillSend(ctx, worker, conn.Addr()) {
		if !stop() { // the interrupt has run or is about to run: the pool must not keep the connection
			conn.Interrupt()
		}
		a.proxy.pool.Put(conn)
		return notSent
	}
	a.reused = conn.Reused()
	if err := a.send(conn, protocol.AppendWorkerRequest(nil, a.request, time.Until(a.deadline))); err != nil {
		stop()
		return attemptResult{outcome: a.closeAfterSendError(ctx, conn, err)}
	}
	a.events.sent()
	a.proxy.counters.sent.Add(1)
	return a.awaitResponse(ctx, conn, stop)
}

// connect returns a connection to a worker. It waits at most until the dial timeout expires or the dedup window closes.
func (a *attempt) connect(ctx context.Context, worker balancer.WorkerID) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.dialTimeout)
	defer cancel()
	if !a.sendBy.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, a.sendBy)
		defer cancelDeadline()
	}
	return a.proxy.pool.Get(ctx, a.proxy.endpoints.Endpoint(worker).Address, a.reusePolicy)
}

// canStillSend reports whether the balancer's decision is still valid. Opening the connection and persisting the key
// may have taken a long time. Meanwhile the client may have disconnected, the dedup window may have closed, and the
// worker may have started to drain or have changed its address. None of these is a failure of the worker.
func (a *attempt) canStillSend(ctx context.Context, worker balancer.WorkerID, address string) bool {
	return ctx.Err() == nil && !a.dedupWindowClosed() && a.proxy.endpoints.IsReadyAt(worker, address)
}

// dedupWindowClosed reports whether the worker could execute the request a second time if the attempt were sent now.
func (a *attempt) dedupWindowClosed() bool {
	return !a.sendBy.IsZero() && !time.Now().Before(a.sendBy)
}

// send sends the message. If it returns an error, the last byte was not written, so the worker cannot have executed the
// attempt.
func (a *attempt) send(conn *transport.Conn, message []byte) error {
	if a.reused && a.reusePolicy != transport.AnyConnection {
		return conn.SendOnReused(a.settings.dialTimeout, message)
	}
	return conn.Send(a.settings.dialTimeout, message)
}

// resume continues an attempt that the sibling process sent.
func (a *attempt) resume(ctx context.Context, conn *transport.Conn) attemptResult {
	return a.awaitResponse(ctx, conn, context.AfterFunc(ctx, conn.Interrupt))
}

// awaitResponse waits for the worker's response. stop prevents the interrupt of conn at the end of ctx, and reports
// whether it did so in time.
func (a *attempt) awaitResponse(ctx context.Context, conn *transport.Conn, stop func() bool) attemptResult {
	if a.proxy.config.MigratesRequests {
		conn.StartRecording()
	}
	response := a.receiveResponse(ctx, conn)
	interrupted := !stop()
	conn.StopRecording()
	a.endedByExporter = response.endedByExporter
	if a.endedByExporter {
		return attemptResult{finish: func() { conn.CloseFor(transport.Migrated, nil) }}
	}
	return attemptResult{
		outcome: response.outcome,
		result:  response.result,
		finish:  func() { a.release(conn, response, interrupted) },
	}
}

// release returns a connection to the pool if it can be reused, and closes it otherwise. A connection can be reused
// only after the response was read to its end; it cannot if the response did not end in time or the connection was
// interrupted.
func (a *attempt) release(conn *transport.Conn, response workerResponse, interrupted bool) {
	err := response.err
	if err == nil {
		conn.SetReadTimeout(responseEndTimeout)
		err = conn.ReadPieces(&response.body, func([]byte) bool { return true })
	}
	switch {
	case err != nil:
		conn.CloseFor(closeReason(err, interrupted), err)
	case interrupted:
		conn.CloseFor(transport.AttemptCanceled, nil)
	default:
		a.proxy.pool.Put(conn)
	}
}
