package balancer

import (
	"iter"
	"math"
	"math/bits"
)

// The indexes in this file decide nothing: they find what the rules ask for without going through all workers.
// The rules' answers are the same as if they did.

// availability are the places of workers in one part of this dispatcher. A bit tells that the worker at a place may
// have room: it is cleared only once it is known to have none until something changes about it, and set again by
// any such change. Time alone, that warms a worker or ends its rest, never needs a bit that is cleared.
type subset struct {
	workers    []WorkerID
	roundRobin int      // place at which the next pick begins
	position   []int32  // by WorkerID: its place in the part, or none
	maybeFree  []uint64 // by place
	inFlight   int      // forwards out at all of them
}

const notInSubset = -1

// indexSubset takes up a part that has changed.
func (d *Balancer) indexSubset(p int) {
	s, part := &d.subsetting.subsets[p], d.subsetting.subsets[p].workers
	s.position, s.maybeFree, s.inFlight = s.position[:0], s.maybeFree[:0], 0
	for range d.workers {
		s.position = append(s.position, notInSubset)
	}
	for range (len(part) + 63) / 64 {
		s.maybeFree = append(s.maybeFree, math.MaxUint64)
	}
	for n, w := range part {
		s.position[w] = int32(n)
		s.inFlight += d.workers[w].inFlight
	}
}

// inSubset tells whether a worker is in a part.
func (d *Balancer) inSubset(p int, w WorkerID) bool {
	return int(w) < len(d.subsetting.subsets[p].position) && d.subsetting.subsets[p].position[w] != notInSubset
}

// addInFlight counts forwards made or over at a worker.
func (d *Balancer) addInFlight(w WorkerID, by int) {
	d.workers[w].inFlight += by
	for p := range d.subsetting.subsets {
		if d.inSubset(p, w) {
			d.subsetting.subsets[p].inFlight += by
		}
	}
	if by < 0 {
		d.markMaybeFree(w)
	}
}

// markMaybeFree tells that a worker may have room again.
func (d *Balancer) markMaybeFree(w WorkerID) {
	for p := range d.subsetting.subsets {
		if d.inSubset(p, w) {
			n := d.subsetting.subsets[p].position[w]
			d.subsetting.subsets[p].maybeFree[n/64] |= 1 << (n % 64)
		}
	}
}

// setSlots sets the slots of a kind; with more of them all may have room again.
func (d *Balancer) setSlots(k KindID, slots float64) {
	if slots > d.slots.kinds[k].estimate {
		for p := range d.subsetting.subsets {
			for n := range d.subsetting.subsets[p].maybeFree {
				d.subsetting.subsets[p].maybeFree[n] = math.MaxUint64
			}
		}
	}
	d.slots.kinds[k].estimate = slots
}

// isFull tells that a worker cannot be idle, at whatever time, until something changes about it.
func (d *Balancer) isFull(w WorkerID) bool {
	return d.workers[w].state != Healthy || d.workers[w].unstarted > 0 || d.workers[w].consecutiveFailures > 0 && d.workers[w].inFlight > 0 ||
		float64(d.load(w)) >= math.Round(d.slots.kinds[d.workers[w].kind].estimate)
}

// maybeFreeWorkers goes through the workers of a part that may have room, with their places, from its turn on and round.
func (d *Balancer) maybeFreeWorkers(p int) iter.Seq2[int, WorkerID] {
	return func(yield func(int, WorkerID) bool) {
		if n := len(d.subsetting.subsets[p].workers); n > 0 && d.scan(p, d.subsetting.subsets[p].roundRobin%n, n, yield) {
			d.scan(p, 0, d.subsetting.subsets[p].roundRobin%n, yield)
		}
	}
}

// scan goes through the places from one to another, and clears those that are found full.
func (d *Balancer) scan(p, from, to int, yield func(int, WorkerID) bool) bool {
	maybe := d.subsetting.subsets[p].maybeFree
	for at := from; at < to; at++ {
		left := maybe[at/64] >> (at % 64)
		if left == 0 {
			at |= 63
			continue
		}
		if at += bits.TrailingZeros64(left); at >= to {
			break
		}
		if w := d.subsetting.subsets[p].workers[at]; d.isFull(w) {
			maybe[at/64] &^= 1 << (at % 64)
		} else if !yield(at, w) {
			return false
		}
	}
	return true
}

// recentSends is what went to a worker within the span, in the order of time, so that what is past is at the front. It
// is kept for warm workers too: one may have restarted, and nobody knows it yet.
func (d *Balancer) recentSends(w WorkerID) []send {
	s := d.workers[w].sends
	for len(s) > 0 && s[0].sentAt <= d.now-d.config.warmupWindow {
		s = s[1:]
	}
	d.workers[w].sends = s
	return s
}

// anyAvailable tells whether some worker is idle.
func (d *Balancer) anyAvailable() bool {
	return !d.scan(wholeRing, 0, len(d.subsetting.ring), func(_ int, w WorkerID) bool { return !d.isAvailable(w) })
}

// tie is how near to the bound a sum of parts may be rounded to either side of it.
const rounding = 1e-6

// exceedsMeanLoad tells whether a worker has more in flight than the margin over the mean of its part, where the mean is
// a sum of parts: at a tie with the bound its rounding decides, so there it is added up.
func (d *Balancer) exceedsMeanLoad(p int, w WorkerID) bool {
	own, size := float64(d.workers[w].inFlight), float64(len(d.subsetting.subsets[p].workers))
	mean := float64(d.subsetting.subsets[p].inFlight) / size
	if math.Abs(own-meanLoadMargin*mean) < rounding {
		mean = 0
		for _, other := range d.subsetting.subsets[p].workers {
			mean += float64(d.workers[other].inFlight) / size
		}
	}
	return own > meanLoadMargin*max(mean, 0.5)
}
