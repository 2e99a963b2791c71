// Package lifecycle determines which connections and requests a process accepts, from its start to its exit. A process
// has one State, which health checks, admission, idle connections and the shutdown all use. The package does no I/O and
// reads no clock: its callers pass the time and act on the phase.
package lifecycle

import (
	"errors"
	"sync"
	"time"
)

// DrainGrace is the time after Drain during which requests are still admitted. The platform allows two seconds after
// LEAVE: after that a dispatcher must not admit a request or keep an idle connection open.
const DrainGrace = 1800 * time.Millisecond

// ErrStopping is returned by changes that are not possible while the process is stopping. Operators read its text.
var ErrStopping = errors.New("the process ends")

// State holds the phase of a process, see Phase for the transitions. It is safe for concurrent use. The zero value is
// Serving.
type State struct {
	mu         sync.Mutex
	phase      Phase         // the phase set last; never Drained, which phaseAt derives from Draining and the time
	phaseSetAt time.Time     // time at which phase was set; zero for the initial Serving
	drained    bool          // an operator has drained the dispatcher
	successor  bool          // a successor is serving
	changed    chan struct{} // closed at the next change; nil if no caller waits for it
}

// PhaseAt returns the phase at now, which must not be before the last change.
func (s *State) PhaseAt(now time.Time) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phaseAt(now)
}

// phaseAt is PhaseAt without locking. The caller must hold mu.
func (s *State) phaseAt(now time.Time) Phase {
	if s.phase == Draining && now.Sub(s.phaseSetAt) >= DrainGrace {
		return Drained
	}
	return s.phase
}

// Drain starts draining the process at an operator's request, also if a successor is serving: the drain applies to the
// connections of both. A second call does not extend DrainGrace. Drain has no effect if the process is stopping.
func (s *State) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.IsStopping() {
		return
	}
	s.drained = true
	if s.phase == Serving || s.phase == HandedOff {
		s.setPhase(Draining, now)
	}
}

// Rejoin ends a drain immediately. It returns ErrStopping if the process is stopping.
func (s *State) Rejoin(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.IsStopping() {
		return ErrStopping
	}
	s.drained = false
	switch {
	case s.phase == Draining && s.successor:
		s.setPhase(HandedOff, now)
	case s.phase == Draining:
		s.setPhase(Serving, now)
	}
	return nil
}

// IsDrained reports whether an operator has drained the dispatcher. A drain lasts until Rejoin, also if the process
// stops.
func (s *State) IsDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// HandOff stops accepting connections, because a successor accepts them. A draining process continues to drain, because
// it should not get clients anyway. HandOff returns ErrStopping in Closing, which is the final phase.
func (s *State) HandOff(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Closing {
		return ErrStopping
	}
	s.successor = true
	switch s.phase {
	case Stopping, StoppingHandedOff:
		s.setPhase(StoppingHandedOff, now)
	case Serving:
		s.setPhase(HandedOff, now)
	}
	return nil
}

// ResumeServing reverts HandOff after the successor has exited. A draining process continues to drain, and a process
// that is stopping continues to stop.
func (s *State) ResumeServing(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = false
	if s.phase == HandedOff {
		s.setPhase(Serving, now)
	}
}

// Stop starts the shutdown of the process. A drained process changes to Closing directly, because Stopping would keep
// idle connections open again.
func (s *State) Stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.phase.IsStopping():
	case s.phaseAt(now) == Drained:
		s.setPhase(Closing, now)
	case s.phase == HandedOff:
		s.setPhase(StoppingHandedOff, now)
	default:
		s.setPhase(Stopping, now)
	}
}

// BeginClosing starts the final phase, after the time for accepting connections has ended.
func (s *State) BeginClosing(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != Closing {
		s.setPhase(Closing, now)
	}
}

// setPhase changes the phase and closes the channel that NextChange returned. The caller must hold mu.
func (s *State) setPhase(phase Phase, now time.Time) {
	s.phase = phase
	s.phaseSetAt = now
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// NextChange returns when the phase changes next. changed is closed when a method changes the phase. wait is the time
// until the phase changes by itself, at the end of DrainGrace; it is 0 if no such change is pending.
func (s *State) NextChange(now time.Time) (wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.phaseAt(now) == Draining {
		wait = DrainGrace - now.Sub(s.phaseSetAt)
	}
	return wait, s.changed
}
