package balancer

import "slices"

// pendingQueue holds the requests that wait for a worker, highest priority first. Callers supply the comparison, which
// is policy. Priorities depend on running means, so between two sorts the order may be slightly out of date.
type pendingQueue struct{ ids []RequestID }

type compareRequests func(a, b RequestID) int

func (q *pendingQueue) insert(id RequestID, compare compareRequests) {
	at, _ := slices.BinarySearchFunc(q.ids, id, compare)
	q.ids = slices.Insert(q.ids, at, id)
}

func (q *pendingQueue) remove(id RequestID) { q.removeAt(slices.Index(q.ids, id)) }

func (q *pendingQueue) removeAt(index int) { q.ids = slices.Delete(q.ids, index, index+1) }

// sort restores the order after a change that affects priorities.
func (q *pendingQueue) sort(compare compareRequests) { slices.SortFunc(q.ids, compare) }
