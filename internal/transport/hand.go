package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"canvasroute/internal/protocol"
)

// mostTape is how much of what came on a connection is kept to be read again.
const mostTape = 1 << 20

// ErrRecordingTooLarge is a connection of which not all is kept that came since the last message.
var ErrRecordingTooLarge = errors.New("too much has come to be read again")

// tape keeps what is read, so that another process, or this one, can read it from the start.
type tape struct {
	kept []byte
	over bool
}

func (t *tape) add(p []byte) {
	if t.over = t.over || len(t.kept)+len(p) > mostTape; t.over {
		t.kept = nil
		return
	}
	t.kept = append(t.kept, p...)
}

// StartRecording begins to keep what is read.
func (c *Conn) StartRecording() { c.counter.tape = &tape{} }

// StopRecording ends that.
func (c *Conn) StopRecording() { c.counter.tape = nil }

// Recorded is all that has been read since Tape. Nobody may read meanwhile.
func (c *Conn) Recorded() ([]byte, error) {
	if c.counter.tape == nil || c.counter.tape.over {
		return nil, ErrRecordingTooLarge
	}
	kept := c.counter.tape.kept
	return append(kept[:len(kept):len(kept)], c.counter.ahead...), nil
}

// Rewind makes the connection be read from where its tape began.
func (c *Conn) Rewind() error {
	kept, err := c.Recorded()
	if err != nil {
		return err
	}
	c.in.Discard(c.in.Len())
	c.counter.ahead, c.counter.tape = kept, &tape{}
	c.bound(c.nc.SetReadDeadline, time.Time{})
	return nil
}

// StopReading makes a read that waits end as one that took too long, until Rewind.
func (c *Conn) StopReading() { c.bound(c.nc.SetReadDeadline, passed) }

// Socket is what can be handed over; nil for a connection that is none.
func (c *Conn) Socket() syscall.Conn {
	s, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	return s
}

type clientKey struct{}

// Detach ends the watch for the client's end on the connection that an invocation came on, and returns its
// socket with what came early. It is for an answer of protocol.Migrated. ctx is that of Serve; ok is false
// for another one.
func Detach(ctx context.Context) (socket syscall.Conn, early []byte, ok bool) {
	c, ok := ctx.Value(clientKey{}).(*Conn)
	if !ok || c.Socket() == nil {
		return nil, nil, false
	}
	c.stopAttend()
	return c.Socket(), append([]byte(nil), c.in.Bytes()...), true
}

// Import goes on with a client's connection of a predecessor's: finish answers the invocation that is under
// way on it, and what came early is read next. closes tells that the client has said that it ends there,
// interim that it takes interim answers.
func (s *Server) Import(nc net.Conn, early []byte, closes, interim bool,
	finish func(context.Context) *protocol.Response,
) {
	c := newConn(nc, Client, nc.RemoteAddr().String(), s.log, nil)
	c.counter.ahead, c.interim = early, interim
	s.places.admit(c)
	s.places.turn(c, answering)
	s.places.prove(c)
	s.conns.Go(func() error {
		why, err := s.owed(c, closes, finish)
		if why != "" {
			c.CloseFor(why, err)
		} else {
			s.serve(c, false)
		}
		s.places.leave(c)
		return nil
	})
}

// Import goes on with a predecessor's connection to a worker, on which came has been read since the last
// message. It has a place of its own in the budget where there is one.
func (p *Pool) Import(nc net.Conn, addr string, came []byte) *Conn {
	placed := true
	select {
	case p.places <- struct{}{}:
	default: // the predecessor had it, and its place is about to be ours
		placed = false
	}
	c := p.keep(nc, addr, placed)
	c.counter.ahead, c.messages = came, 1
	return c
}

func (p *Pool) keep(nc net.Conn, addr string, placed bool) (c *Conn) {
	c = newConn(nc, Worker, addr, p.log, func() {
		if placed {
			<-p.places
		}
		p.mu.Lock()
		delete(p.out, c)
		delete(p.stale, c)
		p.mu.Unlock()
	})
	p.mu.Lock()
	p.out[c] = addr
	p.mu.Unlock()
	return c
}
