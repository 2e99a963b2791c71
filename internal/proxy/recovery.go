package proxy

import (
	"context"
	"errors"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// Recovery brings a dispatcher back after it has ended, from disk and with the help of its peers. A Proxy without one
// serves at once and knows nothing of earlier requests.
type Recovery interface {
	// Ready returns nil once clients may come.
	Ready() error
	// EndpointsReceived is called after each list of workers or change to it.
	EndpointsReceived()
	// EndpointsUnavailable is called after each poll of the discovery service, or watch on it, that failed.
	EndpointsUnavailable()
	// Admit decides whether a request may be admitted yet.
	Admit(arrival balancer.Arrival) RecoveryAdmission
	// PriorExecution returns where a request with the same key may have been executed before, nil for nowhere. The error
	// is ErrOutcomeUnknown where that cannot be known.
	PriorExecution(request KeyedRequest) (*PriorExecution, error)
	// PersistKey returns once it is on disk that a request may be executed at a worker.
	PersistKey(ctx context.Context, k KeyRecord) error
}

// RecoveryAdmission is the answer of Recovery.Admit.
type RecoveryAdmission struct {
	Admitted   bool
	RetryAfter time.Duration        // for the client of a request that is not admitted, 0 for no advice
	Done       func(succeeded bool) // to be called once an admitted request has ended
}

// KeyedRequest identifies a request by its idempotency key.
type KeyedRequest struct {
	Operation    string
	Key          string
	MarkedRepeat bool // its client says that it has sent the request before
}

// ErrOutcomeUnknown is the error of a key that may have been used at a worker that is not known.
var ErrOutcomeUnknown = errors.New("request may have been executed at an unknown worker")

// PriorExecution is where and when a request may have been executed.
type PriorExecution struct {
	Worker, Zone string
	Cell         int
	SentAtMillis int64 // Unix time in milliseconds
}

// KeyRecord is what is persisted of an attempt before it is sent.
type KeyRecord struct {
	Operation, Key string
	Worker         string
	Zone           string        // set where the zone drops repeats
	Cell           int           // set where the cell drops repeats
	DedupWindow    time.Duration // how long they are dropped
}

// persistsKeys reports whether a part of the fleet alone drops repeats of an operation. Then it has to be known where
// the first attempt went, also after a loss of power.
func (o *Operation) persistsKeys() bool { return o.RequiresKey && o.DedupScope != balancer.ScopeAll }

// priorAttempt returns what a request's key may have been used for before, nil for nothing.
func (p *Proxy) priorAttempt(r *inFlightRequest, isRetry bool) (*balancer.PriorAttempt, error) {
	operation := r.settings.operations[r.request.Operation]
	if p.config.Recovery == nil || !operation.persistsKeys() {
		return nil, nil
	}
	prior, err := p.config.Recovery.PriorExecution(KeyedRequest{
		Operation: r.request.Operation, Key: r.request.IdempotencyKey, MarkedRepeat: isRetry,
	})
	if prior == nil || err != nil {
		return nil, err
	}
	worker, known := p.endpoints.Find(func(e *protocol.Endpoint) bool {
		return operation.DedupScope == balancer.ScopeZone && e.Zone == prior.Zone ||
			operation.DedupScope == balancer.ScopeCell && e.Cell == prior.Cell
	})
	if !known {
		return nil, ErrOutcomeUnknown
	}
	return &balancer.PriorAttempt{Worker: worker, SentAt: p.config.FromUnix(float64(prior.SentAtMillis))}, nil
}

// persistKey makes durable which worker an attempt goes to, where that has to be known after a loss of power.
func (p *Proxy) persistKey(ctx context.Context, current *settings, request *protocol.Request, worker balancer.WorkerID,
) error {
	operation := current.operations[request.Operation]
	if p.config.Recovery == nil || !operation.persistsKeys() {
		return nil
	}
	endpoint := p.endpoints.Endpoint(worker)
	record := KeyRecord{
		Operation: request.Operation, Key: request.IdempotencyKey, Worker: endpoint.ID, DedupWindow: operation.DedupWindow,
	}
	if operation.DedupScope == balancer.ScopeZone { // the group alone: with both, two workers of it would differ
		record.Zone = endpoint.Zone
	} else {
		record.Cell = endpoint.Cell
	}
	return p.config.Recovery.PersistKey(ctx, record)
}

// Endpoints returns the version of the endpoint list and the workers by their numbers, with those that are gone.
func (p *Proxy) Endpoints() (version int64, endpoints []protocol.Endpoint) {
	contents := p.endpoints.Contents()
	return contents.Version, contents.Endpoints
}

// MergeEndpoints applies what peers know of workers that are listed here: later starts, and drains.
func (p *Proxy) MergeEndpoints(endpoints []protocol.Endpoint) { p.discovery.Merge(endpoints) }

// InFlightByWorker returns how many attempts of this process are in flight, by the worker's ID.
func (p *Proxy) InFlightByWorker() map[string]int {
	byWorker := map[string]int{}
	for _, load := range p.balancer.InFlightFor(balancer.Successor) {
		byWorker[p.endpoints.Endpoint(load.Worker).ID] = load.InFlight
	}
	return byWorker
}

// ReceiveLoad takes how many attempts another dispatcher has in flight at a worker, by the worker's ID.
func (p *Proxy) ReceiveLoad(process int, workerID string, inFlight int) {
	if worker, known := p.endpoints.ByID(workerID); known {
		peer := balancer.PeerID(process * p.balancer.Count())
		p.balancer.ReceiveLoad(peer, balancer.WorkerLoad{Worker: worker, InFlight: inFlight})
	}
}
