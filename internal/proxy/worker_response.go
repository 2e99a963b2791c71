package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

var (
	errMalformedResponse = errors.New("malformed response")
	errTruncatedResponse = errors.New("response ended without a last line")
	errCloseRequested    = errors.New("worker closes the connection")
)

// workerResponse is a worker's response, as far as it decides the attempt.
type workerResponse struct {
	outcome  balancer.Outcome
	result   string        // of a succeeded attempt
	body     protocol.Body // its rest is still to be read, unless there is an error
	err      error         // nil where the connection can be used again after the rest of the body
	migrated bool          // the sibling process reads on; the other fields are not set
}

// readResponse reads a worker's response up to the line that decides the attempt. ctx is that of the attempt, which
// interrupts conn when it ends.
//
// The outcome follows from the state in that line (lineParser.parse), or without status 200 from the head: Overloaded
// where the worker declined the attempt, else WorkerError. A response that is malformed is a WorkerError too, and one
// that ends before such a line has the outcome of a lost connection.
func (a *attempt) readResponse(ctx context.Context, conn *transport.Conn) workerResponse {
	head, err := conn.ReadResponseHead()
	if err != nil {
		return workerResponse{outcome: a.lostHeadOutcome(ctx, conn, err), err: err}
	}
	body, err := protocol.ResponseBody(&head)
	if err != nil {
		return workerResponse{outcome: a.lostOutcome(ctx, err), body: body, err: err}
	}
	if head.Status != http.StatusOK {
		return unsuccessfulResponse(&head, body)
	}
	a.events.delivered()
	return a.readLines(ctx, conn, &head, body)
}

// unsuccessfulResponse returns a response with another status than 200.
func unsuccessfulResponse(head *protocol.Head, body protocol.Body) workerResponse {
	answer := workerResponse{outcome: balancer.WorkerError, body: body}
	if protocol.IsDeclined(head) {
		answer.outcome = balancer.Overloaded
	}
	if head.CloseRequested() || body.EndsWithConnection() {
		answer.err = errCloseRequested
	}
	return answer
}

// readLines reads the lines of a successful response up to the one that decides the attempt.
func (a *attempt) readLines(ctx context.Context, conn *transport.Conn, head *protocol.Head, body protocol.Body,
) workerResponse {
	lines := lineParser{attempt: a}
	err := conn.ReadChunks(&body, lines.write)
	if err == nil {
		lines.end()
	}
	if lines.err != nil {
		return workerResponse{outcome: balancer.WorkerError, body: body, err: lines.err}
	}
	if !lines.decided() {
		if err == nil {
			err = errTruncatedResponse
		}
		return workerResponse{outcome: a.lostOutcome(ctx, err), body: body, err: err}
	}
	answer := workerResponse{outcome: lines.outcome, result: lines.result, body: body}
	if head.CloseRequested() {
		answer.err = errCloseRequested
	}
	return answer
}

// undecided is the outcome of an attempt whose response has not decided it yet.
const undecided balancer.Outcome = 0

// lineParser parses the lines of a response as their bytes come, up to the one that decides the attempt.
type lineParser struct {
	attempt *attempt
	pending []byte           // a line that is not complete
	outcome balancer.Outcome // undecided up to the line that decides
	result  string           // of a succeeded attempt
	err     error            // errMalformedResponse, which ends the parsing
}

func (p *lineParser) decided() bool { return p.outcome != undecided }

// write parses the lines that are complete with the next bytes, and reports whether more bytes are needed.
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

// end parses the last line of a body that ended without a line end.
func (p *lineParser) end() {
	last := bytes.TrimSpace(p.pending)
	if !p.decided() && p.err == nil && len(last) > 0 {
		p.parse(last)
	}
}

// parse applies one line. A line with a state that is not listed here decides nothing.
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
