// Package drain says how far a dispatcher takes clients. Health, admission, idle connections and the end of
// the process all ask it, so that none of them goes by an opinion of its own. It does no I/O and reads no
// clock.
package drain

import (
	"errors"
	"sync"
	"time"
)

// ServeFor is how long after Leave what clients still send on open connections is served. Two seconds after
// that at the latest a drained dispatcher may hold no invocation that came later, and no idle connection.
const ServeFor = 1800 * time.Millisecond

// Phase is how far a dispatcher takes clients.
type Phase uint8

// The values of Phase.
const (
	Serving  Phase = iota
	Leaving        // told to empty: health says no, open connections are still served
	Away           // emptied, but for what was taken before
	Relieved       // a successor accepts in its place; open connections are still served
	Ending         // the process ends, and accepts a little longer
	Yielding       // it ends, and a successor accepts in its place
	Closing        // it ends, and nothing more is read on connections that stand idle
)

var phases = [...]string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"}

func (p Phase) String() string { return phases[p] }

// Takes tells whether this process takes clients: what its operators are told.
func (p Phase) Takes() bool { return p == Serving }

// Healthy tells whether clients should come to the dispatcher, whichever of its processes they then meet.
func (p Phase) Healthy() bool { return p == Serving || p == Relieved || p == Yielding }

// Accepts tells whether new connections are taken from the listener's queue: by nobody else, as long as there
// is no successor.
func (p Phase) Accepts() bool { return p != Relieved && p != Yielding }

// Last tells whether each answer ends its connection.
func (p Phase) Last() bool { return p != Serving }

// Admits tells whether an invocation may be begun at all.
func (p Phase) Admits() bool { return p != Away }

// KeepsIdle tells whether a connection may stand idle.
func (p Phase) KeepsIdle() bool { return p != Away && p != Closing }

// Ends tells whether the process ends.
func (p Phase) Ends() bool { return p == Ending || p == Yielding || p == Closing }

// State is a dispatcher's phase. The zero State serves.
type State struct {
	mu      sync.Mutex
	phase   Phase // Away is Leaving for long enough
	since   time.Time
	changed chan struct{}
}

// ErrEnding answers what can no longer be asked of a process that ends.
var ErrEnding = errors.New("the process ends")

// At is the phase at a time.
func (s *State) At(now time.Time) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(now)
}

func (s *State) at(now time.Time) Phase {
	if s.phase == Leaving && now.Sub(s.since) >= ServeFor {
		return Away
	}
	return s.phase
}

// Leave empties the dispatcher. A second call does not begin it anew.
func (s *State) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Serving {
		s.turn(Leaving, now)
	}
}

// Join takes clients again, at once. It fails with ErrEnding.
func (s *State) Join(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.Ends() {
		return ErrEnding
	}
	if s.phase == Leaving {
		s.turn(Serving, now)
	}
	return nil
}

// Relieve leaves accepting to a successor; one told to leave takes no clients anyway, and goes on leaving. It
// fails with ErrEnding where nothing is accepted any more.
func (s *State) Relieve(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case Closing:
		return ErrEnding
	case Ending, Yielding:
		s.turn(Yielding, now)
	case Serving:
		s.turn(Relieved, now)
	}
	return nil
}

// Resume takes clients again, as the successor has died; one that ends already goes on ending.
func (s *State) Resume(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Relieved {
		s.turn(Serving, now)
	}
}

// End begins the end of the process. One that is away stays so for those that come.
func (s *State) End(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.phase.Ends():
	case s.at(now) == Away:
		s.turn(Closing, now)
	case s.phase == Relieved:
		s.turn(Yielding, now)
	default:
		s.turn(Ending, now)
	}
}

// Stop ends accepting.
func (s *State) Stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != Closing {
		s.turn(Closing, now)
	}
}

func (s *State) turn(to Phase, now time.Time) {
	s.phase, s.since = to, now
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Next tells when the phase changes by time alone, and a channel that is closed when it changes otherwise.
// wait is 0 where time alone changes nothing.
func (s *State) Next(now time.Time) (wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.at(now) == Leaving {
		wait = ServeFor - now.Sub(s.since)
	}
	return wait, s.changed
}
