package fleet

import (
	"slices"
	"time"

	"canvasroute/decide"
	"canvasroute/internal/fleet/link"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/protocol"
	"canvasroute/internal/routing"
)

// apply takes up what is trusted of before, and what others know, before the first invocation lands.
func (n *Node) apply(answers []recovery.Heard) {
	n.mu.Lock()
	who, found := n.core.Case(), n.found
	n.mu.Unlock()
	start := n.terms.Now() - decide.Time(n.now()/(time.Second/decide.Second))
	if found.Facts != nil {
		if l, ok := n.learnt(); ok {
			age := recovery.AgeOf(found.Facts.At, time.Now().UnixMilli())
			n.sift(&l, age, who)
			n.router.Recall(l)
			n.drains(l)
		}
	}
	n.facade.DelayWarmingWorkers(start)
	if who == recovery.All {
		n.facade.ReportFleetRestart(start)
	}
	n.merge(answers)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.Info().Stringer("case", who).Int64("trusted", n.stats.trusted).Int64("dropped", n.stats.dropped).
		Int("keys", n.keys.Count()).Msg("returned to what is trusted")
}

// sift leaves of what was learnt what is trusted, and tells of the rest.
func (n *Node) sift(l *routing.Legacy, age recovery.Age, who recovery.Case) {
	trusts := func(f recovery.Fact) bool {
		ok, why := recovery.Trust(f, age, who)
		n.mu.Lock()
		defer n.mu.Unlock()
		if ok {
			n.stats.trusted++
			return true
		}
		n.stats.dropped++
		n.log.Info().Str("fact", recovery.Table[f].Name).Str("why", why).Msg("not trusted")
		return false
	}
	bears, sizes, rests, shares := trusts(recovery.FactBears), trusts(recovery.FactSizes),
		trusts(recovery.FactRests), trusts(recovery.FactShares)
	for i := range l.Learnt {
		learnt := &l.Learnt[i]
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
				*was = decide.WorkerStats{}
			}
		}
		if !rests {
			learnt.Zones = nil
		}
	}
}

// drains takes the drains that the list had told, as far as the list that is known does not.
func (n *Node) drains(l routing.Legacy) {
	version, entries := n.router.Entries()
	if version > l.Version {
		return
	}
	var amended []protocol.Endpoint
	for _, e := range l.Workers {
		here := slices.IndexFunc(entries, func(k protocol.Endpoint) bool { return k.ID == e.ID })
		if here >= 0 && e.State == protocol.Terminating && entries[here].State == protocol.Ready {
			amended = append(amended, e)
		}
	}
	if len(amended) > 0 {
		n.router.Amend(amended)
	}
}

// merge takes what others know, to the careful side: the latest start of a worker, a drain that anybody was told
// of, each key. What is out at workers is taken from those alone who serve.
func (n *Node) merge(answers []recovery.Heard) {
	_, entries := n.router.Entries()
	at := map[string]int{}
	for k, e := range entries {
		at[e.ID] = k
	}
	changed := map[int]bool{}
	for _, m := range answers {
		serves := recovery.Phase(m.Phase) == recovery.Full
		if serves {
			n.facade.ReportSeniorPeer(m.Member)
		}
		for kind, most := range m.Bears {
			if k := slices.Index(n.terms.Kinds, kind); k >= 0 { // also of another's disk: where this one's is gone
				n.facade.SeedMaxObserved(decide.KindID(k), most)
			}
		}
		for _, w := range m.Workers {
			k, known := at[w.Host]
			if !known {
				continue
			}
			e := &entries[k]
			if float64(w.Born) > e.StartedAtMillis {
				e.StartedAtMillis, changed[k] = float64(w.Born), true
			}
			if w.State == protocol.Terminating && e.State == protocol.Ready {
				e.State, changed[k] = w.State, true
			}
			if serves && w.Out > 0 {
				n.router.Hear(m.Member, w.Host, w.Out)
			}
		}
		n.mu.Lock()
		for _, k := range m.Keys {
			n.keys.Remember(k)
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
		n.router.Amend(amended)
	}
}

// reply answers questions with what is known here.
func (n *Node) reply(questions []recovery.Question) {
	_, entries := n.router.Entries()
	out := n.router.Out()
	k := recovery.Known{Bears: n.bears()}
	for _, e := range entries {
		if e.State == protocol.Gone {
			continue
		}
		w := link.Worker{Host: e.ID, Born: int64(e.StartedAtMillis), Out: out[e.ID]}
		if e.State != protocol.Ready {
			w.State = e.State
		}
		if w.Born > 0 || w.State != "" || w.Out > 0 {
			k.Workers = append(k.Workers, w)
		}
	}
	n.mu.Lock()
	k.Keys = n.keys.Told(time.Now().UnixMilli(), n.now())
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
	open, facts := n.open, n.found.Facts
	n.mu.Unlock()
	if open || facts == nil {
		return all
	}
	age := recovery.AgeOf(facts.At, time.Now().UnixMilli())
	if ok, _ := recovery.Trust(recovery.FactBears, age, recovery.All); !ok {
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
	if l, ok := n.learnt(); ok && len(l.Learnt) > 0 {
		for kind, was := range l.Learnt[0].Kinds {
			if kind < len(l.Kinds) && was.MaxObserved > 1 {
				all[l.Kinds[kind]] = was.MaxObserved
			}
		}
	}
	return all
}
