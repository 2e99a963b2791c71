package balancer

import (
	"iter"
	"slices"
)

// openRequests keeps the invocations that are open in the order in which they landed. One that is over leaves a gap, and
// the gaps are closed once they are more than half: an end costs the same whatever is open beside it.
type openRequests struct {
	byID []request
	ids  []RequestID // with gaps
	live int
}

const closedGap = RequestID(-1)

// minGaps are never worth closing.
const minGaps = 64

func (d *Balancer) addOpenRequest(inv RequestID) {
	o := &d.requests
	if len(o.ids) > 2*o.live+minGaps {
		o.ids = slices.DeleteFunc(o.ids, func(inv RequestID) bool { return inv == closedGap })
		for n, inv := range o.ids {
			d.requests.byID[inv].openIndex = n
		}
	}
	d.requests.byID[inv].openIndex = len(o.ids)
	o.ids, o.live = append(o.ids, inv), o.live+1
}

func (d *Balancer) removeOpenRequest(inv RequestID) {
	d.requests.ids[d.requests.byID[inv].openIndex] = closedGap
	d.requests.live--
}

// newestFirst goes through what is open, the latest landed first. What is gone through may end meanwhile.
func (o *openRequests) newestFirst() iter.Seq[RequestID] {
	return func(yield func(RequestID) bool) {
		for n := len(o.ids) - 1; n >= 0; n-- {
			if o.ids[n] != closedGap && !yield(o.ids[n]) {
				return
			}
		}
	}
}

// dequeue takes an invocation out of those that wait for a worker.
func (d *Balancer) dequeue(inv RequestID) {
	n := slices.Index(d.pending.ids, inv)
	d.pending.ids, d.requests.byID[inv].queued = slices.Delete(d.pending.ids, n, n+1), false
}
