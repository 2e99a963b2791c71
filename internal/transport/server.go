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
	firstWithin  = 2 * time.Second  // from connecting to a whole first message, and for all of no use so far
	askWithin    = 10 * time.Second // from a later message's first byte to its last
	answerWithin = 5 * time.Second  // for the client to take the answer
	idleWithin   = 75 * time.Second // between messages
	lingerWithin = 500 * time.Millisecond
	lastWithin   = 500 * time.Millisecond // from the end of accepting to a message's last byte
	queueWithin  = 100 * time.Millisecond // for what is left in the listener's queue
	queuePause   = 2 * time.Millisecond   // without another one there: the queue is empty
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
	ln      *net.TCPListener
	handler Handler
	log     zerolog.Logger
	places  *places
	bodies  allowance
	drain   *lifecycle.State
	conns   errgroup.Group
	lent    bool // the listener may be another process's too
}

// errClientLeft is the cause of an invocation's context that its client has ended.
var errClientLeft = errors.New("client left")

// NewServer makes a server of a listener. Beyond most connections there may be a sixteenth more for a moment.
// The bodies that are held at once have so many bytes at the most. The drain's state says which answers are
// the last ones of their connections, and whether a connection may stand idle.
func NewServer(ln *net.TCPListener, most int, bodies int64, handler Handler, state *lifecycle.State,
	log zerolog.Logger,
) *Server {
	s := &Server{
		ln: ln, handler: handler, log: log, drain: state,
		places: newPlaces(most, state),
	}
	s.bodies.left.Store(max(bodies, protocol.MaxBodyBytes))
	return s
}

// Run accepts until ctx ends, and then waits for the connections it has; those that stand idle end at once,
// the others after the answer that they are owed.
func (s *Server) Run(ctx context.Context) error {
	woken := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(woken)
		s.ln.SetDeadline(passed)
	})
	defer s.ln.Close()
	for ctx.Err() == nil {
		s.places.wait(ctx)
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if isTimeout(err) { // it is to end, or Follow has ended the wait: a successor accepts in our place
			if !s.accepting(ctx) {
				break
			}
			continue
		}
		if err != nil { // descriptors ran out: wait for some to come free
			s.log.Warn().Err(err).Msg("accepting")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.take(nc)
	}
	if !stop() {
		<-woken // else it would end the wait for what is in the queue
	}
	phase := s.drain.PhaseAt(time.Now())
	s.drain.CloseIdle(time.Now())
	if phase.AcceptsConnections() {
		s.takeQueued()
	}
	s.ln.Close()
	s.places.retire()
	return s.conns.Wait()
}

func (s *Server) take(nc net.Conn) {
	c := newConn(nc, Client, nc.RemoteAddr().String(), s.log, nil)
	over := s.places.admit(c)
	s.conns.Go(func() error {
		s.serve(c, over)
		s.places.leave(c)
		return nil
	})
}

// takeQueued takes what the system has accepted for this process and nobody will after it: as it stops
// listening, the system would reset it with no answer. It guards against clients that came while this process
// was busy with others, or waited for descriptors. Where others go on coming meanwhile, most wait outside.
func (s *Server) takeQueued() {
	if !s.lent { // a successor that has just started would go on with a queue of one
		if err := narrow(s.ln); err != nil {
			s.log.Warn().Err(err).Msg("stops listening with the queue open")
		}
	}
	for end := time.Now().Add(queueWithin); time.Now().Before(end); {
		s.ln.SetDeadline(time.Now().Add(queuePause))
		nc, err := s.ln.Accept()
		switch {
		case err == nil:
			s.take(nc)
		case isTimeout(err), errors.Is(err, net.ErrClosed):
			return
		default: // descriptors ran out
			time.Sleep(queuePause)
		}
	}
}

// ShareListener tells that the listener may be handed to another process. It is to be called before Run.
func (s *Server) ShareListener() { s.lent = true }

// CloseAllAfter ends all connections that are still there after a span. It guards against a client that does not take
// its answer, or asks on and on, and would keep a process that ends from ending by itself.
func (s *Server) CloseAllAfter(after time.Duration) (stop func() bool) {
	return time.AfterFunc(after, s.places.cut).Stop
}

// accepting waits until this process is to accept. It returns false when ctx ends.
func (s *Server) accepting(ctx context.Context) bool {
	for ctx.Err() == nil {
		_, changed := s.drain.NextChange(time.Now())
		if s.drain.PhaseAt(time.Now()).AcceptsConnections() {
			s.ln.SetDeadline(time.Time{})
			// Else Follow's deadline, or that of the end, may have come before.
			if s.drain.PhaseAt(time.Now()).AcceptsConnections() && ctx.Err() == nil {
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
func (s *Server) SetLimit(most int) { s.places.bound(most) }

// OpenConnections is how many connections there are.
func (s *Server) OpenConnections() int { return s.places.heldNow() }

// TakeOver does what a change of the drain's state asks for, until ctx ends: it ends the connections that stand
// idle where none may, and the wait for new ones where another process has them.
func (s *Server) TakeOver(ctx context.Context) error {
	for {
		wait, changed := s.drain.NextChange(time.Now())
		phase := s.drain.PhaseAt(time.Now())
		if !phase.KeepsIdleConnections() {
			s.places.retire()
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

// serve answers one connection's messages in turn.
func (s *Server) serve(c *Conn, over bool) {
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
	h, err := c.ReadRequestHead(func() { s.places.turn(c, reading) })
	if err != nil {
		return s.unread(c, err)
	}
	c.interim = h.AcceptsInterim()
	body, err := protocol.RequestBody(&h)
	if err != nil {
		return s.unread(c, err)
	}
	if a := s.handler.Check(&h); a != nil {
		return s.turnAway(c, &h, body, a, over)
	}
	if h.ExpectsContinue() && body.Length() <= protocol.MaxBodyBytes {
		if err := c.Send(answerWithin, []byte(protocol.Continue)); err != nil {
			return CloseReasonOf(err), err
		}
	}
	room := body.MaxRead()
	if !s.bodies.take(room) {
		return s.turnAway(c, &h, body, s.handler.OverBudget(&h), true)
	}
	defer func() { s.bodies.give(room) }()
	content, err := c.ReadBody(body, protocol.MaxBodyBytes)
	if err != nil {
		return s.unread(c, err)
	}
	came := time.Now()
	s.bodies.give(room - int64(len(content))) // a chunked body could have been longer
	room = int64(len(content))
	s.places.turn(c, answering)
	if over {
		return s.answer(c, s.handler.OverBudget(&h), true)
	}
	if !c.Reused() && c.leftUnread() { // later messages do not wait: they are read as they come
		return ClientLeft, errClientLeft
	}
	return s.owed(c, h.CloseRequested(), func(ctx context.Context) *protocol.Response {
		return s.handler.Serve(ctx, &h, content, came)
	})
}

// owed answers what has been taken, while it watches for the client's end.
func (s *Server) owed(c *Conn, closes bool, serve func(context.Context) *protocol.Response) (CloseReason, error) {
	ctx, cancel := context.WithCancelCause(context.WithValue(context.Background(), clientKey{}, c))
	defer cancel(nil)
	c.stopAttend = c.WatchForClose(func(err error) { cancel(fmt.Errorf("%w: %w", errClientLeft, err)) })
	a := serve(ctx)
	c.stopAttend()
	switch {
	case a == nil:
		return ClientLeft, context.Cause(ctx)
	case a == protocol.Migrated:
		return Migrated, nil
	case !a.ClosesConnection():
		s.places.prove(c)
	}
	return s.answer(c, a, closes)
}

// turnAway answers what is not taken. Its body is read over, so that the connection can go on; where it is
// too large, or its client waits for a word before it sends it, the connection ends instead.
func (s *Server) turnAway(c *Conn, h *protocol.Head, body protocol.Body, a *protocol.Response,
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
	why, err := s.answer(c, a, ends || h.CloseRequested() || over)
	if ends && err == nil {
		c.linger(lingerWithin)
	}
	return why, err
}

// unread ends a connection with what is on it, with an answer if the client may still read one.
func (s *Server) unread(c *Conn, err error) (CloseReason, error) {
	why := CloseReasonOf(err)
	evicted := why == TooSlow && s.places.isEvicted(c)
	partly := c.in.Len() > 0 || s.places.isReading(c)
	switch {
	case evicted && partly:
		if _, sent := s.answer(c, s.handler.OverBudget(nil), true); sent == nil {
			c.linger(crossWithin) // its place is wanted
		}
		return OverBudget, nil
	case why == TooSlow && !partly && c.brought() && !c.Interrupted():
		c.SetTimeout(lastWithin) // what crossed the end of the wait is still read
		return "", nil
	case evicted:
		return OverBudget, nil
	case why == TooSlow && !partly && s.drain.PhaseAt(time.Now()).ClosesAfterResponse():
		return Stopping, nil
	case why == TooSlow && !partly:
		return IdleRetired, nil
	case why == Malformed, why == TooSlow:
		if _, sent := s.answer(c, s.handler.MalformedRequest(err), true); sent == nil {
			c.linger(lingerWithin)
		}
	case why == PeerClosed:
		return why, nil
	}
	return why, err
}

// linger lets the client read the answer before a reset for what it still sends throws that away.
func (c *Conn) linger(within time.Duration) {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetTimeout(within)
		for n := 0; n < protocol.MaxBodyBytes/ringSize*2; n++ {
			c.in.Discard(c.in.Len())
			if c.fill(false) != nil {
				return
			}
		}
	}
}

// answer sends an answer. As the process ends, one that would be the last of its connection is not as long as
// more has been read: a client that sends ahead has handed that in already, and nobody else will answer it.
func (s *Server) answer(c *Conn, a *protocol.Response, closes bool) (CloseReason, error) {
	phase := s.drain.PhaseAt(time.Now())
	closes = closes || phase.ClosesAfterResponse() && !(phase.IsStopping() && c.in.Len() > 0) //nolint:staticcheck // QF1001: a mutant names this guard
	if err := c.Send(answerWithin, protocol.AppendResponseHead(nil, a, closes), a.Body); err != nil {
		return CloseReasonOf(err), err
	}
	if closes {
		if !c.alive() { // it has sent more: a reset for that could throw the answer away
			c.linger(crossWithin)
		}
		return CloseRequested, nil
	}
	s.places.stand(c)
	return "", nil
}
