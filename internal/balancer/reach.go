package balancer

// AttemptDelivered takes it that a worker has a forward, begun or not. It guards against work that is moved while it is still
// on its way: to another zone, over a connection that comes up for it, that takes far longer than a worker that has
// room takes to begin, and each further forward would be moved on as well until none is left.
func (d *Balancer) AttemptDelivered(inv RequestID, n int) {
	if f := &d.requests.byID[inv].attempts[n]; f.inFlight && f.deliveredAt == 0 {
		f.deliveredAt = d.now
		d.observeDelivery(f)
	}
}

// observeDelivery takes how long a forward has been on its way for the mean of its zone.
func (d *Balancer) observeDelivery(f *attempt) {
	r := &d.zones[d.workers[f.worker].zone].deliveryTime
	*r = min(*r+Time(learningRate*float64(d.now-f.sentAt-*r)), d.config.warmupWindow/8)
}

// queueingTime is how long a forward has surely waited for its start at its worker.
func (d *Balancer) queueingTime(f *attempt) Time {
	switch {
	case f.deliveredAt > 0:
		return d.now - f.deliveredAt
	case d.config.deliveryNotices:
		return d.now - f.sentAt - deliveryMargin*d.zones[d.workers[f.worker].zone].deliveryTime
	}
	return d.now - f.sentAt
}
