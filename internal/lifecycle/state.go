// Package lifecycle decides which connections and requests a process accepts, from its start to its end. Health checks,
// admission, idle connections and the shutdown go by the one State of the process. It does no I/O and reads no clock: its
// callers pass the time, and act on the phase.
package lifecycle

import (
	"errors"
	"sync"
	"time"
)

// DrainGrace is how long after Drain requests on open connections are still served. The platform's limit is two seconds
// after LEAVE: from then on a dispatcher may not admit a request or keep an idle connection open.
const DrainGrace = 1800 * time.Millisecond

// ErrStopping is returned by changes that are not possible while the process ends. Operators read its text.
var ErrStopping = errors.New("the process ends")

// State is the phase of a process, see Phase for its changes. Many goroutines may use it. The zero State is Serving.
type State struct {
	mu      sync.Mutex
	phase   Phase         // as set last; never Drained, which follows from Draining by time
	since   time.Time     // when phase was set; zero for the first Serving
	changed chan struct{} // closed at the next change; nil while nobody waits for it
}

// PhaseAt returns the phase at a time, which is not before the last change.
func (s *State) PhaseAt(now time.Time) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phaseAt(now)
}

// phaseAt is PhaseAt for callers that hold mu.
func (s *State) phaseAt(now time.Time) Phase {
	if s.phase == Draining && now.Sub(s.since) >= DrainGrace {
		return Drained
	}
	return s.phase
}

// Drain begins to drain the process for an operator. A second call does not extend DrainGrace. Beside a successor, or
// while the process ends, it changes nothing.
func (s *State) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Serving {
		s.set(Draining, now)
	}
}

// Rejoin ends a drain at once. It fails with ErrStopping.
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

// HandOff leaves accepting connections to a successor. A process that drains continues to drain, as it should not get
// clients anyway. It fails with ErrStopping in Closing: accepting has ended then.
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

// TakeBack ends a HandOff after the end of the successor. A process that stops continues to stop.
func (s *State) TakeBack(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == HandedOff {
		s.set(Serving, now)
	}
}

// Stop begins the end of the process. A drained process goes to Closing at once, as Stopping would admit requests again.
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

// BeginClosing begins the last phase, when accepting has ended.
func (s *State) BeginClosing(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != Closing {
		s.set(Closing, now)
	}
}

// set changes the phase and wakes those who wait for a change. The caller holds mu.
func (s *State) set(phase Phase, now time.Time) {
	s.phase = phase
	s.since = now
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// NextChange returns when the phase changes next. changed is closed at the next change by a call. wait is the time until
// a change without a call, the end of DrainGrace; it is 0 where there is none.
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
