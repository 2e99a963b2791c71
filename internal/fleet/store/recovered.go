package store

import (
	"errors"
	"fmt"
)

// Recovered is what a disk held.
type Recovered struct {
	Incarnation   Incarnation // the last one; zero where none is known
	Known         bool        // an incarnation was found
	Foreign       bool        // it is of another dispatcher
	State         *State      // the last state of this dispatcher, nil for none
	Keys          []Key       // of all incarnations, in the order of writing
	PersistedKeys uint64      // of the last incarnation: the number of its last key that was read
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

// Open reads a disk. What is lost is named in Recovered.Errors.
func Open(disk Disk, name string) (*Store, Recovered) {
	s := &Store{
		name:     name,
		identity: abSlot{disk: disk, name: "life", kind: kindIncarnation},
		state:    abSlot{disk: disk, name: "facts", kind: kindState, inPlace: true},
		journal:  keyJournal{disk: disk},
	}
	var r Recovered
	var identityErr, journalErr error
	r.Known, identityErr = s.identity.read(&r.Incarnation)
	r.report(identityErr)
	var state State
	stateFound, stateErr := s.state.read(&state)
	r.report(stateErr)
	r.Keys, journalErr = s.journal.read()
	r.report(journalErr)
	// A truncated record counts as well: it may have been complete once.
	r.KeysSuspect = identityErr != nil || journalErr != nil
	r.KeysSuspect = r.KeysSuspect || r.Incarnation.KeysSuspect
	r.Foreign = r.Known && r.Incarnation.Name != name
	if stateFound {
		r.takeState(&state, name)
	}
	r.countKeys(&s.journal)
	if !r.Known || r.Foreign {
		r.KeysSuspect = true // nobody knows what this dispatcher has sent
	}
	return s, r
}

// report adds an error, if there is one.
func (r *Recovered) report(err error) {
	if err != nil {
		r.Errors = append(r.Errors, err)
	}
}

// takeState takes the state that was read, unless it is of another dispatcher.
func (r *Recovered) takeState(state *State, name string) {
	if state.Name != name {
		r.report(fmt.Errorf("facts: %w: %q", ErrForeignState, state.Name))
		return
	}
	r.State = state
	if r.Known && state.Incarnation > r.Incarnation.Number {
		r.report(fmt.Errorf("facts: %w: incarnation %d, the life file has %d", ErrOutdated, state.Incarnation, r.Incarnation.Number))
		r.Incarnation.Number = state.Incarnation
		r.KeysSuspect = true // the disk has lost a write that it had acknowledged, so perhaps keys too
	}
}

// countKeys compares the keys that were read with the numbers that state and incarnation hold.
func (r *Recovered) countKeys(journal *keyJournal) {
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

// MinNextIncarnation returns the lowest number that the next incarnation may have by the state, which may be newer than the
// incarnation on disk.
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
