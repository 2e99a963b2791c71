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

// handshakeTimeout bounds the time that each side waits for the first message of the other.
const handshakeTimeout = 2 * time.Second

// Handover is what a process has received from its predecessor.
type Handover struct {
	Link     *Link               // to the predecessor
	Sockets  map[string]*os.File // by their names: ClientSocket and PeerSocket
	Snapshot json.RawMessage     // the predecessor's state
}

// Connect connects to the predecessor and receives what it hands over. Without a predecessor it returns nil and no error.
// It fails with ErrOtherUser, ErrVersionMismatch or the error of the connection. The predecessor serves as before until
// Link.SendServing.
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

// receiveHandover makes the handshake of a successor.
func receiveHandover(conn *net.UnixConn) (*Handover, error) {
	link, err := newHandshakeLink(conn)
	if err != nil {
		return nil, err
	}
	if err := link.send(message{Version: version}); err != nil {
		return nil, err
	}
	first, err := link.receive()
	if err != nil {
		return nil, err
	}
	if err := first.checkVersion(); err != nil {
		closeAll(first.files)
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return &Handover{Link: link, Snapshot: first.Snapshot, Sockets: first.files}, nil
}

// newHandshakeLink returns a link that waits for its first message until handshakeTimeout. It fails with ErrOtherUser.
func newHandshakeLink(conn *net.UnixConn) (*Link, error) {
	if !isSameUser(conn) {
		return nil, ErrOtherUser
	}
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return newLink(conn), nil
}

func closeAll(files map[string]*os.File) {
	for _, file := range files {
		file.Close()
	}
}
