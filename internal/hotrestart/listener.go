package hotrestart

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// acceptRetryDelay is waited after a failed accept, such as one for want of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Socket is a socket to hand over, with its name in the message.
type Socket struct {
	Name string
	Conn syscall.Conn
}

// Listener waits for successors in a process that serves.
type Listener struct {
	Rendezvous Rendezvous
	Sockets    func() []Socket
	Snapshot   func() any // the process's state, which is marshaled to JSON
	// Serve is called with the link to each successor that has been handed sockets and state. It returns when the link
	// ends, which it has to bring about when ctx ends.
	Serve      func(ctx context.Context, l *Link)
	IsStopping func() bool // this process ends: it no longer takes the rendezvous from others
	Log        zerolog.Logger
}

// Run serves successors until ctx ends, one at a time: after one that has failed to start, the next may come. If the
// rendezvous cannot be listened at, Run logs that and returns nil: a later process then starts without this one's state.
func (s *Listener) Run(ctx context.Context) error {
	for ctx.Err() == nil && !s.IsStopping() {
		ln, err := s.Rendezvous.listen() // again where a successor had taken the rendezvous and has died
		if err != nil {
			s.Log.Warn().Err(err).Msg("hot restart unavailable")
			return nil
		}
		s.acceptSuccessors(ctx, ln)
	}
	return nil
}

// acceptSuccessors serves successors until ctx ends, or until another process listens at the rendezvous.
func (s *Listener) acceptSuccessors(ctx context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	own := s.Rendezvous.stat()
	for same := true; same; same = os.SameFile(own, s.Rendezvous.stat()) {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn().Err(err).Msg("successor accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err := s.serve(ctx, conn); err != nil {
			s.Log.Warn().Err(err).Msg("successor rejected")
		}
		conn.Close()
	}
}

// serve hands sockets and state to a successor, and then leaves the link to Serve.
func (s *Listener) serve(ctx context.Context, conn *net.UnixConn) error {
	link, err := newHandshakeLink(conn)
	if err != nil {
		return err
	}
	first, _, err := link.receive()
	if err != nil {
		return err
	}
	if err := first.checkVersion(); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Time{})
	snapshot, err := marshal(s.Snapshot())
	if err != nil {
		return err
	}
	if err := link.send(message{Version: version, Snapshot: snapshot}, s.Sockets()...); err != nil {
		return err
	}
	s.Serve(ctx, link)
	return nil
}
