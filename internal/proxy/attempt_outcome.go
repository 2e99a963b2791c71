package proxy

import (
	"context"
	"errors"
	"syscall"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// The outcome of an attempt that failed, by how far it got: connectOutcome without a connection, sendOutcome before its
// last byte, lostOutcome after it. The balancer derives from the outcome whether the attempt may have been executed,
// and whether the worker is at fault.

// connectOutcome returns the outcome of an attempt that got no connection, and logs it where the worker is at fault.
func (a *attempt) connectOutcome(ctx context.Context, worker balancer.WorkerID, err error) balancer.Outcome {
	if ctx.Err() != nil || a.dedupWindowClosed() {
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

// sendOutcome closes the connection of an attempt that could not be sent to its last byte, and returns the outcome. On a
// new connection that counts as no connection: the worker could not be reached.
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

// lostOutcome returns the outcome of an attempt that was sent and whose connection brings nothing more. err is the
// error of reading from it.
func (a *attempt) lostOutcome(ctx context.Context, err error) balancer.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), balancer.ErrAttemptCanceled):
		return balancer.Canceled
	case ctx.Err() != nil:
		return balancer.TimedOut
	case errors.Is(err, protocol.ErrMalformed), errors.Is(err, protocol.ErrTooLarge),
		errors.Is(err, protocol.ErrHeadTooLarge), errors.Is(err, errMalformedResponse):
		return balancer.WorkerError
	}
	return balancer.ConnectionReset
}

// lostHeadOutcome returns the outcome of an attempt of whose response no head could be read. A reused connection that
// has brought nothing may have ended before the attempt was sent on it.
func (a *attempt) lostHeadOutcome(ctx context.Context, conn *transport.Conn, err error) balancer.Outcome {
	outcome := a.lostOutcome(ctx, err)
	if outcome != balancer.ConnectionReset || !a.reused || !conn.NothingReceived() {
		return outcome
	}
	a.proxy.pool.MarkSuspect(conn.Addr())
	return balancer.ConnectionStale
}

// closeReason returns why a connection ends that an error has made useless. An interrupt is the reason before all
// others: it causes the error.
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
