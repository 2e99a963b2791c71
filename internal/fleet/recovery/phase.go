package recovery

import (
	"fmt"
	"time"
)

// Phase is a step of a dispatcher's recovery. It never decreases within an incarnation. Its number is sent to peers and
// reported in metrics.
type Phase uint8

// The values of Phase, in the order in which a dispatcher enters them. phaseRules defines the permitted operations of
// each phase, the advanceFrom methods define when it ends, and phaseDeadline when it times out. The quoted words are
// the names in logs and responses to operators.
const (
	EstablishingIdentity Phase = iota // "identity": the store persists the incarnation
	AwaitingEndpoints                 // "list": the discovery service is polled for the endpoint list
	QueryingPeers                     // "others": the peers are queried for their state
	Probing                           // "trickle": a few requests are admitted to find out whether workers respond
	SlowStart                         // "ramp": requests are admitted while workers warm up
	Serving                           // "full": every request is admitted
	Superseded                        // "superseded": another process runs under this name, and this one never serves
)

// phaseRule lists the operations that a dispatcher may perform in a phase. In every phase except EstablishingIdentity
// it answers queries of peers.
type phaseRule struct {
	name            string // used in logs and responses to operators
	sendsQueries    bool   // to peers that have not sent a final reply
	sendsHeartbeats bool   // to the next members in the ring
	usesCapacity    bool   // the end of the phase or its admission limit depends on the workers' capacity
	admission       admissionRule
}

// admissionRule defines which requests a dispatcher admits in a phase.
type admissionRule uint8

const (
	admitNone   admissionRule = iota
	admitProbes               // at most probeLimit requests concurrently
	admitAll                  // all requests; the balancer queues them by value and rejects those that cannot end in time
)

// phaseRules holds the rule of each phase. Nothing is sent before the incarnation is established.
var phaseRules = [...]phaseRule{
	EstablishingIdentity: {name: "identity"},
	AwaitingEndpoints:    {name: "list", sendsQueries: true},
	QueryingPeers:        {name: "others", sendsQueries: true},
	Probing: {
		name: "trickle", sendsQueries: true, sendsHeartbeats: true, usesCapacity: true, admission: admitProbes,
	},
	SlowStart: {
		name: "ramp", sendsQueries: true, sendsHeartbeats: true, usesCapacity: true, admission: admitAll,
	},
	Serving:    {name: "full", sendsQueries: true, sendsHeartbeats: true, admission: admitAll},
	Superseded: {name: "superseded"},
}

func (p Phase) rule() phaseRule { return phaseRules[p] }

// String returns the name of the phase as it appears in logs and responses to operators.
func (p Phase) String() string { return p.rule().name }

// AdmitsRequests reports whether a dispatcher in this phase may admit requests.
func (p Phase) AdmitsRequests() bool { return p.rule().admission != admitNone }

// UsesCapacity reports whether the caller must call SetCapacity in this phase.
func (p Phase) UsesCapacity() bool { return p.rule().usesCapacity }

// Transition is the start of a phase.
type Transition struct {
	Phase  Phase
	At     time.Duration // time since the process started
	Reason string        // why the previous phase ended
}

// enterPhase starts a phase and records the transition.
func (s *StateMachine) enterPhase(phase Phase, reason string) {
	s.phase = phase
	s.phaseStartedAt = s.now
	s.actions.Transitions = append(s.actions.Transitions, Transition{Phase: phase, At: s.now, Reason: reason})
}

// phaseDeadline returns when the current phase times out, as the time since the process started. bounded is false if
// the phase has no timeout.
func (s *StateMachine) phaseDeadline() (deadline time.Duration, bounded bool) {
	var timeout time.Duration
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
	return s.phaseStartedAt + timeout, timeout > 0
}

func (s *StateMachine) phaseTimedOut() bool {
	deadline, bounded := s.phaseDeadline()
	return bounded && s.now >= deadline
}

// advancePhase makes all transitions that are due. A phase ends when its condition is met; the timeout only limits the
// wait for it. Two transitions are made elsewhere: TakeOver enters Serving directly, and checkOwnIncarnation enters
// Superseded from any phase after EstablishingIdentity. No other transition ends Serving.
func (s *StateMachine) advancePhase() {
	for {
		phase := s.phase
		switch phase {
		case EstablishingIdentity:
			s.advanceFromEstablishingIdentity()
		case AwaitingEndpoints:
			s.advanceFromAwaitingEndpoints()
		case QueryingPeers:
			s.advanceFromQueryingPeers()
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

// advanceFromEstablishingIdentity ends the phase once the caller has reported the incarnation. The caller enforces
// IdentityTimeout: if the incarnation is not durable by then, the caller reports it anyway.
func (s *StateMachine) advanceFromEstablishingIdentity() {
	if s.identity.established {
		s.enterPhase(AwaitingEndpoints, fmt.Sprintf("incarnation %d", s.identity.incarnation))
		s.sendQueries()
	}
}

// advanceFromAwaitingEndpoints ends the phase when a current endpoint list is received, or with a stored list if the
// discovery service is unavailable or does not answer in time. Without any list the phase does not end, because no
// request could be sent.
func (s *StateMachine) advanceFromAwaitingEndpoints() {
	switch {
	case s.endpoints.current:
		s.enterPhase(QueryingPeers, "endpoint list received")
	case s.endpoints.known && (s.endpoints.serviceUnavailable || s.phaseTimedOut()):
		s.enterPhase(QueryingPeers, "list service unavailable: stored endpoint list used, its workers taken for cold")
	}
}

// advanceFromQueryingPeers ends the phase once the outage has been classified.
func (s *StateMachine) advanceFromQueryingPeers() {
	outage, reason := s.classifyOutage()
	if outage == Undecided {
		return
	}
	s.outage = outage
	s.enterPhase(Probing, reason)
}

// advanceFromProbing ends the phase once workers are known to respond, because a request of this dispatcher has
// succeeded or all peers serve, or when the phase times out.
func (s *StateMachine) advanceFromProbing() {
	switch {
	case s.load.succeeded > 0:
		s.enterPhase(SlowStart, "a request succeeded")
	case s.outage == ThisDispatcherOnly:
		s.enterPhase(SlowStart, "all peers serve")
	case s.phaseTimedOut():
		s.enterPhase(SlowStart, "timeout: no request succeeded")
	}
}

// advanceFromSlowStart ends the phase once the workers have enough capacity for the demand, or when the phase times
// out.
func (s *StateMachine) advanceFromSlowStart() {
	switch {
	case s.load.capacity.isWarm():
		s.enterPhase(Serving, "workers are warm")
	case s.isDemandWithinCapacity():
		s.enterPhase(Serving, "demand is within the workers' capacity")
	case s.phaseTimedOut():
		s.enterPhase(Serving, "timeout: workers have had the time to warm up")
	}
}
