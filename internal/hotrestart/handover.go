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

// handshakeTimeout is the time that each process waits for the first message of the other.
const handshakeTimeout = 2 * time.Second

// Handover holds the link, sockets and snapshot that a process has received from its predecessor.
type Handover struct {
	Link     *Link               // link to the predecessor
	Sockets  map[string]*os.File // by name: ClientSocket and PeerSocket
	Snapshot json.RawMessage     // state of the predecessor
}

// Connect connects to the predecessor and receives its sockets and snapshot. If there is no predecessor, it returns nil
// and no error. It fails with ErrOtherUser, ErrVersionMismatch or the error of the connection. The predecessor
// continues to serve until Link.SendServing.
func Connect(socket ControlSocket) (*Handover, error) {
	conn, err := socket.dial()
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no process is listening; a killed one may have left its socket file
	}
	if err != nil {
		return nil, fmt.Errorf("hot restart control socket: %w", err)
	}
	handover, err := receiveHandover(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return handover, nil
}

// receiveHandover performs the handshake of a successor.
func receiveHandover(conn *net.UnixConn) (*Handover, error) {
	link, err := newHandshakeLink(conn)
	if err != nil {
		return nil, err
	}
	if err := link.send(message{Version: protocolVersion}); err != nil {
		return nil, err
	}
	first, err := link.receive()
	if err != nil {
		return nil, err
	}
	if err := first.checkVersion(); err != nil {
		closeFiles(first.files)
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return &Handover{Link: link, Snapshot: first.Snapshot, Sockets: first.files}, nil
}

// newHandshakeLink returns a link whose first message must arrive within handshakeTimeout. It returns ErrOtherUser if
// the other process runs as another user.
func newHandshakeLink(conn *net.UnixConn) (*Link, error) {
	if !isSameUser(conn) {
		return nil, ErrOtherUser
	}
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return newLink(conn), nil
}

func closeFiles(files map[string]*os.File) {
	for _, file := range files {
		file.Close()
	}
}
