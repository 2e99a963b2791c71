package balancer

// capacityRefreshesPerWindow is how many times the fleet capacity is recomputed within a warm-up window.
const capacityRefreshesPerWindow = 8

// warmupCredit is the number of attempts that this dispatcher may send to a warming worker if there are many
// dispatchers and they do not share their load. Together, the dispatchers receive no more requests than warm workers
// can handle. Each dispatcher takes the worker's share of the fleet capacity, multiplies it by half of the overload
// factor, and sends the worker that share of its own requests. All dispatchers together therefore use half of the
// worker's budget, however traffic is distributed among them.
type warmupCredit struct {
	attempts        float64 // attempts earned and not yet sent, at most 1
	countedRequests int     // value of warmup.newRequests when attempts was last updated
	initialized     bool    // the credit has been initialized for the current worker process
}

// fleetCapacity is the capacity of all healthy workers when it was last computed.
type fleetCapacity struct {
	warmEquivalents float64 // total capacity, in units of one warm worker
	computedAt      Time
}

// earnCredit adds the credit earned by the requests that have arrived since the last call, and returns the credit in
// attempts.
func (b *Balancer) earnCredit(id WorkerID, factor float64) float64 {
	b.refreshFleetCapacity()
	credit := &b.workers[id].warmup.credit
	if !credit.initialized {
		credit.initialized = true
		credit.attempts = float64(b.creditRank(id)) / float64(b.config.dispatchers)
		credit.countedRequests = b.warmup.newRequests
	}
	arrived := float64(b.warmup.newRequests - credit.countedRequests)
	gain := b.config.overloadFactor / 2 * factor / max(b.warmup.capacity.warmEquivalents, factor) * arrived
	credit.attempts = min(credit.attempts+gain, 1)
	credit.countedRequests = b.warmup.newRequests
	return credit.attempts
}

// spend subtracts one attempt from the credit.
func (c *warmupCredit) spend() { c.attempts = max(c.attempts-1, 0) }

// refreshFleetCapacity recomputes the fleet capacity if it is older than the warm-up window divided by
// capacityRefreshesPerWindow.
func (b *Balancer) refreshFleetCapacity() {
	capacity := &b.warmup.capacity
	validUntil := capacity.computedAt.Add(b.config.warmupWindow / capacityRefreshesPerWindow)
	if capacity.warmEquivalents != 0 && b.now <= validUntil {
		return
	}
	capacity.warmEquivalents = 0
	capacity.computedAt = b.now
	for _, id := range b.subsetting.ring {
		if b.workers[id].state == Healthy {
			capacity.warmEquivalents += b.warmupFactor(id)
		}
	}
}

// creditRank returns the rank of this dispatcher among all dispatchers, from 0. The ranks are rotated by a different
// offset for each worker. The initial credit of a dispatcher follows from its rank, so that the dispatchers do not all
// send to a new worker at once.
func (b *Balancer) creditRank(id WorkerID) int {
	offset := int(b.workers[id].hash % uint64(b.config.dispatchers))
	return (offset + b.config.position) % b.config.dispatchers
}
