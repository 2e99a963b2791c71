package balancer

import (
	"context"
	"time"
)

// pickerEffects converts the effects of a Balancer into decisions for request handles, and into signals to the
// goroutines that poll, probe and gossip. Its methods are called with the lock of the Picker held.
type pickerEffects struct{ picker *Picker }

func (e pickerEffects) SendAttempt(id RequestID, worker WorkerID, timeout Duration) {
	p := e.picker
	h := p.handles[id]
	attemptDeadline := h.deadline
	if timeout > 0 {
		if timeoutAt := time.Now().Add(timeout.Standard()); timeoutAt.Before(attemptDeadline) {
			attemptDeadline = timeoutAt
		}
	}
	op := &p.balancer.operations.byID[p.balancer.requests.get(id).operation]
	// beginAttempt extends h.cancels, and the order of evaluation within the literal below is unspecified.
	ctx := h.beginAttempt(attemptDeadline)
	h.addDecision(Decision{
		Action:      SendAttempt,
		Worker:      worker,
		Ctx:         ctx,
		Attempt:     len(h.cancels) - 1,
		Idempotency: op.idempotency,
		SendBy:      p.sendDeadline(id),
	})
}

func (e pickerEffects) CancelAttempt(id RequestID, number int) {
	if h := e.picker.handles[id]; h != nil {
		h.cancels[number](ErrAttemptCanceled)
	}
}

func (e pickerEffects) Reject(id RequestID, retryAfter Duration) {
	e.picker.handles[id].respond(Decision{Action: RespondRejected, RetryAfter: retryAfter})
}

func (e pickerEffects) Fail(id RequestID) {
	e.picker.handles[id].respond(Decision{Action: RespondFailed})
}

func (e pickerEffects) Wake(key uint64, delay Duration) {
	e.picker.wakeKey = key
	e.picker.wakeAt = e.picker.balancer.now.Add(delay)
	signal(e.picker.wakeChanged)
}

func (e pickerEffects) PollEndpoints() { signal(e.picker.pollDue) }

func (e pickerEffects) Log(event Event) { e.picker.log(event) }

func (e pickerEffects) Probe(id WorkerID) {
	select {
	case e.picker.probes <- id:
	default: // the queue is full
	}
}

func (e pickerEffects) SendLoad(to PeerID, load WorkerLoad) {
	p := e.picker
	for n := range p.loadUpdates {
		if p.loadUpdates[n].To == to {
			p.loadUpdates[n].Loads = append(p.loadUpdates[n].Loads, load)
			return
		}
	}
	p.loadUpdates = append(p.loadUpdates, LoadUpdate{To: to, Loads: []WorkerLoad{load}})
	signal(p.loadUpdatesReady)
}

// beginAttempt adds an attempt in flight that times out at the given time, and returns its context.
func (h *RequestHandle) beginAttempt(deadline time.Time) context.Context {
	timed, stop := context.WithDeadline(h.picker.lifetime, deadline)
	ctx, cancel := context.WithCancelCause(timed)
	h.cancels = append(h.cancels, func(cause error) { cancel(cause); stop() })
	h.reported = append(h.reported, false)
	h.sent = append(h.sent, false)
	h.inFlight++
	return ctx
}
