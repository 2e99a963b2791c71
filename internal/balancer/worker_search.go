package balancer

import (
	"iter"
	"math/bits"
)

// The searches in this file make no policy decisions: they find candidates without visiting all workers.

// isPersistentlyUnavailable reports whether a worker cannot become available until its state changes, however much time
// passes.
func (b *Balancer) isPersistentlyUnavailable(id WorkerID) bool {
	return b.persistentExclusion(id) != eligible
}

// anyAvailable reports whether at least one worker is available.
func (b *Balancer) anyAvailable() bool {
	ring := &b.subsetting.subsets[wholeRing]
	noneAvailable := b.scanMaybeFree(ring, 0, len(b.subsetting.ring), func(_ int, id WorkerID) bool {
		return !b.isAvailable(id)
	})
	return !noneAvailable
}

// maybeFreeWorkers yields the workers of a subset that may have a free slot, with their positions, in round-robin
// order.
func (b *Balancer) maybeFreeWorkers(candidates *subset) iter.Seq2[int, WorkerID] {
	return func(yield func(int, WorkerID) bool) {
		size := len(candidates.workers)
		if size == 0 {
			return
		}
		first := candidates.roundRobin % size
		if b.scanMaybeFree(candidates, first, size, yield) {
			b.scanMaybeFree(candidates, 0, first, yield)
		}
	}
}

// scanMaybeFree yields the workers in the position range [from, to) of a subset that may have a free slot, with their
// positions. It clears the bits of workers that are persistently unavailable, and reports whether it reached the end.
func (b *Balancer) scanMaybeFree(candidates *subset, from, to int, yield func(int, WorkerID) bool) bool {
	for position := from; position < to; position++ {
		word := &candidates.maybeFree[position/wordBits]
		remaining := *word >> (position % wordBits)
		if remaining == 0 {
			position |= wordBits - 1
			continue
		}
		position += bits.TrailingZeros64(remaining)
		if position >= to {
			break
		}
		id := candidates.workers[position]
		if b.isPersistentlyUnavailable(id) {
			*word &^= 1 << (position % wordBits)
			continue
		}
		if !yield(position, id) {
			return false
		}
	}
	return true
}
