package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// Recovery brings a dispatcher back after its end. A router without one serves at once, and trusts nothing from
// before.
type Recovery interface {
	// Ready is nil once clients may come.
	Ready() error
	// Listed tells that the list service has told its list.
	EndpointsReceived()
	// Unlisted tells that the list service was asked in vain, or no longer tells.
	EndpointsUnavailable()
	// Admit tells whether an invocation may come in yet. done is called once it has ended; comeBack is for its
	// client where it may not.
	Admit(l balancer.Arrival) (done func(succeeded bool), comeBack time.Duration, ok bool)
	// PriorExecution tells where an invocation under the same key may have run before, nil for nowhere. It fails with
	// ErrOutcomeUnknown where nobody can tell.
	PriorExecution(operation, key string, again bool) (*PriorExecution, error)
	// Keep makes durable that an invocation may run at a worker, and returns once it is.
	PersistKey(ctx context.Context, k KeyRecord) error
}

// ErrOutcomeUnknown is a key that may have run nobody knows where.
var ErrOutcomeUnknown = errors.New("it may have run, and nobody knows where")

// PriorExecution is where and when an invocation may have run.
type PriorExecution struct {
	Worker, Zone string
	Cell         int
	SentMs       int64 // Unix time
}

// KeyRecord is what is written down of a forward before it is sent.
type KeyRecord struct {
	Operation, Key string
	Worker, Zone   string
	Cell           int
	Window         time.Duration
}

// held tells whether repeats of an operation are dropped in a part of the fleet alone: then it has to be known
// where the first one went.
func (o *Operation) held() bool { return o.RequiresKey && o.DedupScope != balancer.ScopeAll }

// before finds what an invocation's key may have done before this one. again is its client's mark of a repeat.
func (r *Proxy) before(now *settings, inv *protocol.Request, h *protocol.Head) (*balancer.PriorAttempt, error) {
	o := now.operations[inv.Operation]
	if r.terms.Recovery == nil || !o.held() {
		return nil, nil
	}
	b, err := r.terms.Recovery.PriorExecution(inv.Operation, inv.IdempotencyKey, h.IsRetry())
	if b == nil || err != nil {
		return nil, err
	}
	tgt, known := r.fleet.ofGroup(b, o.DedupScope)
	if !known {
		return nil, ErrOutcomeUnknown
	}
	return &balancer.PriorAttempt{Worker: tgt, SentAt: r.terms.FromUnix(float64(b.SentMs))}, nil
}

// ofGroup finds a worker that drops the repeats of what ran at another one.
func (f *fleet) ofGroup(b *PriorExecution, scope balancer.DedupScope) (balancer.WorkerID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := slices.IndexFunc(f.workers, func(w worker) bool {
		return scope == balancer.ScopeZone && w.entry.Zone == b.Zone || scope == balancer.ScopeCell && w.entry.Cell == b.Cell
	})
	return balancer.WorkerID(n), n >= 0
}

// keep makes durable where a forward goes, where it has to be known after a loss of power.
func (r *Proxy) keep(ctx context.Context, now *settings, inv *protocol.Request, tgt balancer.WorkerID) error {
	o := now.operations[inv.Operation]
	if r.terms.Recovery == nil || !o.held() {
		return nil
	}
	r.fleet.mu.Lock()
	e := r.fleet.workers[tgt].entry
	r.fleet.mu.Unlock()
	k := KeyRecord{Operation: inv.Operation, Key: inv.IdempotencyKey, Worker: e.ID, Window: o.DedupWindow}
	if o.DedupScope == balancer.ScopeZone { // of its group alone: else two workers of it would look like two groups
		k.Zone = e.Zone
	} else {
		k.Cell = e.Cell
	}
	return r.terms.Recovery.PersistKey(ctx, k)
}

// RestoreFromDisk goes on with what was learnt in an earlier life, whose workers and zones had other numbers. The list has
// to be known, and nothing may have landed yet.
func (r *Proxy) RestoreFromDisk(l Snapshot) bool {
	for n := range l.Learned {
		learnt := &l.Learned[n]
		learnt.Tenants = align(learnt.Tenants, l.Tenants, r.now.Load().owners)
		learnt.Kinds = align(learnt.Kinds, l.Kinds, r.terms.Kinds)
		workers, zones := learnt.Workers, learnt.Zones
		learnt.Workers, learnt.Zones = nil, nil
		r.fleet.mu.Lock()
		for at, w := range workers {
			to, known := balancer.WorkerID(0), at < len(l.Endpoints)
			if known {
				to, known = r.fleet.numbers[l.Endpoints[at].ID]
			}
			if known {
				learnt.Workers = append(learnt.Workers, make([]balancer.WorkerStats,
					max(0, int(to)+1-len(learnt.Workers)))...)
				learnt.Workers[to] = w
			}
		}
		for at, z := range zones {
			to, known := 0, at < len(l.Zones)
			if known {
				to, known = r.fleet.zones[l.Zones[at]]
			}
			if known {
				learnt.Zones = append(learnt.Zones, make([]balancer.ZoneStats, max(0, to+1-len(learnt.Zones)))...)
				learnt.Zones[to] = z
			}
		}
		r.fleet.mu.Unlock()
	}
	return r.facade.RestoreFromDisk(l.Learned)
}

// Endpoints are the workers as they are known, gone ones too, with the list's version.
func (r *Proxy) Endpoints() (version int64, entries []protocol.Endpoint) {
	version, entries, _ = r.fleet.entries()
	return version, entries
}

// MergeEndpoints takes what others know of workers that are listed here: later starts, and drains.
func (r *Proxy) MergeEndpoints(entries []protocol.Endpoint) {
	l := protocol.EndpointList{Version: r.fleet.listVersion(), Endpoints: entries}
	taken, old := r.fleet.take(&l)
	r.facade.UpdateEndpoints(taken, balancer.ChangedEndpoints, balancer.FromBeforeStart)
	for _, o := range old {
		if r.pool.CloseIdle(o.address); !o.born.IsZero() {
			r.pool.CloseOpenedBefore(o.address, o.born)
		}
	}
}

// InFlightByWorker is what is out here at each worker, by name.
func (r *Proxy) InFlightByWorker() map[string]int {
	out := map[string]int{}
	for _, l := range r.facade.InFlightFor(balancer.Successor) {
		out[r.fleet.id(l.Worker)] = l.InFlight
	}
	return out
}

// ReceiveLoad takes what another process has out at a worker, by its name.
func (r *Proxy) ReceiveLoad(process int, host string, out int) {
	if w, known := r.fleet.byID(host); known {
		r.facade.ReceiveLoad(balancer.PeerID(process*r.facade.Count()), balancer.Load{Worker: w, InFlight: out})
	}
}
