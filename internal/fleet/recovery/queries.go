package recovery

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// queryState tracks the queries to one peer.
type queryState struct {
	number        uint32 // number of the last query, which a reply must repeat
	receivedParts []bool // received parts of the reply to that query
	wantWorkers   bool   // queries ask for workers too
	sentCount     int    // consecutive queries; determines the backoff before the next one

	// Both are times since this process started.
	lastAt time.Duration // when the last query was sent, 0 before the first
	nextAt time.Duration // when the next query is due
}

const (
	// maxBackoffDoublings limits the backoff between two queries to a peer to 16 times QueryInterval.
	maxBackoffDoublings = 4
	// minRequeryDoublings sets the minimum delay until the next query after a complete reply: 8 times QueryInterval.
	minRequeryDoublings = 3
	// workerQueryPeers is how many ring successors are queried about workers. All peers have much the same worker data,
	// and it is large.
	workerQueryPeers = 3
)

// sendQueries queries each peer that is due and has not sent a final reply. The delay doubles with each query, up to a
// limit.
func (s *StateMachine) sendQueries() {
	if !s.phase.rule().sendsQueries {
		return
	}
	for position, p := range s.peers.others() {
		if p.hasFinalReply || s.now < p.query.nextAt {
			continue
		}
		s.peers.lastQueryNumber++
		p.query.number = s.peers.lastQueryNumber
		p.query.receivedParts = nil
		p.query.wantWorkers = p.query.wantWorkers || s.shouldQueryWorkers(position)
		p.query.nextAt = s.now + s.withJitter(s.queryBackoff(p))
		p.query.sentCount++
		p.query.lastAt = s.now
		query := s.message(messaging.Query, p.query.number)
		query.WantWorkers = p.query.wantWorkers
		s.actions.Messages = append(s.actions.Messages, AddressedMessage{To: position, Message: query})
	}
}

// queryBackoff returns the maximum delay until a peer is queried again.
func (s *StateMachine) queryBackoff(p *peer) time.Duration {
	if p.answered { // the reply is not final: the peer needs time to find out whether its disk has lost keys
		return s.config.QueryInterval << maxBackoffDoublings
	}
	return s.config.QueryInterval << min(p.query.sentCount, maxBackoffDoublings)
}

// withJitter returns a random duration between half of wait and all of it, so that peers do not send queries
// simultaneously.
func (s *StateMachine) withJitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait/2)+1))
}

// shouldQueryWorkers reports whether a peer is among the next workerQueryPeers members in the ring that are not
// silent. If every dispatcher queried all others about workers, a large fleet would transfer its whole worker data once
// per pair of dispatchers.
func (s *StateMachine) shouldQueryWorkers(position int) bool {
	lastStep := workerQueryPeers
	for step := 1; step <= lastStep && step < len(s.peers.members); step++ {
		successor := s.peers.successor(step)
		if successor == position {
			return true
		}
		if s.peers.members[successor].isSilent() {
			lastStep++ // skip the silent peer
		}
	}
	return false
}

// queryWorkersOfServingPeer queries a peer again, now about workers, if its reply shows that it serves, because a
// serving peer has more recent worker data than ring successors that were down. At most workerQueryPeers peers are
// queried for this reason, and none after QueryingPeers, because this dispatcher then observes the workers itself.
func (s *StateMachine) queryWorkersOfServingPeer(p *peer) {
	mayHaveNewerData := p.phase == Serving && !p.query.wantWorkers
	enoughQueried := s.peers.servingPeersQueried >= workerQueryPeers
	if !mayHaveNewerData || enoughQueried || s.phase > QueryingPeers {
		return
	}
	s.peers.servingPeersQueried++
	p.query.wantWorkers = true
	p.answered = false
	p.hasFinalReply = false
	p.query.nextAt = s.now
	s.sendQueries()
}
