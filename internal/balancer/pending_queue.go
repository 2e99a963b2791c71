package balancer

import "slices"

// pendingQueue owns the order of the requests that wait for a worker, highest priority first. The order itself is
// policy: comparisons come from the caller. Priorities follow running means, so between sorts the order may be slightly
// out of date.
type pendingQueue struct{ ids []RequestID }

type compareRequests func(a, b RequestID) int

func (q *pendingQueue) insert(id RequestID, compare compareRequests) {
	at, _ := slices.BinarySearchFunc(q.ids, id, compare)
	q.ids = slices.Insert(q.ids, at, id)
}

func (q *pendingQueue) remove(id RequestID) { q.removeAt(slices.Index(q.ids, id)) }

func (q *pendingQueue) removeAt(index int) { q.ids = slices.Delete(q.ids, index, index+1) }

// sort renews the order after something has changed that priorities depend on.
func (q *pendingQueue) sort(compare compareRequests) { slices.SortFunc(q.ids, compare) }
