// Package messaging implements the recovery protocol between the dispatchers of a fleet: queries, replies and
// heartbeats, encoded in CBOR and sent over UDP. It is independent of the platform's own datagrams.
//
// Messages may be lost, duplicated, delayed and reordered. Each message is self-contained and idempotent. This package
// neither retransmits nor interprets messages: package recovery does.
package messaging

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramBytes limits the size of an encoded message, so that no network on the path fragments it.
const MaxDatagramBytes = 1200

// Kind is the type of a message.
type Kind uint8

// The values of Kind.
const (
	Query     Kind = iota + 1 // requests a reply from the receiver
	Reply                     // one part of the sender's data that the receiver may lack
	Heartbeat                 // the sender's progress, which peers report back if its disk loses it
)

// Worker describes a worker in the sender's endpoint list.
type Worker struct {
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint,omitempty"` // Unix time in ms, 0 if unknown
	State     string `cbor:"3,keyasint,omitempty"` // state in the endpoint list, "" for ready
	InFlight  int    `cbor:"4,keyasint,omitempty"` // the sender's requests in flight on the worker
}

// Key records the worker on which a request with an idempotency key may have run.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"`           // checksum of the operation and the key
	Worker    string `cbor:"2,keyasint"`           // the worker to which the request was sent
	Zone      string `cbor:"3,keyasint,omitempty"` // of that worker
	Cell      int    `cbor:"4,keyasint,omitempty"` // of that worker
	SentAt    int64  `cbor:"5,keyasint"`           // Unix time in ms
	ExpiresAt int64  `cbor:"6,keyasint"`           // Unix time in ms at which workers stop dropping repeats
}

// Message is a query, a reply or a heartbeat. Its kind determines which fields are used.
type Message struct {
	Kind         Kind   `cbor:"1,keyasint"`
	From         string `cbor:"2,keyasint"`           // name of the sender
	Incarnation  uint64 `cbor:"3,keyasint"`           // of the sender
	Nonce        uint64 `cbor:"4,keyasint"`           // of the sender's process
	Number       uint32 `cbor:"5,keyasint"`           // number of a query, repeated in the replies to it
	Phase        uint8  `cbor:"6,keyasint,omitempty"` // recovery phase of the sender
	UptimeMillis int64  `cbor:"7,keyasint,omitempty"` // time since the sender's process started

	PersistedKeys uint64 `cbor:"20,keyasint,omitempty"` // in heartbeats: keys persisted in the sender's incarnation
	WantWorkers   bool   `cbor:"18,keyasint,omitempty"` // in queries: the reply should include workers

	// Fields of replies. Those with the prefix Receiver describe earlier processes with the receiver's name.
	ReceiverIncarnation   uint64             `cbor:"8,keyasint,omitempty"`  // highest received by the sender, 0 if none
	ReceiverNonce         uint64             `cbor:"9,keyasint,omitempty"`  // of that incarnation
	ReceiverPersistedKeys uint64             `cbor:"19,keyasint,omitempty"` // keys persisted in that incarnation
	ReceivedAgoMillis     int64              `cbor:"10,keyasint,omitempty"` // since the last message of that incarnation
	KeysUnconfirmed       bool               `cbor:"21,keyasint,omitempty"` // the sender may still find that it lost keys
	KeysSuspect           bool               `cbor:"12,keyasint,omitempty"` // keys persisted by the sender may be missing
	MaxObserved           map[string]float64 `cbor:"13,keyasint,omitempty"` // highest observed concurrency by kind of worker
	Part                  uint16             `cbor:"14,keyasint,omitempty"` // number of this part, from 0
	Parts                 uint16             `cbor:"15,keyasint,omitempty"` // number of parts
	Workers               []Worker           `cbor:"16,keyasint,omitempty"` // workers in the sender's endpoint list
	Keys                  []Key              `cbor:"17,keyasint,omitempty"` // keys from the sender's own disk and incarnation
}

// The errors for messages that cannot be decoded or encoded.
var (
	ErrMalformed = errors.New("malformed message") // the received bytes are not a valid message
	ErrTooLong   = errors.New("message too long")  // the encoded message exceeds MaxDatagramBytes
)

// strictDecMode limits the resources that decoding a datagram can use.
var strictDecMode = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	MaxArrayElements: 1024,
	MaxMapPairs:      64,
	MaxNestedLevels:  4,
	IndefLength:      cbor.IndefLengthForbidden,
}.DecMode())

func mustDecMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return mode
}

// Encode returns the encoding of a message. It fails with ErrTooLong if the encoding exceeds MaxDatagramBytes.
func Encode(msg *Message) ([]byte, error) {
	datagram, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encoding message: %w", err)
	}
	if len(datagram) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLong, len(datagram), MaxDatagramBytes)
	}
	return datagram, nil
}

// Decode decodes the message in a datagram. It fails with ErrMalformed if the datagram is not a valid message.
func Decode(datagram []byte) (*Message, error) {
	if len(datagram) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(datagram))
	}
	msg := &Message{}
	if err := strictDecMode.Unmarshal(datagram, msg); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !msg.isValid() {
		return nil, ErrMalformed
	}
	return msg, nil
}

// maxNameBytes limits the length of a sender's name.
const maxNameBytes = 255

// isValid reports whether the fields of a decoded message are in range and consistent.
func (m *Message) isValid() bool {
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

// The maximum sizes in bytes of the elements of a message in CBOR, without the names that they contain.
const (
	maxOtherFieldBytes    = 400 // all fields except those below
	maxWorkerBytes        = 48  // a Worker
	maxKeyBytes           = 56  // a Key
	maxObservedEntryBytes = 12  // an entry of MaxObserved
)

// Split splits a reply into as many messages as its workers and keys require. Each message has the fields of template,
// but only the first message has MaxObserved.
func Split(template Message, workers []Worker, keys []Key) []Message {
	s := newSplitter(template)
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

// splitter fills the parts of a reply in order.
type splitter struct {
	parts     []Message // the last part is being filled
	capacity  int       // bytes available for workers and keys in each part
	remaining int       // unused bytes of the capacity of the last part
}

func newSplitter(template Message) *splitter {
	capacity := MaxDatagramBytes - maxOtherFieldBytes - len(template.From)
	for kind := range template.MaxObserved {
		capacity -= maxObservedEntryBytes + len(kind)
	}
	return &splitter{parts: []Message{template}, capacity: capacity, remaining: capacity}
}

// partFor reserves space for an entry of size bytes in the last part, or in a new part if the last one is full, and
// returns that part.
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
