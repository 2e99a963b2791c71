package transport

import (
	"context"
	"errors"
	"net"
	"syscall"

	"canvasroute/internal/protocol"
)

// Socket returns the connection in a form that can be passed to another process, nil where it isn't a socket.
func (c *Conn) Socket() syscall.Conn {
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	return socket
}

// clientConnKey is the key of the client's *Conn in the context of Handler.Serve.
type clientConnKey struct{}

// ErrNoSocket reports a context that has no client's connection, or one that isn't a socket.
var ErrNoSocket = errors.New("connection has no socket")

// DetachedClient is a client's connection that is to be handed over.
type DetachedClient struct {
	Socket    syscall.Conn
	Pipelined []byte // the data that came after the request
}

// Detach prepares a client's connection to be handed over, and ends the watch for the client closing it. ctx is that of
// Handler.Serve for the request on it, which must return protocol.Migrated then. The error is ErrNoSocket.
func Detach(ctx context.Context) (DetachedClient, error) {
	c, ok := ctx.Value(clientConnKey{}).(*Conn)
	if !ok || c.Socket() == nil {
		return DetachedClient{}, ErrNoSocket
	}
	c.stopCloseWatch()
	return DetachedClient{Socket: c.Socket(), Pipelined: append([]byte(nil), c.readBuf.Bytes()...)}, nil
}

// MigratedClient is a client's connection that the predecessor detached while a request on it was being served.
type MigratedClient struct {
	Conn           net.Conn
	Pipelined      []byte // the data that came after the request; it is read next
	CloseRequested bool   // the client announced this request as its last
	AcceptsInterim bool   // the client understands interim responses
}

// Import continues with a client's connection of the predecessor, in a goroutine of its own. finish returns the response
// to the request that is being served on it.
func (s *Server) Import(client MigratedClient, finish func(context.Context) *protocol.Response) {
	c := newConn(client.Conn, Client, client.Conn.RemoteAddr().String(), s.log, nil)
	c.stream.replay = client.Pipelined
	c.acceptsInterim = client.AcceptsInterim
	s.clients.acquire(c)
	s.clients.markServing(c)
	s.clients.markUseful(c)
	s.conns.Go(func() error {
		reason, err := s.serveAndRespond(c, persistenceOf(client.CloseRequested), finish)
		if reason != staysOpen {
			c.CloseFor(reason, err)
		} else {
			s.serveRequests(c, admitted)
		}
		s.clients.release(c)
		return nil
	})
}

// Import continues with the predecessor's connection to a worker, which the caller then owns. received has been read on
// it since the last message was sent. The connection takes a slot where one is free.
func (p *Pool) Import(nc net.Conn, addr string, received []byte) *Conn {
	releaseSlot := p.releaseSlot
	select {
	case p.slots <- struct{}{}:
	default: // the predecessor still has the slot, and is about to release it
		releaseSlot = func() {}
	}
	c := p.track(nc, addr, releaseSlot)
	c.stream.replay = received
	c.messagesSent = 1
	return c
}
