package store

import (
	"errors"
	"fmt"
)

// Recovered holds the records that were read from a disk.
type Recovered struct {
	Incarnation      Incarnation // the last one; zero if none was found
	IncarnationFound bool        // an intact incarnation record was read
	Foreign          bool        // the incarnation belongs to another dispatcher
	State            *State      // the last state of this dispatcher, nil if none was found
	Keys             []Key       // of all incarnations, in the order in which they were written
	PersistedKeys    uint64      // in the last incarnation: the sequence number of the last key that was read, from 1
	Errors           []error     // the damaged or missing records, each with its file; matched with errors.Is
	KeysSuspect      bool        // persisted keys may be missing
}

// The errors in Recovered.Errors that concern several records. The errors for a single record are ErrTruncated,
// ErrChecksum, ErrUnknownRecord and ErrNewerVersion. The texts of both are part of the output of
// `canvasroute state show`.
var (
	ErrForeignState = errors.New("state of another dispatcher")
	ErrOutdated     = errors.New("the incarnation on disk is older than the state")
	ErrKeysMissing  = errors.New("keys that had been persisted are missing")
)

// Open reads the records of the named dispatcher. It does not fail: damaged or missing records are listed in
// Recovered.Errors.
func Open(disk Disk, name string) (*Store, Recovered) {
	opened := &Store{
		name:     name,
		identity: abSlot{disk: disk, name: "life", kind: kindIncarnation},
		state:    abSlot{disk: disk, name: "facts", kind: kindState, inPlace: true},
		journal:  keyJournal{disk: disk},
	}
	return opened, opened.readRecords()
}

// readRecords reads all records, and checks that they are consistent with each other.
func (s *Store) readRecords() Recovered {
	var r Recovered
	var identityErr error
	r.IncarnationFound, identityErr = s.identity.read(&r.Incarnation)
	r.addError(identityErr)
	var state State
	stateFound, stateErr := s.state.read(&state)
	r.addError(stateErr)
	keys, journalErr := s.journal.read()
	r.addError(journalErr)
	r.Keys = keys
	// A truncated record also makes the keys suspect, because it may have been complete before.
	r.KeysSuspect = identityErr != nil || journalErr != nil
	r.KeysSuspect = r.KeysSuspect || r.Incarnation.KeysSuspect
	r.Foreign = r.IncarnationFound && r.Incarnation.Name != s.name
	if stateFound {
		r.setState(&state, s.name)
	}
	r.checkKeyCount(&s.journal)
	if !r.IncarnationFound || r.Foreign {
		r.KeysSuspect = true // there is no record of the keys that this dispatcher has sent
	}
	return r
}

// addError adds err to r.Errors if it is not nil.
func (r *Recovered) addError(err error) {
	if err != nil {
		r.Errors = append(r.Errors, err)
	}
}

// setState sets r.State to the state that was read, unless it belongs to another dispatcher. If the state is newer than
// the incarnation on disk, the disk has lost an acknowledged write, so it may have lost keys as well.
func (r *Recovered) setState(state *State, name string) {
	if state.Name != name {
		r.addError(fmt.Errorf("facts: %w: %q", ErrForeignState, state.Name))
		return
	}
	r.State = state
	if r.IncarnationFound && state.Incarnation > r.Incarnation.Number {
		r.addError(fmt.Errorf("facts: %w: incarnation %d, the life file has %d", ErrOutdated, state.Incarnation,
			r.Incarnation.Number))
		r.Incarnation.Number = state.Incarnation
		r.KeysSuspect = true
	}
}

// checkKeyCount compares the number of keys that were read with the numbers recorded in the state and at a clean
// shutdown.
func (r *Recovered) checkKeyCount(journal *keyJournal) {
	persisted := uint64(0)
	if r.State != nil && r.State.Incarnation == r.Incarnation.Number {
		persisted = r.State.PersistedKeys
	}
	if r.Incarnation.CleanShutdown {
		persisted = max(persisted, r.Incarnation.PersistedKeys)
	}
	r.PersistedKeys = journal.keyCount(r.Incarnation.Number)
	if persisted > r.PersistedKeys {
		r.addError(fmt.Errorf("keys: %w: %d of incarnation %d found, %d persisted", ErrKeysMissing, r.PersistedKeys,
			r.Incarnation.Number, persisted))
		r.KeysSuspect = true
	}
}

// MinNextIncarnation returns the lowest valid number for the next incarnation according to the state, which may be
// newer than the incarnation on disk.
func (r *Recovered) MinNextIncarnation() uint64 {
	if r.State == nil {
		return 1
	}
	return r.State.Incarnation + 1
}

// SuspectUnreliableDisk marks the keys as suspect after a crash, because an unreliable disk may have lost synced data.
func (r *Recovered) SuspectUnreliableDisk() {
	crashed := r.IncarnationFound && !r.Incarnation.CleanShutdown
	if crashed {
		r.KeysSuspect = true
	}
}
