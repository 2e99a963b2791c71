package decide

// Taken takes it that a worker has a forward, begun or not. It guards against work that is moved while it is still
// on its way: to another zone, over a connection that comes up for it, that takes far longer than a worker that has
// room takes to begin, and each further forward would be moved on as well until none is left.
func (d *Dispatcher) Taken(inv Inv, n int) {
	if f := &d.invs[inv].forwards[n]; f.out && f.taken == 0 {
		f.taken = d.now
		d.learnReach(f)
	}
}

// learnReach takes how long a forward has been on its way for the mean of its zone.
func (d *Dispatcher) learnReach(f *forward) {
	r := &d.reach[d.workerZone[f.tgt]]
	*r = min(*r+Time(learn*float64(d.now-f.sent-*r)), d.span/8)
}

// queued is how long a forward has surely waited for its start at its worker.
func (d *Dispatcher) queued(f *forward) Time {
	switch {
	case f.taken > 0:
		return d.now - f.taken
	case d.takes:
		return d.now - f.sent - reachTrust*d.reach[d.workerZone[f.tgt]]
	}
	return d.now - f.sent
}
