package balancer

// warmupCredit is how many forwards a cold worker may get from here, where dispatchers are many and none tells of what
// it sends: of the first tries that land here, the part that the worker has of all that is healthy, by its warmth,
// and half of what it bears beyond it. What lands at all of them is no more than warm workers bear, so that what all
// of them send there is no more than half of its budget, whatever each one's traffic. One at most is saved up.
func (d *Balancer) warmupCredit(w WorkerID, warmth float64) float64 {
	if d.warmup.warmCapacity == 0 || d.now > d.warmup.warmCapacityAt+d.config.warmupWindow/8 {
		d.warmup.warmCapacity, d.warmup.warmCapacityAt = 0, d.now
		for _, o := range d.subsetting.ring {
			if d.workers[o].state == Healthy {
				d.warmup.warmCapacity += d.warmupFactor(o)
			}
		}
	}
	if !d.workers[w].earnsCredit {
		d.workers[w].earnsCredit, d.workers[w].credit = true, float64(d.creditRank(w))/float64(d.config.dispatchers)
		d.workers[w].creditCount = d.warmup.firstTries
	}
	gain := d.config.overloadFactor / 2 * warmth / max(d.warmup.warmCapacity, warmth) * float64(d.warmup.firstTries-d.workers[w].creditCount)
	d.workers[w].credit, d.workers[w].creditCount = min(d.workers[w].credit+gain, 1), d.warmup.firstTries
	return d.workers[w].credit
}

// creditRank is this dispatcher's place among all, another one for each worker: what each of them saves up begins at
// another figure, so that they do not all send to a new worker at once.
func (d *Balancer) creditRank(w WorkerID) int {
	return (int(d.workers[w].hash%uint64(d.config.dispatchers)) + d.config.position) % d.config.dispatchers
}
