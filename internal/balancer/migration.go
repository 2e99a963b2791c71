package balancer

import (
	"context"
	"slices"
	"time"
)

// MigratedRequest is a request that one process of this dispatcher passes to another, with the configuration of its
// operation at the time of its arrival. The JSON names are those of earlier versions, which must be able to read it.
type MigratedRequest struct {
	Name             string      `json:"Name"`
	LatencyObjective Duration    `json:"Objective"`
	DedupWindow      Duration    `json:"Window"`
	RetryAfter       Duration    `json:"ComeBack"`
	Value            float64     `json:"Value"`
	Slack            float64     `json:"Slack"`
	LateShare        float64     `json:"Tardy"`
	Idempotency      Idempotency `json:"Repeat"`
	DedupScope       DedupScope  `json:"Scope"`
	Kind             KindID      `json:"Kind"`

	Deadline            time.Time         `json:"Until"` // of the client
	LatestStart         Time              `json:"Latest"`
	Size                Work              `json:"Size"`
	QuotaWeight         float64           `json:"Counts"`
	UnavailableAttempts int               `json:"Beyond"` // how many of MaxAttempts the request may not use
	MaxAttempts         int               `json:"Most"`   // configured limit
	Attempts            []MigratedAttempt `json:"Forwards"`
}

// MigratedAttempt is an attempt of a MigratedRequest. Its number is its index.
type MigratedAttempt struct {
	Worker     WorkerID `json:"Tgt"`
	SentAt     Time     `json:"Sent"`
	StartedAt  Time     `json:"Started"`
	InFlight   bool     `json:"Out"`
	MayHaveRun bool     `json:"Ran"`
}

// Export removes a request from this process, for another process to continue it. It does so, and returns true, only if
// the request is open, has exactly the given number of attempts in flight and has no unpicked attempt. Pick then
// returns RespondElsewhere.
func (h *RequestHandle) Export(inFlight int) (migrated MigratedRequest, ok bool) {
	h.picker.update(func(b *Balancer) {
		unpicked := slices.ContainsFunc(h.decisions, func(decision Decision) bool { return decision.Action == SendAttempt })
		if h.closed || h.inFlight != inFlight || unpicked {
			return
		}
		ok = true
		migrated = b.exportRequest(h.id)
		migrated.Deadline = h.deadline
		h.closed = true
		b.closeRequest(h.id)
		for number, exported := range migrated.Attempts {
			if exported.InFlight {
				h.attemptEnded(number, NotSent)
			}
		}
		h.addDecision(Decision{Action: RespondElsewhere})
	})
	return migrated, ok
}

func (b *Balancer) exportRequest(id RequestID) MigratedRequest {
	req := b.requests.get(id)
	op := &b.operations.byID[req.operation]
	migrated := MigratedRequest{
		Name:             op.name,
		LatencyObjective: op.latencyObjective,
		DedupWindow:      op.dedupWindow,
		RetryAfter:       op.retryAfter,
		Value:            op.value,
		Slack:            op.slack,
		LateShare:        op.lateShare,
		Idempotency:      op.idempotency,
		DedupScope:       op.dedupScope,
		Kind:             op.kind,

		LatestStart:         req.latestStart,
		Size:                req.size,
		QuotaWeight:         req.quotaWeight,
		UnavailableAttempts: b.config.maxAttempts - req.attemptLimit,
		MaxAttempts:         b.config.maxAttempts,
	}
	for _, exported := range req.attempts {
		migrated.Attempts = append(migrated.Attempts, MigratedAttempt{
			Worker:     exported.worker,
			SentAt:     exported.sentAt,
			StartedAt:  exported.startedAt,
			InFlight:   exported.inFlight,
			MayHaveRun: exported.mayHaveRun,
		})
	}
	return migrated
}

// Import continues a request that was exported by another process. It returns the contexts of its attempts by number.
// The caller must report the outcomes of the attempts in flight.
func (p *Picker) Import(migrated MigratedRequest) (*RequestHandle, []context.Context) {
	h := p.newHandle(migrated.Deadline)
	contexts := make([]context.Context, len(migrated.Attempts))
	p.update(func(b *Balancer) {
		p.assignID(h)
		b.importRequest(h.id, migrated)
		for number, imported := range migrated.Attempts {
			contexts[number] = h.beginAttempt(migrated.Deadline)
			h.sent[number] = true
			if !imported.InFlight {
				h.markReported(number)
			}
		}
	})
	return h, contexts
}

func (b *Balancer) importRequest(id RequestID, migrated MigratedRequest) {
	operationID := b.operations.findOrAdd(migrated.operation())
	remaining := DurationOf(time.Until(migrated.Deadline))
	imported := b.requests.reserve(id)
	*imported = request{
		operation:         operationID,
		deadline:          b.now.Add(remaining - b.config.timingMargin),
		latestStart:       migrated.LatestStart,
		startWaitDeadline: b.startWaitDeadline(&b.operations.byID[operationID], migrated.LatestStart),
		late:              b.now > migrated.LatestStart,
		size:              migrated.Size,
		interval:          b.sizes.IntervalOf(migrated.Size),
		quotaWeight:       migrated.QuotaWeight,
		attemptLimit:      min(migrated.MaxAttempts-migrated.UnavailableAttempts, b.config.maxAttempts),
		attempts:          imported.attempts[:0],
	}
	b.requests.addOpen(id)
	for n := range migrated.Attempts {
		b.importAttempt(imported, &migrated.Attempts[n])
	}
	if imported.inFlight == 0 {
		b.enqueue(id)
	}
	b.due.capacityChanged = true
	b.due.scheduleReview(min(b.now.Add(b.config.startTimeout), imported.deadline))
}

func (b *Balancer) importAttempt(req *request, migrated *MigratedAttempt) {
	req.attempts = append(req.attempts, attempt{
		worker:     migrated.Worker,
		sentAt:     migrated.SentAt,
		startedAt:  migrated.StartedAt,
		inFlight:   migrated.InFlight,
		mayHaveRun: migrated.MayHaveRun,
	})
	if !migrated.InFlight {
		return
	}
	req.inFlight++
	b.addInFlight(migrated.Worker, 1)
	if b.config.startNotices && migrated.StartedAt == 0 {
		b.workers[migrated.Worker].unstarted++
	}
	b.markLoadChanged(migrated.Worker)
}

// operation returns the operation of the request as configured when it arrived.
func (m *MigratedRequest) operation() operation {
	return operation{lateShare: m.LateShare, operationSettings: operationSettings{
		name:             m.Name,
		latencyObjective: m.LatencyObjective,
		dedupWindow:      m.DedupWindow,
		retryAfter:       m.RetryAfter,
		value:            m.Value,
		slack:            m.Slack,
		idempotency:      m.Idempotency,
		dedupScope:       m.DedupScope,
		kind:             m.Kind,
	}}
}

// Import continues a request that was exported by another process, at the next shard in round-robin order. Its
// operation is assigned an ID at all shards: otherwise the shards would assign different IDs to the operations of the
// next configuration.
func (s *Shards) Import(migrated MigratedRequest) (*RequestHandle, []context.Context) {
	s.operationIDsMu.Lock()
	defer s.operationIDsMu.Unlock()
	s.updateAll(func(b *Balancer) { b.operations.findOrAdd(migrated.operation()) })
	return s.nextPicker().Import(migrated)
}
