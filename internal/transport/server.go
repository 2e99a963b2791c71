package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// Bounds on waiting for clients.
const (
	firstRequestTimeout  = 2 * time.Second  // from connecting to a whole first message, and for all of no use so far
	requestReadTimeout   = 10 * time.Second // from a later message's first byte to its last
	responseWriteTimeout = 5 * time.Second  // for the client to take the answer
	idleTimeout          = 75 * time.Second // between messages
	lingerTimeout        = 500 * time.Millisecond
	finalRequestTimeout  = 500 * time.Millisecond // from the end of accepting to a message's last byte
	queueDrainTimeout    = 100 * time.Millisecond // for what is left in the listener's queue
	queuePollTimeout     = 2 * time.Millisecond   // without another one there: the queue is empty
)

// Handler answers what clients ask.
type Handler interface {
	// Serve answers what is asked whole. ctx ends when the client leaves; then there is no answer.
	Serve(ctx context.Context, h *protocol.Head, body []byte, came time.Time) *protocol.Response
	// Check answers at once what needs no body, or cannot be taken; nil if the body should be read.
	Check(h *protocol.Head) *protocol.Response
	// Overfull answers what comes on a connection beyond the budget; h is nil where no head has come.
	OverBudget(h *protocol.Head) *protocol.Response
	// Broken answers what cannot be read.
	MalformedRequest(err error) *protocol.Response
}

// Server takes clients' connections.
type Server struct {
	ln             *net.TCPListener
	handler        Handler
	log            zerolog.Logger
	clients        *clientLimiter
	bodyBudget     byteBudget
	lifecycle      *lifecycle.State
	conns          errgroup.Group
	listenerShared bool // the listener may be another process's too
}

// errClientClosed is the cause of an invocation's context that its client has ended.
var errClientClosed = errors.New("client left")

// NewServer makes a server of a listener. Beyond most connections there may be a sixteenth more for a moment.
// The bodies that are held at once have so many bytes at the most. The drain's state says which answers are
// the last ones of their connections, and whether a connection may stand idle.
func NewServer(ln *net.TCPListener, most int, bodies int64, handler Handler, state *lifecycle.State,
	log zerolog.Logger,
) *Server {
	s := &Server{
		ln: ln, handler: handler, log: log, lifecycle: state,
		clients: newClientLimiter(most, state),
	}
	s.bodyBudget.available.Store(max(bodies, protocol.MaxBodyBytes))
	return s
}

// Run accepts until ctx ends, and then waits for the connections it has; those that stand idle end at once,
// the others after the answer that they are owed.
func (s *Server) Run(ctx context.Context) error {
	woken := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(woken)
		s.ln.SetDeadline(pastDeadline)
	})
	defer s.ln.Close()
	for ctx.Err() == nil {
		s.clients.waitForCapacity(ctx)
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if isTimeout(err) { // it is to end, or Follow has ended the wait: a successor accepts in our place
			if !s.waitUntilAccepting(ctx) {
				break
			}
			continue
		}
		if err != nil { // descriptors ran out: wait for some to come free
			s.log.Warn().Err(err).Msg("accepting")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.start(nc)
	}
	if !stop() {
		<-woken // else it would end the wait for what is in the queue
	}
	phase := s.lifecycle.PhaseAt(time.Now())
	s.lifecycle.CloseIdle(time.Now())
	if phase.AcceptsConnections() {
		s.acceptQueued()
	}
	s.ln.Close()
	s.clients.closeIdle()
	return s.conns.Wait()
}

func (s *Server) start(nc net.Conn) {
	c := newConn(nc, Client, nc.RemoteAddr().String(), s.log, nil)
	over := s.clients.acquire(c)
	s.conns.Go(func() error {
		s.serveRequests(c, over)
		s.clients.release(c)
		return nil
	})
}

// acceptQueued takes what the system has accepted for this process and nobody will after it: as it stops
// listening, the system would reset it with no answer. It guards against clients that came while this process
// was busy with others, or waited for descriptors. Where others go on coming meanwhile, most wait outside.
func (s *Server) acceptQueued() {
	if !s.listenerShared { // a successor that has just started would go on with a queue of one
		if err := shrinkBacklog(s.ln); err != nil {
			s.log.Warn().Err(err).Msg("stops listening with the queue open")
		}
	}
	for end := time.Now().Add(queueDrainTimeout); time.Now().Before(end); {
		s.ln.SetDeadline(time.Now().Add(queuePollTimeout))
		nc, err := s.ln.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case isTimeout(err), errors.Is(err, net.ErrClosed):
			return
		default: // descriptors ran out
			time.Sleep(queuePollTimeout)
		}
	}
}

// ShareListener tells that the listener may be handed to another process. It is to be called before Run.
func (s *Server) ShareListener() { s.listenerShared = true }

// CloseAllAfter ends all connections that are still there after a span. It guards against a client that does not take
// its answer, or asks on and on, and would keep a process that ends from ending by itself.
func (s *Server) CloseAllAfter(after time.Duration) (stop func() bool) {
	return time.AfterFunc(after, s.clients.interruptAll).Stop
}

// waitUntilAccepting waits until this process is to accept. It returns false when ctx ends.
func (s *Server) waitUntilAccepting(ctx context.Context) bool {
	for ctx.Err() == nil {
		_, changed := s.lifecycle.NextChange(time.Now())
		if s.lifecycle.PhaseAt(time.Now()).AcceptsConnections() {
			s.ln.SetDeadline(time.Time{})
			// Else Follow's deadline, or that of the end, may have come before.
			if s.lifecycle.PhaseAt(time.Now()).AcceptsConnections() && ctx.Err() == nil {
				return true
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// SetLimit sets how many connections there may be from now on.
func (s *Server) SetLimit(most int) { s.clients.setLimit(most) }

// OpenConnections is how many connections there are.
func (s *Server) OpenConnections() int { return s.clients.open() }

// TakeOver does what a change of the drain's state asks for, until ctx ends: it ends the connections that stand
// idle where none may, and the wait for new ones where another process has them.
func (s *Server) TakeOver(ctx context.Context) error {
	for {
		wait, changed := s.lifecycle.NextChange(time.Now())
		phase := s.lifecycle.PhaseAt(time.Now())
		if !phase.KeepsIdleConnections() {
			s.clients.closeIdle()
		}
		if !phase.AcceptsConnections() {
			s.ln.SetDeadline(time.Unix(1, 0))
		}
		var passes <-chan time.Time
		if wait > 0 {
			passes = time.After(wait)
		}
		select {
		case <-changed:
		case <-passes:
		case <-ctx.Done():
			return nil
		}
	}
}

// serveRequests answers one connection's messages in turn.
func (s *Server) serveRequests(c *Conn, over bool) {
	for {
		why, err := s.exchange(c, over)
		if why != "" {
			c.CloseFor(why, err)
			return
		}
	}
}

// exchange reads one message and answers it. It returns the reason if the connection ends with it.
func (s *Server) exchange(c *Conn, over bool) (CloseReason, error) {
	h, err := c.ReadRequestHead(func() { s.clients.turn(c, stateReading) })
	if err != nil {
		return s.endAfterReadError(c, err)
	}
	c.acceptsInterim = h.AcceptsInterim()
	body, err := protocol.RequestBody(&h)
	if err != nil {
		return s.endAfterReadError(c, err)
	}
	if a := s.handler.Check(&h); a != nil {
		return s.reject(c, &h, body, a, over)
	}
	if h.ExpectsContinue() && body.Length() <= protocol.MaxBodyBytes {
		if err := c.Send(responseWriteTimeout, []byte(protocol.Continue)); err != nil {
			return CloseReasonOf(err), err
		}
	}
	room := body.MaxRead()
	if !s.bodyBudget.reserve(room) {
		return s.reject(c, &h, body, s.handler.OverBudget(&h), true)
	}
	defer func() { s.bodyBudget.release(room) }()
	content, err := c.ReadBody(body, protocol.MaxBodyBytes)
	if err != nil {
		return s.endAfterReadError(c, err)
	}
	came := time.Now()
	s.bodyBudget.release(room - int64(len(content))) // a chunked body could have been longer
	room = int64(len(content))
	s.clients.turn(c, stateServing)
	if over {
		return s.respond(c, s.handler.OverBudget(&h), true)
	}
	if !c.Reused() && c.closedWhileQueued() { // later messages do not wait: they are read as they come
		return ClientLeft, errClientClosed
	}
	return s.runHandler(c, h.CloseRequested(), func(ctx context.Context) *protocol.Response {
		return s.handler.Serve(ctx, &h, content, came)
	})
}

// runHandler answers what has been taken, while it watches for the client's end.
func (s *Server) runHandler(c *Conn, closes bool, serve func(context.Context) *protocol.Response) (CloseReason, error) {
	ctx, cancel := context.WithCancelCause(context.WithValue(context.Background(), clientKey{}, c))
	defer cancel(nil)
	c.stopCloseWatch = c.WatchForClose(func(err error) { cancel(fmt.Errorf("%w: %w", errClientClosed, err)) })
	a := serve(ctx)
	c.stopCloseWatch()
	switch {
	case a == nil:
		return ClientLeft, context.Cause(ctx)
	case a == protocol.Migrated:
		return Migrated, nil
	case !a.ClosesConnection():
		s.clients.markUseful(c)
	}
	return s.respond(c, a, closes)
}

// reject answers what is not taken. Its body is read over, so that the connection can go on; where it is
// too large, or its client waits for a word before it sends it, the connection ends instead.
func (s *Server) reject(c *Conn, h *protocol.Head, body protocol.Body, a *protocol.Response,
	over bool,
) (CloseReason, error) {
	ends := h.ExpectsContinue()
	if !ends {
		err := c.DiscardBody(body, protocol.MaxBodyBytes)
		if err != nil && CloseReasonOf(err) != Malformed {
			return CloseReasonOf(err), err
		}
		ends = err != nil
	}
	why, err := s.respond(c, a, ends || h.CloseRequested() || over)
	if ends && err == nil {
		c.lingeringClose(lingerTimeout)
	}
	return why, err
}

// endAfterReadError ends a connection with what is on it, with an answer if the client may still read one.
func (s *Server) endAfterReadError(c *Conn, err error) (CloseReason, error) {
	why := CloseReasonOf(err)
	evicted := why == TooSlow && s.clients.isEvicted(c)
	partly := c.readBuf.Len() > 0 || s.clients.isReading(c)
	switch {
	case evicted && partly:
		if _, sent := s.respond(c, s.handler.OverBudget(nil), true); sent == nil {
			c.lingeringClose(evictionGrace) // its place is wanted
		}
		return OverBudget, nil
	case why == TooSlow && !partly && c.hasUnreadData() && !c.Interrupted():
		c.SetTimeout(finalRequestTimeout) // what crossed the end of the wait is still read
		return "", nil
	case evicted:
		return OverBudget, nil
	case why == TooSlow && !partly && s.lifecycle.PhaseAt(time.Now()).ClosesAfterResponse():
		return Stopping, nil
	case why == TooSlow && !partly:
		return IdleRetired, nil
	case why == Malformed, why == TooSlow:
		if _, sent := s.respond(c, s.handler.MalformedRequest(err), true); sent == nil {
			c.lingeringClose(lingerTimeout)
		}
	case why == PeerClosed:
		return why, nil
	}
	return why, err
}

// lingeringClose lets the client read the answer before a reset for what it still sends throws that away.
func (c *Conn) lingeringClose(within time.Duration) {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetTimeout(within)
		for n := 0; n < protocol.MaxBodyBytes/ringSize*2; n++ {
			c.readBuf.Discard(c.readBuf.Len())
			if c.fill(false) != nil {
				return
			}
		}
	}
}

// respond sends an answer. As the process ends, one that would be the last of its connection is not as long as
// more has been read: a client that sends ahead has handed that in already, and nobody else will answer it.
func (s *Server) respond(c *Conn, a *protocol.Response, closes bool) (CloseReason, error) {
	phase := s.lifecycle.PhaseAt(time.Now())
	closes = closes || phase.ClosesAfterResponse() && !(phase.IsStopping() && c.readBuf.Len() > 0) //nolint:staticcheck // QF1001: a mutant names this guard
	if err := c.Send(responseWriteTimeout, protocol.AppendResponseHead(nil, a, closes), a.Body); err != nil {
		return CloseReasonOf(err), err
	}
	if closes {
		if !c.alive() { // it has sent more: a reset for that could throw the answer away
			c.lingeringClose(evictionGrace)
		}
		return CloseRequested, nil
	}
	s.clients.markIdle(c)
	return "", nil
}
