package balancer

import (
	"context"
	"time"
)

// RequestHandle is one request that a Picker has taken in. One goroutine calls Pick; others may report attempts
// meanwhile. The fields are guarded by the Picker's lock, except ready.
type RequestHandle struct {
	picker    *Picker
	id        RequestID
	deadline  time.Time // of the client
	decisions []Decision
	ready     chan struct{} // signaled when decisions has grown
	cancels   []context.CancelCauseFunc
	reported  []bool // by number of the attempt: its outcome is known
	sent      []bool // by number of the attempt: it was sent to its last byte
	inFlight  int    // attempts that have not been reported
	closed    bool   // it has its final answer, or its client has left; Balancer closes its request in the same call
}

func (p *Picker) newHandle(deadline time.Time) *RequestHandle {
	return &RequestHandle{picker: p, ready: make(chan struct{}, 1), deadline: deadline}
}

// Pick blocks until the next decision for the request. When ctx ends first the client has left: the request is closed,
// and Pick returns the cause of ctx.
func (h *RequestHandle) Pick(ctx context.Context) (Decision, error) {
	for {
		if decision, ok := h.next(); ok {
			return decision, nil
		}
		select {
		case <-h.ready:
		case <-ctx.Done():
			h.clientLeft()
			return Decision{}, context.Cause(ctx)
		}
	}
}

// clientLeft closes the request without an answer.
func (h *RequestHandle) clientLeft() {
	h.picker.update(func(b *Balancer) {
		if !h.closed {
			h.closed = true
			b.ClientLeft(h.id, NoAttempt)
			h.cancelUnsent()
		}
		for _, decision := range h.decisions { // nobody will send these attempts any more
			if decision.Action == SendAttempt {
				h.attemptEnded(decision.Attempt, NotSent)
			}
		}
		h.decisions = nil
		h.release()
	})
}

// next takes the first decision that still holds. An attempt that was not picked before its request was closed is never
// sent.
func (h *RequestHandle) next() (Decision, bool) {
	h.picker.mu.Lock()
	defer h.picker.mu.Unlock()
	for len(h.decisions) > 0 {
		decision := h.decisions[0]
		h.decisions = h.decisions[1:]
		if decision.Action != SendAttempt {
			h.release()
			return decision, true
		}
		if !h.closed {
			return decision, true
		}
		h.attemptEnded(decision.Attempt, NotSent)
	}
	return Decision{}, false
}

// cancelUnsent cancels the attempts that have not been sent to their last byte, also where the platform allows no
// cancellation: they have never run. Otherwise one could be sent after its client has left or was answered, as its
// connection came up late or a disk was slow.
func (h *RequestHandle) cancelUnsent() {
	for number, sent := range h.sent {
		if !sent && !h.reported[number] {
			h.cancels[number](ErrAttemptCanceled)
		}
	}
}

// ReportSent notes that the attempt with a number has been sent to its last byte. From then on it may run.
func (h *RequestHandle) ReportSent(number int) {
	h.picker.mu.Lock()
	defer h.picker.mu.Unlock()
	h.sent[number] = true
}

// ReportDelivered notes that the worker has received the attempt with a number, whether it has started it or not.
func (h *RequestHandle) ReportDelivered(number int) {
	h.picker.update(func(b *Balancer) {
		if !h.reported[number] {
			b.AttemptDelivered(h.id, number)
		}
	})
}

// ReportStarted notes that the worker has started the attempt with a number.
func (h *RequestHandle) ReportStarted(number int) {
	h.picker.update(func(b *Balancer) {
		if !h.reported[number] {
			b.AttemptStarted(h.id, number)
		}
	})
}

// Report takes the outcome of the attempt with a number; only the first report counts. It reports whether the result of
// this attempt is the client's answer.
func (h *RequestHandle) Report(number int, outcome Outcome) (answers bool) {
	h.picker.update(func(*Balancer) {
		if h.reported[number] {
			return
		}
		answers = outcome == Succeeded && !h.closed
		if answers {
			h.respond(Decision{Action: RespondResult, Attempt: number})
		}
		h.attemptEnded(number, outcome)
		h.release()
	})
	return answers
}

// RejectOrFail gives the final answer at once: a rejection where that is permitted, else a failure.
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

// markReported ends an attempt here, and its context.
func (h *RequestHandle) markReported(number int) {
	h.reported[number] = true
	h.inFlight--
	h.cancels[number](nil)
}

func (h *RequestHandle) respond(answer Decision) {
	h.closed = true
	h.cancelUnsent()
	h.push(answer)
}

func (h *RequestHandle) push(decision Decision) {
	h.decisions = append(h.decisions, decision)
	signal(h.ready)
}

// release frees the request's number once it is closed and every attempt has been reported.
func (h *RequestHandle) release() {
	if h.closed && h.inFlight == 0 && h.picker.handles[h.id] == h {
		h.picker.releaseID(h.id)
	}
}
