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

// acceptRetryDelay is the wait after a failed accept, such as one for want of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Socket is a socket to hand over.
type Socket struct {
	Name string // in the message: ClientSocket, PeerSocket, or the number of an attempt
	Conn syscall.Conn
}

// Listener waits for successors in a process that serves.
type Listener struct {
	Rendezvous Rendezvous
	Sockets    func() []Socket // the sockets that both processes will share
	Snapshot   func() any      // the process's state, which is encoded in JSON
	IsStopping func() bool     // reports whether this process ends, and leaves the rendezvous to others
	Log        zerolog.Logger

	// Serve is called with the link to each successor that has received sockets and snapshot. It returns when the link
	// ends, and has to close the link when ctx ends.
	Serve func(ctx context.Context, l *Link)
}

// Run serves successors until ctx ends, one at a time: after one that has failed to start, the next may connect. If this
// process cannot listen at the rendezvous, Run logs that and returns nil. A later process then starts without its state.
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

// acceptSuccessors serves successors until ctx ends, or until another process has replaced the rendezvous: a successor
// that serves listens there itself.
func (s *Listener) acceptSuccessors(ctx context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	own := s.Rendezvous.stat()
	for isOwn := true; isOwn; isOwn = os.SameFile(own, s.Rendezvous.stat()) {
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

// serve makes the handshake of a predecessor, and then leaves the link to Serve. It fails with ErrOtherUser,
// ErrVersionMismatch or the error of the connection.
func (s *Listener) serve(ctx context.Context, conn *net.UnixConn) error {
	link, err := newHandshakeLink(conn)
	if err != nil {
		return err
	}
	first, err := link.receive()
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
