package proxy

import (
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// counters count requests, attempts and probes since the start. Their names in the log line are operators' interface
// and older than those here.
type counters struct {
	admitted   atomic.Int64 // requests with a valid head and a free ID
	succeeded  atomic.Int64
	rejected   atomic.Int64 // after they were admitted
	failed     atomic.Int64
	clientLeft atomic.Int64
	migrated   atomic.Int64
	invalid    atomic.Int64 // malformed, or with an unknown path or method, or with an ID that is open
	overBudget atomic.Int64 // rejected on a connection beyond the limit
	shed       atomic.Int64 // rejected by the admission controller

	sent     atomic.Int64 // attempts
	outcomes [balancer.ConnectionRefused + 1]atomic.Int64
	probes   atomic.Int64
}

// outcomeNames are the keys of the outcomes in the log line.
var outcomeNames = [balancer.ConnectionRefused + 1]string{
	balancer.Succeeded: "succeeded", balancer.WorkerError: "worker_error",
	balancer.Overloaded: "full", balancer.TimedOut: "timed_out", balancer.NoConnection: "no_connection",
	balancer.ConnectionReset: "reset", balancer.Canceled: "called_off", balancer.NotSent: "never_sent",
	balancer.ConnectionStale: "stale_connection", balancer.ConnectionRefused: "refused",
}

func (c *counters) countOutcome(outcome balancer.Outcome) { c.outcomes[outcome].Add(1) }

// LogCounters writes all counters in one log line; why goes into it.
func (p *Proxy) LogCounters(why string) {
	c := &p.counters
	attempts := zerolog.Dict().Int64("sent", c.sent.Load())
	for outcome, name := range outcomeNames {
		if name != "" {
			attempts.Int64(name, c.outcomes[outcome].Load())
		}
	}
	g := &p.gossip.Counters
	datagrams := zerolog.Dict().Int64("sent", g.Sent.Load()).Int64("failed", g.Failed.Load()).
		Int64("heard", g.Received.Load()).Int64("malformed", g.Malformed.Load()).
		Int64("strangers", g.Strangers.Load()).Int64("overtaken", g.Reordered.Load())
	d := &p.discovery.Counters
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	p.log.Info().Str("why", why).Int("open", p.balancer.OpenRequests()).Int64("taken", c.admitted.Load()).
		Int64("succeeded", c.succeeded.Load()).Int64("throttled", c.rejected.Load()).
		Int64("errored", c.failed.Load()).Int64("client_left", c.clientLeft.Load()).
		Int64("turned_away", c.invalid.Load()).Int64("overfull", c.overBudget.Load()).
		Int64("at_door", c.shed.Load()).Int64("handed_over", c.migrated.Load()).
		Dict("forwards", attempts).Int64("probes", c.probes.Load()).Int64("lists", d.Lists.Load()).
		Int64("watches_lost", d.WatchesLost.Load()).Dict("datagrams", datagrams).
		Uint64("mallocs", memory.Mallocs).Uint64("alloc_bytes", memory.TotalAlloc).Msg("counters")
}

// operationCounters count how requests end, by operation. An operation keeps its counts while this process lives, also
// under settings without it.
type operationCounters struct {
	mu     sync.RWMutex
	names  []string // in the order in which they were added
	byName map[string]*operationCounts
}

// operationCounts are the counts of one operation. An admitted request is outstanding until it ends, and then counts
// as one of the others. A request that is rejected by its head was never outstanding.
type operationCounts struct{ outstanding, succeeded, declined, aborted atomic.Int64 }

// countResponse counts the end of a request; nil is a client that has left.
func (c *operationCounts) countResponse(r *protocol.Response) {
	switch {
	case r == protocol.Migrated: // it ends at the sibling process
	case r == nil:
		c.aborted.Add(1)
	case r.Status == 200:
		c.succeeded.Add(1)
	case r.Status == 429, r.Status == 503:
		c.declined.Add(1)
	default:
		c.aborted.Add(1)
	}
}

// counted answers an admitted request by serve, and counts it as outstanding until then and by its answer after.
func (p *Proxy) counted(operation string, serve func() *protocol.Response) *protocol.Response {
	p.counters.admitted.Add(1)
	counts := p.operations.of(operation)
	counts.outstanding.Add(1)
	defer counts.outstanding.Add(-1)
	response := serve()
	counts.countResponse(response)
	return response
}

// add starts the counts of an operation, unless it has some.
func (o *operationCounters) add(operation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byName == nil {
		o.byName = map[string]*operationCounts{}
	}
	if o.byName[operation] == nil {
		o.byName[operation] = &operationCounts{}
		o.names = append(o.names, operation)
	}
}

// of returns the counts of an operation, nil for a name that no settings ever had.
func (o *operationCounters) of(operation string) *operationCounts {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.byName[operation]
}

// Metrics returns the metrics of the answer to DUMP. They are read one by one while others change.
func (p *Proxy) Metrics() []protocol.Metric {
	p.operations.mu.RLock()
	defer p.operations.mu.RUnlock()
	var metrics []protocol.Metric
	outstanding := int64(0)
	for _, name := range p.operations.names {
		c := p.operations.byName[name]
		outstanding += c.outstanding.Load()
		metrics = append(metrics,
			protocol.Metric{Name: "succeeded", Operation: name, Value: c.succeeded.Load()},
			protocol.Metric{Name: "declined", Operation: name, Value: c.declined.Load()},
			protocol.Metric{Name: "aborted", Operation: name, Value: c.aborted.Load()})
	}
	listed, ejected := p.balancer.WorkerCounts()
	return append(metrics,
		protocol.Metric{Name: "forwards", Value: p.counters.sent.Load()},
		protocol.Metric{Name: "outstanding", Value: outstanding},
		protocol.Metric{Name: "discovered", Value: int64(listed)},
		protocol.Metric{Name: "ejected", Value: int64(ejected)})
}
