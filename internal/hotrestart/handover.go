package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// handshakeTimeout bounds all that a start waits for the other process.
const handshakeTimeout = 2 * time.Second

// Handover is what a process has received from its predecessor.
type Handover struct {
	Link     *Link
	Sockets  map[string]*os.File // by their names
	Snapshot json.RawMessage     // the predecessor's state
}

// Connect connects to the predecessor and receives what it hands over. It returns nil, and no error, without one. The
// predecessor goes on serving until SendServing.
func Connect(r Rendezvous) (*Handover, error) {
	conn, err := r.dial()
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no process, or one that was killed has left its socket
	}
	if err != nil {
		return nil, fmt.Errorf("rendezvous: %w", err)
	}
	handover, err := receiveHandover(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return handover, nil
}

func receiveHandover(conn *net.UnixConn) (*Handover, error) {
	link, err := newHandshakeLink(conn)
	if err != nil {
		return nil, err
	}
	if err := link.send(message{Version: version}); err != nil {
		return nil, err
	}
	first, sockets, err := link.receive()
	if err == nil {
		err = first.checkVersion()
	}
	if err != nil {
		closeAll(sockets)
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return &Handover{Link: link, Snapshot: first.Snapshot, Sockets: sockets}, nil
}

// newHandshakeLink checks who the other process is, and returns a link that waits for its first message within bounds.
func newHandshakeLink(conn *net.UnixConn) (*Link, error) {
	if !isSameUser(conn) {
		return nil, ErrOtherUser
	}
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return newLink(conn), nil
}

func closeAll(sockets map[string]*os.File) {
	for _, f := range sockets {
		f.Close()
	}
}
