package recovery

import (
	"iter"
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// peer holds the state of one other dispatcher. PeerProgress is the part of it that survives a restart.
type peer struct {
	incarnation   uint64       // highest incarnation received, 0 if none
	nonce         uint64       // nonce of that incarnation
	persistedKeys uint64       // keys persisted in that incarnation, from its heartbeats
	previous      PeerProgress // the incarnation before that one, to be reported in replies to the peer

	received       bool          // a message has arrived since this process started
	lastReceivedAt time.Duration // time since this process started; only valid if received is true
	phase          Phase         // highest phase in a message of that incarnation

	query         queryState
	answered      bool // a complete reply has arrived, and no further reply about workers is needed
	hasFinalReply bool // that reply was final, so the peer is not queried again
	keysSuspect   bool // the peer may have lost keys
}

// restore sets the fields of a peer from its stored progress.
func (p *peer) restore(progress PeerProgress) {
	p.incarnation = progress.Incarnation
	p.nonce = progress.Nonce
	p.persistedKeys = progress.PersistedKeys
	p.previous = PeerProgress{
		Incarnation:   progress.PreviousIncarnation,
		Nonce:         progress.PreviousNonce,
		PersistedKeys: progress.PreviousPersistedKeys,
	}
}

// progress returns the progress of a peer to be stored.
func (p *peer) progress() PeerProgress {
	progress := p.currentProgress()
	progress.PreviousIncarnation = p.previous.Incarnation
	progress.PreviousNonce = p.previous.Nonce
	progress.PreviousPersistedKeys = p.previous.PersistedKeys
	return progress
}

// currentProgress returns the progress of the highest incarnation, without the previous one.
func (p *peer) currentProgress() PeerProgress {
	return PeerProgress{Incarnation: p.incarnation, Nonce: p.nonce, PersistedKeys: p.persistedKeys}
}

// recordMessage records the sender's incarnation and phase, and reports whether the message is current. Messages of
// ended incarnations are ignored. Of two processes with the same incarnation number, the one with the higher nonce is
// current.
func (p *peer) recordMessage(msg *messaging.Message, now time.Duration) bool {
	sameIncarnation := msg.Incarnation == p.incarnation
	sameProcess := sameIncarnation && msg.Nonce == p.nonce
	newer := msg.Incarnation > p.incarnation || sameIncarnation && msg.Nonce > p.nonce
	if p.incarnation > 0 && !newer && !sameProcess {
		return false
	}
	if newer {
		p.recordIncarnation(msg)
	}
	p.received = true
	p.lastReceivedAt = now
	p.phase = max(p.phase, Phase(msg.Phase))
	return true
}

// recordIncarnation records a newer incarnation of the peer, and keeps the preceding one as previous. Replies already
// received from the preceding incarnation remain valid.
func (p *peer) recordIncarnation(msg *messaging.Message) {
	if p.incarnation > 0 {
		p.previous = p.currentProgress()
	}
	p.incarnation = msg.Incarnation
	p.nonce = msg.Nonce
	p.phase = Phase(msg.Phase)
	p.persistedKeys = 0
}

// recordReplyPart records one part of a reply, and reports whether all parts have arrived.
func (p *peer) recordReplyPart(reply *messaging.Message) bool {
	if len(p.query.receivedParts) != int(reply.Parts) {
		p.query.receivedParts = make([]bool, reply.Parts)
	}
	p.query.receivedParts[reply.Part] = true
	p.keysSuspect = p.keysSuspect || reply.KeysSuspect
	return !slices.Contains(p.query.receivedParts, false)
}

// isSilent reports whether the peer has been queried more than once and has not answered.
func (p *peer) isSilent() bool { return p.query.sentCount > 1 && !p.answered }

// peerTable holds all members by position. The positions form a ring: the successors of a member are the positions
// after it, wrapping around.
type peerTable struct {
	members []peer // the entry of this dispatcher itself is unused
	self    int

	lastQueryNumber     uint32 // number of the last query of this process, to match replies to queries
	servingPeersQueried int    // serving peers queried about workers in addition to the ring successors
}

func newPeerTable(members, self int) peerTable {
	return peerTable{members: make([]peer, members), self: self}
}

// count returns the number of peers.
func (t *peerTable) count() int { return len(t.members) - 1 }

// isPeer reports whether the position belongs to another member.
func (t *peerTable) isPeer(position int) bool {
	return position >= 0 && position < len(t.members) && position != t.self
}

// others yields every member except this dispatcher, by position.
func (t *peerTable) others() iter.Seq2[int, *peer] {
	return func(yield func(int, *peer) bool) {
		for position := range t.members {
			if position != t.self && !yield(position, &t.members[position]) {
				return
			}
		}
	}
}

// successor returns the position of the member the given number of steps ahead in the ring.
func (t *peerTable) successor(steps int) int { return (t.self + steps) % len(t.members) }

// successors yields the next members in the ring with their positions, up to the given number.
func (t *peerTable) successors(limit int) iter.Seq2[int, *peer] {
	return func(yield func(int, *peer) bool) {
		for step := 1; step <= min(limit, t.count()); step++ {
			position := t.successor(step)
			if !yield(position, &t.members[position]) {
				return
			}
		}
	}
}

// Peers returns the incarnations and key counts of peers by name, for the caller to store.
func (s *StateMachine) Peers() map[string]PeerProgress {
	progress := map[string]PeerProgress{}
	for position, p := range s.peers.others() {
		if p.incarnation > 0 {
			progress[s.config.Members[position]] = p.progress()
		}
	}
	return progress
}

// CountAnsweredPeers returns the number of peers that have sent a complete reply, and the number of peers.
func (s *StateMachine) CountAnsweredPeers() (answered, total int) {
	for _, p := range s.peers.others() {
		if p.answered {
			answered++
		}
	}
	return answered, s.peers.count()
}

// countActiveDispatchers returns how many dispatchers share the workers, including this one. All members count up to
// the end of QueryingPeers, because peers may still answer until then. After that a peer counts only if this process
// has received a message from it.
func (s *StateMachine) countActiveDispatchers() int {
	if s.phase <= QueryingPeers {
		return len(s.peers.members)
	}
	active := 1
	for _, p := range s.peers.others() {
		if p.received {
			active++
		}
	}
	return active
}
