// Package lifecycle says how far a dispatcher takes clients. Health, admission, idle connections and the end of
// the process all ask it, so that none of them goes by an opinion of its own. It does no I/O and reads no
// clock.
package lifecycle

import (
	"errors"
	"sync"
	"time"
)

// AcceptAfterStop is how long after Leave what clients still send on open connections is served. Two seconds after
// that at the latest a drained dispatcher may hold no invocation that came later, and no idle connection.
const AcceptAfterStop = 1800 * time.Millisecond

// Phase is how far a dispatcher takes clients.
type Phase uint8

// The values of Phase.
const (
	Serving           Phase = iota
	Draining                // told to empty: health says no, open connections are still served
	Drained                 // emptied, but for what was taken before
	HandedOff               // a successor accepts in its place; open connections are still served
	Stopping                // the process ends, and accepts a little longer
	StoppingHandedOff       // it ends, and a successor accepts in its place
	Closing                 // it ends, and nothing more is read on connections that stand idle
)

var phases = [...]string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"}

func (p Phase) String() string { return phases[p] }

// TakesClients tells whether this process takes clients: what its operators are told.
func (p Phase) TakesClients() bool { return p == Serving }

// Healthy tells whether clients should come to the dispatcher, whichever of its processes they then meet.
func (p Phase) Healthy() bool { return p == Serving || p == HandedOff || p == StoppingHandedOff }

// AcceptsConnections tells whether new connections are taken from the listener's queue: by nobody else, as long as there
// is no successor.
func (p Phase) AcceptsConnections() bool { return p != HandedOff && p != StoppingHandedOff }

// ClosesAfterResponse tells whether each answer ends its connection.
func (p Phase) ClosesAfterResponse() bool { return p != Serving }

// AdmitsRequests tells whether an invocation may be begun at all.
func (p Phase) AdmitsRequests() bool { return p != Drained }

// KeepsIdleConnections tells whether a connection may stand idle.
func (p Phase) KeepsIdleConnections() bool { return p != Drained && p != Closing }

// IsStopping tells whether the process ends.
func (p Phase) IsStopping() bool { return p == Stopping || p == StoppingHandedOff || p == Closing }

// State is a dispatcher's phase. The zero State serves.
type State struct {
	mu      sync.Mutex
	phase   Phase // Away is Draining for long enough
	since   time.Time
	changed chan struct{}
}

// ErrStopping answers what can no longer be asked of a process that ends.
var ErrStopping = errors.New("the process ends")

// PhaseAt is the phase at a time.
func (s *State) PhaseAt(now time.Time) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(now)
}

func (s *State) at(now time.Time) Phase {
	if s.phase == Draining && now.Sub(s.since) >= AcceptAfterStop {
		return Drained
	}
	return s.phase
}

// Drain empties the dispatcher. A second call does not begin it anew.
func (s *State) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Serving {
		s.turn(Draining, now)
	}
}

// Rejoin takes clients again, at once. It fails with ErrStopping.
func (s *State) Rejoin(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.IsStopping() {
		return ErrStopping
	}
	if s.phase == Draining {
		s.turn(Serving, now)
	}
	return nil
}

// HandOff leaves accepting to a successor; one told to leave takes no clients anyway, and goes on leaving. It
// fails with ErrStopping where nothing is accepted any more.
func (s *State) HandOff(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case Closing:
		return ErrStopping
	case Stopping, StoppingHandedOff:
		s.turn(StoppingHandedOff, now)
	case Serving:
		s.turn(HandedOff, now)
	}
	return nil
}

// TakeBack takes clients again, as the successor has died; one that ends already goes on ending.
func (s *State) TakeBack(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == HandedOff {
		s.turn(Serving, now)
	}
}

// Stop begins the end of the process. One that is away stays so for those that come.
func (s *State) Stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.phase.IsStopping():
	case s.at(now) == Drained:
		s.turn(Closing, now)
	case s.phase == HandedOff:
		s.turn(StoppingHandedOff, now)
	default:
		s.turn(Stopping, now)
	}
}

// CloseIdle ends accepting.
func (s *State) CloseIdle(now time.Time) {
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

// NextChange tells when the phase changes by time alone, and a channel that is closed when it changes otherwise.
// wait is 0 where time alone changes nothing.
func (s *State) NextChange(now time.Time) (wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.at(now) == Draining {
		wait = AcceptAfterStop - now.Sub(s.since)
	}
	return wait, s.changed
}
