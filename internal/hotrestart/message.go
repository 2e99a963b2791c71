// Package hotrestart hands over a dispatcher's sockets, state and requests from a serving process to its successor, a
// second process that is started while the first one still runs. They connect through a Unix socket, see ControlSocket.
// If there is no socket, or no process listens on it, a process starts without a predecessor.
//
// The messages between the two processes, in order:
//
//  1. The successor connects (Connect) and sends its protocol version.
//  2. The predecessor (Listener) replies with its version, its snapshot and the sockets that both processes share.
//  3. The successor reports that it is serving (Link.SendServing). If it exits earlier, the predecessor continues to
//     serve.
//  4. Both send updates at intervals (Link.SendSiblingUpdate). Each may send commands of an operator to the other
//     (Link.RunCommand, Link.SendCommand), and the predecessor may hand over requests in flight (Link.SendRequest), until one
//     of the two exits.
//
// This package transfers messages and file descriptors. Its callers interpret the snapshot and decide which process
// serves.
//
// A message is a line of JSON. The file descriptors of its sockets are sent with its first byte. Processes of other
// releases read and write the same messages: the keys, their meaning and the version must not change, see
// format_test.go.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
)

// protocolVersion is the version of the messages. Processes with different versions cannot perform a hot restart.
const protocolVersion = 1

// maxMessageBytes limits the length of a received line, which may exceed it by less than one read buffer.
const maxMessageBytes = 16 << 20

// Names of the sockets that are handed over. The socket of an attempt is named by the number of the attempt.
const (
	// ClientSocket is the name of the client listener in the message with the snapshot, and of the client's connection
	// in a message with a request.
	ClientSocket = "clients"
	// PeerSocket is the name of the gossip socket.
	PeerSocket = "peers"
)

// message is one line of the protocol. The keys on the wire keep older terms than the fields. A field that is not sent
// has its zero value.
type message struct {
	Version  int             `json:"v,omitempty"`       // in the first message of each process
	Sockets  []string        `json:"sockets,omitempty"` // names, in the order of the file descriptors
	Snapshot json.RawMessage `json:"legacy,omitempty"`  // state of the predecessor
	Serving  bool            `json:"serving,omitempty"` // the successor has started to accept connections
	Update   json.RawMessage `json:"twin,omitempty"`    // an update on the sender, such as its requests in flight
	Request  json.RawMessage `json:"open,omitempty"`    // a request in flight, to be continued by the successor
	Command  string          `json:"call,omitempty"`    // an operator's command

	// Calls. Processes of earlier releases ignore them, except for commands, and return no results.
	CallID  uint64      `json:"call_id,omitempty"`  // the number of the call, 0 if no result is expected
	SyncIDs bool        `json:"sync_ids,omitempty"` // the successor asks for the IDs of open requests
	Claim   string      `json:"claim,omitempty"`    // the ID of a request that the predecessor is about to serve
	Result  *callResult `json:"result,omitempty"`   // the result of a call
}

// Errors that prevent a hot restart with another process.
var (
	// ErrVersionMismatch is returned for a line that is not a message of this protocol version.
	ErrVersionMismatch = errors.New("not a hot restart message of this version")
	// ErrOtherUser is returned if the process that uses the control socket runs as another user.
	ErrOtherUser = errors.New("the process at the hot restart control socket runs as another user")
)

// TooManySocketsError is returned if a message has more than maxSockets sockets. The message is not sent.
type TooManySocketsError struct {
	Sockets int // number of sockets in the message
}

// Error returns the number of sockets and the limit.
func (e *TooManySocketsError) Error() string {
	return fmt.Sprintf("hot restart: %d sockets in a message, at most %d are possible", e.Sockets, maxSockets)
}

// parseMessage parses a line. It returns ErrVersionMismatch if the line is malformed.
func parseMessage(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("%w: %w", ErrVersionMismatch, err)
	}
	return m, nil
}

// checkVersion returns ErrVersionMismatch if the first message of a process has another version.
func (m *message) checkVersion() error {
	if m.Version != protocolVersion {
		return fmt.Errorf("%w: version %d, this process has %d", ErrVersionMismatch, m.Version, protocolVersion)
	}
	return nil
}

// marshal encodes a message, or a part of one, in JSON.
func marshal(v any) (json.RawMessage, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("hot restart: encoding a message: %w", err)
	}
	return text, nil
}
