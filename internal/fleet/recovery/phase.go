package recovery

import (
	"fmt"
	"time"
)

// Phase is how far the recovery of a dispatcher has come. Within one incarnation it only grows. Its number is sent to
// peers and shown to operators.
type Phase uint8

// The values of Phase, in the order in which a dispatcher goes through them.
const (
	EstablishingIdentity Phase = iota // the store persists the incarnation
	AwaitingEndpoints                 // the list service is asked for the workers
	QueryingPeers                     // the peers are asked what they know
	Probing                           // a few requests are admitted to find out whether workers answer
	SlowStart                         // requests are admitted while workers warm up
	Serving                           // every request is admitted
	Superseded                        // another process runs under this name: this one never serves
)

// phaseNames are what operators read in logs and answers.
var phaseNames = [...]string{"identity", "list", "others", "trickle", "ramp", "full", "superseded"}

// String returns the name of the phase that operators read.
func (p Phase) String() string { return phaseNames[p] }

// Admits reports whether a dispatcher in this phase may admit requests.
func (p Phase) Admits() bool { return p >= Probing && p != Superseded }

// Transition is the beginning of a phase.
type Transition struct {
	Phase  Phase
	At     time.Duration // since the process started
	Reason string        // why the phase before it ended
}

// enter begins a phase.
func (s *StateMachine) enter(phase Phase, reason string) {
	s.phase = phase
	s.phaseStartedAt = s.now
	s.actions.Transitions = append(s.actions.Transitions, Transition{Phase: phase, At: s.now, Reason: reason})
}

// phaseTimeout returns how long the current phase may last; bounded is false for a phase without a limit.
func (s *StateMachine) phaseTimeout() (timeout time.Duration, bounded bool) {
	switch s.phase {
	case EstablishingIdentity:
		timeout = s.config.IdentityTimeout
	case AwaitingEndpoints:
		timeout = s.config.EndpointsTimeout
	case QueryingPeers:
		timeout = s.config.PeersTimeout
	case Probing:
		timeout = s.config.ProbeTimeout
	case SlowStart:
		timeout = s.config.SlowStartDuration
	}
	return timeout, timeout > 0
}

func (s *StateMachine) phaseTimedOut() bool {
	timeout, bounded := s.phaseTimeout()
	return bounded && s.now >= s.phaseStartedAt+timeout
}

// advance makes every transition whose condition holds. A phase ends by what is observed; its timeout only bounds the
// wait for that.
func (s *StateMachine) advance() {
	for {
		phase := s.phase
		switch phase {
		case EstablishingIdentity:
			s.advanceFromIdentity()
		case AwaitingEndpoints:
			s.advanceFromEndpoints()
		case QueryingPeers:
			s.advanceFromPeers()
		case Probing:
			s.advanceFromProbing()
		case SlowStart:
			s.advanceFromSlowStart()
		}
		if s.phase == phase {
			return
		}
	}
}

func (s *StateMachine) advanceFromIdentity() {
	if s.identity.established {
		s.enter(AwaitingEndpoints, fmt.Sprintf("incarnation %d", s.identity.incarnation))
		s.sendQueries()
	}
}

func (s *StateMachine) advanceFromEndpoints() {
	switch {
	case s.endpoints.fresh:
		s.enter(QueryingPeers, "endpoint list received")
	case s.endpoints.known && (s.endpoints.serviceUnavailable || s.phaseTimedOut()):
		s.enter(QueryingPeers, "list service unavailable: stored endpoint list used, its workers taken for cold")
	}
}

func (s *StateMachine) advanceFromPeers() {
	outage, reason := s.classifyOutage()
	if outage == Undecided {
		return
	}
	s.outage = outage
	s.enter(Probing, reason)
}

func (s *StateMachine) advanceFromProbing() {
	switch {
	case s.admission.succeeded > 0:
		s.enter(SlowStart, "a request succeeded")
	case s.outage == OnlyThis:
		s.enter(SlowStart, "all peers serve")
	case s.phaseTimedOut():
		s.enter(SlowStart, "timeout: no request succeeded")
	}
}

func (s *StateMachine) advanceFromSlowStart() {
	capacity := s.admission.capacity
	switch {
	case capacity.Warm > 0 && capacity.Now >= warmCapacityShare*capacity.Warm:
		s.enter(Serving, "workers are warm")
	case s.demandWithinCapacity():
		s.enter(Serving, "demand is within the workers' capacity")
	case s.phaseTimedOut():
		s.enter(Serving, "timeout: workers have had the time to warm up")
	}
}
