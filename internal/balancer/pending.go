package balancer

// dispatchPending sends pending requests, in the order of their priority, to workers with a free slot. A request for
// which no worker is eligible does not block those after it. At most as many of them are skipped as there are workers.
func (b *Balancer) dispatchPending() {
	b.due.capacityChanged = false
	for n := 0; n < min(len(b.pending.ids), len(b.subsetting.ring)) && b.anyAvailable(); {
		id := b.pending.ids[n]
		req := b.requests.get(id)
		target, ok := b.pickWorker(req)
		if !ok {
			n++
			continue
		}
		b.pending.removeAt(n)
		req.queued = false
		b.startAttempt(id, target)
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
