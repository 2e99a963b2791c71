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
	t.Dispatchers, t.Position, t.Gossip = d.dispatchers, d.position, d.gossip
	fresh := New(t, d.seed, d.effects)
	for n := range t.Operations {
		numbers.Operations = append(numbers.Operations, d.operationNumber(fresh.operations[n]))
	}
	for n, name := range fresh.tenants {
		numbers.Tenants = append(numbers.Tenants, d.tenantNumber(name, fresh.quota[n]))
	}
	d.initialWarmup, d.overloadFactor, d.warmupDuration, d.warmupWindow = fresh.initialWarmup, fresh.overloadFactor, fresh.warmupDuration, fresh.warmupWindow
	d.warmupUnit, d.overQuotaShare, d.crossZoneCost = fresh.warmupUnit, fresh.overQuotaShare, fresh.crossZoneCost
	d.valuePerRequest, d.worstOperationWeight = fresh.valuePerRequest, fresh.worstOperationWeight
	d.margin, d.maxPollInterval, d.pollSpread, d.patience = fresh.margin, fresh.maxPollInterval, fresh.pollSpread, fresh.patience
	d.cancellation, d.hedging = fresh.cancellation, fresh.hedging
	d.firstPollSpread, d.maxRetryPoll = fresh.firstPollSpread, fresh.maxRetryPoll
	d.probes, d.subsetSize = fresh.probes, fresh.subsetSize
	d.updateSubsets()
	d.capacityChanged, d.reviewAt = true, d.now
	was := d.maxAttempts
	d.maxAttempts = fresh.maxAttempts
	for inv := range d.open.newestFirst() {
		i := &d.requests[inv]
		i.spentElsewhere = d.maxAttempts - min(was-i.spentElsewhere, d.maxAttempts)
		// No forward may be left to it.
		able := func(w WorkerID) bool { return d.state[w] == Healthy && d.mayAttempt(i, w) }
		if len(i.attempts) > 0 && i.inFlight == 0 && !slices.ContainsFunc(d.ring, able) {
			d.rejectOrFail(inv)
		}
	}
	d.effects.Log(fmt.Sprintf("terms taken anew: %d operations, forwards %d", len(t.Operations), t.MaxAttempts))
	return numbers
}

// tenantNumber gives a customer its quota, and a number if it has none yet.
func (d *Balancer) tenantNumber(name string, quota float64) TenantID {
	n := slices.Index(d.tenants, name)
	if n < 0 {
		n = len(d.tenants)
		d.tenants, d.quota = append(d.tenants, name), append(d.quota, 0)
		d.tenantUsage, d.tenantUsageAt = append(d.tenantUsage, 0), append(d.tenantUsageAt, 0)
	}
	d.quota[n] = quota
	return TenantID(n)
}

// operationNumber finds the number of an operation of its name with the same terms, or gives it one. AssignedIDs are
// not used again: an invocation may be open under an old one, and the same calls give every instance the same
// numbers.
func (d *Balancer) operationNumber(o operation) OperationID {
	latest := -1
	for n := range d.operations {
		if d.operations[n].name != o.name {
			continue
		}
		if d.operations[n].sameConfig(&o) {
			return OperationID(n)
		}
		latest = n
	}
	if latest >= 0 {
		was := &d.operations[latest]
		o.longestTimeout, o.meanSize, o.valueDensity, o.requestedWork, o.lostWork, o.arrivals = was.longestTimeout, was.meanSize, was.valueDensity, was.requestedWork,
			was.lostWork, was.arrivals
		o.meanRun, o.runs = was.meanRun, was.runs
	}
	d.operations = append(d.operations, o)
	return OperationID(len(d.operations) - 1)
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
