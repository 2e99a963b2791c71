package recovery

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Query is a query received from a peer, to be answered with Reply.
type Query struct {
	From        int    // position of the peer
	Number      uint32 // matches the reply to the query
	WantWorkers bool   // the reply must include workers
	Nonce       uint64 // nonce of the process that sent the query
}

// PeerReply is one part of a reply and its sender.
type PeerReply struct {
	Member int // position of the peer
	*messaging.Message
}

// Receive handles a message from the member at a position. It ignores messages of ended incarnations, and replies that
// match no query of this process.
func (s *StateMachine) Receive(now time.Duration, from int, msg *messaging.Message) {
	s.now = now
	if !s.isValidMessage(from, msg) {
		return
	}
	p := &s.peers.members[from]
	if !p.recordMessage(msg, now) {
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

// isValidMessage reports whether the message is valid for the member at a position. Before the incarnation is
// established no message is accepted, because none may be answered.
func (s *StateMachine) isValidMessage(from int, msg *messaging.Message) bool {
	if !s.identity.established || !s.peers.isPeer(from) {
		return false
	}
	nameMatches := msg.From == s.config.Members[from]
	knownPhase := msg.Phase <= uint8(Superseded)
	return nameMatches && knownPhase
}

// receiveQuery handles a query. The query shows that the peer is up, so if it has not answered yet, the backoff of
// queries to it is reset. The peer is not queried immediately, because two dispatchers that answered queries with
// queries would never stop.
func (s *StateMachine) receiveQuery(from int, p *peer, query *messaging.Message) {
	s.actions.Queries = append(s.actions.Queries, Query{
		From:        from,
		Number:      query.Number,
		WantWorkers: query.WantWorkers,
		Nonce:       query.Nonce,
	})
	if !p.answered {
		p.query.nextAt = min(p.query.nextAt, p.query.lastAt+s.config.QueryInterval)
		p.query.sentCount = min(p.query.sentCount, 1)
	}
}

// isFinalReply reports whether the sender of a reply had found out whether its own disk has lost keys. This is the case
// once it has left QueryingPeers, and the receivers of its heartbeats have answered or a dedup window has passed.
func isFinalReply(reply *messaging.Message) bool {
	return Phase(reply.Phase) > QueryingPeers && !reply.KeysUnconfirmed
}

// receiveReply handles one part of a reply. It ignores replies to any query but the last one, and all replies after a
// final one.
func (s *StateMachine) receiveReply(from int, p *peer, reply *messaging.Message) {
	if reply.Number != p.query.number || p.hasFinalReply {
		return
	}
	s.checkOwnIncarnation(reply)
	s.actions.Replies = append(s.actions.Replies, PeerReply{Member: from, Message: reply})
	if p.recordReplyPart(reply) {
		p.answered = true
		p.hasFinalReply = isFinalReply(reply)
		p.query.nextAt = max(p.query.nextAt, s.now+s.config.QueryInterval<<minRequeryDoublings)
		s.queryWorkersOfServingPeer(p)
	}
	s.advancePhase()
}
