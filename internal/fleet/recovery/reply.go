package recovery

import "canvasroute/internal/fleet/messaging"

// LocalState is the data of a dispatcher that its peers may not have.
type LocalState struct {
	MaxObserved map[string]float64 // by kind of worker: the highest number of requests processed concurrently
	Workers     []messaging.Worker // sent to peers that query workers
	Keys        []messaging.Key    // sent to every peer that queries
}

// receivedBeforeStartMillis is the age that a reply reports for a message whose time of receipt is not recorded: one
// received before this process started, or one from a previous incarnation of the peer. It is longer than any process
// runs, so the receiver of the reply attributes the message to a process before its own.
const receivedBeforeStartMillis = 1 << 40

// Reply returns the messages that answer a query with the data of this dispatcher.
func (s *StateMachine) Reply(query Query, local LocalState) []messaging.Message {
	first := *s.message(messaging.Reply, query.Number)
	first.MaxObserved = local.MaxObserved
	first.KeysSuspect = s.identity.keysSuspect
	first.KeysUnconfirmed = !s.keysConfirmed()
	s.addReceivedIncarnation(&first, query)
	if !query.WantWorkers {
		return messaging.Split(first, nil, local.Keys)
	}
	return messaging.Split(first, local.Workers, local.Keys)
}

// addReceivedIncarnation adds to a reply the last incarnation received under the name of the querying peer from another
// process. If the querying process is the last one received, that is the incarnation before it.
func (s *StateMachine) addReceivedIncarnation(reply *messaging.Message, query Query) {
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
