package balancer

import (
	"iter"
	"slices"
)

// request is the state of a request from its arrival to the outcome of its last attempt.
type request struct {
	operation OperationID
	size      Work
	interval  int // size interval, or allIntervals

	closed bool // it has been answered or exported, or its client has disconnected
	queued bool // it is pending: it waits for a worker
	late   bool // it can no longer meet its objective

	quotaWeight       float64 // 1 within its tenant's quota, less beyond it
	latestStart       Time    // latest start that meets the objective without slack: LatencyObjective after the first try
	startWaitDeadline Time    // latest start that the request waits for: see Balancer.startWaitDeadline
	deadline          Time    // latest time of the final answer

	attemptLimit int // maximum number of attempts, including the first one
	attempts     []attempt
	inFlight     int // attempts that have not ended

	orderIndex int // index in requestTable.order
}

// requestTable holds the requests, by RequestID, and the arrival order of the open ones. Closing a request leaves a gap
// in the order. Gaps are removed when more than half of the entries are gaps, so the cost of closing a request does not
// depend on the number of open requests.
type requestTable struct {
	byID      []request
	order     []RequestID // open requests in order of arrival, with gaps
	openCount int
}

const (
	closedGap = RequestID(-1)
	minGaps   = 64 // removing fewer is not worth the cost
)

func (t *requestTable) get(id RequestID) *request { return &t.byID[id] }

// reserve extends the table if necessary, and returns the entry of the request.
func (t *requestTable) reserve(id RequestID) *request {
	t.byID = append(t.byID, make([]request, max(0, int(id)+1-len(t.byID)))...)
	return &t.byID[id]
}

// addOpen appends a request to the order of open requests.
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

// newestFirst yields the open requests in reverse order of arrival. Requests may be closed during the iteration.
func (t *requestTable) newestFirst() iter.Seq[RequestID] {
	return func(yield func(RequestID) bool) {
		for n := len(t.order) - 1; n >= 0; n-- {
			if t.order[n] != closedGap && !yield(t.order[n]) {
				return
			}
		}
	}
}

// closeRequest closes a request, and cancels its attempts.
func (b *Balancer) closeRequest(id RequestID) { b.closeRequestExcept(id, NoAttempt) }

// closeRequestExcept closes a request, and cancels its attempts except the one with the number remaining.
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
