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

// Handler responds to requests of clients. Its methods are called concurrently.
type Handler interface {
	// Serve returns the response to a complete request, whose last byte was read at receivedAt. If the client closes the
	// connection, ctx is canceled and Serve returns nil. Serve returns protocol.Migrated if another process sends the
	// response.
	Serve(ctx context.Context, head *protocol.Head, body []byte, receivedAt time.Time) *protocol.Response
	// RespondToHead returns the response to a request that is rejected because of its head or whose body isn't needed.
	// It returns nil if the body is to be read and the request served.
	RespondToHead(head *protocol.Head) *protocol.Response
	// RejectOverBudget returns the response for a connection that is over the limit or evicted, and for a request whose
	// body doesn't fit in the rest of the byte budget. head is nil if the connection was evicted before a request was
	// read completely, even if its head was read.
	RejectOverBudget(head *protocol.Head) *protocol.Response
	// RejectMalformed returns the response to a request that could not be read because of err.
	RejectMalformed(err error) *protocol.Response
}

// Server accepts client connections and serves the requests on each connection sequentially.
type Server struct {
	ln             *net.TCPListener
	handler        Handler
	log            zerolog.Logger
	clients        *clientLimiter
	bodyBudget     byteBudget
	lifecycle      *lifecycle.State
	conns          errgroup.Group // one goroutine per connection
	listenerShared bool           // another process may accept from the same listener queue
}

// NewServer returns a server for a listener, which Run closes. limit is the maximum number of connections, to which
// spareSlots are added for connections that are being rejected or evicted. bodyBytes limits the total size of the
// request bodies in memory; the minimum is protocol.MaxBodyBytes. The phase of state determines whether connections are
// accepted, kept idle, and closed after a response.
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

// MarkListenerShared records that the listener may be passed to another process. It must be called before Run.
func (s *Server) MarkListenerShared() { s.listenerShared = true }

// SetLimit changes the maximum number of connections.
func (s *Server) SetLimit(limit int) { s.clients.setLimit(limit) }

// OpenConnections returns the number of open connections, including those in spare slots.
func (s *Server) OpenConnections() int { return s.clients.openCount() }

// CloseAllAfter closes all connections that are still open after a delay, regardless of their state. This ensures that
// the process stops even if a client doesn't read its response, or pipelines requests continuously. stop cancels the
// close and reports whether it had not started yet.
func (s *Server) CloseAllAfter(delay time.Duration) (stop func() bool) {
	return time.AfterFunc(delay, s.clients.interruptAll).Stop
}

// Run accepts connections until ctx ends, and then the connections that remain in the listener's queue, unless a
// successor accepts them. It closes idle connections and waits for the others, which are closed after their pending
// responses. Run always returns nil.
func (s *Server) Run(ctx context.Context) error {
	deadlineSet := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(deadlineSet)
		s.ln.SetDeadline(pastDeadline)
	})
	defer s.ln.Close()
	s.acceptUntil(ctx)
	if !stop() {
		<-deadlineSet // if the deadline were set later, it would interrupt acceptQueued
	}
	phase := s.lifecycle.PhaseAt(time.Now())
	s.lifecycle.BeginClosing(time.Now())
	if phase.AcceptsConnections() {
		s.acceptQueued()
	}
	s.ln.Close()
	s.clients.shortenDeadlines()
	return s.conns.Wait()
}

// FollowLifecycle applies changes of the lifecycle phase until ctx ends. It closes idle connections if the phase
// doesn't keep them, and stops accepting if another process accepts in this phase. It always returns nil.
func (s *Server) FollowLifecycle(ctx context.Context) error {
	for {
		wait, changed := s.lifecycle.NextChange(time.Now())
		phase := s.lifecycle.PhaseAt(time.Now())
		if !phase.KeepsIdleConnections() {
			s.clients.shortenDeadlines()
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

// acceptUntil accepts connections in the lifecycle phases that allow it, until ctx ends or the listener is closed.
func (s *Server) acceptUntil(ctx context.Context) {
	for ctx.Err() == nil {
		s.clients.waitForCapacity(ctx)
		nc, err := s.ln.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.Is(err, net.ErrClosed):
			return
		case isTimeout(err): // ctx has ended, or FollowLifecycle has stopped accepting
			if !s.waitUntilAccepting(ctx) {
				return
			}
		default: // usually a lack of file descriptors, which is temporary
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptQueued accepts the connections that remain in the listener's queue when the process stops. Otherwise the kernel
// would reset them when the listener is closed, and clients that connected while the process was busy or out of file
// descriptors would get no response. acceptQueued first shrinks the queue, so that it admits few new connections.
func (s *Server) acceptQueued() {
	if !s.listenerShared { // otherwise a successor that has just started would inherit a queue of one connection
		if err := shrinkBacklog(s.ln); err != nil {
			s.log.Warn().Err(err).Msg("listener backlog not shrunk")
		}
	}
	for end := time.Now().Add(queueDrainTimeout); time.Now().Before(end); {
		s.ln.SetDeadline(time.Now().Add(queuePollTimeout))
		nc, err := s.ln.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case isTimeout(err), errors.Is(err, net.ErrClosed):
			return
		default: // out of file descriptors
			time.Sleep(queuePollTimeout)
		}
	}
}

// waitUntilAccepting waits for a lifecycle phase in which this process accepts connections. It returns false if ctx
// ends first.
func (s *Server) waitUntilAccepting(ctx context.Context) bool {
	for ctx.Err() == nil {
		_, changed := s.lifecycle.NextChange(time.Now())
		if s.lifecycle.PhaseAt(time.Now()).AcceptsConnections() {
			s.ln.SetDeadline(time.Time{})
			// The deadline just removed may have been set by FollowLifecycle or the end of ctx, so both are checked
			// again.
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

// startConn serves a new connection in a new goroutine, which owns the connection. Run waits for this goroutine.
func (s *Server) startConn(nc net.Conn) {
	c := newConn(nc, Client, peerAddr(nc), s.log, nil)
	admission := s.clients.acquire(c)
	s.conns.Go(func() error {
		s.serveRequests(c, admission)
		s.clients.release(c)
		return nil
	})
}
