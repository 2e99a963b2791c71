package fleet

import (
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/protocol"
)

// mergeReplies merges the data of peers into the local state. If data conflict, the more cautious value is used: the
// latest start of a worker, any reported drain, and every key. Requests in flight are only used from peers that serve.
func (n *Node) mergeReplies(replies []recovery.PeerReply) {
	_, endpoints := n.proxy.Endpoints()
	merged := newEndpointMerge(endpoints)
	for _, reply := range replies {
		serving := recovery.Phase(reply.Phase) == recovery.Serving
		if serving {
			n.balancer.ReportSeniorPeer(reply.Member)
		}
		n.mergeMaxObserved(reply.MaxObserved)
		for _, w := range reply.Workers {
			if merged.mergeWorker(w) && serving && w.InFlight > 0 {
				n.proxy.ReceiveLoad(reply.Member, w.ID, w.InFlight)
			}
		}
		n.mu.Lock()
		for _, key := range reply.Keys {
			n.keys.AddFromPeer(key)
		}
		n.mu.Unlock()
	}
	if changed := merged.changedEndpoints(); len(changed) > 0 {
		n.log.Info().Int("workers", len(changed)).Msg("endpoints updated from peers")
		n.proxy.MergeEndpoints(changed)
	}
}

// mergeMaxObserved passes to the balancer the highest number of concurrent requests that a peer has observed per worker
// kind. The peer may have read it from its disk, which helps if this dispatcher's disk is lost.
func (n *Node) mergeMaxObserved(maxObserved map[string]float64) {
	for name, observed := range maxObserved {
		if kind := slices.Index(n.config.Kinds, name); kind >= 0 {
			n.balancer.SeedMaxObserved(balancer.KindID(kind), observed)
		}
	}
}

// endpointMerge collects the updates of listed workers from peers' replies: starts that are later than in the endpoint
// list, and drains that the list lacks.
type endpointMerge struct {
	endpoints []protocol.Endpoint // including the merged updates
	positions map[string]int      // indexes of endpoints, by worker ID
	changed   []bool              // by index of endpoints
}

func newEndpointMerge(endpoints []protocol.Endpoint) *endpointMerge {
	m := &endpointMerge{endpoints: endpoints, positions: map[string]int{}, changed: make([]bool, len(endpoints))}
	for position, e := range endpoints {
		m.positions[e.ID] = position
	}
	return m
}

// mergeWorker adds a peer's data on a worker, and reports whether the worker is in the endpoint list.
func (m *endpointMerge) mergeWorker(w messaging.Worker) (listed bool) {
	position, listed := m.positions[w.ID]
	if !listed {
		return false
	}
	endpoint := &m.endpoints[position]
	if startedAt := float64(w.StartedAt); startedAt > endpoint.StartedAtMillis {
		endpoint.StartedAtMillis = startedAt
		m.changed[position] = true
	}
	if w.State == protocol.Terminating && endpoint.State == protocol.Ready {
		endpoint.State = w.State
		m.changed[position] = true
	}
	return true
}

// changedEndpoints returns the updated endpoints, in the order of the list.
func (m *endpointMerge) changedEndpoints() (changed []protocol.Endpoint) {
	for position, e := range m.endpoints {
		if m.changed[position] {
			changed = append(changed, e)
		}
	}
	return changed
}

// answerQueries sends the data of this dispatcher to the peers that have queried it.
func (n *Node) answerQueries(socket *messaging.Socket, queries []recovery.Query) {
	local := recovery.LocalState{MaxObserved: n.maxObservedByKind(), Workers: n.workersForPeers()}
	var messages []recovery.AddressedMessage
	n.mu.Lock()
	local.Keys = n.keys.UnexpiredOwnKeys(time.Now().UnixMilli(), n.uptime())
	for _, query := range queries {
		for _, msg := range n.machine.Reply(query, local) {
			messages = append(messages, recovery.AddressedMessage{To: query.From, Message: &msg})
		}
	}
	n.mu.Unlock()
	for _, msg := range messages {
		socket.Send(msg.To, msg.Message)
	}
}

// workersForPeers returns the listed workers with data that a peer may lack: a start time, a state other than ready, or
// requests in flight from this dispatcher.
func (n *Node) workersForPeers() (workers []messaging.Worker) {
	_, endpoints := n.proxy.Endpoints()
	inFlight := n.proxy.InFlightByWorker()
	for _, e := range endpoints {
		if e.State == protocol.Gone {
			continue
		}
		w := messaging.Worker{ID: e.ID, StartedAt: int64(e.StartedAtMillis), InFlight: inFlight[e.ID]}
		if e.State != protocol.Ready {
			w.State = e.State
		}
		if w.StartedAt > 0 || w.State != "" || w.InFlight > 0 {
			workers = append(workers, w)
		}
	}
	return workers
}

// minObservedCapacity is the concurrency of a worker that needs no observation: every worker can process one request.
const minObservedCapacity = 1

// maxObservedByKind returns the highest number of requests that a worker of each kind has processed concurrently. Until
// the stored state is restored, the result includes the stored values if they are trusted.
func (n *Node) maxObservedByKind() map[string]float64 {
	maxObserved := map[string]float64{}
	for kind, observed := range n.balancer.MaxObservedSlots() {
		if kind < len(n.config.Kinds) && observed > minObservedCapacity {
			maxObserved[n.config.Kinds[kind]] = observed
		}
	}
	n.mu.Lock()
	isRestored := n.restored
	state := n.recovered.State
	n.mu.Unlock()
	if isRestored || state == nil {
		return maxObserved
	}
	age := recovery.NewRecordAge(state.WrittenAt, time.Now().UnixMilli())
	if recovery.CheckTrust(recovery.FactCapacity, age, recovery.FleetWide) != nil {
		return maxObserved
	}
	for kind, observed := range n.storedMaxObserved() {
		maxObserved[kind] = max(maxObserved[kind], observed)
	}
	return maxObserved
}
