package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// Handler responds to clients' requests. Its methods are called by several goroutines at once.
type Handler interface {
	// Serve returns the response to a complete request, whose last byte was read at the time received. ctx ends when the
	// client closes the connection; Serve then returns nil. protocol.Migrated says that another process sends the
	// response.
	Serve(ctx context.Context, head *protocol.Head, body []byte, received time.Time) *protocol.Response
	// AnswerByHead returns the response to a request that needs no body, or that is rejected by its head; nil to read
	// the body.
	AnswerByHead(head *protocol.Head) *protocol.Response
	// OverBudget returns the response on a connection that is over the limit or evicted, or to a request for whose body
	// no memory is left. head is nil where none was read.
	OverBudget(head *protocol.Head) *protocol.Response
	// MalformedRequest returns the response to a request that could not be read. err is the error of reading it.
	MalformedRequest(err error) *protocol.Response
}

// Server accepts client connections and serves the requests on each, one after the other.
type Server struct {
	ln             *net.TCPListener
	handler        Handler
	log            zerolog.Logger
	clients        *clientLimiter
	bodyBudget     byteBudget
	lifecycle      *lifecycle.State
	conns          errgroup.Group // one goroutine for each connection
	listenerShared bool           // another process may accept from the same queue
}

// NewServer returns a server of a listener, which Run closes. limit is the number of connections; for a moment there may
// be a sixteenth more. bodyBytes limits the request bodies in memory at once, over all connections; it is at least
// protocol.MaxBodyBytes. state says which responses are the last of their connections, and whether connections may be
// idle.
func NewServer(ln *net.TCPListener, limit int, bodyBytes int64, handler Handler, state *lifecycle.State,
	log zerolog.Logger,
) *Server {
	s := &Server{
		ln:        ln,
		handler:   handler,
		log:       log,
		lifecycle: state,
		clients:   newClientLimiter(limit, state),
	}
	s.bodyBudget.available.Store(max(bodyBytes, protocol.MaxBodyBytes))
	return s
}

// ShareListener says that the listener may be passed to another process. It must be called before Run.
func (s *Server) ShareListener() { s.listenerShared = true }

// SetLimit changes how many connections there may be.
func (s *Server) SetLimit(limit int) { s.clients.setLimit(limit) }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return s.clients.open() }

// CloseAllAfter closes the connections that are still open after a time, whatever their state. A client that doesn't read
// its response, or sends request after request, then can't keep the process from stopping. stop cancels that.
func (s *Server) CloseAllAfter(after time.Duration) (stop func() bool) {
	return time.AfterFunc(after, s.clients.interruptAll).Stop
}

// Run accepts connections until ctx ends, and then those that are left in the listener's queue. It closes idle
// connections and waits for the others, which are closed after the responses that they are owed. The error is always
// nil.
func (s *Server) Run(ctx context.Context) error {
	deadlineSet := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(deadlineSet)
		s.ln.SetDeadline(pastDeadline)
	})
	defer s.ln.Close()
	s.acceptUntil(ctx)
	if !stop() {
		<-deadlineSet // a deadline that is set later would end acceptQueued
	}
	phase := s.lifecycle.PhaseAt(time.Now())
	s.lifecycle.BeginClosing(time.Now())
	if phase.AcceptsConnections() {
		s.acceptQueued()
	}
	s.ln.Close()
	s.clients.closeIdle()
	return s.conns.Wait()
}

// FollowLifecycle follows the phases of the process until ctx ends. It closes idle connections in a phase without them,
// and stops accepting in a phase in which another process accepts. The error is always nil.
func (s *Server) FollowLifecycle(ctx context.Context) error {
	for {
		wait, changed := s.lifecycle.NextChange(time.Now())
		phase := s.lifecycle.PhaseAt(time.Now())
		if !phase.KeepsIdleConnections() {
			s.clients.closeIdle()
		}
		if !phase.AcceptsConnections() {
			s.ln.SetDeadline(pastDeadline)
		}
		var changeDue <-chan time.Time
		if wait > 0 {
			changeDue = time.After(wait)
		}
		select {
		case <-changed:
		case <-changeDue:
		case <-ctx.Done():
			return nil
		}
	}
}

// acceptUntil accepts connections in the phases that allow it, until ctx ends or the listener is closed.
func (s *Server) acceptUntil(ctx context.Context) {
	for ctx.Err() == nil {
		s.clients.waitForCapacity(ctx)
		nc, err := s.ln.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case errors.Is(err, net.ErrClosed):
			return
		case isTimeout(err): // ctx has ended, or FollowLifecycle has stopped accepting
			if !s.waitUntilAccepting(ctx) {
				return
			}
		default: // for want of descriptors, as a rule: some will come free
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptQueued accepts the connections that are left in the listener's queue as the process stops. Otherwise the kernel
// would reset them with the listener: clients that came while the process was busy, or out of descriptors, would get no
// response. It shrinks the queue first, so that most clients that come meanwhile stay out of it.
func (s *Server) acceptQueued() {
	if !s.listenerShared { // a successor that has just started would get a queue of one
		if err := shrinkBacklog(s.ln); err != nil {
			s.log.Warn().Err(err).Msg("listener backlog not shrunk")
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
		default: // out of descriptors
			time.Sleep(queuePollTimeout)
		}
	}
}

// waitUntilAccepting waits for a phase in which this process accepts connections, and reports whether there is one before
// ctx ends.
func (s *Server) waitUntilAccepting(ctx context.Context) bool {
	for ctx.Err() == nil {
		_, changed := s.lifecycle.NextChange(time.Now())
		if s.lifecycle.PhaseAt(time.Now()).AcceptsConnections() {
			s.ln.SetDeadline(time.Time{})
			// FollowLifecycle or the end of ctx may have set the deadline that this has just removed.
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

// start serves a new connection in a goroutine of its own, which owns it and for which Run waits.
func (s *Server) start(nc net.Conn) {
	c := newConn(nc, Client, nc.RemoteAddr().String(), s.log, nil)
	admission := s.clients.acquire(c)
	s.conns.Go(func() error {
		s.serveRequests(c, admission)
		s.clients.release(c)
		return nil
	})
}
