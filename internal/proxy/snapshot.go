package proxy

import (
	"encoding/json"
	"fmt"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// Snapshot is the state that a process passes to the process that replaces it: a successor, or a later process that
// reads it from disk. It includes names in addition to numbers, because a process with other settings assigns other
// numbers.
type Snapshot struct {
	Version   int64               `json:"Version"` // version of the endpoint list
	Endpoints []protocol.Endpoint `json:"Workers"` // indexed by worker number, including workers that are gone
	Zones     []string            `json:"Zones"`   // names, indexed by zone number
	Kinds     []string            `json:"Kinds"`   // names, indexed by kind number
	Tenants   []string            `json:"Owners"`  // names, indexed by tenant ID, including those of earlier settings
	Learned   []balancer.Snapshot `json:"Learnt"`  // by shard
	Sibling   SiblingUpdate       `json:"Twin"`
	Drained   bool                `json:"Left"` // operators drained this dispatcher; a successor is drained too
}

// Snapshot returns the state for a successor. Later calls of NextSiblingUpdate return the changes of open
// request IDs.
func (p *Proxy) Snapshot() Snapshot {
	s := p.SnapshotForDisk()
	p.requestIDs.startTracking()
	s.Sibling = p.NextSiblingUpdate(balancer.Successor)
	return s
}

// SnapshotForDisk returns the state to write to disk, which includes no requests in flight.
func (p *Proxy) SnapshotForDisk() Snapshot {
	s := Snapshot{Kinds: p.config.Kinds, Tenants: p.settings.Load().tenantNames, Learned: p.balancer.Snapshot()}
	contents := p.endpoints.Contents()
	s.Version = contents.Version
	s.Endpoints = contents.Endpoints
	s.Zones = contents.Zones
	s.Drained = p.lifecycle.IsDrained()
	return s
}

// restoreFromPredecessor applies the Snapshot of a predecessor. It does nothing and returns false if snapshotJSON is
// nil or malformed, or if the snapshot lists no endpoints. Only malformed JSON is an error.
func (p *Proxy) restoreFromPredecessor(snapshotJSON json.RawMessage) (restored bool, err error) {
	if snapshotJSON == nil {
		return false, nil
	}
	var s Snapshot
	if err := json.Unmarshal(snapshotJSON, &s); err != nil {
		return false, fmt.Errorf("parsing the predecessor's snapshot: %w", err)
	}
	if len(s.Endpoints) == 0 {
		return false, nil
	}
	list := protocol.EndpointList{Version: s.Version, Complete: true, Endpoints: s.Endpoints}
	p.discovery.ApplyInitialList(&list, s.Zones)
	p.alignValues(s)
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

// RestoreFromDisk applies a Snapshot of an earlier process, whose workers and zones may have had other numbers. It
// reports whether the balancer accepted it. It must be called after the endpoint list was received and before the first
// request.
func (p *Proxy) RestoreFromDisk(s Snapshot) bool {
	p.alignValues(s)
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

// alignValues reorders the per-tenant and per-kind values of a Snapshot to the order of the current settings.
func (p *Proxy) alignValues(s Snapshot) {
	for shard := range s.Learned {
		learned := &s.Learned[shard]
		learned.Tenants = align(learned.Tenants, s.Tenants, p.settings.Load().tenantNames)
		learned.Kinds = align(learned.Kinds, s.Kinds, p.config.Kinds)
	}
}

// align reorders values from the order of the previous names to that of the current names. It drops the values of names
// that are no longer used, and adds zero values for new names. If there are no names at all, there is a single value,
// which is returned unchanged.
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

// renumber moves each value to the index that lookUp returns for its previous index. It drops a value if lookUp returns
// false.
func renumber[T any](values []T, lookUp func(previous int) (int, bool)) []T {
	var renumbered []T
	for previous, value := range values {
		number, known := lookUp(previous)
		if !known {
			continue
		}
		missing := max(0, number+1-len(renumbered))
		renumbered = append(renumbered, make([]T, missing)...)
		renumbered[number] = value
	}
	return renumbered
}
