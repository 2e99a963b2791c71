package recovery

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

const (
	heartbeatInterval  = time.Second
	heartbeatReceivers = 2 // number of ring successors that receive heartbeats
)

// sendHeartbeats sends the incarnation and the number of its persisted keys to the next members in the ring. If this
// dispatcher's disk is later reset to an earlier state, the disk alone does not show it, but those members' records do.
func (s *StateMachine) sendHeartbeats() {
	if !s.phase.rule().sendsHeartbeats || s.now < s.nextHeartbeatAt {
		return
	}
	s.nextHeartbeatAt = s.now + heartbeatInterval
	for position := range s.peers.successors(heartbeatReceivers) {
		heartbeat := s.message(messaging.Heartbeat, 0)
		heartbeat.PersistedKeys = s.identity.persistedKeys
		s.actions.Messages = append(s.actions.Messages, AddressedMessage{To: position, Message: heartbeat})
	}
}

// keysConfirmed reports whether every receiver of this dispatcher's heartbeats has answered, or the dedup window has
// passed. Until then this dispatcher's disk may have been reset to an earlier state, which only the receivers can
// detect.
func (s *StateMachine) keysConfirmed() bool {
	if s.dedupWindowPassed() {
		return true
	}
	for _, p := range s.peers.successors(heartbeatReceivers) {
		if !p.answered {
			return false
		}
	}
	return true
}
