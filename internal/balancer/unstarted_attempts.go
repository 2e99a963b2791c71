package balancer

import (
	"canvasroute/internal/balancer/slotestimate"
	"canvasroute/internal/balancer/tick"
)

// deliveryMargin is the multiple of the mean delivery time after which an attempt should have reached its worker.
const deliveryMargin = 3

// maxDeliveryShare limits the mean delivery time, as a share of the warm-up window. Otherwise, if a zone becomes
// unreachable, every attempt sent there would count as in delivery.
var maxDeliveryShare = tick.Ratio{Numerator: 1, Denominator: 8}

// unstartedAttempt returns the only attempt in flight of a request if workers report starts and its start has not been
// reported. Otherwise it returns nil.
func (b *Balancer) unstartedAttempt(req *request) *attempt {
	if !b.config.startNotices || req.inFlight != 1 {
		return nil
	}
	latest := &req.attempts[len(req.attempts)-1]
	if !latest.inFlight || latest.startedAt != notYet {
		return nil
	}
	return latest
}

// queueingTime returns a lower bound of the time that an attempt has waited at its worker for its start. Until its
// delivery is reported, it is the time since the attempt was sent less a multiple of the mean delivery time. Without
// delivery notices, it is the whole time since the attempt was sent.
func (b *Balancer) queueingTime(waiting *attempt) Duration {
	switch {
	case waiting.deliveredAt != notYet:
		return b.now.Sub(waiting.deliveredAt)
	case b.config.deliveryNotices:
		return b.now.Sub(waiting.sentAt) - deliveryMargin*b.zoneOf(waiting.worker).deliveryTime
	}
	return b.now.Sub(waiting.sentAt)
}

// shouldRedispatch reports whether an attempt has waited longer than a worker with a free slot takes to start it, while
// its request can still meet its objective on another worker.
func (b *Balancer) shouldRedispatch(req *request, waiting *attempt) bool {
	return b.queueingTime(waiting) >= b.config.startTimeout && b.now <= req.latestStart
}

// redispatchUnstarted moves an attempt from the queue of its worker, which is full despite its estimated slots, to a
// worker with a free slot. The wait counts in the slot estimate of the first worker, whether or not another worker is
// found. If delivery notices are configured but the delivery has not been reported, the wait counts in the mean delivery
// time of the worker's zone instead. The new attempt is sent before the first one is canceled, so the platform must
// allow a second attempt.
func (b *Balancer) redispatchUnstarted(id RequestID, waiting *attempt) {
	req := b.requests.get(id)
	if waiting.deliveredAt != notYet || !b.config.deliveryNotices {
		b.observeAttemptStart(waiting.worker, b.load(waiting.worker), slotestimate.Waited)
	} else {
		b.observeDelivery(waiting)
	}
	if !b.receivesLoadOf(waiting.worker) { // its load from other dispatchers is unknown: assume it is full for one run
		b.backOff(waiting.worker, b.operations.byID[req.operation].expectedRun())
	}
	target, ok := b.pickWorker(req)
	if !ok {
		return
	}
	moved := len(req.attempts) - 1
	b.startAttempt(id, target)
	if b.config.cancellation {
		b.effects.CancelAttempt(id, moved)
	}
}

// shouldRejectUnstarted reports whether the only attempt of a request waits at its worker with no chance to meet the
// objective, and may be removed from that queue. If it has waited for less than the timing margin, a start notice may
// still be on its way.
func (b *Balancer) shouldRejectUnstarted(req *request, waiting *attempt) bool {
	if waiting == nil || !b.config.cancellation {
		return false
	}
	slack := b.operations.byID[req.operation].slack
	certainSlack := Duration(hintConfidence * slack * float64(req.size))
	latestUsefulStart := max(req.latestStart.Add(certainSlack), req.startWaitDeadline)
	return b.now > latestUsefulStart && b.queueingTime(waiting) >= b.config.timingMargin && b.mayReject(req)
}

// AttemptDelivered records that a worker has received an attempt, whether started or not. Delivery to another zone, or
// over a connection that is being established, may take far longer than a worker with a free slot takes to start the
// attempt. Without this notice every attempt would be redispatched as if it were queued, until the request has no
// attempts left.
func (b *Balancer) AttemptDelivered(id RequestID, number int) {
	delivered := &b.requests.get(id).attempts[number]
	if delivered.inFlight && delivered.deliveredAt == notYet {
		delivered.deliveredAt = b.now
		b.observeDelivery(delivered)
	}
}

// observeDelivery updates the mean delivery time of the worker's zone with the time since an attempt was sent.
func (b *Balancer) observeDelivery(delivered *attempt) {
	z := b.zoneOf(delivered.worker)
	difference := float64(b.now.Sub(delivered.sentAt) - z.deliveryTime)
	z.deliveryTime = min(z.deliveryTime+Duration(learningRate*difference), maxDeliveryShare.Of(b.config.warmupWindow))
}
