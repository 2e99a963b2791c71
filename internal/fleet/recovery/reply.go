package recovery

import "canvasroute/internal/fleet/messaging"

// LocalKnowledge is what a dispatcher knows that its peers may not.
type LocalKnowledge struct {
	MaxObserved map[string]float64 // by kind of worker: the most requests seen at work at once
	Workers     []messaging.Worker // sent to peers that ask for workers
	Keys        []messaging.Key    // sent to every peer that asks
}

// receivedBeforeStartMillis stands in a reply for the time since a message that came before this process started: it is
// longer than any process runs.
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

// reportPeer writes into a reply what was received under the name of the peer that asks, from an earlier process of that
// name. The peer's query has itself begun a new incarnation here, so the one before that is reported then.
func (s *StateMachine) reportPeer(reply *messaging.Message, query Query) {
	p := &s.peers.members[query.From]
	if p.incarnation == 0 {
		return
	}
	progress := p.currentProgress()
	receivedAgoMillis := int64(receivedBeforeStartMillis)
	switch {
	case p.nonce == query.Nonce:
		progress = p.previous
	case p.received:
		receivedAgoMillis = (s.now - p.lastReceivedAt).Milliseconds()
	}
	reply.ReceiverIncarnation = progress.Incarnation
	reply.ReceiverNonce = progress.Nonce
	reply.ReceiverPersistedKeys = progress.PersistedKeys
	reply.ReceivedAgoMillis = receivedAgoMillis
}
