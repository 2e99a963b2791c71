// Package store persists what a dispatcher needs after a restart: its incarnation, what it has learned, and the keys
// under which requests may have run.
//
// Incarnation and state are documents in A/B slots, keys are a journal of segments, and records carry checksums. What
// is read back is complete and unaltered, or is reported as lost. Package recovery decides how far the contents are
// trusted.
package store

import (
	"sync"
	"sync/atomic"
)

// Incarnation identifies one run of a dispatcher. Its number rises with each start.
type Incarnation struct {
	Name          string `cbor:"1,keyasint"` // of the dispatcher
	Number        uint64 `cbor:"2,keyasint"` // raised at each start, before the first message is sent
	Nonce         uint64 `cbor:"3,keyasint"` // drawn at each start: two processes that claim one name and number differ in it
	StartedAt     int64  `cbor:"4,keyasint"` // Unix time in ms
	Drained       bool   `cbor:"5,keyasint"` // an operator has drained it
	Keys          uint64 `cbor:"6,keyasint"` // persisted in this incarnation; set by a clean shutdown
	CleanShutdown bool   `cbor:"7,keyasint"` // it has ended in order; after a crash false
	KeysSuspect   bool   `cbor:"8,keyasint"` // keys of previous incarnations may be missing, until a dedup window has passed
}

// State is what a dispatcher has learned, as of one moment.
type State struct {
	Name         string                  `cbor:"1,keyasint"` // of the dispatcher
	Incarnation  uint64                  `cbor:"2,keyasint"` // that wrote it
	WrittenAt    int64                   `cbor:"3,keyasint"` // Unix time in ms
	SettingsHash string                  `cbor:"4,keyasint"` // of the settings in use
	Learned      []byte                  `cbor:"5,keyasint"` // a proxy.Snapshot in JSON, as a successor in a hot restart takes it
	Peers        map[string]PeerProgress `cbor:"6,keyasint"` // what is known of peers, by name
	Keys         uint64                  `cbor:"7,keyasint"` // persisted in this incarnation up to then
}

// PeerProgress is what is known of a peer's present incarnation and of the one before.
type PeerProgress struct {
	Incarnation   uint64 `cbor:"1,keyasint"` // the highest known
	Nonce         uint64 `cbor:"2,keyasint"` // of that incarnation
	PersistedKeys uint64 `cbor:"3,keyasint"` // in that incarnation

	PreviousIncarnation   uint64 `cbor:"4,keyasint,omitempty"` // the one before, 0 for none known
	PreviousNonce         uint64 `cbor:"5,keyasint,omitempty"` // of the one before
	PreviousPersistedKeys uint64 `cbor:"6,keyasint,omitempty"` // in the one before
}

// Store holds the records of one dispatcher on a disk. All methods may be called by several goroutines.
type Store struct {
	name string // of the dispatcher

	mu          sync.Mutex // guards the fields below; held during writes, except those of the state
	incarnation Incarnation
	identity    abSlot
	journal     keyJournal

	stateMu sync.Mutex // guards state; held during its writes, which the keys do not wait for
	state   abSlot

	persistedKeys atomic.Uint64 // in this incarnation; read without waiting for a write
}

// Start is what an incarnation begins with.
type Start struct {
	Previous    Incarnation // zero for none
	MinNumber   uint64      // the lowest number that it may have; 0 for no limit
	Nonce       uint64      // drawn for this process
	KeysSuspect bool        // keys of previous incarnations may be missing; later incarnations read that too
	At          int64       // Unix time in ms
}

// Begin persists the next incarnation of a dispatcher and returns it. Its number is at least start.MinNumber and above
// that of the previous one, if that is of the same dispatcher.
func (s *Store) Begin(start Start) (Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := Incarnation{
		Name:        s.name,
		Number:      max(start.MinNumber, 1),
		Nonce:       start.Nonce,
		StartedAt:   start.At,
		KeysSuspect: start.KeysSuspect,
	}
	if start.Previous.Name == s.name {
		next.Number = max(next.Number, start.Previous.Number+1)
		next.Drained = start.Previous.Drained
	}
	s.incarnation = next
	s.journal.begin(next.Number)
	s.persistedKeys.Store(0)
	return next, s.identity.write(next)
}

// RaiseIncarnation persists a higher number, since peers know one that this disk does not hold.
func (s *Store) RaiseIncarnation(number uint64) error {
	return s.update(func(i *Incarnation) { i.Number = max(i.Number, number) })
}

// MarkKeysSuspect persists that keys of previous incarnations may be missing.
func (s *Store) MarkKeysSuspect() error {
	return s.update(func(i *Incarnation) { i.KeysSuspect = true })
}

// ClearKeysSuspect persists that no key of a previous incarnation is missing that could still count.
func (s *Store) ClearKeysSuspect() error {
	return s.update(func(i *Incarnation) { i.KeysSuspect = false })
}

// MarkDrained persists that an operator has drained this dispatcher.
func (s *Store) MarkDrained() error {
	return s.update(func(i *Incarnation) { i.Drained = true })
}

// ClearDrained persists that an operator has ended the drain.
func (s *Store) ClearDrained() error {
	return s.update(func(i *Incarnation) { i.Drained = false })
}

// MarkCleanShutdown persists that this incarnation ends in order, and how many keys it has persisted. It is the last
// write of an incarnation.
func (s *Store) MarkCleanShutdown() error {
	return s.update(func(i *Incarnation) {
		i.CleanShutdown = true
		i.Keys = s.journal.count
	})
}

// update changes the incarnation and persists it. After an error the former one still holds.
func (s *Store) update(change func(*Incarnation)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.incarnation
	change(&next)
	if next == s.incarnation {
		return nil
	}
	if err := s.identity.write(next); err != nil {
		return err
	}
	s.incarnation = next
	return nil
}

// AppendKeys persists keys. With an error none of them counts as persisted, though some may be read back. now is Unix
// time in ms.
func (s *Store) AppendKeys(keys []Key, now int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.journal.append(keys, now)
	s.persistedKeys.Store(s.journal.count)
	return err
}

// PersistedKeys returns how many keys were persisted in this incarnation. It does not wait for a write in progress,
// since a disk that hangs must not stop the caller.
func (s *Store) PersistedKeys() uint64 { return s.persistedKeys.Load() }

// SaveState persists what was learned, as of this incarnation.
func (s *Store) SaveState(state State) error {
	s.mu.Lock()
	state.Name = s.name
	state.Incarnation = s.incarnation.Number
	state.Keys = s.journal.count
	s.mu.Unlock()
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.state.write(state)
}
