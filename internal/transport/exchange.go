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

// clientRequest is a request of which the head was read.
type clientRequest struct {
	head protocol.Head
	body protocol.Body // how it is framed; it isn't read yet
}

// serveRequests serves one connection's requests until it is closed. One that is over the limit is closed after the
// first.
func (s *Server) serveRequests(c *Conn, overLimit bool) {
	for {
		reason, err := s.exchange(c, overLimit)
		if reason != "" {
			c.CloseFor(reason, err)
			return
		}
	}
}

// exchange reads one request and responds to it. It returns why the connection is to be closed after it, "" if it stays
// open, and the error that led to that.
func (s *Server) exchange(c *Conn, overLimit bool) (CloseReason, error) {
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
		return s.reject(c, request, rejection, overLimit)
	}
	if head.ExpectsContinue() && body.Length() <= protocol.MaxBodyBytes {
		if err := c.Send(responseWriteTimeout, []byte(protocol.Continue)); err != nil {
			return CloseReasonOf(err), err
		}
	}
	return s.readBodyAndServe(c, request, overLimit)
}

// readBodyAndServe reads a request's body within the byte budget, and responds to the request.
func (s *Server) readBodyAndServe(c *Conn, request *clientRequest, overLimit bool) (CloseReason, error) {
	reserved := request.body.MaxRead()
	if !s.bodyBudget.reserve(reserved) {
		return s.reject(c, request, s.handler.OverBudget(&request.head), true)
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
	if overLimit {
		return s.respond(c, s.handler.OverBudget(&request.head), true)
	}
	if !c.Reused() && c.closedWhileQueued() { // only the first request waits in the listener's queue
		return ClientLeft, errClientClosed
	}
	return s.serveAndRespond(c, request.head.CloseRequested(), func(ctx context.Context) *protocol.Response {
		return s.handler.Serve(ctx, &request.head, content, received)
	})
}

// serveAndRespond sends the response that serve returns. Meanwhile it watches for the client closing the connection,
// which ends serve's context.
func (s *Server) serveAndRespond(c *Conn, closeRequested bool, serve func(context.Context) *protocol.Response,
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
	return s.respond(c, response, closeRequested)
}

// reject sends the response to a request that isn't served. The body is read and dropped, so that the next request can
// follow. Where that can't be done, as the body is malformed, too large or held back until a 100 (Continue), the
// connection is closed instead (RFC 9110, 10.1.1; RFC 9112, 9.3).
func (s *Server) reject(c *Conn, request *clientRequest, response *protocol.Response, closes bool) (CloseReason, error) {
	bodyUnread := request.head.ExpectsContinue()
	if !bodyUnread {
		err := c.DiscardBody(request.body, protocol.MaxBodyBytes)
		if err != nil && CloseReasonOf(err) != Malformed {
			return CloseReasonOf(err), err
		}
		bodyUnread = err != nil
	}
	reason, err := s.respond(c, response, bodyUnread || request.head.CloseRequested() || closes)
	if bodyUnread && err == nil {
		c.halfCloseAndDrain(lingerTimeout)
	}
	return reason, err
}

// respond sends a response, and announces the close where closes is set or the process is in a phase that closes
// connections after a response. A stopping process keeps one open as long as pipelined requests are buffered (RFC 9112,
// 9.3.2): the client has sent those already, and nobody else will respond to them.
func (s *Server) respond(c *Conn, response *protocol.Response, closes bool) (CloseReason, error) {
	phase := s.lifecycle.PhaseAt(time.Now())
	pipelined := phase.IsStopping() && c.readBuf.Len() > 0
	closes = closes || phase.ClosesAfterResponse() && !pipelined
	persistence := protocol.KeepAlive
	if closes {
		persistence = protocol.CloseAfterResponse
	}
	head := protocol.AppendResponseHead(nil, response, persistence)
	if err := c.Send(responseWriteTimeout, head, response.Body); err != nil {
		return CloseReasonOf(err), err
	}
	if closes {
		if c.readable() { // the client has sent more: a reset for that could destroy the response
			c.halfCloseAndDrain(transitGrace)
		}
		return CloseRequested, nil
	}
	s.clients.markIdle(c)
	return "", nil
}

// handleReadError ends a connection on which reading a request failed, with a response where the client may still read
// one. It returns no reason if the connection stays open after all.
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

// handleReadTimeout is handleReadError for a read deadline that passed: the idle timeout, one set to evict the
// connection or to stop the process, or that of a request that came in part.
func (s *Server) handleReadTimeout(c *Conn, err error) (CloseReason, error) {
	evicted := s.clients.isEvicted(c)
	partial := c.readBuf.Len() > 0 || s.clients.isReading(c)
	switch {
	case evicted && partial:
		if _, sendErr := s.respond(c, s.handler.OverBudget(nil), true); sendErr == nil {
			c.halfCloseAndDrain(transitGrace) // not longer: its slot is needed
		}
		return Evicted, nil
	case partial:
		s.respondMalformed(c, err)
		return TooSlow, err
	case c.hasUnreadData() && !c.Interrupted(): // a request came just as the deadline passed
		c.SetReadTimeout(finalRequestTimeout)
		return "", nil
	case evicted:
		return Evicted, nil
	case s.lifecycle.PhaseAt(time.Now()).ClosesAfterResponse():
		return Stopping, nil
	}
	return IdleTimeout, nil
}

// respondMalformed responds to a request that could not be read.
func (s *Server) respondMalformed(c *Conn, err error) {
	if _, sendErr := s.respond(c, s.handler.MalformedRequest(err), true); sendErr == nil {
		c.halfCloseAndDrain(lingerTimeout)
	}
}
