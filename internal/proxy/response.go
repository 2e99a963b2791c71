package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

var (
	errMalformedResponse = errors.New("malformed response")
	errTruncatedResponse = errors.New("response ended without a last line")
	errCloseRequested    = errors.New("worker closes the connection")
)

// response is a worker's response, as far as it decides the attempt.
type response struct {
	outcome  balancer.Outcome
	result   string        // of a succeeded attempt
	body     protocol.Body // its rest is still to be read, unless there is an error
	err      error         // the connection cannot be used any more
	migrated bool          // the sibling process reads on; the other fields are not set
}

// readResponse reads a worker's response up to the line that decides the attempt.
func (a *attempt) readResponse(ctx context.Context, conn *transport.Conn) response {
	head, err := conn.ReadResponseHead()
	if err != nil {
		outcome := a.lostOutcome(ctx, err)
		if outcome == balancer.ConnectionReset && a.reused && conn.NothingReceived() {
			// The connection may have ended before the attempt was sent on it.
			a.proxy.pool.MarkSuspect(conn.Addr())
			outcome = balancer.ConnectionStale
		}
		return response{outcome: outcome, err: err}
	}
	body, err := protocol.ResponseBody(&head)
	if err != nil {
		return response{outcome: a.lostOutcome(ctx, err), body: body, err: err}
	}
	if head.Status != 200 {
		return unsuccessful(&head, body)
	}
	a.events.delivered()
	lines := lineParser{attempt: a}
	err = conn.ReadChunks(&body, lines.write)
	if err == nil {
		lines.end()
	}
	switch {
	case lines.err != nil:
		return response{outcome: balancer.WorkerError, body: body, err: lines.err}
	case lines.decided() && head.CloseRequested():
		return response{outcome: lines.outcome, result: lines.result, body: body, err: errCloseRequested}
	case lines.decided():
		return response{outcome: lines.outcome, result: lines.result, body: body}
	case err == nil:
		err = errTruncatedResponse
	}
	return response{outcome: a.lostOutcome(ctx, err), body: body, err: err}
}

// unsuccessful is a response with another status than 200.
func unsuccessful(head *protocol.Head, body protocol.Body) response {
	r := response{outcome: balancer.WorkerError, body: body}
	if protocol.Declined(head) {
		r.outcome = balancer.Overloaded
	}
	if head.CloseRequested() || body.EndsWithConnection() {
		r.err = errCloseRequested
	}
	return r
}

// lostOutcome is the outcome of an attempt that was sent and whose connection brings nothing more.
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

// lineParser parses the lines of a response as their bytes come, up to the one that decides the attempt.
type lineParser struct {
	attempt *attempt
	pending []byte           // a line that is not complete
	outcome balancer.Outcome // 0 while the attempt is not decided
	result  string
	err     error
}

func (p *lineParser) decided() bool { return p.outcome != 0 }

// write takes the next bytes, and reports whether more are needed.
func (p *lineParser) write(data []byte) (more bool) {
	p.pending = append(p.pending, data...)
	for !p.decided() && p.err == nil {
		line, remainder, complete := bytes.Cut(p.pending, []byte("\n"))
		if !complete {
			break
		}
		p.parse(bytes.TrimSpace(line))
		p.pending = remainder
	}
	if len(p.pending) > protocol.MaxLineBytes {
		p.err = fmt.Errorf("%w: line too long", errMalformedResponse)
	}
	return !p.decided() && p.err == nil
}

// end parses what the body ended with, if that line had no line end.
func (p *lineParser) end() {
	last := bytes.TrimSpace(p.pending)
	if !p.decided() && p.err == nil && len(last) > 0 {
		p.parse(last)
	}
}

func (p *lineParser) parse(text []byte) {
	if len(text) == 0 {
		return
	}
	line, err := protocol.ParseLine(text)
	if err != nil {
		p.err = fmt.Errorf("%w: %w", errMalformedResponse, err)
		return
	}
	if line.ID != p.attempt.request.ID { // the result of another request must not reach this client
		p.err = fmt.Errorf("%w: a line for %.40q", errMalformedResponse, line.ID)
		return
	}
	switch line.State {
	case protocol.Started:
		p.attempt.events.started()
	case protocol.Done:
		p.outcome = balancer.Succeeded
		p.result = line.Result
	case protocol.Failed:
		p.outcome = balancer.WorkerError
	case protocol.ReturnedUnstarted:
		p.outcome = balancer.Overloaded
	case protocol.Lost:
		p.outcome = balancer.ConnectionReset
	}
}
