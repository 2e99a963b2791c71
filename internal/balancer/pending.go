package balancer

import "cmp"

// dispatchPending sends pending requests, in the order of their priority, to workers with room.
func (b *Balancer) dispatchPending() {
	b.due.capacityChanged = false
	for n := 0; n < min(len(b.pending.ids), len(b.subsetting.ring)) && b.anyAvailable(); {
		id := b.pending.ids[n]
		request := b.requests.get(id)
		worker, ok := b.pickWorker(request)
		if !ok {
			n++
			continue
		}
		b.pending.removeAt(n)
		request.queued = false
		b.startAttempt(id, worker)
	}
}

func (b *Balancer) enqueue(id RequestID) {
	b.pending.insert(id, b.comparePriority)
	b.requests.get(id).queued = true
}

func (b *Balancer) dequeue(id RequestID) {
	b.pending.remove(id)
	b.requests.get(id).queued = false
}

// comparePriority puts the first request before the second if it has the higher priority, or the same and an earlier
// latest start.
func (b *Balancer) comparePriority(first, second RequestID) int {
	x := b.requests.get(first)
	y := b.requests.get(second)
	if order := cmp.Compare(b.priority(y), b.priority(x)); order != 0 {
		return order
	}
	return cmp.Compare(x.latestStart, y.latestStart)
}

// priority is what a unit of work earns: of the value of all requests, and, for the operation that lost the largest share
// of its work, of the weight that this has in the goal.
func (b *Balancer) priority(request *request) float64 {
	operation := &b.operations.byID[request.operation]
	density := operation.valueDensity
	if request.late {
		density *= operation.lateShare
	}
	if request.operation == b.operations.worst {
		density += b.config.worstOperationWeight * b.operations.totalValue / max(operation.requestedWork, 1)
	}
	return request.quotaWeight * density
}
