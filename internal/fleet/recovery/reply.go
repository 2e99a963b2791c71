package recovery

import "canvasroute/internal/fleet/messaging"

// LocalKnowledge is what a dispatcher tells its peers.
type LocalKnowledge struct {
	MaxObserved map[string]float64 // by kind of worker: the most requests seen at work at once
	Workers     []messaging.Worker
	Keys        []messaging.Key
}

// receivedBeforeStartMillis stands in a reply for the time since a message that came before this process started.
const receivedBeforeStartMillis = 1 << 40

// Reply returns the messages that answer a query with what is known here.
func (s *StateMachine) Reply(query Query, known LocalKnowledge) []messaging.Message {
	first := *s.message(messaging.Reply, query.Number)
	first.MaxObserved = known.MaxObserved
	first.KeysSuspect = s.identity.keysSuspect
	first.KeysUnconfirmed = !s.keysConfirmed()
	s.reportPeer(&first, query)
	if !query.WantWorkers {
		return messaging.Split(first, nil, known.Keys)
	}
	return messaging.Split(first, known.Workers, known.Keys)
}

// reportPeer writes into a reply what was received under the name of the one that asks, other than from its present process:
// by its query that one has already replaced its previous incarnation here.
func (s *StateMachine) reportPeer(reply *messaging.Message, query Query) {
	p := &s.peers.members[query.From]
	if p.incarnation == 0 {
		return
	}
	if p.nonce == query.Nonce {
		reply.YourIncarnation = p.previous.Incarnation
		reply.YourNonce = p.previous.Nonce
		reply.YourPersistedKeys = p.previous.PersistedKeys
		reply.ReceivedAgoMillis = receivedBeforeStartMillis
		return
	}
	reply.YourIncarnation = p.incarnation
	reply.YourNonce = p.nonce
	reply.YourPersistedKeys = p.persistedKeys
	reply.ReceivedAgoMillis = receivedBeforeStartMillis
	if p.lastReceivedAt != neverReceived {
		reply.ReceivedAgoMillis = (s.now - p.lastReceivedAt).Milliseconds()
	}
}
