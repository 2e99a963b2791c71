// Package store persists the data that a dispatcher needs after a restart: its incarnation, its learned state, and the
// idempotency keys of requests that may have run.
//
// The incarnation and the state are documents in A/B slots, the keys are a journal of segments, and all records have
// checksums. Each record is either read back complete and unaltered, or is reported as damaged or missing. Package
// recovery decides whether the contents are trusted.
package store

import (
	"sync"
	"sync/atomic"
)

// Incarnation identifies one run of a dispatcher. Its number increases with each start.
type Incarnation struct {
	Name          string `cbor:"1,keyasint"` // of the dispatcher
	Number        uint64 `cbor:"2,keyasint"` // increased at each start, before the first message is sent
	Nonce         uint64 `cbor:"3,keyasint"` // random, distinguishes processes of one name and number
	StartedAt     int64  `cbor:"4,keyasint"` // Unix time in ms
	Drained       bool   `cbor:"5,keyasint"` // an operator has drained the dispatcher
	PersistedKeys uint64 `cbor:"6,keyasint"` // number of keys persisted in this incarnation; set at a clean shutdown
	CleanShutdown bool   `cbor:"7,keyasint"` // false after a crash
	KeysSuspect   bool   `cbor:"8,keyasint"` // keys of previous incarnations may be missing, for one dedup window
}

// State is a snapshot of the learned state of a dispatcher.
type State struct {
	Name          string                  `cbor:"1,keyasint"` // of the dispatcher
	Incarnation   uint64                  `cbor:"2,keyasint"` // the incarnation that wrote the state
	WrittenAt     int64                   `cbor:"3,keyasint"` // Unix time in ms
	SettingsHash  string                  `cbor:"4,keyasint"` // of the settings in use
	Learned       []byte                  `cbor:"5,keyasint"` // a proxy.Snapshot in JSON, as in a hot restart
	Peers         map[string]PeerProgress `cbor:"6,keyasint"` // by name of the peer
	PersistedKeys uint64                  `cbor:"7,keyasint"` // number of keys persisted in this incarnation so far
}

// PeerProgress records the current and the previous incarnation of a peer, and how many keys it persisted in each.
type PeerProgress struct {
	Incarnation   uint64 `cbor:"1,keyasint"` // the highest observed
	Nonce         uint64 `cbor:"2,keyasint"` // of that incarnation
	PersistedKeys uint64 `cbor:"3,keyasint"` // number of keys persisted in that incarnation

	PreviousIncarnation   uint64 `cbor:"4,keyasint,omitempty"` // the incarnation before, 0 if unknown
	PreviousNonce         uint64 `cbor:"5,keyasint,omitempty"` // of the previous incarnation
	PreviousPersistedKeys uint64 `cbor:"6,keyasint,omitempty"` // number of keys persisted in the previous incarnation
}

// Store reads and writes the records of one dispatcher on a disk. All methods are safe for concurrent use.
type Store struct {
	name string // of the dispatcher

	mu          sync.Mutex // guards the fields below; held during all writes except those of the state
	incarnation Incarnation
	identity    abSlot
	journal     keyJournal

	stateMu sync.Mutex // guards state; held during its writes, so that writes of keys do not wait for them
	state   abSlot

	persistedKeys atomic.Uint64 // number of keys persisted in this incarnation; read without waiting for a write
}

// BeginOptions holds the parameters of Begin.
type BeginOptions struct {
	Previous    Incarnation // zero if there is none
	MinNumber   uint64      // the lowest valid number of the new incarnation; 0 for no limit
	Nonce       uint64      // random, generated for this process
	KeysSuspect bool        // keys of previous incarnations may be missing; persisted for later incarnations
	At          int64       // start time of the incarnation, Unix time in ms
}

// Begin persists the next incarnation of the dispatcher and returns it. Its number is at least options.MinNumber, and
// is higher than that of the previous incarnation if that belongs to the same dispatcher.
func (s *Store) Begin(options BeginOptions) (Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := Incarnation{
		Name:        s.name,
		Number:      max(options.MinNumber, 1),
		Nonce:       options.Nonce,
		StartedAt:   options.At,
		KeysSuspect: options.KeysSuspect,
	}
	if options.Previous.Name == s.name {
		next.Number = max(next.Number, options.Previous.Number+1)
		next.Drained = options.Previous.Drained
	}
	s.incarnation = next
	s.journal.begin(next.Number)
	s.persistedKeys.Store(0)
	return next, s.identity.write(next)
}

// RaiseIncarnation increases the number of the incarnation to at least number and persists it. It is called if a peer
// has received the number of this incarnation, or a higher one, from an earlier process of the same name.
func (s *Store) RaiseIncarnation(number uint64) error {
	return s.updateIncarnation(func(i *Incarnation) { i.Number = max(i.Number, number) })
}

// MarkKeysSuspect persists that keys of previous incarnations may be missing.
func (s *Store) MarkKeysSuspect() error {
	return s.updateIncarnation(func(i *Incarnation) { i.KeysSuspect = true })
}

// ClearKeysSuspect persists that no unexpired key of a previous incarnation is missing.
func (s *Store) ClearKeysSuspect() error {
	return s.updateIncarnation(func(i *Incarnation) { i.KeysSuspect = false })
}

// MarkDrained persists that an operator has drained this dispatcher.
func (s *Store) MarkDrained() error {
	return s.updateIncarnation(func(i *Incarnation) { i.Drained = true })
}

// ClearDrained persists that an operator has ended the drain.
func (s *Store) ClearDrained() error {
	return s.updateIncarnation(func(i *Incarnation) { i.Drained = false })
}

// MarkCleanShutdown persists that this incarnation ends with a clean shutdown, and the number of keys that it has
// persisted. It is the last write of an incarnation.
func (s *Store) MarkCleanShutdown() error {
	return s.updateIncarnation(func(i *Incarnation) {
		i.CleanShutdown = true
		i.PersistedKeys = s.journal.persistedCount
	})
}

// updateIncarnation changes the incarnation and persists it. After an error, the previous incarnation remains in
// effect.
func (s *Store) updateIncarnation(change func(*Incarnation)) error {
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

// AppendKeys persists keys. If it returns an error, none of the keys is counted as persisted, although some may be read
// after a restart. now is Unix time in ms.
func (s *Store) AppendKeys(keys []Key, now int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.journal.append(keys, now)
	s.persistedKeys.Store(s.journal.persistedCount)
	return err
}

// PersistedKeys returns the number of keys persisted in this incarnation. It does not wait for a write in progress, so
// that a hung disk cannot block the caller.
func (s *Store) PersistedKeys() uint64 { return s.persistedKeys.Load() }

// SaveState persists the learned state with the name, incarnation and key count of this dispatcher.
func (s *Store) SaveState(state State) error {
	s.mu.Lock()
	state.Name = s.name
	state.Incarnation = s.incarnation.Number
	state.PersistedKeys = s.journal.persistedCount
	s.mu.Unlock()
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.state.write(state)
}
