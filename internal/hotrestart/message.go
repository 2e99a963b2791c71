// Package hotrestart hands a dispatcher's sockets and what it knows to a second process that is started while
// the first serves. The two meet at a Unix socket in a directory that both have; where there is none, or
// nobody is there, a process starts like any other. Messages are JSON, one a line.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
)

// version is that of the messages. A process that speaks another one is nobody to take over from.
const version = 1

// mostMessage bounds a line.
const mostMessage = 16 << 20

// The names of the sockets that are handed over.
const (
	ClientSocket = "clients"
	PeerSocket   = "peers"
)

// message is one line. The first one of each side says its version.
type message struct {
	Version int             `json:"v,omitempty"`
	Sockets []string        `json:"sockets,omitempty"` // whose descriptors come with the first byte
	Legacy  json.RawMessage `json:"legacy,omitempty"`  // what the predecessor knows
	Serving bool            `json:"serving,omitempty"` // the successor accepts from now on
	Twin    json.RawMessage `json:"twin,omitempty"`    // what a side has out, again and again
	Open    json.RawMessage `json:"open,omitempty"`    // an invocation that is under way
	Call    string          `json:"call,omitempty"`    // an operator's, passed on to the successor
}

// ErrVersionMismatch is a line that is no message of this version.
var ErrVersionMismatch = errors.New("not a message of this version of the hand-over")

func parseMessage(line []byte) (m message, err error) {
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("%w: %w", ErrVersionMismatch, err)
	}
	return m, nil
}
