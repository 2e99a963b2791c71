// Package recovery decides how a dispatcher returns to service after it was down. It decides which incarnation that is,
// how much of the stored state is trusted, what the peers are queried for, and in which phases requests are admitted
// again.
//
// It does no I/O, has no clock and starts no goroutine: events go in with the time, and actions come out. Times are
// since the start of the process, unless they are said to be Unix times. Package fleet carries the actions out. A
// StateMachine and a Keys must not be used by several goroutines at once.
//
// phase.go says what a dispatcher may do in each phase, and what ends it. trust.go says which facts survive a loss of
// power, and when each is trusted.
package recovery

import (
	"math/rand/v2"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
)

// Config are the parameters of a StateMachine. They do not change while it is used.
type Config struct {
	Members           []string      // the names of all dispatchers that may exist, by position
	Self              int           // the position of this one
	IdentityTimeout   time.Duration // for the store to persist the incarnation
	EndpointsTimeout  time.Duration // for the discovery service to answer, before a stored list is used
	PeersTimeout      time.Duration // for the replies of the peers
	ProbeTimeout      time.Duration // for the first request to succeed
	SlowStartDuration time.Duration // for workers to warm up
	QueryInterval     time.Duration // between queries to a silent peer at first; grows to sixteen times as much
	DedupWindow       time.Duration // the longest time in which workers drop the repeats of a key
	MaxRetryAfter     time.Duration // the most that a client is advised to wait, 0 to give no advice
	Seed              uint64        // of the draws that spread queries and advice over time
}

// Addressed is a message and its receiver.
type Addressed struct {
	To int // the position of the member
	*messaging.Message
}

// Actions are what the caller has to do, in the order of the fields. Nothing may be sent before the mark of suspect keys
// and the incarnation are durable.
type Actions struct {
	Transitions      []Transition // to be reported
	KeysMark         KeysMark     // to be persisted
	RaiseIncarnation uint64       // an incarnation to be persisted, 0 for none
	Replies          []PeerReply  // parts of replies, to be merged into what is known here
	Messages         []Addressed  // to be sent
	Queries          []Query      // to be answered by Reply
}

// StateMachine is the recovery of one dispatcher.
type StateMachine struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration // of the last event, since the process started
	actions Actions       // since the last call of TakeActions

	phase          Phase
	phaseStartedAt time.Duration
	outage         Outage // Undecided before Probing

	identity  identity
	endpoints endpointStatus
	peers     peerTable
	admission admission

	nextHeartbeatAt time.Duration // 0 before the first heartbeat
}

// endpointStatus is what is known of the endpoint list, which names the workers.
type endpointStatus struct {
	known              bool // there is a list, perhaps a stored one
	current            bool // the discovery service has sent one since this process started
	serviceUnavailable bool // the discovery service did not answer
}

// New returns a state machine in its first phase, in which it admits nothing.
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

// PhaseStartedAt returns when the current phase began, since the start of the process.
func (s *StateMachine) PhaseStartedAt() time.Duration { return s.phaseStartedAt }

// Outage returns how much of the fleet was down, as far as it is known.
func (s *StateMachine) Outage() Outage { return s.outage }

// Incarnation returns the number of this incarnation, 0 before it is established.
func (s *StateMachine) Incarnation() uint64 { return s.identity.incarnation }

// TakeActions returns what is to be done since the last call.
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
	s.advance()
}

// StoredEndpointsLoaded records that an endpoint list from the configuration or the disk is known, which may be old.
func (s *StateMachine) StoredEndpointsLoaded(now time.Duration) {
	s.now = now
	s.endpoints.known = true
	s.advance()
}

// EndpointsUnavailable records that the discovery service did not answer.
func (s *StateMachine) EndpointsUnavailable(now time.Duration) {
	s.now = now
	s.endpoints.serviceUnavailable = true
	s.advance()
}

// TakeOver enters Serving at once: the successor in a hot restart continues where its predecessor serves.
func (s *StateMachine) TakeOver(now time.Duration, incarnation, nonce uint64) {
	s.now = now
	s.endpoints.known = true
	s.identity.established = true
	s.identity.incarnation = incarnation
	s.identity.nonce = nonce
	s.identity.establishedAt = now
	s.outage = OnlyThis
	s.enter(Serving, "takes over from its predecessor")
}

// Tick does what is due by time alone, and returns when it has to be called again at the latest. Both times are since the
// process started.
func (s *StateMachine) Tick(now time.Duration) (next time.Duration) {
	s.now = now
	s.advance()
	s.sendQueries()
	s.sendHeartbeats()
	s.clearKeysSuspect()
	next = now + s.config.QueryInterval
	if deadline, bounded := s.phaseDeadline(); bounded {
		next = min(next, max(deadline, now+minTickInterval))
	}
	for _, p := range s.peers.others() {
		if !p.answerFinal {
			next = min(next, max(p.query.nextAt, now+minTickInterval))
		}
	}
	return next
}

// minTickInterval bounds how often Tick asks to be called.
const minTickInterval = time.Millisecond

// message returns a message of this dispatcher with the fields that all kinds have.
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

// PeerProgress is what a dispatcher knows of a peer's incarnations and persisted keys.
type PeerProgress = store.PeerProgress
