package recovery

import (
	"iter"
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// peer is what is known of one other dispatcher. What of it survives a restart is a PeerProgress.
type peer struct {
	incarnation   uint64       // the highest known, 0 while nothing is known
	nonce         uint64       // of that incarnation
	persistedKeys uint64       // in that incarnation, by its heartbeats
	previous      PeerProgress // the incarnation before that one, about which it may ask

	received       bool          // a message has come since this process started
	lastReceivedAt time.Duration // since this process started; without meaning unless received
	phase          Phase         // the highest that a message of that incarnation has named

	query       queryState
	answered    bool // a complete reply has come, and no further one is wanted about workers
	answerFinal bool // that reply was final, so the peer is no longer queried
	keysSuspect bool // keys that the peer should know may be missing
}

// restore sets what the disk held of a peer.
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

// progress returns what is stored of a peer.
func (p *peer) progress() PeerProgress {
	progress := p.currentProgress()
	progress.PreviousIncarnation = p.previous.Incarnation
	progress.PreviousNonce = p.previous.Nonce
	progress.PreviousPersistedKeys = p.previous.PersistedKeys
	return progress
}

// currentProgress returns what is known of the highest incarnation alone.
func (p *peer) currentProgress() PeerProgress {
	return PeerProgress{Incarnation: p.incarnation, Nonce: p.nonce, PersistedKeys: p.persistedKeys}
}

// observe records the sender's incarnation and phase, and reports whether the message counts. One of an incarnation that
// has ended does not: the highest one known counts, and of two processes with the same number the higher nonce.
func (p *peer) observe(msg *messaging.Message, now time.Duration) bool {
	sameIncarnation := msg.Incarnation == p.incarnation
	same := sameIncarnation && msg.Nonce == p.nonce
	newer := msg.Incarnation > p.incarnation || sameIncarnation && msg.Nonce > p.nonce
	if p.incarnation > 0 && !newer && !same {
		return false
	}
	if newer {
		p.startIncarnation(msg)
	}
	p.received = true
	p.lastReceivedAt = now
	p.phase = max(p.phase, Phase(msg.Phase))
	return true
}

// startIncarnation records that a peer has restarted. What it answered before still counts.
func (p *peer) startIncarnation(msg *messaging.Message) {
	if p.incarnation > 0 {
		p.previous = p.currentProgress()
	}
	p.incarnation = msg.Incarnation
	p.nonce = msg.Nonce
	p.phase = Phase(msg.Phase)
	p.persistedKeys = 0
}

// receivePart records one part of a reply, and reports whether all of its parts have come.
func (p *peer) receivePart(reply *messaging.Message) bool {
	if len(p.query.receivedParts) != int(reply.Parts) {
		p.query.receivedParts = make([]bool, reply.Parts)
	}
	p.query.receivedParts[reply.Part] = true
	p.keysSuspect = p.keysSuspect || reply.KeysSuspect
	return !slices.Contains(p.query.receivedParts, false)
}

// isSilent reports whether the peer has not answered although it has been queried more than once.
func (p *peer) isSilent() bool { return p.query.sent > 1 && !p.answered }

// peerTable holds all members by position. The positions form a ring: the successors of a member are those that follow.
type peerTable struct {
	members []peer // the entry of this dispatcher itself is not used
	self    int

	lastQueryNumber     uint32 // of all queries of this process, so that a reply names the one it answers
	servingPeersQueried int    // serving peers that were queried about workers beside the successors
}

func newPeerTable(members, self int) peerTable {
	return peerTable{members: make([]peer, members), self: self}
}

// count returns how many peers there may be.
func (t *peerTable) count() int { return len(t.members) - 1 }

// isPeer reports whether a position is that of another member.
func (t *peerTable) isPeer(position int) bool {
	return position >= 0 && position < len(t.members) && position != t.self
}

// others yields every member but this one, by position.
func (t *peerTable) others() iter.Seq2[int, *peer] {
	return func(yield func(int, *peer) bool) {
		for position := range t.members {
			if position != t.self && !yield(position, &t.members[position]) {
				return
			}
		}
	}
}

// successor returns the position of the member that many steps further in the ring.
func (t *peerTable) successor(steps int) int { return (t.self + steps) % len(t.members) }

// successors yields the next members in the ring and their positions, at most the given number of them.
func (t *peerTable) successors(most int) iter.Seq2[int, *peer] {
	return func(yield func(int, *peer) bool) {
		for step := 1; step <= min(most, t.count()); step++ {
			position := t.successor(step)
			if !yield(position, &t.members[position]) {
				return
			}
		}
	}
}

// Peers returns what is known of peers' incarnations and keys, by name. The caller stores it.
func (s *StateMachine) Peers() map[string]PeerProgress {
	progress := map[string]PeerProgress{}
	for position, p := range s.peers.others() {
		if p.incarnation > 0 {
			progress[s.config.Members[position]] = p.progress()
		}
	}
	return progress
}

// PeersAnswered returns how many peers have sent a complete reply, and how many there may be.
func (s *StateMachine) PeersAnswered() (answered, total int) {
	for _, p := range s.peers.others() {
		if p.answered {
			answered++
		}
	}
	return answered, s.peers.count()
}

// activeDispatchers returns how many dispatchers share the workers, this one included. While peers still have the time to
// answer, all members count. Later a peer counts if a message of it has come since this process started.
func (s *StateMachine) activeDispatchers() int {
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
