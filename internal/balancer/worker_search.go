package balancer

import (
	"iter"
	"math/bits"
)

// The searches in this file decide nothing: they find what the rules ask for without going through all workers.

// isFull reports whether a worker cannot be available, at whatever time, until something changes about it.
func (b *Balancer) isFull(id WorkerID) bool { return b.lastingUnavailability(id) != eligible }

// anyAvailable reports whether some worker is available.
func (b *Balancer) anyAvailable() bool {
	ring := &b.subsetting.subsets[wholeRing]
	noneAvailable := b.scan(ring, 0, len(b.subsetting.ring), func(_ int, id WorkerID) bool { return !b.isAvailable(id) })
	return !noneAvailable
}

// maybeFreeWorkers yields the workers of a subset that may have a free slot, with their positions, in round-robin order.
func (b *Balancer) maybeFreeWorkers(among *subset) iter.Seq2[int, WorkerID] {
	return func(yield func(int, WorkerID) bool) {
		size := len(among.workers)
		if size == 0 {
			return
		}
		first := among.roundRobin % size
		if b.scan(among, first, size, yield) {
			b.scan(among, 0, first, yield)
		}
	}
}

// scan yields the positions of a subset from one to another where a slot may be free, and clears the bits of full
// workers. It reports whether it came to the end.
func (b *Balancer) scan(among *subset, from, to int, yield func(int, WorkerID) bool) bool {
	for position := from; position < to; position++ {
		word := &among.maybeFree[position/wordBits]
		left := *word >> (position % wordBits)
		if left == 0 {
			position |= wordBits - 1
			continue
		}
		position += bits.TrailingZeros64(left)
		if position >= to {
			break
		}
		id := among.workers[position]
		if b.isFull(id) {
			*word &^= 1 << (position % wordBits)
			continue
		}
		if !yield(position, id) {
			return false
		}
	}
	return true
}
