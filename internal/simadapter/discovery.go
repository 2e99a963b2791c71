package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/settings"
)

// workerTable assigns numbers to the workers of one instance. A worker never changes its number.
type workerTable struct {
	ids    map[string]balancer.WorkerID // number by name on the wire
	quoted []string                     // names encoded as JSON, by number
	tags   []uint16                     // tags of the names in gossip messages, by number
	byTag  map[uint16]balancer.WorkerID // number by tag; the first worker if several have the same tag
}

func newWorkerTable() workerTable {
	return workerTable{ids: map[string]balancer.WorkerID{}, byTag: map[uint16]balancer.WorkerID{}}
}

// find returns the number of the worker that the fields of an event refer to. It returns errUnknownWorker if the worker
// has no number.
func (t *workerTable) find(fields *fastjson.Value) (balancer.WorkerID, error) {
	name := string(fields.GetStringBytes(keyWorker))
	id, known := t.ids[name]
	if !known {
		return 0, fmt.Errorf("%w %q", errUnknownWorker, name)
	}
	return id, nil
}

// findOrAdd returns the number of a worker, and assigns one if the worker has none. If several workers have the same
// tag, the tag identifies the first of them.
func (t *workerTable) findOrAdd(name string) balancer.WorkerID {
	if id, known := t.ids[name]; known {
		return id
	}
	id := balancer.WorkerID(len(t.quoted))
	tag := protocol.WorkerTag(name)
	t.ids[name] = id
	t.quoted = append(t.quoted, quoted(name))
	t.tags = append(t.tags, tag)
	if _, taken := t.byTag[tag]; !taken {
		t.byTag[tag] = id
	}
	return id
}

// listEntry is an entry of an endpoint list.
type listEntry struct {
	name     string
	endpoint balancer.Endpoint // without the worker's number, which differs between instances
}

var workerStates = map[string]balancer.WorkerState{
	wordHealthy:  balancer.Healthy,
	wordDraining: balancer.Draining,
	wordRemoved:  balancer.Gone,
}

// storeEndpointList stores an endpoint list by its number, and replaces any list with the same number.
func (s *simulation) storeEndpointList(fields *fastjson.Value) error {
	if !fields.Exists(keyListNumber) {
		return errors.New("missing " + keyListNumber)
	}
	var list []listEntry
	for _, entry := range fields.GetArray(keyEndpoints) {
		name := string(entry.GetStringBytes(keyWorker))
		if name == "" {
			return errors.New("worker without a name")
		}
		state, known := workerStates[string(entry.GetStringBytes(keyWorkerState))]
		if !known {
			return fmt.Errorf("worker %q: unknown %s %q", name, keyWorkerState, entry.GetStringBytes(keyWorkerState))
		}
		list = append(list, listEntry{name: name, endpoint: balancer.Endpoint{
			ID:        name,
			Zone:      balancer.ZoneID(entry.GetInt(keyWorkerZone)),
			Kind:      balancer.KindID(entry.GetInt(keyWorkerKind)),
			Cell:      balancer.CellID(entry.GetInt(keyWorkerCell)),
			State:     state,
			StartedAt: settings.TimeFromSeconds(entry.GetFloat64(keyWorkerStart)),
		}})
	}
	s.lists[fields.GetInt(keyListNumber)] = list
	return nil
}

// updateEndpoints passes an endpoint list to an instance, or reports that the discovery service is unavailable. A stale
// list dates from before the start of the instance, and is not a response to a poll.
func (s *simulation) updateEndpoints(in *instance, fields *fastjson.Value) error {
	mode := string(fields.GetStringBytes(keyUpdateMode))
	switch mode {
	case wordUnavailable:
		in.balancer.EndpointsUnavailable()
		return nil
	case wordChanges, wordAll, wordStale:
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	number := fields.GetInt(keyListNumber)
	list, known := s.lists[number]
	if !known {
		return fmt.Errorf("%w %d", errUnknownEndpointList, number)
	}
	endpoints := make([]balancer.Endpoint, 0, len(list))
	for _, entry := range list {
		endpoint := entry.endpoint
		endpoint.Worker = in.workers.findOrAdd(entry.name)
		endpoints = append(endpoints, endpoint)
	}
	extent := balancer.AllEndpoints
	if mode == wordChanges {
		extent = balancer.ChangedEndpoints
	}
	source := balancer.FromDiscovery
	if mode == wordStale {
		source = balancer.NotFromDiscovery
	}
	in.balancer.UpdateEndpoints(endpoints, extent, source)
	return nil
}
