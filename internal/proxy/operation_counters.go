package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"

	"canvasroute/internal/protocol"
)

// operationCounters count how requests end, by operation. An operation keeps its counts while this process lives, also
// under settings without it.
type operationCounters struct {
	mu     sync.RWMutex // guards the map and the slice; the counts are atomic
	names  []string     // in the order in which they were added
	byName map[string]*operationCounts
}

// operationCounts are the counts of one operation. An admitted request is outstanding until it ends, and then counts
// as one of the others. A request that is rejected by its head was never outstanding.
type operationCounts struct {
	outstanding atomic.Int64
	succeeded   atomic.Int64
	declined    atomic.Int64 // rejected
	aborted     atomic.Int64 // failed, or its client left
}

// countAnswer counts the end of a request; nil is a client that has left.
func (c *operationCounts) countAnswer(answer *protocol.Response) {
	switch {
	case answer == protocol.Migrated: // it ends at the sibling process
	case answer == nil:
		c.aborted.Add(1)
	case answer.Status == http.StatusOK:
		c.succeeded.Add(1)
	case answer.Status == http.StatusTooManyRequests, answer.Status == http.StatusServiceUnavailable:
		c.declined.Add(1)
	default:
		c.aborted.Add(1)
	}
}

// counted returns the answer of serve to an admitted request. It counts the request as outstanding until then, and by
// its answer after.
func (p *Proxy) counted(operationName string, serve func() *protocol.Response) *protocol.Response {
	p.counters.admitted.Add(1)
	counts := p.operations.of(operationName)
	counts.outstanding.Add(1)
	defer counts.outstanding.Add(-1)
	answer := serve()
	counts.countAnswer(answer)
	return answer
}

// add starts the counts of an operation, unless it has some.
func (o *operationCounters) add(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byName == nil {
		o.byName = map[string]*operationCounts{}
	}
	if o.byName[name] == nil {
		o.byName[name] = &operationCounts{}
		o.names = append(o.names, name)
	}
}

// of returns the counts of an operation, nil for a name that no settings ever had.
func (o *operationCounters) of(name string) *operationCounts {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.byName[name]
}

// Metrics returns the metrics of the answer to DUMP. They are read one by one while others change.
func (p *Proxy) Metrics() []protocol.Metric {
	p.operations.mu.RLock()
	defer p.operations.mu.RUnlock()
	var metrics []protocol.Metric
	outstanding := int64(0)
	for _, name := range p.operations.names {
		counts := p.operations.byName[name]
		outstanding += counts.outstanding.Load()
		metrics = append(metrics,
			protocol.Metric{Name: "succeeded", Operation: name, Value: counts.succeeded.Load()},
			protocol.Metric{Name: "declined", Operation: name, Value: counts.declined.Load()},
			protocol.Metric{Name: "aborted", Operation: name, Value: counts.aborted.Load()})
	}
	listed, ejected := p.balancer.WorkerCounts()
	return append(metrics,
		protocol.Metric{Name: "forwards", Value: p.counters.sent.Load()},
		protocol.Metric{Name: "outstanding", Value: outstanding},
		protocol.Metric{Name: "discovered", Value: int64(listed)},
		protocol.Metric{Name: "ejected", Value: int64(ejected)})
}
