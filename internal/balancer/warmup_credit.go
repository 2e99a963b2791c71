package balancer

// capacityRefreshes is how many times in a warm-up window the capacity of all healthy workers is added up.
const capacityRefreshes = 8

// warmupCredit is the number of attempts that a warming worker may get from this dispatcher, where dispatchers are many
// and do not share their load. What arrives at all dispatchers together is no more than warm workers can take. Each
// dispatcher sends a worker its share of what arrives here, by the worker's share of the fleet's capacity, and half of
// the overload factor beyond it. So all together use half of the worker's budget, however traffic is divided.
type warmupCredit struct {
	attempts  float64 // at most one is saved up
	countedAt int     // warmup.firstTries when attempts was last brought up to date
	earning   bool    // for the process that runs now
}

// fleetCapacity is the capacity of all healthy workers, as it was last added up.
type fleetCapacity struct {
	warmWorkers float64 // in workers that are warm
	addedUpAt   Time
}

// earnCredit adds what the requests that arrived since the last call have earned, and returns the credit in attempts.
func (b *Balancer) earnCredit(id WorkerID, factor float64) float64 {
	b.refreshFleetCapacity()
	credit := &b.workers[id].warmup.credit
	if !credit.earning {
		credit.earning = true
		credit.attempts = float64(b.creditRank(id)) / float64(b.config.dispatchers)
		credit.countedAt = b.warmup.firstTries
	}
	tries := float64(b.warmup.firstTries - credit.countedAt)
	gain := b.config.overloadFactor / 2 * factor / max(b.warmup.capacity.warmWorkers, factor) * tries
	credit.attempts = min(credit.attempts+gain, 1)
	credit.countedAt = b.warmup.firstTries
	return credit.attempts
}

// spend takes one attempt from the credit.
func (c *warmupCredit) spend() { c.attempts = max(c.attempts-1, 0) }

// refreshFleetCapacity adds up the capacity of all healthy workers, some times in a warm-up window.
func (b *Balancer) refreshFleetCapacity() {
	capacity := &b.warmup.capacity
	validUntil := capacity.addedUpAt.Add(b.config.warmupWindow / capacityRefreshes)
	if capacity.warmWorkers != 0 && b.now <= validUntil {
		return
	}
	capacity.warmWorkers = 0
	capacity.addedUpAt = b.now
	for _, id := range b.subsetting.ring {
		if b.workers[id].state == Healthy {
			capacity.warmWorkers += b.warmupFactor(id)
		}
	}
}

// creditRank returns this dispatcher's place among all, another one for each worker. The credit of each dispatcher
// begins at another figure, so that they do not all send to a new worker at once.
func (b *Balancer) creditRank(id WorkerID) int {
	first := int(b.workers[id].hash % uint64(b.config.dispatchers))
	return (first + b.config.position) % b.config.dispatchers
}
