package balancer

import (
	"context"
	"slices"
	"time"
)

// MigratedRequest is a request that one process of this dispatcher passes to another, with the configuration of its
// operation as it arrived.
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

	Deadline       time.Time         `json:"Until"` // the client's
	LatestStart    Time              `json:"Latest"`
	Size           Work              `json:"Size"`
	QuotaWeight    float64           `json:"Counts"`
	SpentElsewhere int               `json:"Beyond"` // of MaxAttempts, those that are not allowed to this request
	MaxAttempts    int               `json:"Most"`   // of the configuration
	Attempts       []MigratedAttempt `json:"Forwards"`
}

// MigratedAttempt is an attempt of it, by its number.
type MigratedAttempt struct {
	Worker     WorkerID `json:"Tgt"`
	SentAt     Time     `json:"Sent"`
	StartedAt  Time     `json:"Started"`
	InFlight   bool     `json:"Out"`
	MayHaveRun bool     `json:"Ran"`
}

// Export takes a request out of the decisions, for another process to go on with. It does so, and returns true, only
// while the request is open with a number of attempts in flight, none of them still to be picked; Pick then returns
// RespondElsewhere.
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
		b.closeRequest(h.id, NoAttempt)
		for number, attempt := range migrated.Attempts {
			if attempt.InFlight {
				h.attemptEnded(number, NotSent)
			}
		}
		h.push(Decision{Action: RespondElsewhere})
	})
	return migrated, ok
}

func (b *Balancer) exportRequest(id RequestID) MigratedRequest {
	request := b.requests.get(id)
	operation := &b.operations.byID[request.operation]
	migrated := MigratedRequest{
		Name:             operation.name,
		LatencyObjective: operation.latencyObjective,
		DedupWindow:      operation.dedupWindow,
		RetryAfter:       operation.retryAfter,
		Value:            operation.value,
		Slack:            operation.slack,
		LateShare:        operation.lateShare,
		Idempotency:      operation.idempotency,
		DedupScope:       operation.dedupScope,
		Kind:             operation.kind,

		LatestStart:    request.latestStart,
		Size:           request.size,
		QuotaWeight:    request.quotaWeight,
		SpentElsewhere: b.config.maxAttempts - request.attemptLimit,
		MaxAttempts:    b.config.maxAttempts,
	}
	for _, attempt := range request.attempts {
		migrated.Attempts = append(migrated.Attempts, MigratedAttempt{
			Worker:     attempt.worker,
			SentAt:     attempt.sentAt,
			StartedAt:  attempt.startedAt,
			InFlight:   attempt.inFlight,
			MayHaveRun: attempt.mayHaveRun,
		})
	}
	return migrated
}

// Import goes on with a request that another process has exported. It returns the contexts of its attempts; those that
// are in flight have to be reported by their numbers.
func (p *Picker) Import(migrated MigratedRequest) (*RequestHandle, []context.Context) {
	h := p.newHandle(migrated.Deadline)
	contexts := make([]context.Context, len(migrated.Attempts))
	p.update(func(b *Balancer) {
		p.assignID(h)
		b.importRequest(h.id, migrated)
		for number, attempt := range migrated.Attempts {
			contexts[number] = h.beginAttempt(migrated.Deadline)
			h.sent[number] = true
			if !attempt.InFlight {
				h.markReported(number)
			}
		}
	})
	return h, contexts
}

func (b *Balancer) importRequest(id RequestID, migrated MigratedRequest) {
	operation := b.operations.assign(migrated.operation())
	left := DurationOf(time.Until(migrated.Deadline))
	imported := b.requests.reserve(id)
	*imported = request{
		operation:         operation,
		deadline:          b.now.Add(left - b.config.margin),
		latestStart:       migrated.LatestStart,
		latestWaitedStart: b.latestWaitedStart(&b.operations.byID[operation], migrated.LatestStart),
		late:              b.now > migrated.LatestStart,
		size:              migrated.Size,
		interval:          b.sizes.interval(migrated.Size),
		quotaWeight:       migrated.QuotaWeight,
		attemptLimit:      min(migrated.MaxAttempts-migrated.SpentElsewhere, b.config.maxAttempts),
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
	b.due.reviewBy(min(b.now.Add(b.config.patience), imported.deadline))
}

func (b *Balancer) importAttempt(request *request, migrated *MigratedAttempt) {
	request.attempts = append(request.attempts, attempt{
		worker:     migrated.Worker,
		sentAt:     migrated.SentAt,
		startedAt:  migrated.StartedAt,
		inFlight:   migrated.InFlight,
		mayHaveRun: migrated.MayHaveRun,
	})
	if !migrated.InFlight {
		return
	}
	request.inFlight++
	b.addInFlight(migrated.Worker, 1)
	if b.config.startNotices && migrated.StartedAt == 0 {
		b.workers[migrated.Worker].unstarted++
	}
	b.markLoadChanged(migrated.Worker)
}

// operation is the one that the request arrived with.
func (m *MigratedRequest) operation() operation {
	return operation{
		name:             m.Name,
		latencyObjective: m.LatencyObjective,
		dedupWindow:      m.DedupWindow,
		retryAfter:       m.RetryAfter,
		value:            m.Value,
		lateShare:        m.LateShare,
		slack:            m.Slack,
		idempotency:      m.Idempotency,
		dedupScope:       m.DedupScope,
		kind:             m.Kind,
	}
}

// Import goes on with a request that another process has exported, at the shard whose turn it is. All shards number its
// operation: else the next configuration would have other numbers at one than at another.
func (s *Shards) Import(migrated MigratedRequest) (*RequestHandle, []context.Context) {
	s.reconfiguring.Lock()
	defer s.reconfiguring.Unlock()
	s.updateAll(func(b *Balancer) { b.operations.assign(migrated.operation()) })
	return s.next().Import(migrated)
}
