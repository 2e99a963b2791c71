package balancer

import "cmp"

// RequestArrived adds a new request. The caller chooses its ID, and may reuse the ID of a request that is closed and
// whose attempts have all ended.
func (b *Balancer) RequestArrived(id RequestID, arrival Arrival) {
	arrived := b.requests.reserve(id)
	op := &b.operations.byID[arrival.Operation]
	op.longestTimeout = max(op.longestTimeout, arrival.Timeout)
	sinceFirstTry := op.longestTimeout - arrival.Timeout // a retry has a shorter timeout than the first try
	*arrived = request{
		operation:    arrival.Operation,
		deadline:     b.now.Add(arrival.Timeout - b.config.timingMargin),
		attemptLimit: b.config.maxAttempts,
		attempts:     arrived.attempts[:0],
		latestStart:  b.now.Add(op.latencyObjective - sinceFirstTry),
		quotaWeight:  b.recordQuotaUsage(arrival.Tenant),
	}
	arrived.size = cmp.Or(b.observeSize(arrival.size()), Work(op.meanRun)) // without size hints, the mean observed run
	arrived.late = b.now > arrived.latestStart
	arrived.startWaitDeadline = b.startWaitDeadline(op, arrived.latestStart)
	arrived.interval = b.sizes.IntervalOf(arrived.size)
	if !arrived.late { // a retry by the client adds no new demand
		b.warmup.newRequests++
	}
	b.loadProbes.arrivals++
	b.operations.observeArrival(arrival.Operation, arrived.size, b.config.valuePerRequest)
	b.requests.addOpen(id)
	b.enqueue(id)
	b.due.capacityChanged = true
	b.due.scheduleReview(min(b.now.Add(b.config.startTimeout), arrived.deadline))
}

// startWaitDeadline returns the time until which a request waits for its start, usually the latest start that may meet
// the latency objective. If neither gossip nor load reports show free slots, a worker that appears to be full may still
// have one. In that case a client's retry waits as long as a first try does, provided that a late answer has value.
func (b *Balancer) startWaitDeadline(op *operation, latestStart Time) Time {
	freeSlotsKnown := b.config.gossip || b.config.reportFree != NotReported
	if op.lateShare > 0 && !freeSlotsKnown {
		return max(latestStart, b.now.Add(op.latencyObjective))
	}
	return latestStart
}

// recordQuotaUsage counts a request that arrives now as usage of its tenant, and returns its weight: see package quota.
func (b *Balancer) recordQuotaUsage(id TenantID) float64 {
	return b.tenants.RecordRequest(int(id), b.now, b.config.overQuotaWeight)
}

// observeSize records the hinted size of a request and returns the size to assume for it. Without a hint, that is the
// median, which is 0 before the first hints.
func (b *Balancer) observeSize(hinted Work) Work {
	if hinted <= 0 {
		return b.sizes.Median()
	}
	if b.sizes.Observe(hinted) {
		b.updateCutPoints()
	}
	return hinted
}

// updateCutPoints recomputes the size intervals and the state that depends on them.
func (b *Balancer) updateCutPoints() {
	b.sizes.Update()
	b.gossip.setResendInterval(b.sizes.SampleTotal(), len(b.sizes.Sample()))
	b.pending.sort(b.comparePriority)
}
