package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"

	"canvasroute/internal/protocol"
)

// operationCounters count requests by operation and result. The counts of an operation are kept until the process
// exits, even if the operation is removed from the settings.
type operationCounters struct {
	mu     sync.RWMutex // guards the map and the slice; the counts are atomic
	names  []string     // operation names in the order in which they were added
	byName map[string]*operationCounts
}

// operationCounts are the counts of one operation. A validated request (counters.validated) counts as outstanding until
// it ends. It then counts as one of the others, unless the sibling process continues it. A request that is rejected
// from its head alone counts as declined and never as outstanding.
type operationCounts struct {
	outstanding atomic.Int64
	succeeded   atomic.Int64
	declined    atomic.Int64 // rejected
	aborted     atomic.Int64 // failed, or the client disconnected
}

// countResponse counts a request that has ended. response is nil if the client has disconnected.
func (c *operationCounts) countResponse(response *protocol.Response) {
	switch {
	case response == protocol.Migrated: // counted by the sibling process
	case response == nil:
		c.aborted.Add(1)
	case response.Status == http.StatusOK:
		c.succeeded.Add(1)
	case response.Status == http.StatusTooManyRequests, response.Status == http.StatusServiceUnavailable:
		c.declined.Add(1)
	default:
		c.aborted.Add(1)
	}
}

// serveCounted calls serve for a validated request and returns the response. It counts the request as outstanding
// during the call, and by its response afterwards.
func (p *Proxy) serveCounted(operationName string, serve func() *protocol.Response) *protocol.Response {
	p.counters.validated.Add(1)
	counts := p.operations.get(operationName)
	counts.outstanding.Add(1)
	defer counts.outstanding.Add(-1)
	response := serve()
	counts.countResponse(response)
	return response
}

// add adds an operation with zero counts, unless the operation already has counts.
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

// get returns the counts of an operation, or nil if the operation was never configured.
func (o *operationCounters) get(name string) *operationCounts {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.byName[name]
}

// Metrics returns the metrics for the response to DUMP. They are read one by one, so the values are not a consistent
// snapshot.
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
