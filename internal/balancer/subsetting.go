package balancer

import (
	"cmp"
	"math"
	"slices"

	"canvasroute/internal/balancer/sizeinterval"
)

// The subsets of workers that a dispatcher uses in round-robin order: one for each size interval, the union of these,
// and the whole ring.
const (
	allIntervals = sizeinterval.Undivided
	wholeRing    = allIntervals + 1
	subsetCount  = wholeRing + 1
)

// subsetting holds the workers that this dispatcher uses (deterministic subsetting), and their order.
type subsetting struct {
	ring        []WorkerID  // all listed workers ordered by hash, which is the same order at every dispatcher
	ringEntries []ringEntry // buffer for sorting the ring, reused by the next update
	subsets     [subsetCount]subset
}

// subset is an ordered set of workers with a round-robin position. Its index finds workers that may have a free slot
// without visiting all of them. A bit of maybeFree is cleared when the worker at that position is found to accept no
// attempt until its state changes: see persistentExclusion. Each such change sets the bit again. The passage of time,
// which warms a worker up or ends its ejection, never makes a worker available whose bit is cleared.
type subset struct {
	workers    []WorkerID
	roundRobin int      // position at which the next search begins, modulo the number of workers
	positions  []int32  // position in workers by WorkerID, or notInSubset
	maybeFree  []uint64 // one bit per position
	inFlight   int      // sum of the attempts in flight at all workers of the subset
}

const (
	notInSubset = -1
	wordBits    = 64 // bits per word of maybeFree
)

func (s *subset) contains(id WorkerID) bool {
	return int(id) < len(s.positions) && s.positions[id] != notInSubset
}

// reindex rebuilds the index after the set of workers has changed.
func (s *subset) reindex(workers []worker) {
	s.positions = s.positions[:0]
	s.positions = slices.Grow(s.positions, len(workers))[:len(workers)]
	for n := range s.positions {
		s.positions[n] = notInSubset
	}
	s.maybeFree = s.maybeFree[:0]
	for range (len(s.workers) + wordBits - 1) / wordBits {
		s.maybeFree = append(s.maybeFree, math.MaxUint64)
	}
	s.inFlight = 0
	for position, id := range s.workers {
		s.positions[id] = int32(position)
		s.inFlight += workers[id].inFlight
	}
}

// inSubset reports whether a worker is in the subset with the given number.
func (s *subsetting) inSubset(number int, id WorkerID) bool { return s.subsets[number].contains(id) }

// addInFlight adds count, which is negative for ended attempts, to the attempts in flight of each subset with the
// worker.
func (s *subsetting) addInFlight(id WorkerID, count int) {
	for n := range s.subsets {
		if set := &s.subsets[n]; set.contains(id) {
			set.inFlight += count
		}
	}
}

// markMaybeFree sets the bits of a worker that may have a free slot after a change.
func (s *subsetting) markMaybeFree(id WorkerID) {
	for n := range s.subsets {
		if set := &s.subsets[n]; set.contains(id) {
			position := set.positions[id]
			set.maybeFree[position/wordBits] |= 1 << (position % wordBits)
		}
	}
}

// markAllMaybeFree sets all bits, after a change that may free slots on any worker.
func (s *subsetting) markAllMaybeFree() {
	for n := range s.subsets {
		words := s.subsets[n].maybeFree
		for word := range words {
			words[word] = math.MaxUint64
		}
	}
}

// ringEntry is a worker with the hash that determines its position on the ring.
type ringEntry struct {
	hash   uint64
	worker WorkerID
}

// updateRing rebuilds the order of the listed workers.
func (b *Balancer) updateRing() {
	ringEntries := b.subsetting.ringEntries[:0]
	for n := range b.workers {
		if b.workers[n].state != Gone {
			ringEntries = append(ringEntries, ringEntry{hash: b.workers[n].hash, worker: WorkerID(n)})
		}
	}
	slices.SortFunc(ringEntries, func(x, y ringEntry) int { return cmp.Compare(x.hash, y.hash) })
	b.subsetting.ringEntries = ringEntries
	b.subsetting.ring = b.subsetting.ring[:0]
	for _, entry := range ringEntries {
		b.subsetting.ring = append(b.subsetting.ring, entry.worker)
	}
}

// updateSubsets recomputes this dispatcher's subset of each interval's block, which is the whole block if there are few
// dispatchers. It also recomputes which peers have a worker in their subset. Only these peers are sent the worker's
// load, so the cost of gossip does not grow with the number of dispatchers.
func (b *Balancer) updateSubsets() {
	subsets := &b.subsetting.subsets
	union := &subsets[allIntervals]
	union.workers = union.workers[:0]
	subsets[wholeRing].workers = b.subsetting.ring
	for interval := range sizeinterval.Count {
		b.updateIntervalSubset(&subsets[interval], b.intervalBlock(interval))
		union.workers = append(union.workers, subsets[interval].workers...)
	}
	for n := range subsets {
		subsets[n].reindex(b.workers)
	}
}

// intervalBlock returns the workers of a size interval, which are the same at every dispatcher.
func (b *Balancer) intervalBlock(interval int) []WorkerID {
	ring := b.subsetting.ring
	first := len(ring) * interval / sizeinterval.Count
	end := len(ring) * (interval + 1) / sizeinterval.Count
	return ring[first:end]
}

// updateIntervalSubset recomputes this dispatcher's subset of a block. The subset is large enough that each worker has
// at least dispatchersPerWorker dispatchers. It begins at an offset given by this dispatcher's position, and wraps
// around the block.
func (b *Balancer) updateIntervalSubset(own *subset, block []WorkerID) {
	dispatchers := b.config.dispatchers
	size := len(block)
	first := size * b.config.position / dispatchers
	subsetSize := min(size, ceilDiv(size*b.config.dispatchersPerWorker, dispatchers))
	own.workers = own.workers[:0]
	for index, id := range block {
		// The subset of the dispatcher at position p begins at size*p/dispatchers. So these are the first dispatcher whose
		// subset includes this worker, and the first one whose subset begins after it.
		b.workers[id].gossip.subsetDispatchers = dispatcherRange{
			from: ceilDiv((index-subsetSize+1+size)*dispatchers, size),
			to:   ceilDiv((index+1+size)*dispatchers, size),
		}
		if index < subsetSize {
			own.workers = append(own.workers, block[(first+index)%size])
		}
	}
}

// ceilDiv divides non-negative integers, and rounds up.
func ceilDiv(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// dispatcherRange is a range of dispatchers by position, modulo the number of dispatchers.
type dispatcherRange struct {
	from int
	to   int // exclusive
}

func (r dispatcherRange) count() int { return r.to - r.from }
