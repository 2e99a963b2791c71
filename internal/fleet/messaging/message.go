// Package messaging is the protocol by which the dispatchers of a fleet recover: queries, replies and heartbeats, in
// CBOR over UDP. It is apart from the platform's own datagrams.
//
// Messages may be lost, duplicated, late and out of order. Each stands for itself, and receiving one twice changes
// nothing. The package neither repeats nor interprets them: package recovery does.
package messaging

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramBytes bounds an encoded message, so that no network on the way fragments it.
const MaxDatagramBytes = 1200

// Kind is the kind of a message.
type Kind uint8

// The values of Kind.
const (
	Query     Kind = iota + 1 // asks what the receiver knows
	Reply                     // one part of what the sender knows
	Heartbeat                 // the sender's progress, in case its disk loses that
)

// Worker is what the sender knows of a worker.
type Worker struct {
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint,omitempty"` // Unix time in ms, 0 for unknown
	State     string `cbor:"3,keyasint,omitempty"` // in the endpoint list, "" for ready
	InFlight  int    `cbor:"4,keyasint,omitempty"` // the sender's requests in flight there
}

// Key records where a request under an idempotency key may have run.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"`           // checksum of the operation and the key
	Worker    string `cbor:"2,keyasint"`           // to which the request was sent
	Zone      string `cbor:"3,keyasint,omitempty"` // of that worker
	Cell      int    `cbor:"4,keyasint,omitempty"` // of that worker
	SentAt    int64  `cbor:"5,keyasint"`           // Unix time in ms
	ExpiresAt int64  `cbor:"6,keyasint"`           // Unix time in ms from which workers no longer drop repeats
}

// Message is a query, a reply or a heartbeat. Which fields have a meaning depends on its kind.
type Message struct {
	Kind         Kind   `cbor:"1,keyasint"`
	From         string `cbor:"2,keyasint"`           // the name of the sender
	Incarnation  uint64 `cbor:"3,keyasint"`           // of the sender
	Nonce        uint64 `cbor:"4,keyasint"`           // of the sender's process
	Number       uint32 `cbor:"5,keyasint"`           // of a query, and in the replies to it
	Phase        uint8  `cbor:"6,keyasint,omitempty"` // of the sender's recovery
	UptimeMillis int64  `cbor:"7,keyasint,omitempty"` // since the sender's process started

	PersistedKeys uint64 `cbor:"20,keyasint,omitempty"` // in heartbeats: in the sender's incarnation
	WantWorkers   bool   `cbor:"18,keyasint,omitempty"` // in queries: the reply is to name workers

	// In replies. The fields that begin with Your are about earlier processes of the receiver's name.
	YourIncarnation   uint64             `cbor:"8,keyasint,omitempty"`  // the highest that the sender knows, 0 for none
	YourNonce         uint64             `cbor:"9,keyasint,omitempty"`  // of that incarnation
	YourPersistedKeys uint64             `cbor:"19,keyasint,omitempty"` // in that incarnation
	ReceivedAgoMillis int64              `cbor:"10,keyasint,omitempty"` // since the last message of that incarnation
	KeysUnconfirmed   bool               `cbor:"21,keyasint,omitempty"` // the sender does not know yet whether it has lost keys
	KeysSuspect       bool               `cbor:"12,keyasint,omitempty"` // keys that the sender had persisted may be missing
	MaxObserved       map[string]float64 `cbor:"13,keyasint,omitempty"` // by kind of worker: the most requests seen at work at once
	Part              uint16             `cbor:"14,keyasint,omitempty"` // number of this part, from 0
	Parts             uint16             `cbor:"15,keyasint,omitempty"` // number of parts
	Workers           []Worker           `cbor:"16,keyasint,omitempty"` // that the sender knows
	Keys              []Key              `cbor:"17,keyasint,omitempty"` // of the sender's own disk and incarnation
}

// The errors of messages.
var (
	ErrMalformed = errors.New("malformed message") // received bytes are not of this protocol
	ErrTooLong   = errors.New("message too long")  // a message to be sent is above MaxDatagramBytes
)

// strictDecoding bounds what a datagram can make the decoder do.
var strictDecoding = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	MaxArrayElements: 1024,
	MaxMapPairs:      64,
	MaxNestedLevels:  4,
	IndefLength:      cbor.IndefLengthForbidden,
}.DecMode())

func mustDecMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the bytes of a message. It fails with ErrTooLong above MaxDatagramBytes.
func Encode(msg *Message) ([]byte, error) {
	datagram, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encoding a message: %w", err)
	}
	if len(datagram) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLong, len(datagram), MaxDatagramBytes)
	}
	return datagram, nil
}

// Decode returns the message in a datagram. It fails with ErrMalformed.
func Decode(datagram []byte) (*Message, error) {
	if len(datagram) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(datagram))
	}
	msg := &Message{}
	if err := strictDecoding.Unmarshal(datagram, msg); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !msg.valid() {
		return nil, ErrMalformed
	}
	return msg, nil
}

// maxNameBytes bounds a sender's name.
const maxNameBytes = 255

// valid reports whether the fields of a decoded message can be used.
func (m *Message) valid() bool {
	switch {
	case m.Kind < Query || m.Kind > Heartbeat:
		return false
	case m.From == "" || len(m.From) > maxNameBytes:
		return false
	case m.UptimeMillis < 0 || m.ReceivedAgoMillis < 0:
		return false
	case m.Kind == Reply:
		return m.Part < m.Parts
	}
	return true
}

// The most bytes that the contents of a message take in CBOR, without the names in them.
const (
	maxCommonBytes = 400 // all fields but the ones below
	maxWorkerBytes = 48  // a Worker
	maxKeyBytes    = 56  // a Key
	maxKindBytes   = 12  // an entry of MaxObserved
)

// Split returns a reply in as many messages as its workers and keys need. Each has the fields of first, but only the
// first one has MaxObserved.
func Split(first Message, workers []Worker, keys []Key) []Message {
	s := newSplitter(first)
	for _, w := range workers {
		part := s.partFor(maxWorkerBytes + len(w.ID) + len(w.State))
		part.Workers = append(part.Workers, w)
	}
	for _, k := range keys {
		part := s.partFor(maxKeyBytes + len(k.Worker) + len(k.Zone))
		part.Keys = append(part.Keys, k)
	}
	for n := range s.parts {
		s.parts[n].Part = uint16(n)
		s.parts[n].Parts = uint16(len(s.parts))
	}
	return s.parts
}

// splitter fills the parts of a reply one after the other.
type splitter struct {
	parts     []Message // the last one is being filled
	capacity  int       // bytes for workers and keys in each part
	remaining int       // of these bytes in the last part
}

func newSplitter(first Message) *splitter {
	capacity := MaxDatagramBytes - maxCommonBytes - len(first.From)
	for kind := range first.MaxObserved {
		capacity -= maxKindBytes + len(kind)
	}
	return &splitter{parts: []Message{first}, capacity: capacity, remaining: capacity}
}

// partFor returns the part that has room for an entry of a size in bytes.
func (s *splitter) partFor(size int) *Message {
	s.remaining -= size
	if s.remaining < 0 {
		next := s.parts[0]
		next.MaxObserved = nil
		next.Workers = nil
		next.Keys = nil
		s.parts = append(s.parts, next)
		s.remaining = s.capacity - size
	}
	return &s.parts[len(s.parts)-1]
}
