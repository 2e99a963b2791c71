package proxy

import (
	"encoding/json"
	"fmt"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// Snapshot is what a process knows and passes to the one that continues it: a successor, or the next process after it
// was started from disk. Names come with it, since the numbers of a process with other settings differ.
type Snapshot struct {
	Version   int64               `json:"Version"` // of the endpoint list
	Endpoints []protocol.Endpoint `json:"Workers"` // by their numbers, with those that are gone
	Zones     []string            `json:"Zones"`   // by their numbers
	Kinds     []string            `json:"Kinds"`
	Tenants   []string            `json:"Owners"` // by their numbers, with those of earlier settings
	Learned   []balancer.Snapshot `json:"Learnt"` // by shard
	Sibling   SiblingUpdate       `json:"Twin"`
	Drained   bool                `json:"Left"` // operators drained this dispatcher, which holds for a successor too
}

// Snapshot returns what is known now, for a successor. From then on SiblingUpdate returns which request IDs change.
func (p *Proxy) Snapshot() Snapshot {
	s := p.SnapshotForDisk()
	p.requestIDs.startTracking()
	s.Sibling = p.SiblingUpdate(balancer.Successor)
	return s
}

// SnapshotForDisk returns what is known now except the requests in flight, for the disk.
func (p *Proxy) SnapshotForDisk() Snapshot {
	s := Snapshot{Kinds: p.config.Kinds, Tenants: p.settings.Load().tenantNames, Learned: p.balancer.Snapshot()}
	contents := p.endpoints.Contents()
	s.Version = contents.Version
	s.Endpoints = contents.Endpoints
	s.Zones = contents.Zones
	phase := p.lifecycle.PhaseAt(time.Now())
	s.Drained = phase == lifecycle.Draining || phase == lifecycle.Drained
	return s
}

// restoreFromPredecessor applies the Snapshot of a predecessor, if there is one that had workers.
func (p *Proxy) restoreFromPredecessor(text json.RawMessage) (restored bool, err error) {
	if text == nil {
		return false, nil
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return false, fmt.Errorf("snapshot of the predecessor: %w", err)
	}
	if len(s.Endpoints) == 0 {
		return false, nil
	}
	list := protocol.EndpointList{Version: s.Version, Complete: true, Endpoints: s.Endpoints}
	p.discovery.Seed(&list, s.Zones)
	p.alignNames(s)
	if !p.balancer.RestoreFromPredecessor(s.Learned) {
		p.log.Warn().Int("instances", len(s.Learned)).Msg("snapshot not restored: number of shards differs")
	}
	if s.Drained {
		p.lifecycle.Drain(time.Now())
	}
	p.ReceiveSiblingUpdate(balancer.Predecessor, s.Sibling)
	p.discovery.SkipFirstPoll()
	return true, nil
}

// RestoreFromDisk applies a Snapshot of an earlier process, whose workers and zones had other numbers, and reports
// whether the balancer took it. The endpoint list has to be known, and no request may have arrived yet.
func (p *Proxy) RestoreFromDisk(s Snapshot) bool {
	p.alignNames(s)
	for n := range s.Learned {
		learned := &s.Learned[n]
		learned.Workers = renumber(learned.Workers, func(previous int) (int, bool) {
			if previous >= len(s.Endpoints) {
				return 0, false
			}
			worker, known := p.endpoints.ByID(s.Endpoints[previous].ID)
			return int(worker), known
		})
		learned.Zones = renumber(learned.Zones, func(previous int) (int, bool) {
			if previous >= len(s.Zones) {
				return 0, false
			}
			return p.endpoints.ZoneByName(s.Zones[previous])
		})
	}
	return p.balancer.RestoreFromDisk(s.Learned)
}

// alignNames puts what a Snapshot knows by tenant and kind into the order of the settings here.
func (p *Proxy) alignNames(s Snapshot) {
	for n := range s.Learned {
		learned := &s.Learned[n]
		learned.Tenants = align(learned.Tenants, s.Tenants, p.settings.Load().tenantNames)
		learned.Kinds = align(learned.Kinds, s.Kinds, p.config.Kinds)
	}
}

// align puts values that are in the order of the previous names into that of the current ones. Without any names there
// is one value of its sort.
func align[T any](values []T, previous, current []string) []T {
	if len(previous) == 0 && len(current) == 0 {
		return values
	}
	positions := map[string]int{}
	for position, name := range previous {
		positions[name] = position
	}
	aligned := make([]T, len(current))
	for n, name := range current {
		position, found := positions[name]
		if found && position < len(values) {
			aligned[n] = values[position]
		}
	}
	return aligned
}

// renumber moves each value to the number that current returns for its previous one, and drops the others.
func renumber[T any](values []T, current func(previous int) (int, bool)) []T {
	var renumbered []T
	for previous, value := range values {
		number, known := current(previous)
		if !known {
			continue
		}
		missing := max(0, number+1-len(renumbered))
		renumbered = append(renumbered, make([]T, missing)...)
		renumbered[number] = value
	}
	return renumbered
}
