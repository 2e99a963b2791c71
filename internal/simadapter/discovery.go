package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/settings"
)

// workerTable gives workers numbers, which they keep.
type workerTable struct {
	ids    map[string]balancer.WorkerID
	quoted []string // names as JSON, by number
	tags   []uint16 // names in messages to peers, by number
	byTag  map[uint16]balancer.WorkerID
}

func newWorkerTable() workerTable {
	return workerTable{ids: map[string]balancer.WorkerID{}, byTag: map[uint16]balancer.WorkerID{}}
}

// find reads which worker an event is about.
func (t *workerTable) find(fields *fastjson.Value) (balancer.WorkerID, error) {
	name := string(fields.GetStringBytes("worker"))
	id, known := t.ids[name]
	if !known {
		return 0, fmt.Errorf("%w %q", errUnknownWorker, name)
	}
	return id, nil
}

// findOrAdd returns a worker's number, a new one where it has none yet. Of workers with the same tag, the first one has
// it.
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

// listedWorker is a line of a list. Its endpoint has no number, as each instance has its own.
type listedWorker struct {
	name     string
	endpoint balancer.Endpoint
}

var workerStates = map[string]balancer.WorkerState{
	"healthy":      balancer.Healthy,
	"cordoned":     balancer.Draining,
	"deregistered": balancer.Gone,
}

// storeList keeps a worker list by its number, in place of an earlier one with the same number.
func (s *simulation) storeList(fields *fastjson.Value) error {
	if !fields.Exists("rosterId") {
		return errors.New("no rosterId")
	}
	var list []listedWorker
	for _, v := range fields.GetArray("hosts") {
		name := string(v.GetStringBytes("worker"))
		if name == "" {
			return errors.New("a worker without a name")
		}
		state, known := workerStates[string(v.GetStringBytes("readiness"))]
		if !known {
			return fmt.Errorf("worker %q: unknown readiness %q", name, v.GetStringBytes("readiness"))
		}
		list = append(list, listedWorker{name: name, endpoint: balancer.Endpoint{
			ID:        name,
			Zone:      balancer.ZoneID(v.GetInt("dc")),
			Kind:      balancer.KindID(v.GetInt("shape")),
			Cell:      balancer.CellID(v.GetInt("pod")),
			State:     state,
			StartedAt: settings.TimeOf(v.GetFloat64("bornS")),
		}})
	}
	s.lists[fields.GetInt("rosterId")] = list
	return nil
}

// updateEndpoints gives an instance a list, or the news that there is none.
func (s *simulation) updateEndpoints(in *instance, fields *fastjson.Value) error {
	const (
		modeBroken    = "broken"     // the list service does not answer
		modePatch     = "patch"      // the list has what has changed
		modeWhole     = "whole"      // the list has all workers
		modeStaleCopy = "stale_copy" // the list has all workers as of some time ago, and answers no poll
	)
	mode := string(fields.GetStringBytes("mode"))
	switch mode {
	case modeBroken:
		in.balancer.EndpointsUnavailable()
		return nil
	case modePatch, modeWhole, modeStaleCopy:
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	number := fields.GetInt("rosterId")
	list, known := s.lists[number]
	if !known {
		return fmt.Errorf("%w %d", errUnknownList, number)
	}
	endpoints := make([]balancer.Endpoint, 0, len(list))
	for _, listed := range list {
		endpoint := listed.endpoint
		endpoint.Worker = in.workers.findOrAdd(listed.name)
		endpoints = append(endpoints, endpoint)
	}
	extent := balancer.AllEndpoints
	if mode == modePatch {
		extent = balancer.ChangedEndpoints
	}
	source := balancer.FromDiscovery
	if mode == modeStaleCopy {
		source = balancer.FromBeforeStart
	}
	in.balancer.UpdateEndpoints(endpoints, extent, source)
	return nil
}
