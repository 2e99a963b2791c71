package balancer

import (
	"iter"
	"slices"
)

// request is what is known of a request from its arrival to the outcome of its last attempt.
type request struct {
	operation OperationID
	size      Work
	interval  int // of sizes, or allIntervals

	closed bool // it has its final answer, or its client has left
	queued bool // it waits for a worker
	late   bool // it can no longer keep its objective

	quotaWeight       float64 // 1 within its tenant's quota, less beyond it
	latestStart       Time    // last start that may keep the latency objective, which grows by the run itself
	latestWaitedStart Time    // last start that is waited for: see Balancer.latestWaitedStart
	deadline          Time    // of the final answer

	attemptLimit int // attempts that it may have, the first one included
	attempts     []attempt
	inFlight     int // attempts that have not ended

	orderIndex int // its place in requestTable.order
}

// requestTable owns the requests, by RequestID, and the order in which the open ones arrived. One that is closed leaves
// a gap in the order, and gaps are removed once they are more than half. So closing costs the same however many requests
// are open.
type requestTable struct {
	byID      []request
	order     []RequestID // open requests as they arrived, with gaps
	openCount int
}

const (
	closedGap = RequestID(-1)
	minGaps   = 64 // fewer are never worth removing
)

func (t *requestTable) get(id RequestID) *request { return &t.byID[id] }

// reserve makes room for a request with a number.
func (t *requestTable) reserve(id RequestID) *request {
	t.byID = append(t.byID, make([]request, max(0, int(id)+1-len(t.byID)))...)
	return &t.byID[id]
}

// addOpen takes a request into the order, as the latest.
func (t *requestTable) addOpen(id RequestID) {
	if len(t.order) > 2*t.openCount+minGaps {
		t.removeGaps()
	}
	t.byID[id].orderIndex = len(t.order)
	t.order = append(t.order, id)
	t.openCount++
}

func (t *requestTable) removeGaps() {
	t.order = slices.DeleteFunc(t.order, func(id RequestID) bool { return id == closedGap })
	for index, id := range t.order {
		t.byID[id].orderIndex = index
	}
}

func (t *requestTable) removeOpen(id RequestID) {
	t.order[t.byID[id].orderIndex] = closedGap
	t.openCount--
}

// newestFirst yields the open requests, the latest arrival first. They may be closed meanwhile.
func (t *requestTable) newestFirst() iter.Seq[RequestID] {
	return func(yield func(RequestID) bool) {
		for n := len(t.order) - 1; n >= 0; n-- {
			if t.order[n] != closedGap && !yield(t.order[n]) {
				return
			}
		}
	}
}

// closeRequest ends a request, and cancels its attempts.
func (b *Balancer) closeRequest(id RequestID) { b.closeRequestExcept(id, NoAttempt) }

// closeRequestExcept ends a request, and cancels its attempts but for the one with a number.
func (b *Balancer) closeRequestExcept(id RequestID, remaining int) {
	req := b.requests.get(id)
	if req.closed {
		return
	}
	for number := range req.attempts {
		if req.attempts[number].inFlight && b.config.cancellation && number != remaining {
			b.effects.CancelAttempt(id, number)
		}
	}
	req.closed = true
	if req.queued {
		b.dequeue(id)
	}
	b.requests.removeOpen(id)
}
