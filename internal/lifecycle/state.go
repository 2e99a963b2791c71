// Package lifecycle says how far a process takes clients. Health, admission, idle connections and the end of the process
// all ask it, so that none of them decides by itself. It does no I/O and reads no clock: its callers pass the time, and
// act on the phase.
package lifecycle

import (
	"errors"
	"sync"
	"time"
)

// DrainGrace is how long after Drain requests on open connections are still served. The platform requires that two
// seconds after LEAVE a dispatcher begins no request and holds no idle connection.
const DrainGrace = 1800 * time.Millisecond

// ErrStopping is returned for what cannot be done any more while the process ends. Operators read its text.
var ErrStopping = errors.New("the process ends")

// State is the phase of a process, for many goroutines. The zero State is Serving.
type State struct {
	mu      sync.Mutex
	phase   Phase // as set last; never Drained, which follows from Draining by time
	since   time.Time
	changed chan struct{} // closed at the next change; nil while nobody waits for it
}

// PhaseAt is the phase at a time.
func (s *State) PhaseAt(now time.Time) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phaseAt(now)
}

func (s *State) phaseAt(now time.Time) Phase {
	if s.phase == Draining && now.Sub(s.since) >= DrainGrace {
		return Drained
	}
	return s.phase
}

// Drain stops taking clients. While it drains already, or ends, it changes nothing.
func (s *State) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Serving {
		s.set(Draining, now)
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
		s.set(Serving, now)
	}
	return nil
}

// HandOff leaves accepting connections to a successor. A process that drains takes no clients anyway, and goes on
// draining. It fails with ErrStopping in Closing, where it is too late.
func (s *State) HandOff(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case Closing:
		return ErrStopping
	case Stopping, StoppingHandedOff:
		s.set(StoppingHandedOff, now)
	case Serving:
		s.set(HandedOff, now)
	}
	return nil
}

// TakeBack takes clients again after HandOff, as the successor has ended. A process that is stopping goes on doing so.
func (s *State) TakeBack(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == HandedOff {
		s.set(Serving, now)
	}
}

// Stop begins the end of the process. One that is drained closes at once, so that it does not serve again.
func (s *State) Stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.phase.IsStopping():
	case s.phaseAt(now) == Drained:
		s.set(Closing, now)
	case s.phase == HandedOff:
		s.set(StoppingHandedOff, now)
	default:
		s.set(Stopping, now)
	}
}

// BeginClosing begins the last phase, in which idle connections are closed.
func (s *State) BeginClosing(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != Closing {
		s.set(Closing, now)
	}
}

func (s *State) set(phase Phase, now time.Time) {
	s.phase = phase
	s.since = now
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// NextChange returns a channel that is closed at the next change by a call, and how long it is until the phase changes
// by time alone: 0 where it does not.
func (s *State) NextChange(now time.Time) (wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.phaseAt(now) == Draining {
		wait = DrainGrace - now.Sub(s.since)
	}
	return wait, s.changed
}
