package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"canvasroute/internal/protocol"
)

// maxRecordedBytes is how much of what came on a connection is kept to be read again.
const maxRecordedBytes = 1 << 20

// ErrRecordingTooLarge is a connection of which not all is kept that came since the last message.
var ErrRecordingTooLarge = errors.New("too much has come to be read again")

// recorder keeps what is read, so that another process, or this one, can read it from the start.
type recorder struct {
	data       []byte
	overflowed bool
}

func (t *recorder) record(p []byte) {
	if t.overflowed = t.overflowed || len(t.data)+len(p) > maxRecordedBytes; t.overflowed {
		t.data = nil
		return
	}
	t.data = append(t.data, p...)
}

// StartRecording begins to keep what is read.
func (c *Conn) StartRecording() { c.stream.recorder = &recorder{} }

// StopRecording ends that.
func (c *Conn) StopRecording() { c.stream.recorder = nil }

// Recorded is all that has been read since Tape. Nobody may read meanwhile.
func (c *Conn) Recorded() ([]byte, error) {
	if c.stream.recorder == nil || c.stream.recorder.overflowed {
		return nil, ErrRecordingTooLarge
	}
	kept := c.stream.recorder.data
	return append(kept[:len(kept):len(kept)], c.stream.replay...), nil
}

// Rewind makes the connection be read from where its tape began.
func (c *Conn) Rewind() error {
	kept, err := c.Recorded()
	if err != nil {
		return err
	}
	c.readBuf.Discard(c.readBuf.Len())
	c.stream.replay, c.stream.recorder = kept, &recorder{}
	c.setDeadline(c.nc.SetReadDeadline, time.Time{})
	return nil
}

// StopReading makes a read that waits end as one that took too long, until Rewind.
func (c *Conn) StopReading() { c.setDeadline(c.nc.SetReadDeadline, pastDeadline) }

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
	c.stopCloseWatch()
	return c.Socket(), append([]byte(nil), c.readBuf.Bytes()...), true
}

// Import goes on with a client's connection of a predecessor's: finish answers the invocation that is under
// way on it, and what came early is read next. closes tells that the client has said that it ends there,
// interim that it takes interim answers.
func (s *Server) Import(nc net.Conn, early []byte, closes, interim bool,
	finish func(context.Context) *protocol.Response,
) {
	c := newConn(nc, Client, nc.RemoteAddr().String(), s.log, nil)
	c.stream.replay, c.acceptsInterim = early, interim
	s.clients.acquire(c)
	s.clients.turn(c, stateServing)
	s.clients.markUseful(c)
	s.conns.Go(func() error {
		why, err := s.runHandler(c, closes, finish)
		if why != "" {
			c.CloseFor(why, err)
		} else {
			s.serveRequests(c, false)
		}
		s.clients.release(c)
		return nil
	})
}

// Import goes on with a predecessor's connection to a worker, on which came has been read since the last
// message. It has a place of its own in the budget where there is one.
func (p *Pool) Import(nc net.Conn, addr string, came []byte) *Conn {
	placed := true
	select {
	case p.slots <- struct{}{}:
	default: // the predecessor had it, and its place is about to be ours
		placed = false
	}
	c := p.track(nc, addr, placed)
	c.stream.replay, c.messagesSent = came, 1
	return c
}

func (p *Pool) track(nc net.Conn, addr string, placed bool) (c *Conn) {
	c = newConn(nc, Worker, addr, p.log, func() {
		if placed {
			<-p.slots
		}
		p.mu.Lock()
		delete(p.inUse, c)
		delete(p.closeOnPut, c)
		p.mu.Unlock()
	})
	p.mu.Lock()
	p.inUse[c] = addr
	p.mu.Unlock()
	return c
}
