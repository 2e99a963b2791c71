package balancer

import (
	"context"
	"time"
)

// RequestHandle represents a request that was submitted to a Picker. One goroutine calls Pick; others may report
// attempts concurrently. The fields are guarded by the lock of the Picker, except ready.
type RequestHandle struct {
	picker    *Picker
	id        RequestID
	deadline  time.Time // of the client
	decisions []Decision
	ready     chan struct{} // signaled when a decision is added
	cancels   []context.CancelCauseFunc
	reported  []bool // by attempt number: its outcome was reported
	sent      []bool // by attempt number: it was sent completely
	inFlight  int    // number of attempts whose outcome has not been reported
	closed    bool   // answered, exported, or disconnected; the Balancer closes its request in the same call
}

func (p *Picker) newHandle(deadline time.Time) *RequestHandle {
	return &RequestHandle{picker: p, ready: make(chan struct{}, 1), deadline: deadline}
}

// Pick blocks until the next decision for the request. If ctx is done, the client has disconnected: Pick closes the
// request and returns the cause of ctx, also if there is a decision.
func (h *RequestHandle) Pick(ctx context.Context) (Decision, error) {
	for {
		if ctx.Err() != nil {
			h.clientDisconnected()
			return Decision{}, context.Cause(ctx)
		}
		if decision, ok := h.nextDecision(); ok {
			return decision, nil
		}
		select {
		case <-h.ready:
		case <-ctx.Done():
		}
	}
}

// clientDisconnected closes the request without an answer.
func (h *RequestHandle) clientDisconnected() {
	h.picker.update(func(b *Balancer) {
		if !h.closed {
			h.closed = true
			b.ClientDisconnected(h.id, NoAttempt)
			h.cancelUnsent()
		}
		for _, decision := range h.decisions { // these attempts will not be sent
			if decision.Action == SendAttempt {
				h.attemptEnded(decision.Attempt, NotSent)
			}
		}
		h.decisions = nil
		h.releaseIfDone()
	})
}

// nextDecision returns the first decision that is still valid. An attempt that was not picked before its request was
// closed is never sent.
func (h *RequestHandle) nextDecision() (Decision, bool) {
	h.picker.mu.Lock()
	defer h.picker.mu.Unlock()
	for len(h.decisions) > 0 {
		decision := h.decisions[0]
		h.decisions = h.decisions[1:]
		if decision.Action != SendAttempt {
			h.releaseIfDone()
			return decision, true
		}
		if !h.closed {
			return decision, true
		}
		h.attemptEnded(decision.Attempt, NotSent)
	}
	return Decision{}, false
}

// cancelUnsent cancels the attempts that have not been sent completely, even if cancellation is disabled: they have not
// run. Otherwise an attempt could be sent after its client has disconnected or was answered, because its connection was
// established late or a disk was slow.
func (h *RequestHandle) cancelUnsent() {
	for number, sent := range h.sent {
		if !sent && !h.reported[number] {
			h.cancels[number](ErrAttemptCanceled)
		}
	}
}

// ReportSent records that an attempt was sent completely. From then on it may run.
func (h *RequestHandle) ReportSent(number int) {
	h.picker.mu.Lock()
	defer h.picker.mu.Unlock()
	h.sent[number] = true
}

// ReportDelivered records that the worker has received an attempt, whether or not it has started it.
func (h *RequestHandle) ReportDelivered(number int) {
	h.picker.update(func(b *Balancer) {
		if !h.reported[number] {
			b.AttemptDelivered(h.id, number)
		}
	})
}

// ReportStarted records that the worker has started an attempt.
func (h *RequestHandle) ReportStarted(number int) {
	h.picker.update(func(b *Balancer) {
		if !h.reported[number] {
			b.AttemptStarted(h.id, number)
		}
	})
}

// ReportOutcome records the outcome of an attempt; only the first call for an attempt has an effect. It reports whether
// the result of this attempt is the answer to the client.
func (h *RequestHandle) ReportOutcome(number int, outcome Outcome) (isAnswer bool) {
	h.picker.update(func(*Balancer) {
		if h.reported[number] {
			return
		}
		isAnswer = outcome == Succeeded && !h.closed
		if isAnswer {
			h.respond(Decision{Action: RespondResult, Attempt: number})
		}
		h.attemptEnded(number, outcome)
		h.releaseIfDone()
	})
	return isAnswer
}

// RejectOrFail answers the request at once: it rejects the request if permitted, and fails it otherwise.
func (h *RequestHandle) RejectOrFail() {
	h.picker.update(func(b *Balancer) {
		if !h.closed {
			b.rejectOrFail(h.id)
		}
	})
}

func (h *RequestHandle) attemptEnded(number int, outcome Outcome) {
	h.markReported(number)
	h.picker.balancer.AttemptEnded(h.id, number, outcome, answerOf(h.closed))
}

// markReported marks an attempt as reported and cancels its context.
func (h *RequestHandle) markReported(number int) {
	h.reported[number] = true
	h.inFlight--
	h.cancels[number](nil)
}

func (h *RequestHandle) respond(answer Decision) {
	h.closed = true
	h.cancelUnsent()
	h.addDecision(answer)
}

func (h *RequestHandle) addDecision(decision Decision) {
	h.decisions = append(h.decisions, decision)
	signal(h.ready)
}

// releaseIfDone frees the ID of the request if it is closed and all its attempts have been reported.
func (h *RequestHandle) releaseIfDone() {
	if h.closed && h.inFlight == 0 && h.picker.handles[h.id] == h {
		h.picker.releaseID(h.id)
	}
}
