package decide

import (
	"iter"
	"math"
	"math/bits"
)

// The indexes in this file decide nothing: they find what the rules ask for without going through all workers.
// The rules' answers are the same as if they did.

// seats are the places of workers in one part of this dispatcher. A bit tells that the worker at a place may
// have room: it is cleared only once it is known to have none until something changes about it, and set again by
// any such change. Time alone, that warms a worker or ends its rest, never needs a bit that is cleared.
type seats struct {
	place []int32  // by Worker: its place in the part, or none
	maybe []uint64 // by place
	own   int      // forwards out at all of them
}

const noPlace = -1

// index takes up a part that has changed.
func (d *Dispatcher) index(p int) {
	s, part := &d.seats[p], d.parts[p]
	s.place, s.maybe, s.own = s.place[:0], s.maybe[:0], 0
	for range d.hash {
		s.place = append(s.place, noPlace)
	}
	for range (len(part) + 63) / 64 {
		s.maybe = append(s.maybe, math.MaxUint64)
	}
	for n, w := range part {
		s.place[w] = int32(n)
		s.own += d.own[w]
	}
}

// within tells whether a worker is in a part.
func (d *Dispatcher) within(p int, w Worker) bool {
	return int(w) < len(d.seats[p].place) && d.seats[p].place[w] != noPlace
}

// shift counts forwards made or over at a worker.
func (d *Dispatcher) shift(w Worker, by int) {
	d.own[w] += by
	for p := range d.seats {
		if d.within(p, w) {
			d.seats[p].own += by
		}
	}
	if by < 0 {
		d.touch(w)
	}
}

// touch tells that a worker may have room again.
func (d *Dispatcher) touch(w Worker) {
	for p := range d.seats {
		if d.within(p, w) {
			n := d.seats[p].place[w]
			d.seats[p].maybe[n/64] |= 1 << (n % 64)
		}
	}
}

// believe sets the slots of a kind; with more of them all may have room again.
func (d *Dispatcher) believe(k Kind, slots float64) {
	if slots > d.slots[k] {
		for p := range d.seats {
			for n := range d.seats[p].maybe {
				d.seats[p].maybe[n] = math.MaxUint64
			}
		}
	}
	d.slots[k] = slots
}

// full tells that a worker cannot be idle, at whatever time, until something changes about it.
func (d *Dispatcher) full(w Worker) bool {
	return d.state[w] != Healthy || d.waiting[w] > 0 || d.fails[w] > 0 && d.own[w] > 0 ||
		float64(d.load(w)) >= math.Round(d.slots[d.kind[w]])
}

// roomy goes through the workers of a part that may have room, with their places, from its turn on and round.
func (d *Dispatcher) roomy(p int) iter.Seq2[int, Worker] {
	return func(yield func(int, Worker) bool) {
		if n := len(d.parts[p]); n > 0 && d.scan(p, d.turn[p]%n, n, yield) {
			d.scan(p, 0, d.turn[p]%n, yield)
		}
	}
}

// scan goes through the places from one to another, and clears those that are found full.
func (d *Dispatcher) scan(p, from, to int, yield func(int, Worker) bool) bool {
	maybe := d.seats[p].maybe
	for at := from; at < to; at++ {
		left := maybe[at/64] >> (at % 64)
		if left == 0 {
			at |= 63
			continue
		}
		if at += bits.TrailingZeros64(left); at >= to {
			break
		}
		if w := d.parts[p][at]; d.full(w) {
			maybe[at/64] &^= 1 << (at % 64)
		} else if !yield(at, w) {
			return false
		}
	}
	return true
}

// spentSince is what went to a worker within the span, in the order of time, so that what is past is at the front. It
// is kept for warm workers too: one may have restarted, and nobody knows it yet.
func (d *Dispatcher) spentSince(w Worker) []spend {
	s := d.spent[w]
	for len(s) > 0 && s[0].at <= d.now-d.span {
		s = s[1:]
	}
	d.spent[w] = s
	return s
}

// anyIdle tells whether some worker is idle.
func (d *Dispatcher) anyIdle() bool {
	return !d.scan(all, 0, len(d.ring), func(_ int, w Worker) bool { return !d.idle(w) })
}

// tie is how near to the bound a sum of parts may be rounded to either side of it.
const tie = 1e-6

// passedOver tells whether a worker has more in flight than the margin over the mean of its part, where the mean is
// a sum of parts: at a tie with the bound its rounding decides, so there it is added up.
func (d *Dispatcher) passedOver(p int, w Worker) bool {
	own, size := float64(d.own[w]), float64(len(d.parts[p]))
	mean := float64(d.seats[p].own) / size
	if math.Abs(own-passOver*mean) < tie {
		mean = 0
		for _, other := range d.parts[p] {
			mean += float64(d.own[other]) / size
		}
	}
	return own > passOver*max(mean, 0.5)
}
