// Package messaging is what dispatchers say to one another beside the platform's datagrams: questions of one that
// returns, and answers. Messages are lost, late, doubled and out of order; each stands for itself, and taking
// one twice changes nothing.
package messaging

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramBytes is how long one message may be, in bytes: what fits a packet on any net.
const MaxDatagramBytes = 1200

// Kind is what a message is.
type Kind uint8

// The values of Kind.
const (
	Query     Kind = iota + 1 // what do you know?
	Reply                     // a part of what I know
	Heartbeat                 // how far I have come, for the time when I have lost it
)

// Worker is what one dispatcher knows of a worker.
type Worker struct {
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint,omitempty"` // Unix time in ms, 0 for long ago
	State     string `cbor:"3,keyasint,omitempty"` // as listed, "" for ready
	InFlight  int    `cbor:"4,keyasint,omitempty"` // forwards out there
}

// Key tells where an invocation under a key may have run.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"`
	Worker    string `cbor:"2,keyasint"`
	Zone      string `cbor:"3,keyasint,omitempty"`
	Cell      int    `cbor:"4,keyasint,omitempty"`
	SentAt    int64  `cbor:"5,keyasint"` // Unix time in ms
	ExpiresAt int64  `cbor:"6,keyasint"` // when workers no longer drop its repeats
}

// Message is one of them.
type Message struct {
	Kind         Kind   `cbor:"1,keyasint"`
	From         string `cbor:"2,keyasint"`
	Incarnation  uint64 `cbor:"3,keyasint"`
	Nonce        uint64 `cbor:"4,keyasint"`
	Number       uint32 `cbor:"5,keyasint"`           // of a question, and in the answers to it
	Phase        uint8  `cbor:"6,keyasint,omitempty"` // how far the sender has returned
	UptimeMillis int64  `cbor:"7,keyasint,omitempty"` // ms since the sender's start

	PersistedKeys uint64 `cbor:"20,keyasint,omitempty"` // in beats: keys made durable in this life
	WantWorkers   bool   `cbor:"18,keyasint,omitempty"` // in a question: with what is known of workers

	// In answers.
	YourIncarnation   uint64             `cbor:"8,keyasint,omitempty"`  // the highest heard of under the asker's name
	YourNonce         uint64             `cbor:"9,keyasint,omitempty"`  // and whose it is
	YourPersistedKeys uint64             `cbor:"19,keyasint,omitempty"` // and how many keys it had made durable
	HeardAgoMillis    int64              `cbor:"10,keyasint,omitempty"` // how many ms ago
	KeysUnconfirmed   bool               `cbor:"21,keyasint,omitempty"` // whether there are such keys is not known yet
	KeysSuspect       bool               `cbor:"12,keyasint,omitempty"` // keys that the sender should know may be missing
	MaxObserved       map[string]float64 `cbor:"13,keyasint,omitempty"` // by kind of worker: the most seen at work at once
	Part              uint16             `cbor:"14,keyasint,omitempty"`
	Parts             uint16             `cbor:"15,keyasint,omitempty"`
	Workers           []Worker           `cbor:"16,keyasint,omitempty"`
	Keys              []Key              `cbor:"17,keyasint,omitempty"`
}

// ErrMalformed is a message that is not of this protocol.
var ErrMalformed = errors.New("malformed message")

var strictDecoding = mustDecMode(cbor.DecOptions{
	DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1024, MaxMapPairs: 64,
	MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden,
}.DecMode())

func mustDecMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Encode writes a message.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err == nil && len(b) > MaxDatagramBytes {
		err = fmt.Errorf("a message of %d bytes, %d at most", len(b), MaxDatagramBytes)
	}
	return b, err
}

// Decode reads a message.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	m := &Message{}
	if err := strictDecoding.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Kind < Query || m.Kind > Heartbeat || m.From == "" || len(m.From) > 255 || m.UptimeMillis < 0 || m.HeardAgoMillis < 0 ||
		m.Kind == Reply && (m.Parts == 0 || m.Part >= m.Parts) {
		return nil, ErrMalformed
	}
	return m, nil
}

// Bytes that a worker and a key take at the most, but for their names.
const (
	maxCommonBytes = 400 // what is the same in all parts
	maxWorkerBytes = 48
	maxKeyBytes    = 56
	maxKindBytes   = 12
)

// Split deals workers and keys out to as many messages as they need, all else like the first.
func Split(first Message, workers []Worker, keys []Key) []Message {
	parts := []Message{first}
	room := MaxDatagramBytes - maxCommonBytes - len(first.From)
	for name := range first.MaxObserved {
		room -= maxKindBytes + len(name)
	}
	left := room
	next := func(size int) *Message {
		if left -= size; left < 0 {
			later := first
			later.MaxObserved = nil
			parts, left = append(parts, later), room-size
		}
		return &parts[len(parts)-1]
	}
	for _, w := range workers {
		m := next(maxWorkerBytes + len(w.ID) + len(w.State))
		m.Workers = append(m.Workers, w)
	}
	for _, k := range keys {
		m := next(maxKeyBytes + len(k.Worker) + len(k.Zone))
		m.Keys = append(m.Keys, k)
	}
	for n := range parts {
		parts[n].Part, parts[n].Parts = uint16(n), uint16(len(parts))
	}
	return parts
}
