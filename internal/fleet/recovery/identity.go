package recovery

import (
	"fmt"
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/store"
)

// identity holds the current incarnation of this dispatcher, and the data on its disk about the previous one.
type identity struct {
	established   bool          // the fields below are set
	incarnation   uint64        // number of the current incarnation
	nonce         uint64        // random number of this process; distinguishes two processes with the same incarnation
	establishedAt time.Duration // time since the process started; start of the dedup window of previous keys
	previous      PreviousIncarnation
	keysSuspect   bool   // keys of previous incarnations may be missing on this disk
	persistedKeys uint64 // keys persisted in this incarnation
}

// PreviousIncarnation holds the data on disk about the incarnation before the current one.
type PreviousIncarnation struct {
	Incarnation   uint64                  // 0 if there is none
	PersistedKeys uint64                  // keys persisted in that incarnation, up to the last one read
	KeysSuspect   bool                    // persisted keys may be missing
	Peers         map[string]PeerProgress // by peer name
}

// KeysMarkChange is a change of the durable mark that keys of previous incarnations may be missing.
type KeysMarkChange uint8

// The values of KeysMarkChange.
const (
	KeysMarkUnchanged KeysMarkChange = iota
	MarkKeysSuspect
	ClearKeysSuspect
)

// NewPreviousIncarnation returns the previous incarnation from the data that a store recovered.
func NewPreviousIncarnation(recovered store.Recovered) PreviousIncarnation {
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

// IdentityEstablished records the number of this incarnation, once the store has persisted it or has failed to do so
// within IdentityTimeout. Only the first call has an effect.
func (s *StateMachine) IdentityEstablished(now time.Duration, incarnation, nonce uint64, previous PreviousIncarnation) {
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
	s.advancePhase()
}

// SetPersistedKeys records how many keys of this incarnation are durable. Heartbeats include this number.
func (s *StateMachine) SetPersistedKeys(keys uint64) { s.identity.persistedKeys = keys }

// IncarnationRaised records a higher incarnation, once the store has persisted it or has failed to do so, and sends it
// in queries to the peers that are due.
func (s *StateMachine) IncarnationRaised(now time.Duration, incarnation uint64) {
	s.now = now
	s.identity.incarnation = max(s.identity.incarnation, incarnation)
	s.sendQueries()
}

// checkOwnIncarnation compares the incarnation that a peer last received under this dispatcher's name with this
// process. If the peer received it before this process started, it belongs to a previous incarnation, and this process
// must use a higher number. If the peer received it later, another process runs under the same name, and the process
// with the lower incarnation or nonce is superseded.
func (s *StateMachine) checkOwnIncarnation(reply *messaging.Message) {
	nothingReceived := reply.ReceiverIncarnation == 0
	if nothingReceived || reply.ReceiverNonce == s.identity.nonce {
		return
	}
	if s.identity.previous.isOlderThanReport(reply) {
		s.markKeysSuspect() // the disk was reset to an earlier state without the keys sent since
	}
	if reply.ReceiverIncarnation < s.identity.incarnation {
		return
	}
	receivedAgo := time.Duration(reply.ReceivedAgoMillis) * time.Millisecond
	switch {
	case receivedAgo >= s.now:
		s.actions.RaiseIncarnation = max(s.actions.RaiseIncarnation, reply.ReceiverIncarnation+1)
	case reply.ReceiverIncarnation > s.identity.incarnation || reply.ReceiverNonce > s.identity.nonce:
		s.enterPhase(Superseded, fmt.Sprintf("another process under this name: incarnation %d, last message %v ago",
			reply.ReceiverIncarnation, receivedAgo))
	}
}

// isOlderThanReport reports whether a peer has received a later incarnation than the disk held, or more keys of the
// same one.
func (p *PreviousIncarnation) isOlderThanReport(reply *messaging.Message) bool {
	if reply.ReceiverIncarnation == p.Incarnation {
		return reply.ReceiverPersistedKeys > p.PersistedKeys
	}
	return reply.ReceiverIncarnation > p.Incarnation
}

// markKeysSuspect records that previous keys may be missing. The mark is durable so that later incarnations inherit it.
func (s *StateMachine) markKeysSuspect() {
	if !s.identity.keysSuspect {
		s.identity.keysSuspect = true
		s.actions.KeysMarkChange = MarkKeysSuspect
	}
}

// clearKeysSuspect clears the mark once an incarnation has run for a whole dedup window. The wall clock cannot be used
// to detect the end of the window, because it may have jumped.
func (s *StateMachine) clearKeysSuspect() {
	if s.identity.established && s.identity.keysSuspect && s.dedupWindowPassed() {
		s.identity.keysSuspect = false
		s.actions.KeysMarkChange = ClearKeysSuspect
	}
}

// dedupWindowPassed reports whether all keys of previous incarnations have expired.
func (s *StateMachine) dedupWindowPassed() bool {
	return s.now >= s.identity.establishedAt+s.config.DedupWindow
}

// MayLackKeys reports whether requests may have run under keys that this dispatcher does not have. It returns true until
// the incarnation is established, and false once a dedup window has passed since then. During that window it returns
// true if this dispatcher or a peer may have lost keys, or if the final reply of a peer is missing.
func (s *StateMachine) MayLackKeys(now time.Duration) bool {
	if s.identity.established && now >= s.identity.establishedAt+s.config.DedupWindow {
		return false
	}
	if !s.identity.established || s.identity.keysSuspect {
		return true
	}
	for _, p := range s.peers.others() {
		if !p.hasFinalReply || p.keysSuspect {
			return true
		}
	}
	return false
}
