package recovery

import (
	"fmt"
	"time"
)

// Phase is a step of a dispatcher's recovery. Within one incarnation it only rises. Its number is sent to peers and shown
// to operators.
type Phase uint8

// The values of Phase, in the order in which a dispatcher goes through them. phaseRules says what a dispatcher may do in
// each, the advanceFrom methods what ends each, and phaseDeadline when that is no longer waited for. In quotes: the word
// that operators read.
const (
	EstablishingIdentity Phase = iota // "identity": the store persists the incarnation
	AwaitingEndpoints                 // "list": the discovery service is polled for the endpoint list
	QueryingPeers                     // "others": the peers are queried for what they know
	Probing                           // "trickle": a few requests are admitted to find out whether workers answer
	SlowStart                         // "ramp": requests are admitted while workers warm up
	Serving                           // "full": every request is admitted
	Superseded                        // "superseded": another process runs under this name: this one never serves
)

// phaseRule is what a dispatcher may do in a phase. It answers the queries of peers in each but EstablishingIdentity.
type phaseRule struct {
	name            string // that operators read in logs and answers
	sendsQueries    bool   // to the peers whose answer is not final
	sendsHeartbeats bool   // to the next members in the ring
	usesCapacity    bool   // its end or its admission depends on the workers' capacity
	admission       admissionRule
}

// admissionRule is which requests a dispatcher admits in a phase.
type admissionRule uint8

const (
	admitNone   admissionRule = iota
	admitProbes               // at most probeLimit at once
	admitAll                  // all: the balancer queues them by value, and rejects those that cannot be done in time
)

// phaseRules has one rule for each phase. Nothing is sent before the incarnation is durable.
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

// String returns the name of the phase that operators read.
func (p Phase) String() string { return p.rule().name }

// Admits reports whether a dispatcher in this phase may admit requests.
func (p Phase) Admits() bool { return p.rule().admission != admitNone }

// UsesCapacity reports whether SetCapacity has to be called in this phase.
func (p Phase) UsesCapacity() bool { return p.rule().usesCapacity }

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

// phaseDeadline returns when the current phase times out, since the process started. bounded is false for a phase without
// a timeout.
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

// advance makes every transition that is due. A phase ends by what is observed; its timeout only bounds the wait for
// that. Serving ends only with Superseded, which checkOwnName enters from any phase, and TakeOver enters Serving at
// once.
func (s *StateMachine) advance() {
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

// advanceFromEstablishingIdentity ends the phase once the caller has reported the incarnation, which it does after
// IdentityTimeout at the latest.
func (s *StateMachine) advanceFromEstablishingIdentity() {
	if s.identity.established {
		s.enter(AwaitingEndpoints, fmt.Sprintf("incarnation %d", s.identity.incarnation))
		s.sendQueries()
	}
}

// advanceFromAwaitingEndpoints ends the phase with a current endpoint list, or with a stored one if the discovery service
// does not answer. Without any list no request could be sent, so the phase lasts.
func (s *StateMachine) advanceFromAwaitingEndpoints() {
	switch {
	case s.endpoints.current:
		s.enter(QueryingPeers, "endpoint list received")
	case s.endpoints.known && (s.endpoints.serviceUnavailable || s.phaseTimedOut()):
		s.enter(QueryingPeers, "list service unavailable: stored endpoint list used, its workers taken for cold")
	}
}

// advanceFromQueryingPeers ends the phase once the outage is classified.
func (s *StateMachine) advanceFromQueryingPeers() {
	outage, reason := s.classifyOutage()
	if outage == Undecided {
		return
	}
	s.outage = outage
	s.enter(Probing, reason)
}

// advanceFromProbing ends the phase once workers are known to answer: a request has succeeded here, or at the peers,
// which all serve.
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

// advanceFromSlowStart ends the phase once the workers can process what comes.
func (s *StateMachine) advanceFromSlowStart() {
	switch {
	case s.admission.capacity.isWarm():
		s.enter(Serving, "workers are warm")
	case s.demandWithinCapacity():
		s.enter(Serving, "demand is within the workers' capacity")
	case s.phaseTimedOut():
		s.enter(Serving, "timeout: workers have had the time to warm up")
	}
}
