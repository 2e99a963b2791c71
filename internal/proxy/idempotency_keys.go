package proxy

import (
	"context"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// persistsKeys reports whether only a part of the fleet drops repeats of an operation. It then has to be known where
// the first attempt went, also after a loss of power.
func (o *Operation) persistsKeys() bool { return o.RequiresKey && o.DedupScope != balancer.ScopeAll }

// dropsRepeatsWith reports whether a worker belongs to the group that drops repeats of a request which may have been
// executed before.
func (o *Operation) dropsRepeatsWith(worker *protocol.Endpoint, prior *PriorExecution) bool {
	switch o.DedupScope {
	case balancer.ScopeZone:
		return worker.Zone == prior.Zone
	case balancer.ScopeCell:
		return worker.Cell == prior.Cell
	}
	return false
}

// priorAttempt returns where and when a request's key may have been used before, nil for nowhere. The worker is any of
// the group that drops repeats. The error is ErrOutcomeUnknown, or that of Recovery.PriorExecution.
func (p *Proxy) priorAttempt(r *inFlightRequest) (*balancer.PriorAttempt, error) {
	configured := r.settings.operations[r.request.Operation]
	if p.config.Recovery == nil || !configured.persistsKeys() {
		return nil, nil
	}
	prior, err := p.config.Recovery.PriorExecution(KeyedRequest{
		Operation:    r.request.Operation,
		Key:          r.request.IdempotencyKey,
		MarkedRepeat: r.markedRepeat,
	})
	if prior == nil || err != nil {
		return nil, err
	}
	worker, known := p.endpoints.FindWorker(func(endpoint *protocol.Endpoint) bool {
		return configured.dropsRepeatsWith(endpoint, prior)
	})
	if !known {
		return nil, ErrOutcomeUnknown
	}
	return &balancer.PriorAttempt{Worker: worker, SentAt: p.config.FromUnix(float64(prior.SentAtMillis))}, nil
}

// persistKey returns once it is on disk which worker an attempt goes to, where that has to be known after a loss of
// power. ctx bounds the wait.
func (p *Proxy) persistKey(ctx context.Context, current *settings, request *protocol.Request, worker balancer.WorkerID,
) error {
	configured := current.operations[request.Operation]
	if p.config.Recovery == nil || !configured.persistsKeys() {
		return nil
	}
	endpoint := p.endpoints.Endpoint(worker)
	record := KeyRecord{
		Operation:   request.Operation,
		Key:         request.IdempotencyKey,
		Worker:      endpoint.ID,
		DedupWindow: configured.DedupWindow,
	}
	if configured.DedupScope == balancer.ScopeZone { // the group alone: with both, two workers of it would differ
		record.Zone = endpoint.Zone
	} else {
		record.Cell = endpoint.Cell
	}
	return p.config.Recovery.PersistKey(ctx, record)
}
