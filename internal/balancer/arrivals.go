package balancer

import "cmp"

// RequestArrived takes a new request under a number that the caller chooses. It may be that of a request that is closed
// and whose attempts have all ended.
func (b *Balancer) RequestArrived(id RequestID, arrival Arrival) {
	arrived := b.requests.reserve(id)
	op := &b.operations.byID[arrival.Operation]
	op.longestTimeout = max(op.longestTimeout, arrival.Timeout)
	sinceFirstTry := op.longestTimeout - arrival.Timeout // a client that retries has less time left
	*arrived = request{
		operation:    arrival.Operation,
		deadline:     b.now.Add(arrival.Timeout - b.config.margin),
		attemptLimit: b.config.maxAttempts,
		attempts:     arrived.attempts[:0],
		latestStart:  b.now.Add(op.latencyObjective - sinceFirstTry),
		quotaWeight:  b.quotaWeight(arrival.Tenant),
	}
	arrived.size = cmp.Or(b.observeSize(arrival.size()), Work(op.meanRun)) // without any hints, what was seen to run
	arrived.late = b.now > arrived.latestStart
	arrived.latestWaitedStart = b.latestWaitedStart(op, arrived.latestStart)
	arrived.interval = b.sizes.Of(arrived.size)
	if !arrived.late { // a client that retries asks for nothing more than it did
		b.warmup.firstTries++
	}
	b.loadProbes.arrivals++
	b.operations.observeArrival(arrival.Operation, arrived.size, b.config.valuePerRequest)
	b.requests.addOpen(id)
	b.enqueue(id)
	b.due.capacityChanged = true
	b.due.scheduleReview(min(b.now.Add(b.config.patience), arrived.deadline))
}

// latestWaitedStart returns until when a request waits for its start: as long as that may keep the latency objective.
// Where nothing shows which workers have a free slot, that none seems to have one says little. A client that retries
// waits as long as one that comes first then, if a late answer earns something.
func (b *Balancer) latestWaitedStart(op *operation, latestStart Time) Time {
	freeSlotsKnown := b.config.gossip || b.config.reportFree != NotReported
	if op.lateShare > 0 && !freeSlotsKnown {
		return max(latestStart, b.now.Add(op.latencyObjective))
	}
	return latestStart
}

// quotaWeight counts a request of a tenant that arrives now, and returns its weight: see package quota.
func (b *Balancer) quotaWeight(id TenantID) float64 {
	return b.tenants.Weigh(int(id), b.now, b.config.overQuotaShare)
}

// observeSize takes in the hinted size of a request. It returns the size to reckon with: the median where there is no
// hint, which is 0 before the first hints.
func (b *Balancer) observeSize(hinted Work) Work {
	if hinted <= 0 {
		return b.sizes.Median()
	}
	if b.sizes.Observe(hinted) {
		b.updateCutPoints()
	}
	return hinted
}

// updateCutPoints renews the size intervals and what depends on them.
func (b *Balancer) updateCutPoints() {
	b.sizes.Update()
	b.gossip.setResendInterval(b.sizes.SampleTotal(), len(b.sizes.Sample()))
	b.pending.sort(b.comparePriority)
}
