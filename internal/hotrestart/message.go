// Package hotrestart passes a dispatcher's sockets, state and requests from a process that serves to a second one that
// is started beside it: its successor. The two find each other at a Unix socket, see Rendezvous; where none can be had,
// or nobody listens there, a process starts like any other. The package moves messages and descriptors. What the state
// means, and who serves when, is its callers'.
//
// A message is a line of JSON, with the descriptors of its sockets beside its first byte. Processes of other releases
// read and write them too: the keys, their meaning and version stay, see format_test.go.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
)

// version is the version of the messages. A process with another one is neither taken over from nor served.
const version = 1

// maxMessageBytes bounds a line.
const maxMessageBytes = 16 << 20

// The names of the sockets that are handed over. Those of a request's attempts are their numbers.
const (
	ClientSocket = "clients"
	PeerSocket   = "peers"
)

// message is one line. The first one of each side has its version.
type message struct {
	Version  int             `json:"v,omitempty"`
	Sockets  []string        `json:"sockets,omitempty"` // names, in the order of the descriptors
	Snapshot json.RawMessage `json:"legacy,omitempty"`  // the predecessor's state
	Serving  bool            `json:"serving,omitempty"` // the successor accepts connections from now on
	Update   json.RawMessage `json:"twin,omitempty"`    // what a side has in flight, at intervals
	Request  json.RawMessage `json:"open,omitempty"`    // a request in flight that goes on at the successor
	Command  string          `json:"call,omitempty"`    // an operator's, forwarded to the successor
}

// Why no hot restart is possible with another process.
var (
	// ErrVersionMismatch is returned for a message that is not one of this version.
	ErrVersionMismatch = errors.New("not a message of this version of the hot restart")
	// ErrOtherUser is returned where the process at the rendezvous is another user's.
	ErrOtherUser = errors.New("the process at the rendezvous is another user's")
)

func parseMessage(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("%w: %w", ErrVersionMismatch, err)
	}
	return m, nil
}

// checkVersion returns an error for the first message of a process with other messages.
func (m *message) checkVersion() error {
	if m.Version != version {
		return fmt.Errorf("%w: version %d, this process has %d", ErrVersionMismatch, m.Version, version)
	}
	return nil
}

// marshal encodes what a message carries.
func marshal(v any) (json.RawMessage, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	return text, nil
}
