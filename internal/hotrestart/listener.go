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

// acceptRetryDelay is the wait after a failed accept, for example if no file descriptors are free.
const acceptRetryDelay = 10 * time.Millisecond

// Socket is a socket to hand over.
type Socket struct {
	Name string // name in the message: ClientSocket, PeerSocket, or the number of an attempt
	Conn syscall.Conn
}

// Listener accepts successors in a serving process.
type Listener struct {
	ControlSocket ControlSocket
	Sockets       func() []Socket // returns the sockets to share with the successor
	Snapshot      func() any      // returns the state of the process, to be encoded in JSON
	IsStopping    func() bool     // reports whether this process is stopping and must not listen again
	Log           zerolog.Logger

	// HandleSuccessor is called with the link to each successor that has received the sockets and the snapshot. It must
	// return when the link ends, and close the link when ctx is done.
	HandleSuccessor func(ctx context.Context, l *Link)
}

// Run accepts one successor after another, so that another one may connect if one fails to start. It returns when ctx
// is done, or when a successor has replaced the control socket and this process is stopping. If this process cannot
// listen on the control socket, Run logs the error and returns nil. A later process then starts without the state of
// this one.
func (l *Listener) Run(ctx context.Context) error {
	for ctx.Err() == nil && !l.IsStopping() {
		ln, err := l.ControlSocket.listen() // listens again if a successor had replaced the socket and exited
		if err != nil {
			l.Log.Warn().Err(err).Msg("hot restart unavailable")
			return nil
		}
		l.acceptSuccessors(ctx, ln)
	}
	return nil
}

// acceptSuccessors accepts successors and handles them sequentially. It returns when ctx is done, or when another
// process has replaced the control socket: a successor that is serving listens on the control socket itself.
func (l *Listener) acceptSuccessors(ctx context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	own := l.ControlSocket.stat()
	for isOwn := true; isOwn; isOwn = os.SameFile(own, l.ControlSocket.stat()) {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Log.Warn().Err(err).Msg("successor accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err := l.handleSuccessor(ctx, conn); err != nil {
			l.Log.Warn().Err(err).Msg("successor rejected")
		}
		conn.Close()
	}
}

// handleSuccessor performs the handshake of a predecessor and then passes the link to HandleSuccessor. It returns
// ErrOtherUser, ErrVersionMismatch or the error of the connection.
func (l *Listener) handleSuccessor(ctx context.Context, conn *net.UnixConn) error {
	link, err := newHandshakeLink(conn)
	if err != nil {
		return err
	}
	first, err := link.receive()
	if err != nil {
		return err
	}
	closeFiles(first.files) // a successor has none to send
	if err := first.checkVersion(); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Time{})
	snapshot, err := marshal(l.Snapshot())
	if err != nil {
		return err
	}
	if err := link.send(message{Version: protocolVersion, Snapshot: snapshot}, l.Sockets()...); err != nil {
		return err
	}
	l.HandleSuccessor(ctx, link)
	return nil
}
