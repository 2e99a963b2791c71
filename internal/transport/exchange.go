package transport

import (
	"context"
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/protocol"
)

// errClientClosed is the cause with which the context of a request is canceled if the client closes the connection.
var errClientClosed = errors.New("client closed the connection")

// clientRequest is a request whose head has been read.
type clientRequest struct {
	head protocol.Head
	body protocol.Body // framing of the body, which hasn't been read yet
}

// persistenceFor returns the persistence to announce in a response. isLast means that the connection is closed after
// the response.
func persistenceFor(isLast bool) protocol.Persistence {
	if isLast {
		return protocol.CloseAfterResponse
	}
	return protocol.KeepAlive
}

// serveRequests serves the requests on one connection until the connection is closed. A connection over the limit is
// closed after the first request.
func (s *Server) serveRequests(c *Conn, admission admissionResult) {
	for {
		c.pauseIfPipelined()
		reason, err := s.exchange(c, admission)
		if reason != keepOpen {
			c.CloseFor(reason, err)
			return
		}
	}
}

// pauseIfPipelined waits for pipelinePause if the client may have sent the next request without waiting for the last
// response. While requests that need no worker follow one another, the connection's goroutine would never wait, and the
// goroutines of other clients would wait for the end of its time slice at each of their steps.
func (c *Conn) pauseIfPipelined() {
	c.pipelined = c.readBuf.Len() > 0 || c.lastReadFilledBuffer
	if c.pipelined {
		time.Sleep(pipelinePause)
	}
}

// exchange reads one request and responds to it. It returns the reason for which the connection must be closed, with
// the error that caused it, or keepOpen.
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
	if rejection := s.handler.RespondToHead(&request.head); rejection != nil {
		return s.reject(c, request, rejection, persistenceFor(admission == overLimit))
	}
	if head.ExpectsContinue() && body.Length() <= protocol.MaxBodyBytes {
		if err := c.Send(responseWriteTimeout, []byte(protocol.Continue)); err != nil {
			return CloseReasonOf(err), err
		}
	}
	return s.readBodyAndServe(c, request, admission)
}

// readBodyAndServe reads the body of a request within the byte budget, and responds to the request. Its results, and
// those of the functions below, are the results of exchange.
func (s *Server) readBodyAndServe(c *Conn, request *clientRequest, admission admissionResult) (CloseReason, error) {
	reserved := request.body.MaxBufferBytes()
	if !s.bodyBudget.reserve(reserved) {
		return s.reject(c, request, s.handler.RejectOverBudget(&request.head), protocol.CloseAfterResponse)
	}
	defer func() { s.bodyBudget.release(reserved) }()
	content, err := c.ReadBody(request.body, protocol.MaxBodyBytes)
	if err != nil {
		return s.handleReadError(c, err)
	}
	receivedAt := time.Now()
	s.bodyBudget.release(reserved - int64(len(content))) // the reservation for a chunked body is its maximum length
	reserved = int64(len(content))
	s.clients.markServing(c)
	if admission == overLimit {
		return s.respond(c, s.handler.RejectOverBudget(&request.head), protocol.CloseAfterResponse)
	}
	mayHaveWaitedUnread := !c.Reused() || c.pipelined // a first request may have waited in the listener's queue
	if mayHaveWaitedUnread && c.closedWhileUnwatched() {
		return ClientClosed, errClientClosed
	}
	persistence := persistenceFor(request.head.CloseRequested())
	return s.serveAndRespond(c, persistence, func(ctx context.Context) *protocol.Response {
		return s.handler.Serve(ctx, &request.head, content, receivedAt)
	})
}

// serveAndRespond calls serve and sends the response that it returns. If the client closes the connection while serve
// runs, the context of serve is canceled.
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
		return ClientClosed, context.Cause(ctx)
	case response == protocol.Migrated:
		return Migrated, nil
	case !response.IsClientError():
		s.clients.markUseful(c)
	}
	return s.respond(c, response, persistence)
}

// reject sends response to a request that is not served. It reads and discards the body, so that the connection can be
// used for the next request. If the body can't be read because it is malformed, too large or withheld by the client
// until a 100 (Continue), the connection is closed (RFC 9110, 10.1.1; RFC 9112, 9.3).
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
		c.halfCloseAndDiscard(lingerTimeout)
	}
	return reason, err
}

// respond sends a response. If persistence or the lifecycle phase requires that the connection is closed after it,
// respond announces this in the response and returns CloseRequested.
//
// A stopping process keeps a connection open while pipelined requests are buffered (RFC 9112, 9.3.2). The client has
// sent these requests already, and no other process can respond to them.
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
		if c.readable() { // the client has sent more data: a reset caused by it could discard the response
			c.halfCloseAndDiscard(transitGrace)
		}
		return CloseRequested, nil
	}
	s.clients.markIdle(c)
	return keepOpen, nil
}

// handleReadError handles an error of reading a request. It sends an error response if the client may still read it.
func (s *Server) handleReadError(c *Conn, err error) (CloseReason, error) {
	reason := CloseReasonOf(err)
	switch reason {
	case TimedOut:
		return s.handleReadTimeout(c, err)
	case Malformed:
		s.respondMalformed(c, err)
	case PeerClosed:
		return reason, nil
	}
	return reason, err
}

// handleReadTimeout is handleReadError for an expired read deadline. The deadline was the idle timeout or the timeout
// of a partially received request, or it was set to evict the connection or to stop the process.
func (s *Server) handleReadTimeout(c *Conn, err error) (CloseReason, error) {
	evicted := s.clients.isEvicted(c)
	partial := c.readBuf.Len() > 0 || s.clients.isReading(c)
	switch {
	case evicted && partial:
		if _, sendErr := s.respond(c, s.handler.RejectOverBudget(nil), protocol.CloseAfterResponse); sendErr == nil {
			c.halfCloseAndDiscard(transitGrace) // no longer than this, because the slot is needed
		}
		return Evicted, nil
	case partial:
		s.respondMalformed(c, err)
		return TimedOut, err
	case c.hasUnreadData() && !c.Interrupted(): // a request was received as the deadline passed
		c.SetReadTimeout(finalRequestTimeout)
		return keepOpen, nil
	case evicted:
		return Evicted, nil
	case s.lifecycle.PhaseAt(time.Now()).ClosesAfterResponse():
		return Stopping, nil
	}
	return IdleTimeout, nil
}

// respondMalformed sends the error response for a request that could not be read. It then half-closes the connection
// and discards what the client still sends.
func (s *Server) respondMalformed(c *Conn, err error) {
	if _, sendErr := s.respond(c, s.handler.RejectMalformed(err), protocol.CloseAfterResponse); sendErr == nil {
		c.halfCloseAndDiscard(lingerTimeout)
	}
}
