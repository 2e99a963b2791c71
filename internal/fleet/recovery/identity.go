package recovery

import (
	"fmt"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
)

// identity is what this dispatcher is, and what its disk held of its previous incarnation.
type identity struct {
	established   bool // the fields below are known
	incarnation   uint64
	nonce         uint64        // drawn for this process, so that two with one incarnation differ
	establishedAt time.Duration // the dedup window of previous keys is counted from here
	previous      PreviousIncarnation
	keysSuspect   bool   // keys of previous incarnations may be missing on this disk
	persistedKeys uint64 // in this incarnation
}

// PreviousIncarnation is what the disk held of the incarnation before this one.
type PreviousIncarnation struct {
	Incarnation   uint64
	PersistedKeys uint64                  // of that incarnation, as far as they were read
	KeysSuspect   bool                    // keys that were persisted may be missing
	Peers         map[string]PeerProgress // what it knew of peers, by name
}

// PreviousIncarnationOf returns the previous incarnation of what a store recovered. keysSuspect reports whether keys may be
// missing, which depends on the operators' settings too.
func PreviousIncarnationOf(recovered store.Recovered, keysSuspect bool) PreviousIncarnation {
	previous := PreviousIncarnation{
		Incarnation: recovered.Incarnation.Number, PersistedKeys: recovered.PersistedKeys, KeysSuspect: keysSuspect,
	}
	if recovered.State != nil {
		previous.Peers = recovered.State.Peers
	}
	return previous
}

// IdentityStored takes which incarnation this is. The store has persisted it, or has failed to within IdentityTimeout.
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

// SetPersistedKeys takes how many keys are durable in this incarnation. Heartbeats carry the number.
func (s *StateMachine) SetPersistedKeys(keys uint64) { s.identity.persistedKeys = keys }

// IncarnationRaised takes that a higher incarnation is durable, and announces it to the peers that are due a query.
func (s *StateMachine) IncarnationRaised(now time.Duration, incarnation uint64) {
	s.now = now
	s.identity.incarnation = max(s.identity.incarnation, incarnation)
	s.sendQueries()
}

// checkOwnName compares what a peer has received under this dispatcher's name with this process. An incarnation that was last
// received before this process started is a previous one of this dispatcher. One received since is another process under
// the same name, of which the lower one gives way.
func (s *StateMachine) checkOwnName(reply *messaging.Message) {
	if reply.YourNonce == s.identity.nonce || reply.YourIncarnation == 0 {
		return
	}
	if s.identity.previous.isOlderThan(reply) {
		s.setKeysSuspect(true) // the disk was reset to an earlier state, which lacks the keys sent since
	}
	if reply.YourIncarnation < s.identity.incarnation {
		return
	}
	receivedAgo := time.Duration(reply.ReceivedAgoMillis) * time.Millisecond
	switch {
	case receivedAgo >= s.now:
		s.actions.RaiseIncarnation = max(s.actions.RaiseIncarnation, reply.YourIncarnation+1)
	case reply.YourIncarnation > s.identity.incarnation || reply.YourNonce > s.identity.nonce:
		s.enter(Superseded, fmt.Sprintf("another process under this name: incarnation %d, last message %v ago",
			reply.YourIncarnation, receivedAgo))
	}
}

// isOlderThan reports whether a peer knows a later incarnation, or of more keys of the same one, than the disk held.
func (p *PreviousIncarnation) isOlderThan(reply *messaging.Message) bool {
	if reply.YourIncarnation == p.Incarnation {
		return reply.YourPersistedKeys > p.PersistedKeys
	}
	return reply.YourIncarnation > p.Incarnation
}

// setKeysSuspect sets whether previous keys may be missing. The mark is persisted, so that later incarnations have it too
// until one has run for a whole dedup window: the wall clock cannot tell that the window is over.
func (s *StateMachine) setKeysSuspect(suspect bool) {
	if s.identity.keysSuspect == suspect {
		return
	}
	s.identity.keysSuspect = suspect
	s.actions.SetKeysSuspect = &suspect
}

// dedupWindowPassed reports whether every key of a previous incarnation has expired.
func (s *StateMachine) dedupWindowPassed() bool {
	return s.now >= s.identity.establishedAt+s.config.DedupWindow
}

// PeerKeysPending reports whether requests may have run under keys that are unknown here: a peer that may know of them has
// not answered for good or has lost keys, or this dispatcher has, and the dedup window is not over.
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
