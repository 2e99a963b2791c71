package recovery

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// queryState is how a peer is queried.
type queryState struct {
	number        uint32 // of the last query, which a reply has to carry
	receivedParts []bool // of the reply to it
	wantWorkers   bool   // the peer is queried about workers too
	sent          int    // queries in a row, which lengthen the wait for the next one

	// Since this process started.
	lastAt time.Duration // when the last query was sent, 0 before the first
	nextAt time.Duration // when the next one is due
}

const (
	// maxBackoffDoublings bounds the wait between two queries of a peer: sixteen times QueryInterval.
	maxBackoffDoublings = 4
	// minFinalAnswerDoublings sets the shortest wait after a reply that was not final: eight times QueryInterval.
	minFinalAnswerDoublings = 3
	// workerQueryPeers is how many peers are queried about workers: what all know of them is much the same, and much to
	// send.
	workerQueryPeers = 3
)

// sendQueries queries each peer that is due and whose answer is not final. The wait doubles with each query.
func (s *StateMachine) sendQueries() {
	if !s.phase.rule().sendsQueries {
		return
	}
	for position, p := range s.peers.others() {
		if p.answerFinal || s.now < p.query.nextAt {
			continue
		}
		s.peers.lastQueryNumber++
		p.query.number = s.peers.lastQueryNumber
		p.query.receivedParts = nil
		p.query.wantWorkers = p.query.wantWorkers || s.isQueriedAboutWorkers(position)
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
	if p.answered { // its answer is final once it knows whether its keys are complete, which takes some time
		return s.config.QueryInterval << maxBackoffDoublings
	}
	return s.config.QueryInterval << min(p.query.sent, maxBackoffDoublings)
}

// jittered draws a time between half of a wait and all of it, so that peers do not query in step.
func (s *StateMachine) jittered(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait/2)+1))
}

// isQueriedAboutWorkers reports whether a peer is one of the next few in the ring that answer. If every dispatcher
// queried every other one about workers, a large fleet would send all that it knows once for each pair.
func (s *StateMachine) isQueriedAboutWorkers(position int) bool {
	lastStep := workerQueryPeers
	for step := 1; step <= lastStep && step < len(s.peers.members); step++ {
		successor := s.peers.successor(step)
		if successor == position {
			return true
		}
		if s.peers.members[successor].isSilent() {
			lastStep++ // another one takes its place
		}
	}
	return false
}

// queryServingPeerAboutWorkers queries a peer again that turns out to serve: it knows more of workers than successors in
// the ring that were down. Once this dispatcher admits requests it has seen the workers itself.
func (s *StateMachine) queryServingPeerAboutWorkers(p *peer) {
	mayKnowMore := p.phase == Serving && !p.query.wantWorkers
	enoughQueried := s.peers.servingPeersQueried >= workerQueryPeers
	if !mayKnowMore || enoughQueried || s.phase > QueryingPeers {
		return
	}
	s.peers.servingPeersQueried++
	p.query.wantWorkers = true
	p.answered = false
	p.answerFinal = false
	p.query.nextAt = s.now
	s.sendQueries()
}
