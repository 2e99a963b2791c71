package transport

import (
	"context"
	"errors"
	"net"
	"syscall"

	"canvasroute/internal/protocol"
)

// Socket returns the underlying socket, which can be passed to another process, or nil if the connection has none.
func (c *Conn) Socket() syscall.Conn {
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	return socket
}

// clientConnKey is the context key of the client's *Conn in the context of a request. Detach reads it.
type clientConnKey struct{}

// ErrNoSocket is the error for a connection that cannot be migrated because it is not a socket. Detach also returns it
// if the context has no client connection.
var ErrNoSocket = errors.New("connection has no socket")

// DetachedClient is a client connection that is about to be migrated to another process.
type DetachedClient struct {
	Socket    syscall.Conn
	Pipelined []byte // data received after the request
}

// Detach prepares a client connection for migration to another process, and stops its close watch. ctx is the
// context of the Handler.Serve call for the current request, which must then return protocol.Migrated. The only error
// is ErrNoSocket.
func Detach(ctx context.Context) (DetachedClient, error) {
	c, ok := ctx.Value(clientConnKey{}).(*Conn)
	if !ok || c.Socket() == nil {
		return DetachedClient{}, ErrNoSocket
	}
	c.stopCloseWatch()
	return DetachedClient{Socket: c.Socket(), Pipelined: append([]byte(nil), c.readBuf.Bytes()...)}, nil
}

// MigratedClient is a client connection that the predecessor detached while a request on it was being served.
type MigratedClient struct {
	Conn           net.Conn
	Pipelined      []byte // data received after the request, which is read next
	CloseRequested bool   // the client announced this request as the last one
	AcceptsInterim bool   // the client understands interim (1xx) responses
}

// Import takes over a client connection from the predecessor and serves it in a new goroutine. finish returns the
// response to the current request on the connection. If the client has closed the connection, the context of finish is
// canceled from the beginning.
func (s *Server) Import(client MigratedClient, finish func(context.Context) *protocol.Response) {
	c := newConn(client.Conn, Client, peerAddr(client.Conn), s.log, nil)
	c.stream.replay = client.Pipelined
	c.acceptsInterim = client.AcceptsInterim
	s.clients.acquire(c)
	s.clients.markServing(c)
	s.clients.markUseful(c)
	s.conns.Go(func() error {
		if c.closedWhileUnwatched() {
			finish = withCanceledContext(finish)
		}
		reason, err := s.serveAndRespond(c, persistenceFor(client.CloseRequested), finish)
		if reason != keepOpen {
			c.CloseFor(reason, err)
		} else {
			s.serveRequests(c, admitted)
		}
		s.clients.release(c)
		return nil
	})
}

// withCanceledContext returns a function that calls serve with a context that is canceled because the client has closed
// its connection.
func withCanceledContext(serve func(context.Context) *protocol.Response) func(context.Context) *protocol.Response {
	return func(ctx context.Context) *protocol.Response {
		ctx, cancel := context.WithCancelCause(ctx)
		cancel(errClientClosed)
		return serve(ctx)
	}
}

// Import takes over a worker connection from the predecessor. The connection is owned by the caller. received is the
// data that the predecessor has read on it since the last message was sent. The connection occupies a slot if one is
// free.
func (p *Pool) Import(nc net.Conn, addr string, received []byte) *Conn {
	releaseSlot := p.releaseSlot
	select {
	case p.slots <- struct{}{}:
	default: // the predecessor still occupies the slot, and is about to release it
		releaseSlot = func() {}
	}
	c := p.track(nc, addr, releaseSlot)
	c.stream.replay = received
	c.messagesSent = 1
	return c
}
