package balancer

// PriorAttempt is an attempt under the same key that may have run before a request arrived, at the worker or at another
// one of its dedup scope.
type PriorAttempt struct {
	Worker WorkerID
	SentAt Time
}

// SubmitAfter takes in a request that may have run before: it goes to the dedup scope of that attempt, or gets its final
// answer at once.
func (p *Picker) SubmitAfter(arrival Arrival, prior PriorAttempt) *RequestHandle {
	return p.submit(arrival, func(b *Balancer, h *RequestHandle) {
		request := b.requests.get(h.id)
		request.attempts = append(request.attempts, attempt{worker: prior.Worker, sentAt: prior.SentAt, mayHaveRun: true})
		request.attemptLimit++ // the prior attempt is not one of those that are allowed from here
		h.beginAttempt(h.deadline)
		h.markReported(0)
		if !b.mayAttemptAnywhere(request) {
			b.rejectOrFail(h.id)
		}
	})
}

// delayWarmingWorkers sends nothing to workers that are warming up and started before a time, for as long as what an
// earlier process of this dispatcher has sent them counts against their budget.
func (b *Balancer) delayWarmingWorkers(before Time) {
	for n := range b.workers {
		worker := &b.workers[n]
		if worker.startedAt > 0 && worker.startedAt < before && b.warmupFactor(WorkerID(n)) < 1 {
			worker.notBefore = max(worker.notBefore, before.Add(b.config.warmupWindow))
			b.due.reviewBy(worker.notBefore)
		}
	}
}

// seedMaxObserved takes the most attempts that others have seen running at a kind of worker, where nothing was observed
// here.
func (b *Balancer) seedMaxObserved(kind KindID, slots float64) {
	if int(kind) >= len(b.slots.kinds) || slots <= 1 {
		return
	}
	if observed := &b.slots.kinds[kind].maxObserved; *observed <= 1 {
		*observed = slots
		b.setSlotEstimate(kind, slots)
	}
}

// ReportFleetRestart tells that all dispatchers lost power, workers perhaps too, and since when this one is back.
func (s *Shards) ReportFleetRestart(since Time) {
	s.updateAll(func(b *Balancer) { b.warmup.fleetRestartAt = since })
}

// DelayWarmingWorkers sends nothing to workers that are warming up and started before a time, for as long as what an
// earlier process of this dispatcher has sent them counts against their budget.
func (s *Shards) DelayWarmingWorkers(before Time) {
	s.updateAll(func(b *Balancer) { b.delayWarmingWorkers(before) })
}

// SeedMaxObserved takes the most attempts that others have seen running at a kind of worker, where nothing was observed
// here.
func (s *Shards) SeedMaxObserved(kind KindID, slots float64) {
	s.updateAll(func(b *Balancer) { b.seedMaxObserved(kind, slots) })
}

// SubmitAfter calls Picker.SubmitAfter on the shard whose turn it is.
func (s *Shards) SubmitAfter(arrival Arrival, prior PriorAttempt) *RequestHandle {
	return s.next().SubmitAfter(arrival, prior)
}
