package balancer

// PriorAttempt is an attempt with the same idempotency key that may have run before a request arrived, at Worker or at
// another worker in its dedup scope.
type PriorAttempt struct {
	Worker WorkerID
	SentAt Time
}

// SubmitWithPriorAttempt submits a request that may have run before. The request is sent to a worker in the dedup scope
// of the prior attempt. If no healthy worker may repeat it, the request is rejected or fails at once.
func (p *Picker) SubmitWithPriorAttempt(arrival Arrival, prior PriorAttempt) *RequestHandle {
	return p.submit(arrival, func(b *Balancer, h *RequestHandle) {
		req := b.requests.get(h.id)
		req.attempts = append(req.attempts, attempt{worker: prior.Worker, sentAt: prior.SentAt, mayHaveRun: true})
		req.attemptLimit++ // the prior attempt does not count against the limit of this dispatcher
		h.beginAttempt(h.deadline)
		h.markReported(0)
		if !b.mayAttemptAnywhere(req) {
			b.rejectOrFail(h.id)
		}
	})
}

// delayWarmingWorkers prevents attempts at workers that are warming up and started before the given time, until one
// warm-up window after that time. An earlier process of this dispatcher may have sent them work that counts against
// their budget.
func (b *Balancer) delayWarmingWorkers(cutoff Time) {
	for n := range b.workers {
		w := &b.workers[n]
		startedBefore := w.warmup.startedAt != DistantPast && w.warmup.startedAt < cutoff
		if startedBefore && b.warmupFactor(WorkerID(n)) < 1 {
			w.notBefore = max(w.notBefore, cutoff.Add(b.config.warmupWindow))
			b.due.scheduleReview(w.notBefore)
		}
	}
}

// ReportFleetRestart records that all dispatchers, and possibly the workers, lost power, and that this dispatcher has
// been running since the given time.
func (s *Shards) ReportFleetRestart(since Time) {
	s.updateAll(func(b *Balancer) { b.warmup.fleetRestartAt = since })
}

// DelayWarmingWorkers prevents attempts at workers that are warming up and started before the given time, until one
// warm-up window after that time. An earlier process of this dispatcher may have sent them work that counts against
// their budget.
func (s *Shards) DelayWarmingWorkers(cutoff Time) {
	s.updateAll(func(b *Balancer) { b.delayWarmingWorkers(cutoff) })
}

// SeedMaxObserved sets the most attempts that other dispatchers observed running at once at a kind of worker. It has no
// effect if this dispatcher has its own observations.
func (s *Shards) SeedMaxObserved(kind KindID, slots float64) {
	s.updateAll(func(b *Balancer) { b.seedMaxObserved(kind, slots) })
}

// SubmitWithPriorAttempt calls Picker.SubmitWithPriorAttempt on the next shard in round-robin order.
func (s *Shards) SubmitWithPriorAttempt(arrival Arrival, prior PriorAttempt) *RequestHandle {
	return s.nextPicker().SubmitWithPriorAttempt(arrival, prior)
}
