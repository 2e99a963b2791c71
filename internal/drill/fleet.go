package drill

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/decide"
	"canvasroute/internal/protocol"
	"canvasroute/internal/terms"
)

// entry is a line of a list, before an instance has given the worker a number of its own.
type entry struct {
	name  string
	entry decide.Entry
}

var states = map[string]decide.State{
	"healthy": decide.Healthy, "cordoned": decide.Draining, "deregistered": decide.Gone,
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
		list = append(list, entry{name, decide.Entry{
			ID: name, Zone: decide.Zone(v.GetInt("dc")), Kind: decide.Kind(v.GetInt("shape")),
			Cell: decide.Cell(v.GetInt("pod")), State: state, Born: terms.Clock(v.GetFloat64("bornS")),
		}})
	}
	h.lists[f.GetInt("rosterId")] = list
	return nil
}

func (h *host) discovery(in *instance, f *fastjson.Value) error {
	mode := string(f.GetStringBytes("mode"))
	switch mode {
	case "broken":
		in.dispatcher.ListFailed()
		return nil
	case "patch", "whole", "stale_copy":
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	list, ok := h.lists[f.GetInt("rosterId")]
	if !ok {
		return fmt.Errorf("unknown list %d", f.GetInt("rosterId"))
	}
	entries := make([]decide.Entry, 0, len(list))
	for _, e := range list {
		w, known := in.workers[e.name]
		if !known {
			w = decide.Worker(len(in.names))
			in.workers[e.name] = w
			in.names, in.tags = append(in.names, quoted(e.name)), append(in.tags, protocol.Tag(e.name))
			if _, taken := in.tagged[in.tags[w]]; !taken {
				in.tagged[in.tags[w]] = w
			}
		}
		e.entry.Tgt = w
		entries = append(entries, e.entry)
	}
	in.dispatcher.Listed(entries, mode != "patch", mode != "stale_copy")
	return nil
}
