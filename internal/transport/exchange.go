package transport

import (
	"context"
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/protocol"
)

// errClientClosed is the cause of a request's context that ended because its client closed the connection.
var errClientClosed = errors.New("client closed the connection")

// clientRequest is a request whose head was read.
type clientRequest struct {
	head protocol.Head
	body protocol.Body // its framing; the body isn't read yet
}

// persistenceOf returns what happens to a connection after a response, which may be its last one.
func persistenceOf(isLast bool) protocol.Persistence {
	if isLast {
		return protocol.CloseAfterResponse
	}
	return protocol.KeepAlive
}

// serveRequests serves one connection's requests until it is closed. A connection over the limit is closed after the
// first.
func (s *Server) serveRequests(c *Conn, admission admissionResult) {
	for {
		reason, err := s.exchange(c, admission)
		if reason != staysOpen {
			c.CloseFor(reason, err)
			return
		}
	}
}

// exchange reads one request and responds to it. It returns why the connection must be closed then, or staysOpen, and the
// error that led to it.
func (s *Server) exchange(c *Conn, admission admissionResult) (CloseReason, error) {
	head, err := c.ReadRequestHead(func() { s.clients.markReading(c) })
	if err != nil {
		return s.handleReadError(c, err)
	}
	c.acceptsInterim = head.AcceptsInterim()
	body, err := protocol.RequestBody(&head)
	if err != nil {
		return s.handleReadError(c, err)
	}
	request := &clientRequest{head: head, body: body}
	if rejection := s.handler.AnswerByHead(&request.head); rejection != nil {
		return s.reject(c, request, rejection, persistenceOf(admission == overLimit))
	}
	if head.ExpectsContinue() && body.Length() <= protocol.MaxBodyBytes {
		if err := c.Send(responseWriteTimeout, []byte(protocol.Continue)); err != nil {
			return CloseReasonOf(err), err
		}
	}
	return s.readBodyAndServe(c, request, admission)
}

// readBodyAndServe reads a request's body within the byte budget, and responds to the request. Its results are those of
// exchange, as are those of the functions below.
func (s *Server) readBodyAndServe(c *Conn, request *clientRequest, admission admissionResult) (CloseReason, error) {
	reserved := request.body.MaxBufferBytes()
	if !s.bodyBudget.reserve(reserved) {
		return s.reject(c, request, s.handler.OverBudget(&request.head), protocol.CloseAfterResponse)
	}
	defer func() { s.bodyBudget.release(reserved) }()
	content, err := c.ReadBody(request.body, protocol.MaxBodyBytes)
	if err != nil {
		return s.handleReadError(c, err)
	}
	received := time.Now()
	s.bodyBudget.release(reserved - int64(len(content))) // a chunked body could have been longer
	reserved = int64(len(content))
	s.clients.markServing(c)
	if admission == overLimit {
		return s.respond(c, s.handler.OverBudget(&request.head), protocol.CloseAfterResponse)
	}
	if !c.Reused() && c.closedWhileQueued() { // only the first request waits in the listener's queue
		return ClientLeft, errClientClosed
	}
	persistence := persistenceOf(request.head.CloseRequested())
	return s.serveAndRespond(c, persistence, func(ctx context.Context) *protocol.Response {
		return s.handler.Serve(ctx, &request.head, content, received)
	})
}

// serveAndRespond sends the response that serve returns. While serve runs, it watches for the client closing the
// connection, which ends serve's context.
func (s *Server) serveAndRespond(c *Conn, persistence protocol.Persistence,
	serve func(context.Context) *protocol.Response,
) (CloseReason, error) {
	ctx := context.WithValue(context.Background(), clientConnKey{}, c)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.stopCloseWatch = c.WatchForClose(func(err error) { cancel(fmt.Errorf("%w: %w", errClientClosed, err)) })
	response := serve(ctx)
	c.stopCloseWatch()
	switch {
	case response == nil:
		return ClientLeft, context.Cause(ctx)
	case response == protocol.Migrated:
		return Migrated, nil
	case !response.IsClientError():
		s.clients.markUseful(c)
	}
	return s.respond(c, response, persistence)
}

// reject sends the response to a request that isn't served. The body is read and dropped, so that the next request can
// follow. A body can't be read where it is malformed, too large or held back until a 100 (Continue). The connection is
// then closed (RFC 9110, 10.1.1; RFC 9112, 9.3).
func (s *Server) reject(c *Conn, request *clientRequest, response *protocol.Response, persistence protocol.Persistence,
) (CloseReason, error) {
	bodyUnread := request.head.ExpectsContinue()
	if !bodyUnread {
		err := c.DiscardBody(request.body, protocol.MaxBodyBytes)
		if err != nil && CloseReasonOf(err) != Malformed {
			return CloseReasonOf(err), err
		}
		bodyUnread = err != nil
	}
	if bodyUnread || request.head.CloseRequested() {
		persistence = protocol.CloseAfterResponse
	}
	reason, err := s.respond(c, response, persistence)
	if bodyUnread && err == nil {
		c.halfCloseAndDrain(lingerTimeout)
	}
	return reason, err
}

// respond sends a response. It is the connection's last one by persistence, or in a phase of the process that closes
// connections after a response.
//
// A stopping process keeps a connection open while pipelined requests are buffered (RFC 9112, 9.3.2). The client has sent
// those already, and nobody else will respond to them.
func (s *Server) respond(c *Conn, response *protocol.Response, persistence protocol.Persistence) (CloseReason, error) {
	phase := s.lifecycle.PhaseAt(time.Now())
	pipelined := phase.IsStopping() && c.readBuf.Len() > 0
	if phase.ClosesAfterResponse() && !pipelined {
		persistence = protocol.CloseAfterResponse
	}
	head := protocol.AppendResponseHead(nil, response, persistence)
	if err := c.Send(responseWriteTimeout, head, response.Body); err != nil {
		return CloseReasonOf(err), err
	}
	if persistence == protocol.CloseAfterResponse {
		if c.readable() { // the client has sent more: a reset for that could destroy the response
			c.halfCloseAndDrain(transitGrace)
		}
		return CloseRequested, nil
	}
	s.clients.markIdle(c)
	return staysOpen, nil
}

// handleReadError sends a response after an error of reading a request, where the client may still read one.
func (s *Server) handleReadError(c *Conn, err error) (CloseReason, error) {
	reason := CloseReasonOf(err)
	switch reason {
	case TooSlow:
		return s.handleReadTimeout(c, err)
	case Malformed:
		s.respondMalformed(c, err)
	case PeerClosed:
		return reason, nil
	}
	return reason, err
}

// handleReadTimeout is handleReadError for a read deadline that has passed. It is the idle timeout, or that of a request
// that has come in part. Or it was set to evict the connection or to stop the process.
func (s *Server) handleReadTimeout(c *Conn, err error) (CloseReason, error) {
	evicted := s.clients.isEvicted(c)
	partial := c.readBuf.Len() > 0 || s.clients.isReading(c)
	switch {
	case evicted && partial:
		if _, sendErr := s.respond(c, s.handler.OverBudget(nil), protocol.CloseAfterResponse); sendErr == nil {
			c.halfCloseAndDrain(transitGrace) // not longer: its slot is needed
		}
		return Evicted, nil
	case partial:
		s.respondMalformed(c, err)
		return TooSlow, err
	case c.hasUnreadData() && !c.Interrupted(): // a request came just as the deadline passed
		c.SetReadTimeout(finalRequestTimeout)
		return staysOpen, nil
	case evicted:
		return Evicted, nil
	case s.lifecycle.PhaseAt(time.Now()).ClosesAfterResponse():
		return Stopping, nil
	}
	return IdleTimeout, nil
}

// respondMalformed sends the response to a request that could not be read, and closes the sending side.
func (s *Server) respondMalformed(c *Conn, err error) {
	if _, sendErr := s.respond(c, s.handler.MalformedRequest(err), protocol.CloseAfterResponse); sendErr == nil {
		c.halfCloseAndDrain(lingerTimeout)
	}
}
