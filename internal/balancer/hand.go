package balancer

import (
	"context"
	"slices"
	"time"
)

// MigratedRequest is an invocation that one process of this dispatcher hands to another, with the terms that it
// landed with.
type MigratedRequest struct {
	Name             string      `json:"Name"`
	LatencyObjective Time        `json:"Objective"`
	DedupWindow      Time        `json:"Window"`
	RetryAfter       Time        `json:"ComeBack"`
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
	SpentElsewhere int               `json:"Beyond"`
	MaxAttempts    int               `json:"Most"` // of the forwards that are allowed, those not to it
	Attempts       []MigratedAttempt `json:"Forwards"`
}

// MigratedAttempt is one forward of it, by its number.
type MigratedAttempt struct {
	Worker     WorkerID `json:"Tgt"`
	SentAt     Time     `json:"Sent"`
	StartedAt  Time     `json:"Started"`
	InFlight   bool     `json:"Out"`
	MayHaveRun bool     `json:"Ran"`
}

// Export takes an invocation out of the decisions, for another process to go on with. It holds only while it is
// open, with so many forwards out; Pick then returns RespondElsewhere.
func (t *RequestHandle) Export(out int) (a MigratedRequest, ok bool) {
	t.picker.update(func(d *Balancer) {
		sends := slices.ContainsFunc(t.decisions, func(c Decision) bool { return c.Action == SendAttempt })
		if t.closed || t.inFlight != out || sends {
			return
		}
		i := &d.requests.byID[t.id]
		o := &d.operations.byID[i.operation]
		ok = true
		a = MigratedRequest{
			o.name, o.latencyObjective, o.dedupWindow, o.retryAfter, o.value, o.slack, o.lateShare, o.idempotency, o.dedupScope, o.kind, t.deadline,
			i.latestStart, i.size, i.quotaWeight, i.spentElsewhere, d.config.maxAttempts, nil,
		}
		for _, f := range i.attempts {
			a.Attempts = append(a.Attempts, MigratedAttempt{f.worker, f.sentAt, f.startedAt, f.inFlight, f.mayHaveRun})
		}
		t.closed = true
		d.closeRequest(t.id, -1)
		for n, f := range a.Attempts {
			if f.InFlight {
				t.attemptEnded(n, NotSent)
			}
		}
		t.push(Decision{Action: RespondElsewhere})
	})
	return a, ok
}

// Import goes on with an invocation that another process has handed over. The contexts are those of its
// forwards that are out; each is to be reported by its number.
func (f *Picker) Import(a MigratedRequest) (*RequestHandle, []context.Context) {
	t := &RequestHandle{picker: f, ready: make(chan struct{}, 1), deadline: a.Deadline}
	contexts := make([]context.Context, len(a.Attempts))
	f.update(func(d *Balancer) {
		f.assignID(t)
		d.importRequest(t.id, a)
		for n, forward := range a.Attempts {
			contexts[n] = t.beginAttempt(a.Deadline)
			t.sent[n] = true
			if !forward.InFlight {
				t.reported[n] = true
				t.inFlight--
				t.cancels[n](nil)
			}
		}
	})
	return t, contexts
}

func (d *Balancer) importRequest(inv RequestID, a MigratedRequest) {
	d.requests.byID = append(d.requests.byID, make([]request, max(0, int(inv)+1-len(d.requests.byID)))...)
	op := d.operationNumber(a.operation())
	grace := Time(time.Until(a.Deadline) / (time.Second / Second))
	i := &d.requests.byID[inv]
	*i = request{
		operation: op, deadline: d.now + grace - d.config.margin, latestStart: a.LatestStart, size: a.Size, quotaWeight: a.QuotaWeight,
		attempts: i.attempts[:0], interval: bothIntervals,
	}
	i.latestWaitedStart, i.late = d.latestWaitedStart(op, a.LatestStart), d.now > a.LatestStart
	i.spentElsewhere = d.config.maxAttempts - min(a.MaxAttempts-a.SpentElsewhere, d.config.maxAttempts)
	if len(d.sizes.cutPoints) > 0 {
		i.interval, _ = slices.BinarySearch(d.sizes.cutPoints, i.size+1)
	}
	d.addOpenRequest(inv)
	for _, f := range a.Attempts {
		i.attempts = append(i.attempts,
			attempt{worker: f.Worker, sentAt: f.SentAt, startedAt: f.StartedAt, inFlight: f.InFlight, mayHaveRun: f.MayHaveRun})
		if !f.InFlight {
			continue
		}
		i.inFlight++
		d.addInFlight(f.Worker, 1)
		if d.config.startNotices && f.StartedAt == 0 {
			d.workers[f.Worker].unstarted++
		}
		d.markLoadChanged(f.Worker)
	}
	if i.inFlight == 0 {
		d.enqueue(inv)
	}
	d.due.capacityChanged, d.due.reviewAt = true, min(d.due.reviewAt, d.now+d.config.patience, i.deadline)
}

// operation is the one that it landed with.
func (a *MigratedRequest) operation() operation {
	return operation{
		name: a.Name, latencyObjective: a.LatencyObjective, dedupWindow: a.DedupWindow, retryAfter: a.RetryAfter, value: a.Value,
		slack: a.Slack, lateShare: a.LateShare, idempotency: a.Idempotency, dedupScope: a.DedupScope, kind: a.Kind,
	}
}

// Import goes on with an invocation that another process has handed over, each instance in turn. All of them
// number its operation: else the next terms would have other numbers at one than at another.
func (s *Shards) Import(a MigratedRequest) (*RequestHandle, []context.Context) {
	s.reconfiguring.Lock()
	defer s.reconfiguring.Unlock()
	for _, f := range s.pickers {
		f.update(func(d *Balancer) { d.operationNumber(a.operation()) })
	}
	return s.next().Import(a)
}
