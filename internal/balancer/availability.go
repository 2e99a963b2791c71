package balancer

import (
	"iter"
	"math"
	"math/bits"
)

// The searches in this file decide nothing: they find what the policy asks for without going through all workers.

const (
	// meanLoadMargin is how many times the mean in flight per worker a worker may have before it is passed over (STAR).
	meanLoadMargin = 2.0
	minMeanLoad    = 0.5 // the mean is taken as this at the least

	// loadTolerance is how near to the margin a sum of parts may be rounded to either side of it.
	loadTolerance = 1e-6
)

// isFull tells that a worker cannot be available, at whatever time, until something changes about it.
func (b *Balancer) isFull(id WorkerID) bool {
	worker := &b.workers[id]
	return worker.state != Healthy || worker.unstarted > 0 || worker.consecutiveFailures > 0 && worker.inFlight > 0 ||
		float64(b.load(id)) >= b.roundedSlots(id)
}

// anyAvailable tells whether some worker is available.
func (b *Balancer) anyAvailable() bool {
	ring := &b.subsetting.subsets[wholeRing]
	noneAvailable := b.scan(ring, 0, len(b.subsetting.ring), func(_ int, id WorkerID) bool { return !b.isAvailable(id) })
	return !noneAvailable
}

// maybeFreeWorkers goes through the workers of a subset that may have room, with their positions, from the round-robin
// position on and round.
func (b *Balancer) maybeFreeWorkers(subset *subset) iter.Seq2[int, WorkerID] {
	return func(yield func(int, WorkerID) bool) {
		size := len(subset.workers)
		if size == 0 {
			return
		}
		first := subset.roundRobin % size
		if b.scan(subset, first, size, yield) {
			b.scan(subset, 0, first, yield)
		}
	}
}

// scan goes through the positions of a subset from one to another, and clears those of full workers. It tells whether it
// came to the end.
func (b *Balancer) scan(subset *subset, from, to int, yield func(int, WorkerID) bool) bool {
	for position := from; position < to; position++ {
		word := &subset.maybeFree[position/wordBits]
		left := *word >> (position % wordBits)
		if left == 0 {
			position |= wordBits - 1
			continue
		}
		position += bits.TrailingZeros64(left)
		if position >= to {
			break
		}
		id := subset.workers[position]
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

// exceedsMeanLoad tells whether a worker has more in flight than the margin over the mean of a subset.
func (b *Balancer) exceedsMeanLoad(subset *subset, id WorkerID) bool {
	own := float64(b.workers[id].inFlight)
	if own <= meanLoadMargin*minMeanLoad {
		return false
	}
	size := float64(len(subset.workers))
	mean := float64(subset.inFlight) / size
	if math.Abs(own-meanLoadMargin*mean) < loadTolerance {
		// The mean is defined as a sum of parts, and at a tie its rounding decides: so it is added up here.
		mean = 0
		for _, other := range subset.workers {
			mean += float64(b.workers[other].inFlight) / size
		}
	}
	return own > meanLoadMargin*max(mean, minMeanLoad)
}
