package recovery

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Query is a query of a peer, to be answered by Reply.
type Query struct {
	From        int // the position of the peer
	Number      uint32
	WantWorkers bool // the reply is to name workers too
	Nonce       uint64
}

// PeerReply is one part of a reply, and the position of the peer that sent it.
type PeerReply struct {
	Member int
	*messaging.Message
}

// queryState is how a peer is queried.
type queryState struct {
	number        uint32 // of the last query, which a reply has to carry
	receivedParts []bool // of the reply to it
	wantWorkers   bool   // the peer is asked about workers too
	sent          int    // queries in a row, which lengthen the wait for the next one
	lastAt        time.Duration
	nextAt        time.Duration
}

const (
	// maxBackoffDoublings bounds the wait between two queries of a peer: sixteen times QueryInterval.
	maxBackoffDoublings = 4
	// finalAnswerDoublings sets the wait, eight times QueryInterval, after a reply that was not final.
	finalAnswerDoublings = 3
	// workerQueryPeers is how many peers are asked about workers: what all know of them is much the same, and much to send.
	workerQueryPeers = 3
)

// sendQueries queries each peer that is due and whose answer is not final. The wait doubles with each query.
func (s *StateMachine) sendQueries() {
	if !s.identity.established || s.phase == Superseded {
		return
	}
	for position, p := range s.peers.others() {
		if p.answerFinal || s.now < p.query.nextAt {
			continue
		}
		s.peers.lastQueryNumber++
		p.query.number = s.peers.lastQueryNumber
		p.query.receivedParts = nil
		p.query.wantWorkers = p.query.wantWorkers || s.isAskedAboutWorkers(position)
		p.query.nextAt = s.now + s.jittered(s.queryBackoff(p))
		p.query.sent++
		p.query.lastAt = s.now
		query := s.message(messaging.Query, p.query.number)
		query.WantWorkers = p.query.wantWorkers
		s.actions.Messages = append(s.actions.Messages, Addressed{To: position, Message: query})
	}
}

// queryBackoff returns the longest wait until a peer is queried again.
func (s *StateMachine) queryBackoff(p *peer) time.Duration {
	if p.answered { // it only has to find out whether its keys are complete, which takes some time
		return s.config.QueryInterval << maxBackoffDoublings
	}
	return s.config.QueryInterval << min(p.query.sent, maxBackoffDoublings)
}

// jittered draws a time between half of a wait and all of it, so that peers do not query in step.
func (s *StateMachine) jittered(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait/2)+1))
}

// isAskedAboutWorkers reports whether a peer is one of the next few in the ring that answer. If every dispatcher asked every
// other one, a large fleet would send all that it knows once for each pair.
func (s *StateMachine) isAskedAboutWorkers(position int) bool {
	most := workerQueryPeers
	for step := 1; step <= most && step < len(s.peers.members); step++ {
		successor := s.peers.successor(step)
		if successor == position {
			return true
		}
		if p := &s.peers.members[successor]; p.query.sent > 1 && !p.answered {
			most++ // it is silent: another one takes its place
		}
	}
	return false
}

// receiveQuery takes a query. The peer is up, so it is queried again soon even if the wait had grown long, but not at
// once: two that answer a query by a query would never stop.
func (s *StateMachine) receiveQuery(from int, p *peer, query *messaging.Message) {
	s.actions.Queries = append(s.actions.Queries, Query{
		From: from, Number: query.Number, WantWorkers: query.WantWorkers, Nonce: query.Nonce,
	})
	if !p.answered {
		p.query.nextAt = min(p.query.nextAt, p.query.lastAt+s.config.QueryInterval)
		p.query.sent = min(p.query.sent, 1)
	}
}

// receiveReply takes one part of a reply to the last query of a peer.
func (s *StateMachine) receiveReply(from int, p *peer, reply *messaging.Message) {
	if reply.Number != p.query.number || p.answerFinal {
		return
	}
	s.checkOwnName(reply)
	s.actions.Replies = append(s.actions.Replies, PeerReply{Member: from, Message: reply})
	if p.receivePart(reply) {
		p.answered = true
		p.answerFinal = Phase(reply.Phase) > QueryingPeers && !reply.KeysUnconfirmed
		p.query.nextAt = max(p.query.nextAt, s.now+s.config.QueryInterval<<finalAnswerDoublings)
		s.queryServingPeerAboutWorkers(p)
	}
	s.advance()
}

// queryServingPeerAboutWorkers queries a peer again that turns out to serve: it knows more of workers than the successors
// in the ring that were down.
func (s *StateMachine) queryServingPeerAboutWorkers(p *peer) {
	if p.query.wantWorkers || p.phase != Serving || s.phase > QueryingPeers ||
		s.peers.servingWorkerQueryees >= workerQueryPeers {
		return
	}
	s.peers.servingWorkerQueryees++
	p.query.wantWorkers = true
	p.answered = false
	p.answerFinal = false
	p.query.nextAt = s.now
	s.sendQueries()
}
