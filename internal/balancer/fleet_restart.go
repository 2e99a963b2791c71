package balancer

// PriorAttempt is an attempt under the same key that may have run before a request arrived, at a worker or at another
// one of its dedup scope.
type PriorAttempt struct {
	Worker WorkerID
	SentAt Time
}

// SubmitAfter takes in a request that may have run before. It goes to the dedup scope of that attempt, or gets its final
// answer at once.
func (p *Picker) SubmitAfter(arrival Arrival, prior PriorAttempt) *RequestHandle {
	return p.submit(arrival, func(b *Balancer, h *RequestHandle) {
		req := b.requests.get(h.id)
		req.attempts = append(req.attempts, attempt{worker: prior.Worker, sentAt: prior.SentAt, mayHaveRun: true})
		req.attemptLimit++ // the prior attempt is not one of those that are allowed from here
		h.beginAttempt(h.deadline)
		h.markReported(0)
		if !b.mayAttemptAnywhere(req) {
			b.rejectOrFail(h.id)
		}
	})
}

// delayWarmingWorkers sends nothing for a warm-up window to workers that warm up and started before a moment. An earlier
// process of this dispatcher may have sent them work that counts against their budget.
func (b *Balancer) delayWarmingWorkers(before Time) {
	for n := range b.workers {
		w := &b.workers[n]
		startedBefore := w.warmup.startedAt != LongAgo && w.warmup.startedAt < before
		if startedBefore && b.warmupFactor(WorkerID(n)) < 1 {
			w.notBefore = max(w.notBefore, before.Add(b.config.warmupWindow))
			b.due.scheduleReview(w.notBefore)
		}
	}
}

// ReportFleetRestart notes that all dispatchers lost power, workers perhaps too, and since when this one is back.
func (s *Shards) ReportFleetRestart(since Time) {
	s.updateAll(func(b *Balancer) { b.warmup.fleetRestartAt = since })
}

// DelayWarmingWorkers sends nothing for a warm-up window to workers that warm up and started before a moment. An earlier
// process of this dispatcher may have sent them work that counts against their budget.
func (s *Shards) DelayWarmingWorkers(before Time) {
	s.updateAll(func(b *Balancer) { b.delayWarmingWorkers(before) })
}

// SeedMaxObserved takes the most attempts that others have seen running at a kind of worker, where nothing was observed
// here.
func (s *Shards) SeedMaxObserved(kind KindID, slots float64) {
	s.updateAll(func(b *Balancer) { b.seedMaxObserved(kind, slots) })
}

// SubmitAfter calls Picker.SubmitAfter on the next shard in turn.
func (s *Shards) SubmitAfter(arrival Arrival, prior PriorAttempt) *RequestHandle {
	return s.nextPicker().SubmitAfter(arrival, prior)
}
