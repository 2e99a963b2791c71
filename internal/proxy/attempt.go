package proxy

import (
	"context"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// responseEndTimeout bounds the wait for the end of a response after the line with the result has come.
const responseEndTimeout = 250 * time.Millisecond

// attempt is one attempt of a request at a worker. The goroutine that runs it owns it, except for pause. While it is
// paused, the goroutine that migrates its request may read it.
type attempt struct {
	proxy     *Proxy
	request   *protocol.Request
	settings  *settings // those of the request
	number    int       // among the request's attempts
	deadline  time.Time // the client gives up then
	sendBy    time.Time // when the dedup window of an earlier attempt closes, zero for no bound
	freshness transport.Freshness
	reused    bool // its connection has been used before
	migrated  bool // the sibling process continues it
	events    attemptEvents
	pause     *readPause
}

// attemptEvents report the progress of an attempt to the balancer.
type attemptEvents struct {
	sent         func() // its last byte was written
	delivered    func() // the worker has received it
	started      func() // the worker executes it
	rejectOrFail func() // the whole request is to be rejected or failed, as it cannot be sent to any worker
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	outcome balancer.Outcome
	result  string // of a succeeded attempt
	// finish closes the connection or returns it to the pool. It is called once the outcome has been reported, as it
	// may have to wait for the end of the response. It is nil where there is no connection any more.
	finish func()
}

// requiredFreshness is how sure an attempt must be that its connection is still open, by the operation. An operation
// that may not be executed twice needs the most. One that only a group of workers may repeat must not take the end of
// an old connection for an answer.
var requiredFreshness = map[balancer.Idempotency]transport.Freshness{
	balancer.Idempotent:      transport.AnyConnection,
	balancer.IdempotentByKey: transport.Settled,
	balancer.NonIdempotent:   transport.VerifiedOnly,
}

func (p *Proxy) newAttempt(r *inFlightRequest, decision balancer.Decision) *attempt {
	number := decision.Attempt
	return &attempt{
		proxy:     p,
		request:   r.request,
		settings:  r.settings,
		number:    number,
		deadline:  r.deadline,
		sendBy:    decision.SendBy,
		freshness: requiredFreshness[decision.Idempotency],
		pause:     newReadPause(),
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

// runInBackground runs an attempt on a goroutine of its own, for which Proxy.Run waits. The attempt may outlast its
// request, as the settings may not allow cancellation.
func (p *Proxy) runInBackground(r *inFlightRequest, a *attempt, run func() attemptResult) {
	p.background.Go(func() error {
		p.runAttempt(r, a, run)
		return nil
	})
}

// runAttempt runs an attempt and reports its outcome once, unless the sibling process continues it.
func (p *Proxy) runAttempt(r *inFlightRequest, a *attempt, run func() attemptResult) {
	r.addAttempt(a)
	ended := run()
	r.removeAttempt(a)
	if a.migrated {
		ended.finish()
		return
	}
	p.counters.countOutcome(ended.outcome)
	if answersClient := r.handle.Report(a.number, ended.outcome); answersClient {
		r.result <- ended.result
	}
	if ended.finish != nil {
		ended.finish()
	}
}

// run sends the attempt to a worker and waits for its response. ctx ends when the balancer cancels the attempt, or when
// the client's deadline passes.
//
// A worker cannot have executed an attempt whose last byte was not written. Up to that byte, three events end the
// attempt without a trace (mayStillBeSent): ctx ends, the dedup window closes, or the worker is no longer ready. The
// balancer cancels ctx whenever the request is answered or its client leaves, also where the settings allow no
// cancellation.
//
// After the last byte, the worker ends the attempt by a response or a close, and ctx by its end. So does the pool, by an
// interrupt, once the endpoint list shows that the worker has restarted. The outcome says whether the attempt may have
// been executed (lostOutcome).
//
// The attempt counts as unsent until the balancer knows of its last byte (events.sent). From then on the balancer cancels
// ctx only by decisions that the settings allow, or as the process ends. Before, a client that leaves cancels an attempt
// whose last byte was just written, which is harmless, as nobody waits for it.
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
		a.events.rejectOrFail()
		return notSent
	}
	if a.proxy.hooks.beforeSend != nil {
		a.proxy.hooks.beforeSend()
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	if !a.mayStillBeSent(ctx, worker, conn.Addr()) {
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

// connect returns a connection to a worker. It waits up to the dial timeout and the close of the dedup window.
func (a *attempt) connect(ctx context.Context, worker balancer.WorkerID) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.dialTimeout)
	defer cancel()
	if !a.sendBy.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, a.sendBy)
		defer cancelDeadline()
	}
	return a.proxy.pool.Get(ctx, a.proxy.endpoints.Endpoint(worker).Address, a.freshness)
}

// mayStillBeSent reports whether what the balancer has decided still holds. Since then the connection was opened and
// the key persisted, which may have taken long. Meanwhile the client may have left, the dedup window may have closed,
// and the worker may drain or have another address. None of that is a failure of the worker.
func (a *attempt) mayStillBeSent(ctx context.Context, worker balancer.WorkerID, address string) bool {
	return ctx.Err() == nil && !a.dedupWindowClosed() && a.proxy.endpoints.IsReadyAt(worker, address)
}

// dedupWindowClosed reports whether the worker might execute the attempt a second time if it were sent now.
func (a *attempt) dedupWindowClosed() bool {
	return !a.sendBy.IsZero() && !time.Now().Before(a.sendBy)
}

// send sends the message. After an error the worker cannot have executed it: its last byte was not written.
func (a *attempt) send(conn *transport.Conn, message []byte) error {
	if a.reused && a.freshness != transport.AnyConnection {
		return conn.SendOnReused(a.settings.dialTimeout, message)
	}
	return conn.Send(a.settings.dialTimeout, message)
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
	answer := a.receive(ctx, conn)
	interrupted := !stop()
	conn.StopRecording()
	a.migrated = answer.migrated
	if a.migrated {
		return attemptResult{finish: func() { conn.CloseFor(transport.Migrated, nil) }}
	}
	return attemptResult{
		outcome: answer.outcome,
		result:  answer.result,
		finish:  func() { a.release(conn, answer, interrupted) },
	}
}

// release returns a connection to the pool, or closes it where it cannot be used again: the response did not end in
// time, or an interrupt has come. A connection can be used again only once the response was read to its end.
func (a *attempt) release(conn *transport.Conn, answer workerResponse, interrupted bool) {
	err := answer.err
	if err == nil {
		conn.SetReadTimeout(responseEndTimeout)
		err = conn.ReadChunks(&answer.body, func([]byte) bool { return true })
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
