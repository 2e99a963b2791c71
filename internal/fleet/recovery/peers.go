package recovery

import (
	"iter"
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// peer is what is known of one other dispatcher. What of it survives a restart is a PeerProgress.
type peer struct {
	incarnation    uint64 // 0 while nothing is known of it
	nonce          uint64
	persistedKeys  uint64        // in that incarnation, by its heartbeats
	previous       PeerProgress  // its incarnation before that one, which it may ask about
	lastReceivedAt time.Duration // never while this process runs: neverReceived
	phase          Phase

	query       queryState
	answered    bool // a whole reply has been received
	answerFinal bool // one has come since the peer knows whether its own disk has lost keys
	keysSuspect bool // keys that the peer should know may be missing
}

// neverReceived is the value of peer.lastReceivedAt before the first message.
const neverReceived time.Duration = -1

// restore takes what the disk held of a peer.
func (p *peer) restore(progress PeerProgress) {
	p.incarnation = progress.Incarnation
	p.nonce = progress.Nonce
	p.persistedKeys = progress.PersistedKeys
	p.previous = PeerProgress{
		Incarnation: progress.PreviousIncarnation, Nonce: progress.PreviousNonce,
		PersistedKeys: progress.PreviousPersistedKeys,
	}
}

// progress returns what is stored of a peer.
func (p *peer) progress() PeerProgress {
	return PeerProgress{
		Incarnation: p.incarnation, Nonce: p.nonce, PersistedKeys: p.persistedKeys,
		PreviousIncarnation: p.previous.Incarnation, PreviousNonce: p.previous.Nonce,
		PreviousPersistedKeys: p.previous.PersistedKeys,
	}
}

// observe takes the sender's incarnation and phase from a message. It returns false for a message of an incarnation that
// has ended: the highest one known of a name counts.
func (p *peer) observe(msg *messaging.Message, now time.Duration) bool {
	same := msg.Incarnation == p.incarnation && msg.Nonce == p.nonce
	newer := msg.Incarnation > p.incarnation || msg.Incarnation == p.incarnation && msg.Nonce > p.nonce
	if p.incarnation > 0 && !newer && !same {
		return false
	}
	if newer {
		p.startIncarnation(msg)
	}
	p.lastReceivedAt = now
	p.phase = max(p.phase, Phase(msg.Phase))
	return true
}

// startIncarnation takes that a peer has restarted. What it answered before still counts.
func (p *peer) startIncarnation(msg *messaging.Message) {
	if p.incarnation > 0 {
		p.previous = PeerProgress{Incarnation: p.incarnation, Nonce: p.nonce, PersistedKeys: p.persistedKeys}
	}
	p.incarnation = msg.Incarnation
	p.nonce = msg.Nonce
	p.phase = Phase(msg.Phase)
	p.persistedKeys = 0
}

// receivePart takes one part of a reply, and returns whether all of its parts have come.
func (p *peer) receivePart(reply *messaging.Message) bool {
	if len(p.query.receivedParts) != int(reply.Parts) {
		p.query.receivedParts = make([]bool, reply.Parts)
	}
	p.query.receivedParts[reply.Part] = true
	p.keysSuspect = p.keysSuspect || reply.KeysSuspect
	return !slices.Contains(p.query.receivedParts, false)
}

// peerTable holds all members by position. The positions form a ring: the successors of a member are those that follow.
type peerTable struct {
	members []peer // the entry of this dispatcher itself is not used
	self    int

	lastQueryNumber       uint32
	servingWorkerQueryees int // serving peers that were asked about workers beside the successors
}

func newPeerTable(members, self int) peerTable {
	t := peerTable{members: make([]peer, members), self: self}
	for n := range t.members {
		t.members[n].lastReceivedAt = neverReceived
	}
	return t
}

// count returns how many peers there may be.
func (t *peerTable) count() int { return len(t.members) - 1 }

// others yields every member but this one, by position.
func (t *peerTable) others() iter.Seq2[int, *peer] {
	return func(yield func(int, *peer) bool) {
		for n := range t.members {
			if n != t.self && !yield(n, &t.members[n]) {
				return
			}
		}
	}
}

// successor returns the position of the member so many steps further in the ring.
func (t *peerTable) successor(steps int) int { return (t.self + steps) % len(t.members) }

// successors yields the next members in the ring, at most so many.
func (t *peerTable) successors(most int) iter.Seq2[int, *peer] {
	return func(yield func(int, *peer) bool) {
		for step := 1; step <= min(most, t.count()); step++ {
			if n := t.successor(step); !yield(n, &t.members[n]) {
				return
			}
		}
	}
}

// Peers returns what is known of peers' incarnations and keys, by name, to be stored.
func (s *StateMachine) Peers() map[string]PeerProgress {
	progress := map[string]PeerProgress{}
	for position, p := range s.peers.others() {
		if p.incarnation > 0 {
			progress[s.config.Members[position]] = p.progress()
		}
	}
	return progress
}

// PeersAnswered returns how many peers have sent a whole reply, and how many there may be.
func (s *StateMachine) PeersAnswered() (answered, total int) {
	for _, p := range s.peers.others() {
		if p.answered {
			answered++
		}
	}
	return answered, s.peers.count()
}

// activeDispatchers returns how many dispatchers share the workers, this one too: those of which a message has come since
// this process started, and all that may exist as long as peers have the time to answer.
func (s *StateMachine) activeDispatchers() int {
	if s.phase <= QueryingPeers {
		return len(s.peers.members)
	}
	active := 1
	for _, p := range s.peers.others() {
		if p.lastReceivedAt != neverReceived {
			active++
		}
	}
	return active
}

// Receive takes a message from the member at a position. A message of an incarnation that has ended, or a reply to no
// query of this process, changes nothing.
func (s *StateMachine) Receive(now time.Duration, from int, msg *messaging.Message) {
	s.now = now
	if !s.acceptsFrom(from, msg) {
		return
	}
	p := &s.peers.members[from]
	if !p.observe(msg, now) {
		return
	}
	switch msg.Kind {
	case messaging.Heartbeat:
		p.persistedKeys = max(p.persistedKeys, msg.PersistedKeys)
	case messaging.Query:
		s.receiveQuery(from, p, msg)
	default:
		s.receiveReply(from, p, msg)
	}
}

// acceptsFrom reports whether a message can be of the member that it came from.
func (s *StateMachine) acceptsFrom(from int, msg *messaging.Message) bool {
	return s.identity.established && from >= 0 && from < len(s.peers.members) && from != s.config.Self &&
		msg.From == s.config.Members[from] && msg.Phase <= uint8(Superseded)
}
