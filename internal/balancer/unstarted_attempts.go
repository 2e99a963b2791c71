package balancer

import (
	"canvasroute/internal/balancer/slotestimate"
	"canvasroute/internal/balancer/tick"
)

// deliveryMargin is the multiple of the mean delivery time after which an attempt should have reached its worker.
const deliveryMargin = 3

// maxDeliveryShare bounds the mean delivery time, as a share of the warm-up window. A zone that is cut off must not
// make every attempt there count as on its way.
var maxDeliveryShare = tick.Ratio{Numerator: 1, Denominator: 8}

// unstartedAttempt returns the only attempt in flight, if its worker would have reported its start and has not, else nil.
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

// queueingTime returns how long an attempt has certainly waited at its worker for its start.
func (b *Balancer) queueingTime(waiting *attempt) Duration {
	switch {
	case waiting.deliveredAt != notYet:
		return b.now.Sub(waiting.deliveredAt)
	case b.config.deliveryNotices:
		return b.now.Sub(waiting.sentAt) - deliveryMargin*b.zoneOf(waiting.worker).deliveryTime
	}
	return b.now.Sub(waiting.sentAt)
}

// shouldMigrate reports whether an attempt has waited for its start for longer than a free slot takes, while its request
// may still be in time elsewhere.
func (b *Balancer) shouldMigrate(req *request, waiting *attempt) bool {
	return b.queueingTime(waiting) >= b.config.patience && b.now <= req.latestStart
}

// migrateUnstarted moves an attempt that waits in the queue of its worker, which is full after all, to a worker with a
// free slot. The wait is a vote on the slots of the first worker, whether another one is found or not. The new attempt is
// sent before the first one is cancelled, so it needs a platform that allows a second attempt.
func (b *Balancer) migrateUnstarted(id RequestID, waiting *attempt) {
	req := b.requests.get(id)
	if waiting.deliveredAt != notYet || !b.config.deliveryNotices {
		b.observeQueueing(waiting.worker, b.load(waiting.worker), slotestimate.Waited)
	} else {
		b.observeDelivery(waiting)
	}
	if !b.receivesLoadOf(waiting.worker) { // its load from other dispatchers is not known: it is taken to be full for a run
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

// clogsQueue reports whether the only attempt of a request waits at its worker without a chance to be in time, and may
// be taken out of that queue. One that has waited for less than the margin may have been started meanwhile.
func (b *Balancer) clogsQueue(req *request, waiting *attempt) bool {
	if waiting == nil || !b.config.cancellation {
		return false
	}
	slack := b.operations.byID[req.operation].slack
	certainSlack := Duration(hintConfidence * slack * float64(req.size))
	hopelessAfter := max(req.latestStart.Add(certainSlack), req.latestWaitedStart)
	return b.now > hopelessAfter && b.queueingTime(waiting) >= b.config.margin && b.mayReject(req)
}

// AttemptDelivered notes that a worker has received an attempt, started or not. The way to another zone, or over a
// connection that is being set up, may take far longer than a free slot takes to start it. Without this notice each
// attempt would be migrated as queued until none is left.
func (b *Balancer) AttemptDelivered(id RequestID, number int) {
	delivered := &b.requests.get(id).attempts[number]
	if delivered.inFlight && delivered.deliveredAt == notYet {
		delivered.deliveredAt = b.now
		b.observeDelivery(delivered)
	}
}

// observeDelivery counts how long an attempt has been on its way in the mean of its zone.
func (b *Balancer) observeDelivery(delivered *attempt) {
	z := b.zoneOf(delivered.worker)
	difference := float64(b.now.Sub(delivered.sentAt) - z.deliveryTime)
	z.deliveryTime = min(z.deliveryTime+Duration(learningRate*difference), maxDeliveryShare.Of(b.config.warmupWindow))
}
