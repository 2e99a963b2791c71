package proxy

import (
	"encoding/json"
	"fmt"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// Snapshot is the state that a process passes to the one that continues it: a successor, or a later process that reads
// it from disk. It holds names beside numbers, as the numbers of a process with other settings differ.
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

// Snapshot returns the state for a successor. From then on SiblingUpdate returns which request IDs change.
func (p *Proxy) Snapshot() Snapshot {
	s := p.SnapshotForDisk()
	p.requestIDs.startTracking()
	s.Sibling = p.SiblingUpdate(balancer.Successor)
	return s
}

// SnapshotForDisk returns the state for the disk, which has no requests in flight.
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

// restoreFromPredecessor applies the Snapshot of a predecessor. It reports whether there is one that had workers, and
// does nothing otherwise.
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
	p.discovery.SkipFirstPollWait()
	return true, nil
}

// RestoreFromDisk applies a Snapshot of an earlier process, whose workers and zones had other numbers. It reports
// whether the balancer accepted it. The endpoint list has to be known, and no request may have arrived yet.
func (p *Proxy) RestoreFromDisk(s Snapshot) bool {
	p.alignNames(s)
	for shard := range s.Learned {
		learned := &s.Learned[shard]
		learned.Workers = renumber(learned.Workers, func(previous int) (int, bool) {
			if previous >= len(s.Endpoints) {
				return 0, false
			}
			worker, known := p.endpoints.WorkerByID(s.Endpoints[previous].ID)
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

// alignNames puts the values of a Snapshot by tenant and by kind into the order of the settings here.
func (p *Proxy) alignNames(s Snapshot) {
	for shard := range s.Learned {
		learned := &s.Learned[shard]
		learned.Tenants = align(learned.Tenants, s.Tenants, p.settings.Load().tenantNames)
		learned.Kinds = align(learned.Kinds, s.Kinds, p.config.Kinds)
	}
}

// align puts values that are in the order of the previous names into that of the current ones. Values of other names
// are dropped, and a name that is new gets the zero value. Without any names there is one value, which stays.
func align[T any](values []T, previous, current []string) []T {
	if len(previous) == 0 && len(current) == 0 {
		return values
	}
	positions := map[string]int{}
	for position, name := range previous {
		positions[name] = position
	}
	aligned := make([]T, len(current))
	for number, name := range current {
		position, found := positions[name]
		if found && position < len(values) {
			aligned[number] = values[position]
		}
	}
	return aligned
}

// renumber moves each value to the number that current returns for its previous number. Values for which current finds
// none are dropped.
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
