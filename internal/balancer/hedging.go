package balancer

// maxHedgeLoadShare is the share of a worker's slots that may be in use if it is to receive a hedged attempt. A second
// attempt must not take the slot of a first one.
const maxHedgeLoadShare = 0.5

// shouldHedge reports whether the only attempt of a request has run for longer than the time left until the deadline of
// the request. Its worker is then slow or will not respond. Hedging earlier would mostly duplicate healthy work: hints
// are rough, and many requests that run for four times their hint are merely large. Hedging requires workers that report
// starts. reviewRequest calls shouldHedge only if no request is pending.
func (b *Balancer) shouldHedge(req *request) bool {
	if req.inFlight != 1 {
		return false
	}
	latest := &req.attempts[len(req.attempts)-1]
	if !latest.inFlight || latest.startedAt == notYet {
		return false
	}
	return b.now.Sub(latest.startedAt) > req.deadline.Sub(b.now)
}

// hedge sends a second attempt if the next worker in round-robin order is known to have enough free slots. That
// worker's load must be known, so without gossip there is no hedging.
func (b *Balancer) hedge(id RequestID) {
	target, ok := b.pickWorker(b.requests.get(id))
	if !ok || !b.receivesLoadOf(target) {
		return
	}
	if float64(b.load(target)) < b.estimatedSlots(target)*maxHedgeLoadShare {
		b.startAttempt(id, target)
	}
}
