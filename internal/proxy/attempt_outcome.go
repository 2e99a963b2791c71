package proxy

import (
	"context"
	"errors"
	"syscall"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// The outcome of a failed attempt depends on its progress: connectOutcome returns it if no connection was obtained,
// closeAfterSendError if the last byte could not be written, and lostOutcome if the response could not be read. The
// balancer derives from the outcome whether the attempt may have been executed, and whether it counts as a failure of
// the worker.

// connectOutcome returns the outcome of an attempt that got no connection. It logs connection failures of the worker.
func (a *attempt) connectOutcome(ctx context.Context, worker balancer.WorkerID, err error) balancer.Outcome {
	if ctx.Err() != nil || a.dedupWindowClosed() {
		return balancer.NotSent
	}
	if errors.Is(err, transport.ErrPoolExhausted) { // not a failure of the worker
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

// closeAfterSendError closes the connection of an attempt whose last byte could not be written, and returns the
// outcome. On a new connection, the outcome is NoConnection, because the worker could not be reached.
func (a *attempt) closeAfterSendError(ctx context.Context, conn *transport.Conn, err error) balancer.Outcome {
	conn.CloseFor(closeReason(err, ctx.Err() != nil), err)
	if ctx.Err() != nil {
		return balancer.NotSent
	}
	if conn.Reused() { // the close of an idle connection is not a failure of the worker
		a.proxy.pool.MarkSuspect(conn.Addr())
		return balancer.NotSent
	}
	return balancer.NoConnection
}

// lostOutcome returns the outcome of an attempt that was sent and whose response cannot be read. err is the read error.
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

// lostHeadOutcome returns the outcome of an attempt whose response head could not be read. If a reused connection
// returned no bytes, the worker may have closed it before the attempt was sent.
func (a *attempt) lostHeadOutcome(ctx context.Context, conn *transport.Conn, err error) balancer.Outcome {
	outcome := a.lostOutcome(ctx, err)
	if outcome != balancer.ConnectionReset || !a.reused || !conn.NothingReceived() {
		return outcome
	}
	a.proxy.pool.MarkSuspect(conn.Addr())
	return balancer.ConnectionStale
}

// closeReason returns the reason for closing a connection after a read or write error. An interrupt takes precedence
// over all other reasons, because it causes the error.
func closeReason(err error, interrupted bool) transport.CloseReason {
	switch {
	case interrupted:
		return transport.AttemptCanceled
	case errors.Is(err, errMalformedResponse):
		return transport.Malformed
	case errors.Is(err, errCloseRequested):
		return transport.CloseRequested
	case errors.Is(err, errUnattributed):
		return transport.Unattributed
	case errors.Is(err, errTruncatedResponse):
		return transport.PeerAborted
	}
	return transport.CloseReasonOf(err)
}
