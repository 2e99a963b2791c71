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
	errTruncatedResponse = errors.New("response ended without a final state")
	errCloseRequested    = errors.New("worker requested to close the connection")
	errUnattributed      = errors.New("response without a request ID on a reused connection")
)

// workerResponse is a worker's response, read up to the line that decides the outcome of the attempt.
type workerResponse struct {
	outcome         balancer.Outcome
	result          string        // result text if the attempt succeeded
	body            protocol.Body // the rest of the body must still be read unless err is set
	err             error         // nil if the connection can be reused after the rest of the body was read
	endedByExporter bool          // the exporter has ended the reader (endReader); the other fields are not set
}

// readResponse reads a worker's response up to the line that decides the outcome of the attempt. ctx is the context of
// the attempt, whose end interrupts conn.
//
// For status 200, the outcome is that of the state in the deciding line (lineParser.parse). For any other status, the
// outcome is Overloaded if the worker declined the attempt, and WorkerError otherwise. A malformed response is a
// WorkerError too. A response that ends before the deciding line has the outcome of a lost connection.
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
		return newUnsuccessfulResponse(&head, body, a.reused)
	}
	a.events.delivered()
	return a.readLines(ctx, conn, &head, body)
}

// newUnsuccessfulResponse returns the workerResponse for a head with a status other than 200. Such a response has no
// request ID. On a reused connection it may therefore be a late second response to an earlier request, and the response
// to this request may still follow. The connection is then closed: if it were reused, the next request would get the
// response to this one.
func newUnsuccessfulResponse(head *protocol.Head, body protocol.Body, reused bool) workerResponse {
	response := workerResponse{outcome: balancer.WorkerError, body: body}
	if protocol.IsDeclined(head) {
		response.outcome = balancer.Overloaded
	}
	switch {
	case head.CloseRequested() || body.EndsWithConnection():
		response.err = errCloseRequested
	case reused:
		response.err = errUnattributed
	}
	return response
}

// readLines reads the lines of a response with status 200 up to the line that decides the outcome.
func (a *attempt) readLines(ctx context.Context, conn *transport.Conn, head *protocol.Head, body protocol.Body,
) workerResponse {
	lines := lineParser{attempt: a}
	err := conn.ReadPieces(&body, lines.write)
	if err == nil {
		lines.finish()
	}
	if lines.err != nil {
		return workerResponse{outcome: balancer.WorkerError, body: body, err: lines.err}
	}
	if !lines.isDecided() {
		if err == nil {
			err = errTruncatedResponse
		}
		return workerResponse{outcome: a.lostOutcome(ctx, err), body: body, err: err}
	}
	response := workerResponse{outcome: lines.outcome, result: lines.result, body: body}
	if head.CloseRequested() {
		response.err = errCloseRequested
	}
	return response
}

// undecided is the outcome before the deciding line was parsed.
const undecided balancer.Outcome = 0

// lineParser parses the lines of a response incrementally, up to the line that decides the outcome of the attempt.
type lineParser struct {
	attempt *attempt
	pending []byte           // bytes received after the last complete line
	outcome balancer.Outcome // undecided until the deciding line was parsed
	result  string           // result text if the attempt succeeded
	err     error            // wraps errMalformedResponse; stops the parser
}

func (p *lineParser) isDecided() bool { return p.outcome != undecided }

// write adds data and parses the lines that are complete. It reports whether more data is needed.
func (p *lineParser) write(data []byte) (more bool) {
	p.pending = append(p.pending, data...)
	for !p.isDecided() && p.err == nil {
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
	return !p.isDecided() && p.err == nil
}

// finish parses the last line of a body that does not end with a newline.
func (p *lineParser) finish() {
	last := bytes.TrimSpace(p.pending)
	if !p.isDecided() && p.err == nil && len(last) > 0 {
		p.parse(last)
	}
}

// parse applies one line. Lines with other states than those below are ignored.
func (p *lineParser) parse(text []byte) {
	if len(text) == 0 {
		return
	}
	line, err := protocol.ParseWorkerLine(text)
	if err != nil {
		p.err = fmt.Errorf("%w: %w", errMalformedResponse, err)
		return
	}
	if line.ID != p.attempt.request.ID { // the result of another request must not reach this client
		p.err = fmt.Errorf("%w: line has the ID of another request: %.40q", errMalformedResponse, line.ID)
		return
	}
	switch line.State {
	case protocol.AttemptStarted:
		p.attempt.events.started()
	case protocol.AttemptDone:
		p.outcome = balancer.Succeeded
		p.result = line.Result
	case protocol.AttemptFailed:
		p.outcome = balancer.WorkerError
	case protocol.AttemptReturnedUnstarted:
		p.outcome = balancer.Overloaded
	case protocol.AttemptLost:
		p.outcome = balancer.ConnectionReset
	}
}
