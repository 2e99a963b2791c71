package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/settings"
)

// entry is a line of a list, before an instance has given the worker a number of its own.
type entry struct {
	name  string
	entry balancer.Endpoint
}

var states = map[string]balancer.WorkerState{
	"healthy": balancer.Healthy, "cordoned": balancer.Draining, "deregistered": balancer.Gone,
}

// inventory keeps a numbered list; a later one takes over the number.
func (h *host) inventory(f *fastjson.Value) error {
	if !f.Exists("rosterId") {
		return errors.New("no rosterId")
	}
	var list []entry
	for _, v := range f.GetArray("hosts") {
		name := string(v.GetStringBytes("worker"))
		state, ok := states[string(v.GetStringBytes("readiness"))]
		if name == "" || !ok {
			return fmt.Errorf("worker %q: unknown readiness %q", name, v.GetStringBytes("readiness"))
		}
		list = append(list, entry{name, balancer.Endpoint{
			ID: name, Zone: balancer.ZoneID(v.GetInt("dc")), Kind: balancer.KindID(v.GetInt("shape")),
			Cell: balancer.CellID(v.GetInt("pod")), State: state, StartedAt: settings.TimeOf(v.GetFloat64("bornS")),
		}})
	}
	h.lists[f.GetInt("rosterId")] = list
	return nil
}

func (h *host) discovery(in *instance, f *fastjson.Value) error {
	mode := string(f.GetStringBytes("mode"))
	switch mode {
	case "broken":
		in.dispatcher.EndpointsUnavailable()
		return nil
	case "patch", "whole", "stale_copy":
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	list, ok := h.lists[f.GetInt("rosterId")]
	if !ok {
		return fmt.Errorf("unknown list %d", f.GetInt("rosterId"))
	}
	entries := make([]balancer.Endpoint, 0, len(list))
	for _, e := range list {
		w, known := in.workers[e.name]
		if !known {
			w = balancer.WorkerID(len(in.names))
			in.workers[e.name] = w
			in.names, in.tags = append(in.names, quoted(e.name)), append(in.tags, protocol.Tag(e.name))
			if _, taken := in.tagged[in.tags[w]]; !taken {
				in.tagged[in.tags[w]] = w
			}
		}
		e.entry.Worker = w
		entries = append(entries, e.entry)
	}
	extent := balancer.AllEndpoints
	if mode == "patch" {
		extent = balancer.ChangedEndpoints
	}
	source := balancer.FromDiscovery
	if mode == "stale_copy" {
		source = balancer.FromBeforeStart
	}
	in.dispatcher.UpdateEndpoints(entries, extent, source)
	return nil
}
