package proxy

import (
	"context"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// persistsKeys reports whether the worker of an attempt is recorded on disk with the request's key before the attempt
// is sent. This is required if only a part of the fleet deduplicates requests of the operation: the worker of the first
// attempt must still be known after a power loss. Without Config.Recovery, nothing is recorded.
func (o *Operation) persistsKeys() bool { return o.RequiresKey && o.DedupScope != balancer.ScopeAll }

// isInDedupGroup reports whether a worker belongs to the group that deduplicates a request with the prior execution.
func (o *Operation) isInDedupGroup(worker *protocol.Endpoint, prior *PriorExecution) bool {
	switch o.DedupScope {
	case balancer.ScopeZone:
		return worker.Zone == prior.Zone
	case balancer.ScopeCell:
		return worker.Cell == prior.Cell
	}
	return false
}

// findPriorAttempt returns the earlier attempt that may have used a request's key, or nil if there is none. The
// returned worker is an arbitrary member of the group that deduplicates the request. The error is ErrOutcomeUnknown if
// the group has no known worker, or the error of Recovery.PriorExecution.
func (p *Proxy) findPriorAttempt(r *inFlightRequest) (*balancer.PriorAttempt, error) {
	op := r.settings.operations[r.request.Operation]
	if p.config.Recovery == nil || !op.persistsKeys() {
		return nil, nil
	}
	prior, err := p.config.Recovery.PriorExecution(KeyedRequest{
		Operation:   r.request.Operation,
		Key:         r.request.IdempotencyKey,
		MarkedRetry: r.markedRetry,
	})
	if prior == nil || err != nil {
		return nil, err
	}
	worker, known := p.endpoints.FindWorker(func(endpoint *protocol.Endpoint) bool {
		return op.isInDedupGroup(endpoint, prior)
	})
	if !known {
		return nil, ErrOutcomeUnknown
	}
	return &balancer.PriorAttempt{Worker: worker, SentAt: p.config.FromUnix(float64(prior.SentAtMillis))}, nil
}

// persistKey persists which worker an attempt is sent to, if the operation requires that (persistsKeys). It returns
// after the record is on disk, or when ctx ends.
func (p *Proxy) persistKey(ctx context.Context, requestSettings *settings, request *protocol.Request,
	worker balancer.WorkerID,
) error {
	op := requestSettings.operations[request.Operation]
	if p.config.Recovery == nil || !op.persistsKeys() {
		return nil
	}
	endpoint := p.endpoints.Endpoint(worker)
	record := KeyRecord{
		Operation:   request.Operation,
		Key:         request.IdempotencyKey,
		Worker:      endpoint.ID,
		DedupWindow: op.DedupWindow,
	}
	if op.DedupScope == balancer.ScopeZone { // one field only: with both, records of the same group would differ
		record.Zone = endpoint.Zone
	} else {
		record.Cell = endpoint.Cell
	}
	return p.config.Recovery.PersistKey(ctx, record)
}
