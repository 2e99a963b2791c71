package decide

// credited is how many forwards a cold worker may get from here, where dispatchers are many and none tells of what
// it sends: of the first tries that land here, the part that the worker has of all that is healthy, by its warmth,
// and half of what it bears beyond it. What lands at all of them is no more than warm workers bear, so that what all
// of them send there is no more than half of its budget, whatever each one's traffic. One at most is saved up.
func (d *Dispatcher) credited(w Worker, warmth float64) float64 {
	if d.strong == 0 || d.now > d.strongAt+d.span/8 {
		d.strong, d.strongAt = 0, d.now
		for _, o := range d.ring {
			if d.state[o] == Healthy {
				d.strong += d.warmth(o)
			}
		}
	}
	if !d.saves[w] {
		d.saves[w], d.credit[w] = true, float64(d.rank(w))/float64(d.dispatchers)
		d.creditAt[w] = d.firsts
	}
	gain := d.multiple / 2 * warmth / max(d.strong, warmth) * float64(d.firsts-d.creditAt[w])
	d.credit[w], d.creditAt[w] = min(d.credit[w]+gain, 1), d.firsts
	return d.credit[w]
}

// rank is this dispatcher's place among all, another one for each worker: what each of them saves up begins at
// another figure, so that they do not all send to a new worker at once.
func (d *Dispatcher) rank(w Worker) int {
	return (int(d.hash[w]%uint64(d.dispatchers)) + d.position) % d.dispatchers
}
