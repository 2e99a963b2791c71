package store

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Incarnation is who a dispatcher is.
type Incarnation struct {
	Name          string `cbor:"1,keyasint"`
	Number        uint64 `cbor:"2,keyasint"` // raised at each start, before the first word to anyone
	Nonce         uint64 `cbor:"3,keyasint"` // drawn at each start: two that claim one name and life are still two
	StartedAt     int64  `cbor:"4,keyasint"` // Unix time in ms
	Drained       bool   `cbor:"5,keyasint"` // told to leave by hand
	Keys          uint64 `cbor:"6,keyasint"` // keys acknowledged in this life, once it has ended in order
	CleanShutdown bool   `cbor:"7,keyasint"` // it ended in order
	KeysSuspect   bool   `cbor:"8,keyasint"` // keys of before may be missing; until a window has been lived through
}

// State are what a dispatcher has learnt, as of one moment.
type State struct {
	Name         string                  `cbor:"1,keyasint"`
	Incarnation  uint64                  `cbor:"2,keyasint"`
	WrittenAt    int64                   `cbor:"3,keyasint"` // Unix time in ms
	SettingsHash string                  `cbor:"4,keyasint"` // a hash of those that it goes by
	Learned      []byte                  `cbor:"5,keyasint"` // JSON, as a successor in an upgrade takes it
	Peers        map[string]PeerProgress `cbor:"6,keyasint"` // what was heard of others, by name
	Keys         uint64                  `cbor:"7,keyasint"` // acknowledged in this life up to then
}

// PeerProgress is how far another dispatcher had come.
type PeerProgress struct {
	Incarnation   uint64 `cbor:"1,keyasint"`
	Nonce         uint64 `cbor:"2,keyasint"`
	PersistedKeys uint64 `cbor:"3,keyasint"` // keys made durable in that life

	PreviousIncarnation   uint64 `cbor:"4,keyasint,omitempty"` // and the same of the life before that
	PreviousNonce         uint64 `cbor:"5,keyasint,omitempty"`
	PreviousPersistedKeys uint64 `cbor:"6,keyasint,omitempty"`
}

// Recovered is what a folder held.
type Recovered struct {
	Incarnation   Incarnation
	Known         bool // a life was found
	Foreign       bool // it is that of another dispatcher
	State         *State
	Keys          []Key
	PersistedKeys uint64  // keys of that life that are there, and were before them
	Errors        []error // what could not be believed, each with its file
	KeysSuspect   bool    // keys that were acknowledged may be missing
}

// Store is one dispatcher's folder.
type Store struct {
	name  string
	mu    sync.Mutex // one write at a time; not held for facts while keys are written
	life  slot
	facts slot
	keys  journal
	own   Incarnation

	factsMu sync.Mutex
	kept    atomic.Uint64 // keys made durable in this life: told without waiting for a disk
}

// Open reads a folder. What cannot be believed is named in Found and counts as lost.
func Open(d Disk, name string) (*Store, Recovered) {
	s := &Store{
		name: name, life: slot{disk: d, name: "life", kind: kindLife},
		facts: slot{disk: d, name: "facts", kind: kindFacts, often: true}, keys: journal{disk: d},
	}
	var f Recovered
	var err error
	lost := func(err error) {
		if err != nil {
			f.Errors = append(f.Errors, err)
		}
	}
	f.Known, err = s.life.read(&f.Incarnation)
	lost(err)
	torn := err != nil
	var facts State
	found, err := s.facts.read(&facts)
	lost(err)
	f.Keys, err = s.keys.read()
	lost(err)
	f.KeysSuspect = torn || err != nil // also a record that ends before its end: it may have been whole once
	f.KeysSuspect = f.KeysSuspect || f.Incarnation.KeysSuspect
	f.Foreign = f.Known && f.Incarnation.Name != name
	switch {
	case !found:
	case facts.Name != name:
		lost(fmt.Errorf("facts: those of %q", facts.Name))
	case f.Known && facts.Incarnation > f.Incarnation.Number:
		lost(fmt.Errorf("facts: of life %d, later than %d, which the life file tells", facts.Incarnation, f.Incarnation.Number))
		f.KeysSuspect = true // the life file has lost a write that it had acknowledged: so may the keys
		f.State, f.Incarnation.Number = &facts, facts.Incarnation
	default:
		f.State = &facts
	}
	acknowledged := uint64(0)
	if f.State != nil && f.State.Incarnation == f.Incarnation.Number {
		acknowledged = f.State.Keys
	}
	if f.Incarnation.CleanShutdown {
		acknowledged = max(acknowledged, f.Incarnation.Keys)
	}
	if f.PersistedKeys = s.keys.countIn(f.Incarnation.Number); acknowledged > f.PersistedKeys {
		lost(fmt.Errorf("keys: %d of life %d, where %d had been acknowledged", f.PersistedKeys, f.Incarnation.Number, acknowledged))
		f.KeysSuspect = true
	}
	if !f.Known || f.Foreign {
		f.KeysSuspect = true // where nobody was, nobody knows what has been
	}
	return s, f
}

// Begin makes the next life durable. least is the lowest number that it may have; doubt tells that keys of before
// may be missing, which the life after this one has to know too.
func (s *Store) Begin(was Incarnation, least, token uint64, doubt bool, now int64) (Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = Incarnation{Name: s.name, Number: max(least, 1), Nonce: token, StartedAt: now, KeysSuspect: doubt}
	if was.Name == s.name {
		s.own.Number, s.own.Drained = max(s.own.Number, was.Number+1), was.Drained
	}
	s.keys.life, s.keys.count = s.own.Number, 0
	s.kept.Store(0)
	return s.own, s.life.write(s.own)
}

// RaiseIncarnation makes a higher life durable, as others know of one that this folder does not.
func (s *Store) RaiseIncarnation(life uint64) error {
	return s.change(func(l *Incarnation) { l.Number = max(l.Number, life) })
}

// SetKeysSuspect makes durable whether keys of before may be missing.
func (s *Store) SetKeysSuspect(doubt bool) error {
	return s.change(func(l *Incarnation) { l.KeysSuspect = doubt })
}

// SetDrained makes durable that an operator has told this dispatcher to leave, or to join.
func (s *Store) SetDrained(left bool) error {
	return s.change(func(l *Incarnation) { l.Drained = left })
}

// MarkCleanShutdown makes durable that this life ends in order.
func (s *Store) MarkCleanShutdown() error {
	return s.change(func(l *Incarnation) { l.CleanShutdown, l.Keys = true, s.keys.count })
}

func (s *Store) change(how func(*Incarnation)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.own
	how(&next)
	if next == s.own {
		return nil
	}
	if err := s.life.write(next); err != nil {
		return err
	}
	s.own = next
	return nil
}

// AppendKeys makes keys durable. It may be called by one goroutine at a time.
func (s *Store) AppendKeys(keys []Key, now int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.keys.write(keys, now)
	s.kept.Store(s.keys.count)
	return err
}

// PersistedKeys is how many keys were made durable in this life. It waits for no write: a disk that hangs stops those who
// wait for it, and nobody else.
func (s *Store) PersistedKeys() uint64 { return s.kept.Load() }

// SaveState makes facts durable.
func (s *Store) SaveState(f State) error {
	s.mu.Lock()
	f.Name, f.Incarnation, f.Keys = s.name, s.own.Number, s.keys.count
	s.mu.Unlock()
	s.factsMu.Lock()
	defer s.factsMu.Unlock()
	return s.facts.write(f)
}
