package fleet

import (
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/protocol"
)

// mergeReplies takes what peers know, and in doubt the more cautious value: the latest start of a worker, a drain that any of
// them knows, each key. Requests in flight are taken from those peers alone that serve.
func (n *Node) mergeReplies(replies []recovery.PeerReply) {
	_, endpoints := n.proxy.Endpoints()
	merged := newEndpointMerge(endpoints)
	for _, reply := range replies {
		serving := recovery.Phase(reply.Phase) == recovery.Serving
		if serving {
			n.balancer.ReportSeniorPeer(reply.Member)
		}
		n.mergeCapacity(reply.MaxObserved)
		for _, w := range reply.Workers {
			if merged.merge(w) && serving && w.InFlight > 0 {
				n.proxy.ReceiveLoad(reply.Member, w.ID, w.InFlight)
			}
		}
		n.mu.Lock()
		for _, k := range reply.Keys {
			n.keys.AddFromPeer(k)
		}
		n.mu.Unlock()
	}
	if changed := merged.changedEndpoints(); len(changed) > 0 {
		n.log.Info().Int("workers", len(changed)).Msg("endpoints updated from peers")
		n.proxy.MergeEndpoints(changed)
	}
}

// mergeCapacity takes what a peer has seen workers process at once. It may be from that peer's disk: this one's may be lost.
func (n *Node) mergeCapacity(maxObserved map[string]float64) {
	for name, observed := range maxObserved {
		if kind := slices.Index(n.config.Kinds, name); kind >= 0 {
			n.balancer.SeedMaxObserved(balancer.KindID(kind), observed)
		}
	}
}

// endpointMerge collects what peers know later of the workers that are listed here.
type endpointMerge struct {
	endpoints []protocol.Endpoint
	positions map[string]int // of endpoints, by worker
	changed   []bool         // by position
}

func newEndpointMerge(endpoints []protocol.Endpoint) *endpointMerge {
	m := &endpointMerge{endpoints: endpoints, positions: map[string]int{}, changed: make([]bool, len(endpoints))}
	for position, e := range endpoints {
		m.positions[e.ID] = position
	}
	return m
}

// merge takes what a peer knows of a worker. It returns false for a worker that is not listed.
func (m *endpointMerge) merge(w messaging.Worker) bool {
	position, listed := m.positions[w.ID]
	if !listed {
		return false
	}
	e := &m.endpoints[position]
	if startedAt := float64(w.StartedAt); startedAt > e.StartedAtMillis {
		e.StartedAtMillis = startedAt
		m.changed[position] = true
	}
	if w.State == protocol.Terminating && e.State == protocol.Ready {
		e.State = w.State
		m.changed[position] = true
	}
	return true
}

// changedEndpoints returns the endpoints that a peer knew later, in the order of the list.
func (m *endpointMerge) changedEndpoints() (changed []protocol.Endpoint) {
	for position, e := range m.endpoints {
		if m.changed[position] {
			changed = append(changed, e)
		}
	}
	return changed
}

// answerQueries sends what is known here to the peers that ask.
func (n *Node) answerQueries(socket *messaging.Socket, queries []recovery.Query) {
	known := recovery.LocalKnowledge{MaxObserved: n.knownCapacity(), Workers: n.knownWorkers()}
	var messages []recovery.Addressed
	n.mu.Lock()
	known.Keys = n.keys.ForPeers(time.Now().UnixMilli(), n.uptime())
	for _, query := range queries {
		for _, msg := range n.machine.Reply(query, known) {
			messages = append(messages, recovery.Addressed{To: query.From, Message: &msg})
		}
	}
	n.mu.Unlock()
	for _, msg := range messages {
		socket.Send(msg.To, msg.Message)
	}
}

// knownWorkers returns the listed workers of which a peer may not know all.
func (n *Node) knownWorkers() (workers []messaging.Worker) {
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

// minObservedCapacity is the capacity up to which nothing was observed: one request at a time is what any worker has.
const minObservedCapacity = 1

// knownCapacity returns the most requests at once that workers of each kind have been seen to process: by this process and,
// before it has restored its state, by the stored one.
func (n *Node) knownCapacity() map[string]float64 {
	capacity := map[string]float64{}
	for kind, observed := range n.balancer.MaxObserved() {
		if kind < len(n.config.Kinds) && observed > minObservedCapacity {
			capacity[n.config.Kinds[kind]] = observed
		}
	}
	n.mu.Lock()
	restored := n.admitting
	state := n.recovered.State
	n.mu.Unlock()
	if restored || state == nil {
		return capacity
	}
	age := recovery.RecordAgeOf(state.WrittenAt, time.Now().UnixMilli())
	if recovery.CheckTrust(recovery.FactCapacity, age, recovery.FleetWide) != nil {
		return capacity
	}
	for kind, observed := range n.storedCapacity() {
		capacity[kind] = max(capacity[kind], observed)
	}
	return capacity
}
