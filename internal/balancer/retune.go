package balancer

import (
	"fmt"
	"slices"
)

// AssignedIDs are those of the operations and customers of new terms, in their order there.
type AssignedIDs struct {
	Operations []OperationID
	Tenants    []TenantID
}

// Reconfigure takes new terms while work is under way, and returns the numbers of their operations and customers. An
// operation whose terms are as they were keeps its number; one with other terms has a new number and goes on
// with what was learnt under its name, so that what landed before keeps the terms that it landed with. A
// customer keeps its number for good, also while no terms name it: what was read by the old ones and lands
// after the new ones is booked where it belongs. Fewer forwards bind at once. What says who and where this
// dispatcher is among the others, and what workers tell, stays as it was at the start.
func (d *Balancer) Reconfigure(t Config) (numbers AssignedIDs) {
	t.Dispatchers, t.Position, t.Gossip = d.config.dispatchers, d.config.position, d.config.gossip
	fresh := New(t, d.random.seed, d.effects)
	for n := range t.Operations {
		numbers.Operations = append(numbers.Operations, d.operationNumber(fresh.operations.byID[n]))
	}
	for _, c := range fresh.quotas.tenants {
		numbers.Tenants = append(numbers.Tenants, d.tenantNumber(c.name, c.quota))
	}
	was := d.config.maxAttempts
	next := fresh.config
	next.keepStartupFigures(&d.config)
	d.config = next
	d.updateSubsets()
	d.due.capacityChanged, d.due.reviewAt = true, d.now
	for inv := range d.requests.newestFirst() {
		i := &d.requests.byID[inv]
		i.spentElsewhere = d.config.maxAttempts - min(was-i.spentElsewhere, d.config.maxAttempts)
		// No forward may be left to it.
		able := func(w WorkerID) bool { return d.workers[w].state == Healthy && d.mayAttempt(i, w) }
		if len(i.attempts) > 0 && i.inFlight == 0 && !slices.ContainsFunc(d.subsetting.ring, able) {
			d.rejectOrFail(inv)
		}
	}
	d.effects.Log(fmt.Sprintf("terms taken anew: %d operations, forwards %d", len(t.Operations), t.MaxAttempts))
	return numbers
}

// tenantNumber gives a customer its quota, and a number if it has none yet.
func (d *Balancer) tenantNumber(name string, quota float64) TenantID {
	n := slices.IndexFunc(d.quotas.tenants, func(c tenant) bool { return c.name == name })
	if n < 0 {
		n = len(d.quotas.tenants)
		d.quotas.tenants = append(d.quotas.tenants, tenant{name: name})
	}
	d.quotas.tenants[n].quota = quota
	return TenantID(n)
}

// operationNumber finds the number of an operation of its name with the same terms, or gives it one. AssignedIDs are
// not used again: an invocation may be open under an old one, and the same calls give every instance the same
// numbers.
func (d *Balancer) operationNumber(o operation) OperationID {
	latest := -1
	for n := range d.operations.byID {
		if d.operations.byID[n].name != o.name {
			continue
		}
		if d.operations.byID[n].sameConfig(&o) {
			return OperationID(n)
		}
		latest = n
	}
	if latest >= 0 {
		was := &d.operations.byID[latest]
		o.longestTimeout, o.meanSize, o.valueDensity, o.requestedWork, o.lostWork, o.arrivals = was.longestTimeout, was.meanSize, was.valueDensity, was.requestedWork,
			was.lostWork, was.arrivals
		o.meanRun, o.runs = was.meanRun, was.runs
	}
	d.operations.byID = append(d.operations.byID, o)
	return OperationID(len(d.operations.byID) - 1)
}

func (o *operation) sameConfig(b *operation) bool {
	return o.latencyObjective == b.latencyObjective && o.dedupWindow == b.dedupWindow && o.retryAfter == b.retryAfter &&
		o.value == b.value && o.slack == b.slack && o.idempotency == b.idempotency && o.dedupScope == b.dedupScope && o.kind == b.kind
}

// Reconfigure takes new terms.
func (f *Picker) Reconfigure(t Config) (numbers AssignedIDs) {
	f.update(func(d *Balancer) { numbers = d.Reconfigure(t) })
	return numbers
}

// Reconfigure takes new terms at all instances. The terms count processes, as those of the start did.
func (s *Shards) Reconfigure(t Config) (numbers AssignedIDs) {
	s.reconfiguring.Lock()
	defer s.reconfiguring.Unlock()
	for _, f := range s.pickers {
		numbers = f.Reconfigure(t)
	}
	return numbers
}
