package simulate

import (
	"container/heap"
	"time"
)

// schedule holds the pending events. Events with the same time are handled in the order in which they were added.
type schedule struct {
	queue      eventQueue
	addedCount int // number of events added so far
}

// event is a function to be called at a simulated time.
type event struct {
	at       time.Duration // since the start of the history
	sequence int           // sequence number in the order of adding
	handle   func()
}

// add adds an event.
func (s *schedule) add(at time.Duration, handle func()) {
	s.addedCount++
	heap.Push(&s.queue, event{at: at, sequence: s.addedCount, handle: handle})
}

// next removes and returns the earliest event. found is false if there is none.
func (s *schedule) next() (first event, found bool) {
	if len(s.queue) == 0 {
		return event{}, false
	}
	return heap.Pop(&s.queue).(event), true
}

// eventQueue implements heap.Interface, ordered by time and sequence number.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].sequence < q[b].sequence
}

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
