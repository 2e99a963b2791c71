package store

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Life is who a dispatcher is.
type Life struct {
	Name  string `cbor:"1,keyasint"`
	Life  uint64 `cbor:"2,keyasint"` // raised at each start, before the first word to anyone
	Token uint64 `cbor:"3,keyasint"` // drawn at each start: two that claim one name and life are still two
	Began int64  `cbor:"4,keyasint"` // Unix time in ms
	Left  bool   `cbor:"5,keyasint"` // told to leave by hand
	Keys  uint64 `cbor:"6,keyasint"` // keys acknowledged in this life, once it has ended in order
	Clean bool   `cbor:"7,keyasint"` // it ended in order
	Doubt bool   `cbor:"8,keyasint"` // keys of before may be missing; until a window has been lived through
}

// Facts are what a dispatcher has learnt, as of one moment.
type Facts struct {
	Name     string          `cbor:"1,keyasint"`
	Life     uint64          `cbor:"2,keyasint"`
	At       int64           `cbor:"3,keyasint"` // Unix time in ms
	Settings string          `cbor:"4,keyasint"` // a hash of those that it goes by
	Learnt   []byte          `cbor:"5,keyasint"` // JSON, as a successor in an upgrade takes it
	Seen     map[string]Seen `cbor:"6,keyasint"` // what was heard of others, by name
	Keys     uint64          `cbor:"7,keyasint"` // acknowledged in this life up to then
}

// Seen is how far another dispatcher had come.
type Seen struct {
	Life  uint64 `cbor:"1,keyasint"`
	Token uint64 `cbor:"2,keyasint"`
	Kept  uint64 `cbor:"3,keyasint"` // keys made durable in that life

	WasLife  uint64 `cbor:"4,keyasint,omitempty"` // and the same of the life before that
	WasToken uint64 `cbor:"5,keyasint,omitempty"`
	WasKept  uint64 `cbor:"6,keyasint,omitempty"`
}

// Found is what a folder held.
type Found struct {
	Life    Life
	Known   bool // a life was found
	Foreign bool // it is that of another dispatcher
	Facts   *Facts
	Keys    []Key
	Kept    uint64  // keys of that life that are there, and were before them
	Lost    []error // what could not be believed, each with its file
	KeysBad bool    // keys that were acknowledged may be missing
}

// Store is one dispatcher's folder.
type Store struct {
	name  string
	mu    sync.Mutex // one write at a time; not held for facts while keys are written
	life  slot
	facts slot
	keys  journal
	own   Life

	factsMu sync.Mutex
	kept    atomic.Uint64 // keys made durable in this life: told without waiting for a disk
}

// Open reads a folder. What cannot be believed is named in Found and counts as lost.
func Open(d Disk, name string) (*Store, Found) {
	s := &Store{
		name: name, life: slot{disk: d, name: "life", kind: kindLife},
		facts: slot{disk: d, name: "facts", kind: kindFacts, often: true}, keys: journal{disk: d},
	}
	var f Found
	var err error
	lost := func(err error) {
		if err != nil {
			f.Lost = append(f.Lost, err)
		}
	}
	f.Known, err = s.life.read(&f.Life)
	lost(err)
	torn := err != nil
	var facts Facts
	found, err := s.facts.read(&facts)
	lost(err)
	f.Keys, err = s.keys.read()
	lost(err)
	f.KeysBad = torn || err != nil // also a record that ends before its end: it may have been whole once
	f.KeysBad = f.KeysBad || f.Life.Doubt
	f.Foreign = f.Known && f.Life.Name != name
	switch {
	case !found:
	case facts.Name != name:
		lost(fmt.Errorf("facts: those of %q", facts.Name))
	case f.Known && facts.Life > f.Life.Life:
		lost(fmt.Errorf("facts: of life %d, later than %d, which the life file tells", facts.Life, f.Life.Life))
		f.KeysBad = true // the life file has lost a write that it had acknowledged: so may the keys
		f.Facts, f.Life.Life = &facts, facts.Life
	default:
		f.Facts = &facts
	}
	acknowledged := uint64(0)
	if f.Facts != nil && f.Facts.Life == f.Life.Life {
		acknowledged = f.Facts.Keys
	}
	if f.Life.Clean {
		acknowledged = max(acknowledged, f.Life.Keys)
	}
	if f.Kept = s.keys.countIn(f.Life.Life); acknowledged > f.Kept {
		lost(fmt.Errorf("keys: %d of life %d, where %d had been acknowledged", f.Kept, f.Life.Life, acknowledged))
		f.KeysBad = true
	}
	if !f.Known || f.Foreign {
		f.KeysBad = true // where nobody was, nobody knows what has been
	}
	return s, f
}

// Begin makes the next life durable. least is the lowest number that it may have; doubt tells that keys of before
// may be missing, which the life after this one has to know too.
func (s *Store) Begin(was Life, least, token uint64, doubt bool, now int64) (Life, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = Life{Name: s.name, Life: max(least, 1), Token: token, Began: now, Doubt: doubt}
	if was.Name == s.name {
		s.own.Life, s.own.Left = max(s.own.Life, was.Life+1), was.Left
	}
	s.keys.life, s.keys.count = s.own.Life, 0
	s.kept.Store(0)
	return s.own, s.life.write(s.own)
}

// Raise makes a higher life durable, as others know of one that this folder does not.
func (s *Store) Raise(life uint64) error {
	return s.change(func(l *Life) { l.Life = max(l.Life, life) })
}

// Doubt makes durable whether keys of before may be missing.
func (s *Store) Doubt(doubt bool) error {
	return s.change(func(l *Life) { l.Doubt = doubt })
}

// Leave makes durable that an operator has told this dispatcher to leave, or to join.
func (s *Store) Leave(left bool) error {
	return s.change(func(l *Life) { l.Left = left })
}

// End makes durable that this life ends in order.
func (s *Store) End() error {
	return s.change(func(l *Life) { l.Clean, l.Keys = true, s.keys.count })
}

func (s *Store) change(how func(*Life)) error {
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

// Keep makes keys durable. It may be called by one goroutine at a time.
func (s *Store) Keep(keys []Key, now int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.keys.write(keys, now)
	s.kept.Store(s.keys.count)
	return err
}

// Kept is how many keys were made durable in this life. It waits for no write: a disk that hangs stops those who
// wait for it, and nobody else.
func (s *Store) Kept() uint64 { return s.kept.Load() }

// Learn makes facts durable.
func (s *Store) Learn(f Facts) error {
	s.mu.Lock()
	f.Name, f.Life, f.Keys = s.name, s.own.Life, s.keys.count
	s.mu.Unlock()
	s.factsMu.Lock()
	defer s.factsMu.Unlock()
	return s.facts.write(f)
}
