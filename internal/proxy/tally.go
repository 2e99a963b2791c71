package proxy

import (
	"sync"
	"sync/atomic"

	"canvasroute/internal/protocol"
)

// tally counts how invocations end, by the name of their operation. A name keeps its counts while this
// process lives, also through settings that do not have it.
type tally struct {
	mu    sync.RWMutex
	names []string
	ends  map[string]*ends
}

// ends are the counts of one operation. Each invocation that is taken counts in out until it has ended, and
// then in one of the others; what is sent away by its head alone was never out.
type ends struct{ out, succeeded, declined, aborted atomic.Int64 }

// end counts an answer, the one place where an invocation ends; nil is a client that has left.
func (e *ends) end(a *protocol.Response) {
	switch {
	case a == protocol.Migrated: // it ends at another process
	case a == nil:
		e.aborted.Add(1)
	case a.Status == 200:
		e.succeeded.Add(1)
	case a.Status == 429, a.Status == 503:
		e.declined.Add(1)
	default:
		e.aborted.Add(1)
	}
}

// counted brings an invocation that was taken to its answer, and counts it until then, and as what it ends
// as.
func (r *Proxy) counted(operation string, carry func() *protocol.Response) *protocol.Response {
	r.counts.Taken.Add(1)
	ends := r.tally.of(operation)
	ends.out.Add(1)
	defer ends.out.Add(-1)
	a := carry()
	ends.end(a)
	return a
}

// name begins the counts of an operation, or goes on with them.
func (t *tally) name(operation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ends == nil {
		t.ends = map[string]*ends{}
	}
	if t.ends[operation] == nil {
		t.ends[operation] = &ends{}
		t.names = append(t.names, operation)
	}
}

// of finds an operation's counts, nil for a name that no settings ever had.
func (t *tally) of(operation string) *ends {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.ends[operation]
}

// Metrics are what operators are told. They are read one by one while others are counted.
func (r *Proxy) Metrics() []protocol.Metric {
	r.tally.mu.RLock()
	defer r.tally.mu.RUnlock()
	var figures []protocol.Metric
	out := int64(0)
	for _, name := range r.tally.names {
		e := r.tally.ends[name]
		out += e.out.Load()
		figures = append(figures, protocol.Metric{Name: "succeeded", Operation: name, Value: e.succeeded.Load()},
			protocol.Metric{Name: "declined", Operation: name, Value: e.declined.Load()},
			protocol.Metric{Name: "aborted", Operation: name, Value: e.aborted.Load()})
	}
	listed, avoided := r.facade.WorkerCounts()
	return append(figures, protocol.Metric{Name: "forwards", Value: r.counts.Sent.Load()},
		protocol.Metric{Name: "outstanding", Value: out},
		protocol.Metric{Name: "discovered", Value: int64(listed)},
		protocol.Metric{Name: "ejected", Value: int64(avoided)})
}
