package recovery

import (
	"fmt"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
)

// identity is what this dispatcher is, and what its disk held of its previous incarnation.
type identity struct {
	established   bool          // the fields below are known
	incarnation   uint64        // number of this one
	nonce         uint64        // drawn for this process, so that two with one incarnation differ
	establishedAt time.Duration // since the process started; the dedup window of previous keys is counted from here
	previous      PreviousIncarnation
	keysSuspect   bool   // keys of previous incarnations may be missing on this disk
	persistedKeys uint64 // in this incarnation
}

// PreviousIncarnation is what the disk held of the incarnation before this one.
type PreviousIncarnation struct {
	Incarnation   uint64                  // 0 for none
	PersistedKeys uint64                  // in that incarnation, as far as they were read
	KeysSuspect   bool                    // keys that were persisted may be missing
	Peers         map[string]PeerProgress // what was known of peers, by name
}

// KeysMark is a change of the durable mark that keys of previous incarnations may be missing.
type KeysMark uint8

// The values of KeysMark.
const (
	KeepKeysMark KeysMark = iota
	MarkKeysSuspect
	ClearKeysSuspect
)

// PreviousIncarnationOf returns the previous incarnation of what a store recovered.
func PreviousIncarnationOf(recovered store.Recovered) PreviousIncarnation {
	previous := PreviousIncarnation{
		Incarnation:   recovered.Incarnation.Number,
		PersistedKeys: recovered.PersistedKeys,
		KeysSuspect:   recovered.KeysSuspect,
	}
	if recovered.State != nil {
		previous.Peers = recovered.State.Peers
	}
	return previous
}

// IdentityStored records which incarnation this is. The store has persisted it, or has failed to within IdentityTimeout.
// Calls after the first one change nothing.
func (s *StateMachine) IdentityStored(now time.Duration, incarnation, nonce uint64, previous PreviousIncarnation) {
	s.now = now
	if s.identity.established {
		return
	}
	s.identity.established = true
	s.identity.incarnation = incarnation
	s.identity.nonce = nonce
	s.identity.previous = previous
	s.identity.keysSuspect = previous.KeysSuspect
	s.identity.establishedAt = now
	for position, p := range s.peers.others() {
		if progress, known := previous.Peers[s.config.Members[position]]; known {
			p.restore(progress)
		}
	}
	s.advance()
}

// SetPersistedKeys records how many keys are durable in this incarnation. Heartbeats carry the number.
func (s *StateMachine) SetPersistedKeys(keys uint64) { s.identity.persistedKeys = keys }

// IncarnationRaised records that a higher incarnation is durable, and announces it to the peers that are due a query.
func (s *StateMachine) IncarnationRaised(now time.Duration, incarnation uint64) {
	s.now = now
	s.identity.incarnation = max(s.identity.incarnation, incarnation)
	s.sendQueries()
}

// checkOwnName compares what a peer has received under this dispatcher's name with this process. What was last received
// before this process started is of a previous incarnation, whose number this one has to exceed. What was received since
// is of another process under the same name, of which the lower one gives way.
func (s *StateMachine) checkOwnName(reply *messaging.Message) {
	nothingReceived := reply.ReceiverIncarnation == 0
	if nothingReceived || reply.ReceiverNonce == s.identity.nonce {
		return
	}
	if s.identity.previous.isOlderThan(reply) {
		s.markKeysSuspect() // the disk was reset to an earlier state, which lacks the keys sent since
	}
	if reply.ReceiverIncarnation < s.identity.incarnation {
		return
	}
	receivedAgo := time.Duration(reply.ReceivedAgoMillis) * time.Millisecond
	switch {
	case receivedAgo >= s.now:
		s.actions.RaiseIncarnation = max(s.actions.RaiseIncarnation, reply.ReceiverIncarnation+1)
	case reply.ReceiverIncarnation > s.identity.incarnation || reply.ReceiverNonce > s.identity.nonce:
		s.enter(Superseded, fmt.Sprintf("another process under this name: incarnation %d, last message %v ago",
			reply.ReceiverIncarnation, receivedAgo))
	}
}

// isOlderThan reports whether a peer knows a later incarnation than the disk held, or more keys of the same one.
func (p *PreviousIncarnation) isOlderThan(reply *messaging.Message) bool {
	if reply.ReceiverIncarnation == p.Incarnation {
		return reply.ReceiverPersistedKeys > p.PersistedKeys
	}
	return reply.ReceiverIncarnation > p.Incarnation
}

// markKeysSuspect records that previous keys may be missing. The mark is durable, so that later incarnations have it too.
func (s *StateMachine) markKeysSuspect() {
	if !s.identity.keysSuspect {
		s.identity.keysSuspect = true
		s.actions.KeysMark = MarkKeysSuspect
	}
}

// clearKeysSuspect ends the mark once an incarnation has run for a whole dedup window. The wall clock could not tell that
// the window is over.
func (s *StateMachine) clearKeysSuspect() {
	if s.identity.established && s.identity.keysSuspect && s.dedupWindowPassed() {
		s.identity.keysSuspect = false
		s.actions.KeysMark = ClearKeysSuspect
	}
}

// dedupWindowPassed reports whether every key of a previous incarnation has expired.
func (s *StateMachine) dedupWindowPassed() bool {
	return s.now >= s.identity.establishedAt+s.config.DedupWindow
}

// PeerKeysPending reports whether requests may have run under keys that are unknown here. That ends one dedup window
// after the start. Before, it is so if this dispatcher or a peer may have lost keys, or a peer has not given its final
// answer.
func (s *StateMachine) PeerKeysPending(now time.Duration) bool {
	if s.identity.established && now >= s.identity.establishedAt+s.config.DedupWindow {
		return false
	}
	if !s.identity.established || s.identity.keysSuspect {
		return true
	}
	for _, p := range s.peers.others() {
		if !p.answerFinal || p.keysSuspect {
			return true
		}
	}
	return false
}
