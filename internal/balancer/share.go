package balancer

// warmupCredit is how many forwards a cold worker may get from here, where dispatchers are many and none tells of what
// it sends: of the first tries that land here, the part that the worker has of all that is healthy, by its warmth,
// and half of what it bears beyond it. What lands at all of them is no more than warm workers bear, so that what all
// of them send there is no more than half of its budget, whatever each one's traffic. One at most is saved up.
func (d *Balancer) warmupCredit(w WorkerID, warmth float64) float64 {
	if d.warmCapacity == 0 || d.now > d.warmCapacityAt+d.warmupWindow/8 {
		d.warmCapacity, d.warmCapacityAt = 0, d.now
		for _, o := range d.ring {
			if d.state[o] == Healthy {
				d.warmCapacity += d.warmupFactor(o)
			}
		}
	}
	if !d.earnsCredit[w] {
		d.earnsCredit[w], d.credit[w] = true, float64(d.creditRank(w))/float64(d.dispatchers)
		d.creditCount[w] = d.firstTries
	}
	gain := d.overloadFactor / 2 * warmth / max(d.warmCapacity, warmth) * float64(d.firstTries-d.creditCount[w])
	d.credit[w], d.creditCount[w] = min(d.credit[w]+gain, 1), d.firstTries
	return d.credit[w]
}

// creditRank is this dispatcher's place among all, another one for each worker: what each of them saves up begins at
// another figure, so that they do not all send to a new worker at once.
func (d *Balancer) creditRank(w WorkerID) int {
	return (int(d.hash[w]%uint64(d.dispatchers)) + d.position) % d.dispatchers
}
