package routing

import (
	"encoding/json"
	"fmt"
	"time"

	"canvasroute/decide"
	"canvasroute/internal/drain"
	"canvasroute/internal/protocol"
)

// Legacy is what a router hands on to the one that goes on in its place: what was learnt, with the names by
// which it is found again where the successor has other settings.
type Legacy struct {
	Version int64               `json:"Version"`
	Workers []protocol.Endpoint `json:"Workers"` // by their numbers, those that are gone too
	Zones   []string            `json:"Zones"`   // by their numbers
	Kinds   []string            `json:"Kinds"`
	Owners  []string            `json:"Owners"`
	Learnt  []decide.Snapshot   `json:"Learnt"`
	Twin    Twin                `json:"Twin"`
	Left    bool                `json:"Left"` // it was told to leave, which holds for its successor too
}

// Legacy is what is known here now. What is told of what is open begins with it.
func (r *Router) Legacy() Legacy {
	l := r.Knowledge()
	r.ids.watch()
	l.Twin = r.Twin(decide.Successor)
	return l
}

// Knowledge is what is known here now, but for what is open.
func (r *Router) Knowledge() Legacy {
	l := Legacy{Kinds: r.terms.Kinds, Owners: r.now.Load().owners, Learnt: r.facade.Snapshot()}
	l.Version, l.Workers, l.Zones = r.fleet.entries()
	phase := r.drain.At(time.Now())
	l.Left = phase == drain.Leaving || phase == drain.Away
	return l
}

// inherit goes on with what a predecessor knew, if there was one.
func (r *Router) inherit(text json.RawMessage) error {
	if text == nil {
		return nil
	}
	var l Legacy
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("what the predecessor knew: %w", err)
	}
	if len(l.Workers) == 0 {
		return nil
	}
	for _, name := range l.Zones { // those of our settings have their numbers
		if _, known := r.fleet.zones[name]; !known {
			r.fleet.zones[name] = len(r.fleet.zones)
		}
	}
	entries, _ := r.fleet.take(&protocol.EndpointList{Version: l.Version, Complete: true, Endpoints: l.Workers})
	r.facade.UpdateEndpoints(entries, true, true)
	for n := range l.Learnt {
		learnt := &l.Learnt[n]
		learnt.Tenants = align(learnt.Tenants, l.Owners, r.now.Load().owners)
		learnt.Kinds = align(learnt.Kinds, l.Kinds, r.terms.Kinds)
	}
	if !r.facade.RestoreFromPredecessor(l.Learnt) {
		r.log.Warn().Int("instances", len(l.Learnt)).Msg("predecessor had other instances: what it learnt is lost")
	}
	if r.heir = true; l.Left {
		r.drain.Leave(time.Now())
	}
	r.Meet(decide.Predecessor, l.Twin)
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
