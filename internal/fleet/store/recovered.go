package store

import (
	"errors"
	"fmt"
)

// Recovered is what a disk held.
type Recovered struct {
	Incarnation   Incarnation // the last one; zero where none is known
	Known         bool        // an incarnation was found
	Foreign       bool        // that incarnation is of another dispatcher
	State         *State      // the last state of this dispatcher, nil for none
	Keys          []Key       // of all incarnations, in the order of writing
	PersistedKeys uint64      // of the last incarnation: the number of its last key that was read, counted from 1
	Errors        []error     // what is lost, each with its file; tested with errors.Is
	KeysSuspect   bool        // keys that were persisted may be missing
}

// The errors of Recovered that concern several records. Those of one record are ErrTruncated, ErrChecksum,
// ErrUnknownRecord and ErrNewerVersion.
var (
	ErrForeignState = errors.New("state of another dispatcher")
	ErrOutdated     = errors.New("the incarnation on disk is older than the state")
	ErrKeysMissing  = errors.New("keys that had been persisted are missing")
)

// Open reads the records of the dispatcher of a name. It does not fail: what is lost is named in Recovered.Errors.
func Open(disk Disk, name string) (*Store, Recovered) {
	opened := &Store{
		name:     name,
		identity: abSlot{disk: disk, name: "life", kind: kindIncarnation},
		state:    abSlot{disk: disk, name: "facts", kind: kindState, inPlace: true},
		journal:  keyJournal{disk: disk},
	}
	return opened, opened.readRecords()
}

// readRecords reads all records, and compares them with each other.
func (s *Store) readRecords() Recovered {
	var r Recovered
	var identityErr error
	r.Known, identityErr = s.identity.read(&r.Incarnation)
	r.report(identityErr)
	var state State
	stateFound, stateErr := s.state.read(&state)
	r.report(stateErr)
	keys, journalErr := s.journal.read()
	r.report(journalErr)
	r.Keys = keys
	// A truncated record counts as well: it may have been complete once.
	r.KeysSuspect = identityErr != nil || journalErr != nil
	r.KeysSuspect = r.KeysSuspect || r.Incarnation.KeysSuspect
	r.Foreign = r.Known && r.Incarnation.Name != s.name
	if stateFound {
		r.takeState(&state, s.name)
	}
	r.checkKeyCount(&s.journal)
	if !r.Known || r.Foreign {
		r.KeysSuspect = true // nobody knows what this dispatcher has sent
	}
	return r
}

// report adds an error, if there is one.
func (r *Recovered) report(err error) {
	if err != nil {
		r.Errors = append(r.Errors, err)
	}
}

// takeState adds the state that was read, unless it is of another dispatcher. A state that is newer than the
// incarnation on disk shows that the disk has lost a write that it had acknowledged, so perhaps keys too.
func (r *Recovered) takeState(state *State, name string) {
	if state.Name != name {
		r.report(fmt.Errorf("facts: %w: %q", ErrForeignState, state.Name))
		return
	}
	r.State = state
	if r.Known && state.Incarnation > r.Incarnation.Number {
		r.report(fmt.Errorf("facts: %w: incarnation %d, the life file has %d", ErrOutdated, state.Incarnation, r.Incarnation.Number))
		r.Incarnation.Number = state.Incarnation
		r.KeysSuspect = true
	}
}

// checkKeyCount compares the number of keys that were read with those that the state and a clean shutdown have recorded.
func (r *Recovered) checkKeyCount(journal *keyJournal) {
	persisted := uint64(0)
	if r.State != nil && r.State.Incarnation == r.Incarnation.Number {
		persisted = r.State.Keys
	}
	if r.Incarnation.CleanShutdown {
		persisted = max(persisted, r.Incarnation.Keys)
	}
	r.PersistedKeys = journal.countOf(r.Incarnation.Number)
	if persisted > r.PersistedKeys {
		r.report(fmt.Errorf("keys: %w: %d of incarnation %d found, %d persisted", ErrKeysMissing, r.PersistedKeys,
			r.Incarnation.Number, persisted))
		r.KeysSuspect = true
	}
}

// MinNextIncarnation returns the lowest number that the state allows for the next incarnation. The state may be newer
// than the incarnation on disk.
func (r *Recovered) MinNextIncarnation() uint64 {
	if r.State == nil {
		return 1
	}
	return r.State.Incarnation + 1
}

// SuspectUnreliableDisk marks keys as suspect after a crash, since the disk may have lost what it had synced.
func (r *Recovered) SuspectUnreliableDisk() {
	crashed := r.Known && !r.Incarnation.CleanShutdown
	if crashed {
		r.KeysSuspect = true
	}
}
