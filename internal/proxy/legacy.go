package proxy

import (
	"encoding/json"
	"fmt"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// Snapshot is what a router hands on to the one that goes on in its place: what was learnt, with the names by
// which it is found again where the successor has other settings.
type Snapshot struct {
	Version   int64               `json:"Version"`
	Endpoints []protocol.Endpoint `json:"Workers"` // by their numbers, those that are gone too
	Zones     []string            `json:"Zones"`   // by their numbers
	Kinds     []string            `json:"Kinds"`
	Tenants   []string            `json:"Owners"`
	Learned   []balancer.Snapshot `json:"Learnt"`
	Sibling   SiblingUpdate       `json:"Twin"`
	Drained   bool                `json:"Left"` // it was told to leave, which holds for its successor too
}

// Snapshot is what is known here now. What is told of what is open begins with it.
func (r *Proxy) Snapshot() Snapshot {
	l := r.Learned()
	r.ids.watch()
	l.Sibling = r.SiblingUpdate(balancer.Successor)
	return l
}

// Learned is what is known here now, but for what is open.
func (r *Proxy) Learned() Snapshot {
	l := Snapshot{Kinds: r.terms.Kinds, Tenants: r.now.Load().owners, Learned: r.facade.Snapshot()}
	l.Version, l.Endpoints, l.Zones = r.fleet.entries()
	phase := r.drain.PhaseAt(time.Now())
	l.Drained = phase == lifecycle.Draining || phase == lifecycle.Drained
	return l
}

// inherit goes on with what a predecessor knew, if there was one.
func (r *Proxy) inherit(text json.RawMessage) error {
	if text == nil {
		return nil
	}
	var l Snapshot
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("what the predecessor knew: %w", err)
	}
	if len(l.Endpoints) == 0 {
		return nil
	}
	for _, name := range l.Zones { // those of our settings have their numbers
		if _, known := r.fleet.zones[name]; !known {
			r.fleet.zones[name] = len(r.fleet.zones)
		}
	}
	entries, _ := r.fleet.take(&protocol.EndpointList{Version: l.Version, Complete: true, Endpoints: l.Endpoints})
	r.facade.UpdateEndpoints(entries, balancer.AllEndpoints, balancer.FromBeforeStart)
	for n := range l.Learned {
		learnt := &l.Learned[n]
		learnt.Tenants = align(learnt.Tenants, l.Tenants, r.now.Load().owners)
		learnt.Kinds = align(learnt.Kinds, l.Kinds, r.terms.Kinds)
	}
	if !r.facade.RestoreFromPredecessor(l.Learned) {
		r.log.Warn().Int("instances", len(l.Learned)).Msg("predecessor had other instances: what it learnt is lost")
	}
	if r.heir = true; l.Drained {
		r.drain.Drain(time.Now())
	}
	r.ReceiveSiblingUpdate(balancer.Predecessor, l.Sibling)
	r.settled.Store(r.fleet.serves())
	return nil
}

// align puts what was known by names into the order of those that are. Where there are no names there is one
// of its sort.
func align[T any](known []T, was, is []string) []T {
	if len(was) == 0 && len(is) == 0 {
		return known
	}
	places, out := numbered(was), make([]T, len(is))
	for n, name := range is {
		if at, there := places[name]; there && at < len(known) {
			out[n] = known[at]
		}
	}
	return out
}

// entries is the list as it is known, by the workers' numbers.
func (f *fleet) entries() (version int64, entries []protocol.Endpoint, zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		entries = append(entries, w.entry)
	}
	zones = make([]string, len(f.zones))
	for name, n := range f.zones {
		zones[n] = name
	}
	return f.version, entries, zones
}
