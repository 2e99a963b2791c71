// Package hotrestart hands over a dispatcher's sockets, state and requests. They go from a process that serves to a second
// one that is started beside it, its successor. The two find each other at a Unix socket, see Rendezvous. Where there is
// no socket, or no process listens at it, a process starts without a predecessor.
//
// The messages between the two, in order:
//
//  1. The successor connects (Connect) and sends its version.
//  2. The predecessor (Listener) answers with its version, its snapshot and the sockets that both will share.
//  3. The successor reports that it serves (Link.SendServing). Until then it may end without an effect.
//  4. Both send updates at intervals (Link.SendSiblingUpdate). The predecessor may forward commands (Link.SendCommand) and
//     hand over requests in flight (Link.SendRequest), until one of the two ends.
//
// This package moves messages and descriptors. What a snapshot means, and which process serves when, its callers decide.
//
// A message is a line of JSON, with the descriptors of its sockets beside its first byte. Processes of other releases
// read and write them too: the keys, their meaning and the version stay, see format_test.go.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
)

// version is the version of the messages. Between processes of different versions there is no hot restart.
const version = 1

// maxMessageBytes bounds a line that is received, which may exceed it by less than one read buffer.
const maxMessageBytes = 16 << 20

// The names of the sockets that are handed over. Those of a request's attempts are their numbers.
const (
	ClientSocket = "clients"
	PeerSocket   = "peers"
)

// message is one line. The keys on the wire are older words than the fields. A field that is not sent has its zero value.
type message struct {
	Version  int             `json:"v,omitempty"`       // in the first message of each side
	Sockets  []string        `json:"sockets,omitempty"` // names, in the order of the descriptors
	Snapshot json.RawMessage `json:"legacy,omitempty"`  // the predecessor's state
	Serving  bool            `json:"serving,omitempty"` // the successor accepts connections from now on
	Update   json.RawMessage `json:"twin,omitempty"`    // what the sender has in flight
	Request  json.RawMessage `json:"open,omitempty"`    // a request in flight that the successor continues
	Command  string          `json:"call,omitempty"`    // an operator's command, forwarded to the successor
}

// Why a hot restart with another process is not possible.
var (
	// ErrVersionMismatch is returned for a line that is not a message of this version.
	ErrVersionMismatch = errors.New("not a message of this version of the hot restart")
	// ErrOtherUser is returned where the process at the rendezvous runs as another user.
	ErrOtherUser = errors.New("the process at the rendezvous is another user's")
)

// TooManySocketsError is returned for a message with more than maxSockets sockets, which is not sent.
type TooManySocketsError struct {
	Sockets int // of the message
}

// Error says how many sockets there are, and how many are possible.
func (e *TooManySocketsError) Error() string {
	return fmt.Sprintf("hot restart: %d sockets in a message, at most %d are possible", e.Sockets, maxSockets)
}

// parseMessage parses a line. It fails with ErrVersionMismatch.
func parseMessage(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("%w: %w", ErrVersionMismatch, err)
	}
	return m, nil
}

// checkVersion returns ErrVersionMismatch for the first message of a process with another version.
func (m *message) checkVersion() error {
	if m.Version != version {
		return fmt.Errorf("%w: version %d, this process has %d", ErrVersionMismatch, m.Version, version)
	}
	return nil
}

// marshal encodes a message or a part of it.
func marshal(v any) (json.RawMessage, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	return text, nil
}
