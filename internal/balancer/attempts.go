package balancer

// deliveryMargin is the multiple of the mean delivery time after which an attempt should have reached its worker.
const deliveryMargin = 3

// attempt is one attempt of a request. Attempts of a request are numbered 0, 1, 2... as they are sent.
type attempt struct {
	worker      WorkerID
	sentAt      Time
	startedAt   Time // 0 until its worker has reported the start
	deliveredAt Time // 0 until its worker was seen to have it
	inFlight    bool
	mayHaveRun  bool // it has ended, and may have been executed
}

// AttemptDelivered takes notice that a worker has received an attempt, started or not. The time on the way, to another
// zone or over a connection that is being set up, may be far longer than a worker with room takes to start;
// without this notice each attempt would be moved on as queued until none is left.
func (b *Balancer) AttemptDelivered(id RequestID, number int) {
	delivered := &b.requests.get(id).attempts[number]
	if delivered.inFlight && delivered.deliveredAt == 0 {
		delivered.deliveredAt = b.now
		b.observeDelivery(delivered)
	}
}

// observeDelivery counts how long an attempt has been on its way in the mean of its zone.
func (b *Balancer) observeDelivery(delivered *attempt) {
	zone := &b.zones[b.workers[delivered.worker].zone]
	difference := float64(b.now.Sub(delivered.sentAt) - zone.deliveryTime)
	zone.deliveryTime = min(zone.deliveryTime+Duration(learningRate*difference), b.config.warmupWindow/8)
}

// queueingTime is how long an attempt has certainly waited at its worker for its start.
func (b *Balancer) queueingTime(waiting *attempt) Duration {
	switch {
	case waiting.deliveredAt > 0:
		return b.now.Sub(waiting.deliveredAt)
	case b.config.deliveryNotices:
		return b.now.Sub(waiting.sentAt) - deliveryMargin*b.zones[b.workers[waiting.worker].zone].deliveryTime
	}
	return b.now.Sub(waiting.sentAt)
}

// unstartedAttempt is the only attempt in flight, if its worker would have reported its start and has not, else nil.
func (b *Balancer) unstartedAttempt(request *request) *attempt {
	if !b.config.startNotices || request.inFlight != 1 {
		return nil
	}
	latest := &request.attempts[len(request.attempts)-1]
	if !latest.inFlight || latest.startedAt != 0 {
		return nil
	}
	return latest
}

// addInFlight counts attempts that were sent to a worker, or have ended there.
func (b *Balancer) addInFlight(id WorkerID, count int) {
	b.workers[id].inFlight += count
	b.subsetting.addInFlight(id, count)
	if count < 0 {
		b.subsetting.markMaybeFree(id)
	}
}

// load is what is in flight at a worker, from here and from the peers that tell of it.
func (b *Balancer) load(id WorkerID) int {
	return b.workers[id].inFlight + max(b.workers[id].peerInFlight, 0)
}
