package recovery

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Query is a query of a peer, to be answered by Reply.
type Query struct {
	From        int    // the position of the peer
	Number      uint32 // by which the peer finds the reply
	WantWorkers bool   // the reply is to name workers too
	Nonce       uint64 // of the process that asks
}

// PeerReply is one part of a reply and its sender.
type PeerReply struct {
	Member int // the position of the peer
	*messaging.Message
}

// Receive handles a message from the member at a position. A message of an incarnation that has ended, or a reply to no
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

// acceptsFrom reports whether a message can be of the member at a position. Before the incarnation is durable none is
// accepted, since none may be answered.
func (s *StateMachine) acceptsFrom(from int, msg *messaging.Message) bool {
	if !s.identity.established || !s.peers.isPeer(from) {
		return false
	}
	isSender := msg.From == s.config.Members[from]
	knownPhase := msg.Phase <= uint8(Superseded)
	return isSender && knownPhase
}

// receiveQuery handles a query. It shows that the peer is up, so that peer is queried again soon even after a long
// backoff. It is not queried at once: two that answer a query by a query would never stop.
func (s *StateMachine) receiveQuery(from int, p *peer, query *messaging.Message) {
	s.actions.Queries = append(s.actions.Queries, Query{
		From:        from,
		Number:      query.Number,
		WantWorkers: query.WantWorkers,
		Nonce:       query.Nonce,
	})
	if !p.answered {
		p.query.nextAt = min(p.query.nextAt, p.query.lastAt+s.config.QueryInterval)
		p.query.sent = min(p.query.sent, 1)
	}
}

// isFinal reports whether the sender of a reply knows whether its own disk has lost keys. It does once it no longer
// waits for its peers, and the receivers of its heartbeats have answered or a dedup window has passed.
func isFinal(reply *messaging.Message) bool {
	return Phase(reply.Phase) > QueryingPeers && !reply.KeysUnconfirmed
}

// receiveReply handles one part of a reply to the last query of a peer.
func (s *StateMachine) receiveReply(from int, p *peer, reply *messaging.Message) {
	if reply.Number != p.query.number || p.answerFinal {
		return
	}
	s.checkOwnName(reply)
	s.actions.Replies = append(s.actions.Replies, PeerReply{Member: from, Message: reply})
	if p.receivePart(reply) {
		p.answered = true
		p.answerFinal = isFinal(reply)
		p.query.nextAt = max(p.query.nextAt, s.now+s.config.QueryInterval<<minFinalAnswerDoublings)
		s.queryServingPeerAboutWorkers(p)
	}
	s.advance()
}
