// Package recovery decides how a dispatcher returns to service after an outage: which incarnation it is, how much of
// the stored state it trusts, which data it queries peers for, and in which phases it admits requests.
//
// The package does no I/O, reads no clock and starts no goroutines. Callers pass in events with the current time and
// get back actions, which package fleet executes. Times are relative to the start of the process, unless documented as
// Unix times. StateMachine and Keys are not safe for concurrent use.
//
// phase.go defines the rules of each phase and the conditions that end it. trust.go defines which facts survive a
// power loss and when each is trusted.
package recovery

import (
	"math/rand/v2"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
)

// Config holds the parameters of a StateMachine. They must not change while it is in use.
type Config struct {
	Members           []string      // names of all possible dispatchers, by position
	Self              int           // position of this dispatcher
	IdentityTimeout   time.Duration // for the store to persist the incarnation
	EndpointsTimeout  time.Duration // for the discovery service to answer, before a stored list is used
	PeersTimeout      time.Duration // for the peers to reply
	ProbeTimeout      time.Duration // for the first request to succeed
	SlowStartDuration time.Duration // for workers to warm up
	QueryInterval     time.Duration // initial interval between queries to a silent peer; grows up to 16-fold
	DedupWindow       time.Duration // longest duration for which workers drop repeats of a key
	MaxRetryAfter     time.Duration // maximum retry delay advised to clients, 0 to give no advice
	Seed              uint64        // for the random jitter of queries and retry delays
}

// AddressedMessage is a message and its destination.
type AddressedMessage struct {
	To int // position of the receiving member
	*messaging.Message
}

// Actions are to be executed by the caller in the order of the fields. No message may be sent before KeysMarkChange and
// RaiseIncarnation have been written to disk, or the write has failed.
type Actions struct {
	Transitions      []Transition       // to report
	KeysMarkChange   KeysMarkChange     // to persist
	RaiseIncarnation uint64             // incarnation to persist, 0 for none
	Replies          []PeerReply        // parts of replies to merge into the local state
	Messages         []AddressedMessage // to send
	Queries          []Query            // to answer with Reply
}

// StateMachine controls the recovery of one dispatcher.
type StateMachine struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration // time of the last event, since the process started
	actions Actions       // accumulated since the last call of TakeActions

	phase          Phase
	phaseStartedAt time.Duration
	outage         Outage // Undecided before Probing

	identity  identity
	endpoints endpointStatus
	peers     peerTable
	load      loadTracker

	nextHeartbeatAt time.Duration // 0 before the first heartbeat
}

// endpointStatus records the availability of the endpoint list, which lists the workers.
type endpointStatus struct {
	known              bool // a list is available, possibly a stored one
	current            bool // the discovery service has sent a list since this process started
	serviceUnavailable bool // the discovery service did not answer
}

// New returns a state machine in its first phase, in which it admits no requests.
func New(config Config) *StateMachine {
	s := &StateMachine{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, uint64(config.Self))),
		peers:  newPeerTable(len(config.Members), config.Self),
	}
	s.actions.Transitions = []Transition{{Phase: EstablishingIdentity, Reason: "started"}}
	return s
}

// Phase returns the current phase.
func (s *StateMachine) Phase() Phase { return s.phase }

// PhaseStartedAt returns when the current phase started, as the time since the process started.
func (s *StateMachine) PhaseStartedAt() time.Duration { return s.phaseStartedAt }

// Outage returns how much of the fleet was down, or Undecided before the outage is classified.
func (s *StateMachine) Outage() Outage { return s.outage }

// Incarnation returns the number of this incarnation, 0 before it is established.
func (s *StateMachine) Incarnation() uint64 { return s.identity.incarnation }

// TakeActions returns the actions accumulated since the last call, and clears them.
func (s *StateMachine) TakeActions() Actions {
	actions := s.actions
	s.actions = Actions{}
	return actions
}

// EndpointsReceived records that the discovery service has sent an endpoint list to this process.
func (s *StateMachine) EndpointsReceived(now time.Duration) {
	s.now = now
	s.endpoints.known = true
	s.endpoints.current = true
	s.advancePhase()
}

// StoredEndpointsLoaded records that an endpoint list from the configuration or the disk is available. It may be
// outdated.
func (s *StateMachine) StoredEndpointsLoaded(now time.Duration) {
	s.now = now
	s.endpoints.known = true
	s.advancePhase()
}

// EndpointsUnavailable records that the discovery service did not answer.
func (s *StateMachine) EndpointsUnavailable(now time.Duration) {
	s.now = now
	s.endpoints.serviceUnavailable = true
	s.advancePhase()
}

// TakeOver enters Serving directly: in a hot restart the successor continues the service of its predecessor.
func (s *StateMachine) TakeOver(now time.Duration, incarnation, nonce uint64) {
	s.now = now
	s.endpoints.known = true
	s.identity.established = true
	s.identity.incarnation = incarnation
	s.identity.nonce = nonce
	s.identity.establishedAt = now
	s.outage = ThisDispatcherOnly
	s.enterPhase(Serving, "takes over from its predecessor")
}

// Tick makes the transitions and sends the messages that are due, and returns the latest time of the next call. Both
// times are relative to the start of the process.
func (s *StateMachine) Tick(now time.Duration) (next time.Duration) {
	s.now = now
	s.advancePhase()
	s.sendQueries()
	s.sendHeartbeats()
	s.clearKeysSuspect()
	next = now + s.config.QueryInterval
	if deadline, bounded := s.phaseDeadline(); bounded {
		next = min(next, max(deadline, now+minTickInterval))
	}
	for _, p := range s.peers.others() {
		if !p.hasFinalReply {
			next = min(next, max(p.query.nextAt, now+minTickInterval))
		}
	}
	return next
}

// minTickInterval is the minimum delay until the next call that Tick returns.
const minTickInterval = time.Millisecond

// message returns a message from this dispatcher with the fields common to all kinds of message.
func (s *StateMachine) message(kind messaging.Kind, number uint32) *messaging.Message {
	return &messaging.Message{
		Kind:         kind,
		From:         s.config.Members[s.config.Self],
		Incarnation:  s.identity.incarnation,
		Nonce:        s.identity.nonce,
		Number:       number,
		Phase:        uint8(s.phase),
		UptimeMillis: s.now.Milliseconds(),
	}
}

// PeerProgress holds the incarnations and persisted key counts of a peer, as recorded by this dispatcher.
type PeerProgress = store.PeerProgress
