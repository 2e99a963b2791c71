package fleet

import (
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// apply takes up what is trusted of before, and what others know, before the first invocation lands.
func (n *Node) apply(answers []recovery.PeerReply) {
	n.mu.Lock()
	who, found := n.core.Outage(), n.found
	n.mu.Unlock()
	start := n.terms.Now() - balancer.Time(n.now()/(time.Second/balancer.Second))
	if found.State != nil {
		if l, ok := n.learnt(); ok {
			age := recovery.RecordAgeOf(found.State.WrittenAt, time.Now().UnixMilli())
			n.sift(&l, age, who)
			n.router.RestoreFromDisk(l)
			n.drains(l)
		}
	}
	n.facade.DelayWarmingWorkers(start)
	if who == recovery.FleetWide {
		n.facade.ReportFleetRestart(start)
	}
	n.merge(answers)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.Info().Stringer("case", who).Int64("trusted", n.stats.trusted).Int64("dropped", n.stats.dropped).
		Int("keys", n.keys.Count()).Msg("returned to what is trusted")
}

// sift leaves of what was learnt what is trusted, and tells of the rest.
func (n *Node) sift(l *proxy.Snapshot, age recovery.RecordAge, who recovery.Outage) {
	trusts := func(f recovery.Fact) bool {
		ok, why := recovery.IsTrusted(f, age, who)
		n.mu.Lock()
		defer n.mu.Unlock()
		if ok {
			n.stats.trusted++
			return true
		}
		n.stats.dropped++
		n.log.Info().Str("fact", recovery.TrustRules[f].Name).Str("why", why).Msg("not trusted")
		return false
	}
	bears, sizes, rests, shares := trusts(recovery.FactCapacity), trusts(recovery.FactSizes),
		trusts(recovery.FactBackoffs), trusts(recovery.FactQuotas)
	for i := range l.Learned {
		learnt := &l.Learned[i]
		if !bears {
			learnt.Kinds = nil
		}
		if !sizes {
			learnt.Sample, learnt.Sampled, learnt.TotalValue, learnt.Operations = nil, 0, 0, nil
		}
		if !shares {
			learnt.Tenants = nil
		}
		learnt.UnheardNotBefore, learnt.FreeSlotRatio = 0, 1
		for w := range learnt.Workers {
			was := &learnt.Workers[w]
			was.PeerLoads, was.Sends = nil, nil // what others had out then, and what is past its span
			if !rests {
				*was = balancer.WorkerStats{}
			}
		}
		if !rests {
			learnt.Zones = nil
		}
	}
}

// drains takes the drains that the list had told, as far as the list that is known does not.
func (n *Node) drains(l proxy.Snapshot) {
	version, entries := n.router.Endpoints()
	if version > l.Version {
		return
	}
	var amended []protocol.Endpoint
	for _, e := range l.Endpoints {
		here := slices.IndexFunc(entries, func(k protocol.Endpoint) bool { return k.ID == e.ID })
		if here >= 0 && e.State == protocol.Terminating && entries[here].State == protocol.Ready {
			amended = append(amended, e)
		}
	}
	if len(amended) > 0 {
		n.router.MergeEndpoints(amended)
	}
}

// merge takes what others know, to the careful side: the latest start of a worker, a drain that anybody was told
// of, each key. What is out at workers is taken from those alone who serve.
func (n *Node) merge(answers []recovery.PeerReply) {
	_, entries := n.router.Endpoints()
	at := map[string]int{}
	for k, e := range entries {
		at[e.ID] = k
	}
	changed := map[int]bool{}
	for _, m := range answers {
		serves := recovery.Phase(m.Phase) == recovery.Serving
		if serves {
			n.facade.ReportSeniorPeer(m.Member)
		}
		for kind, most := range m.MaxObserved {
			if k := slices.Index(n.terms.Kinds, kind); k >= 0 { // also of another's disk: where this one's is gone
				n.facade.SeedMaxObserved(balancer.KindID(k), most)
			}
		}
		for _, w := range m.Workers {
			k, known := at[w.ID]
			if !known {
				continue
			}
			e := &entries[k]
			if float64(w.StartedAt) > e.StartedAtMillis {
				e.StartedAtMillis, changed[k] = float64(w.StartedAt), true
			}
			if w.State == protocol.Terminating && e.State == protocol.Ready {
				e.State, changed[k] = w.State, true
			}
			if serves && w.InFlight > 0 {
				n.router.ReceiveLoad(m.Member, w.ID, w.InFlight)
			}
		}
		n.mu.Lock()
		for _, k := range m.Keys {
			n.keys.AddFromPeer(k)
		}
		n.mu.Unlock()
	}
	var amended []protocol.Endpoint
	for k := range entries {
		if changed[k] {
			amended = append(amended, entries[k])
		}
	}
	if len(amended) > 0 {
		n.log.Info().Int("workers", len(amended)).Msg("others know later of workers")
		n.router.MergeEndpoints(amended)
	}
}

// reply answers questions with what is known here.
func (n *Node) reply(questions []recovery.Query) {
	_, entries := n.router.Endpoints()
	out := n.router.InFlightByWorker()
	k := recovery.LocalKnowledge{MaxObserved: n.bears()}
	for _, e := range entries {
		if e.State == protocol.Gone {
			continue
		}
		w := messaging.Worker{ID: e.ID, StartedAt: int64(e.StartedAtMillis), InFlight: out[e.ID]}
		if e.State != protocol.Ready {
			w.State = e.State
		}
		if w.StartedAt > 0 || w.State != "" || w.InFlight > 0 {
			k.Workers = append(k.Workers, w)
		}
	}
	n.mu.Lock()
	k.Keys = n.keys.ForPeers(time.Now().UnixMilli(), n.now())
	var messages []recovery.Addressed
	for _, q := range questions {
		for _, m := range n.core.Reply(q, k) {
			messages = append(messages, recovery.Addressed{To: q.From, Message: &m})
		}
	}
	n.mu.Unlock()
	for _, m := range messages {
		n.socket.Send(m.To, m.Message)
	}
}

// bears is what kinds of worker were seen to bear at once: here, or before that by what the disk tells.
func (n *Node) bears() map[string]float64 {
	all := map[string]float64{}
	for kind, most := range n.facade.MaxObserved() {
		if kind < len(n.terms.Kinds) && most > 1 {
			all[n.terms.Kinds[kind]] = most
		}
	}
	n.mu.Lock()
	open, facts := n.open, n.found.State
	n.mu.Unlock()
	if open || facts == nil {
		return all
	}
	age := recovery.RecordAgeOf(facts.WrittenAt, time.Now().UnixMilli())
	if ok, _ := recovery.IsTrusted(recovery.FactCapacity, age, recovery.FleetWide); !ok {
		return all
	}
	for kind, most := range n.bore() {
		all[kind] = max(all[kind], most)
	}
	return all
}

// readBears is what kinds of worker bore by the facts on disk.
func (n *Node) readBears() map[string]float64 {
	all := map[string]float64{}
	if l, ok := n.learnt(); ok && len(l.Learned) > 0 {
		for kind, was := range l.Learned[0].Kinds {
			if kind < len(l.Kinds) && was.MaxObserved > 1 {
				all[l.Kinds[kind]] = was.MaxObserved
			}
		}
	}
	return all
}
