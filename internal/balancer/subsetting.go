package balancer

import (
	"cmp"
	"math"
	"slices"

	"canvasroute/internal/balancer/sizeinterval"
)

// The subsets of the workers over which a dispatcher goes in round-robin order: those of each interval of sizes, all of
// these, and the whole ring.
const (
	allIntervals = sizeinterval.Undivided
	wholeRing    = allIntervals + 1
	subsetCount  = wholeRing + 1
)

// subsetting owns which workers this dispatcher uses (deterministic subsetting), and in which order.
type subsetting struct {
	ring    []WorkerID  // all listed workers by hash: the same order at every dispatcher
	places  []ringPlace // of the ring: kept for the next sort
	subsets [subsetCount]subset
}

// subset is an ordered set of workers with a round-robin position. Its index finds workers that may have a free slot
// without going through all of them. A bit of maybeFree is cleared once the worker at that position is known to have
// no free slot until something changes about it. Any such change sets the bit again. Passing time, which
// warms a worker up or ends its ejection, never frees a worker whose bit is cleared.
type subset struct {
	workers    []WorkerID
	roundRobin int      // position at which the next pick begins, modulo the number of workers
	positions  []int32  // by WorkerID: its position in workers, or notInSubset
	maybeFree  []uint64 // bits by position
	inFlight   int      // attempts in flight at all of them
}

const (
	notInSubset = -1
	wordBits    = 64 // of maybeFree
)

func (s *subset) contains(id WorkerID) bool {
	return int(id) < len(s.positions) && s.positions[id] != notInSubset
}

// reindex renews the index after the set has changed.
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

// inSubset reports whether a worker is in the subset with a number.
func (s *subsetting) inSubset(number int, id WorkerID) bool { return s.subsets[number].contains(id) }

// addInFlight counts attempts that were sent to a worker, or have ended there.
func (s *subsetting) addInFlight(id WorkerID, count int) {
	for n := range s.subsets {
		if among := &s.subsets[n]; among.contains(id) {
			among.inFlight += count
		}
	}
}

// markMaybeFree sets the bits of a worker that may have a free slot after a change.
func (s *subsetting) markMaybeFree(id WorkerID) {
	for n := range s.subsets {
		if among := &s.subsets[n]; among.contains(id) {
			position := among.positions[id]
			among.maybeFree[position/wordBits] |= 1 << (position % wordBits)
		}
	}
}

// markAllMaybeFree sets all bits, after a change that may free slots at any worker.
func (s *subsetting) markAllMaybeFree() {
	for n := range s.subsets {
		words := s.subsets[n].maybeFree
		for word := range words {
			words[word] = math.MaxUint64
		}
	}
}

// ringPlace is a worker with its place on the ring.
type ringPlace struct {
	hash   uint64
	worker WorkerID
}

// updateRing renews the order of the listed workers.
func (b *Balancer) updateRing() {
	places := b.subsetting.places[:0]
	for n := range b.workers {
		if b.workers[n].state != Gone {
			places = append(places, ringPlace{hash: b.workers[n].hash, worker: WorkerID(n)})
		}
	}
	slices.SortFunc(places, func(x, y ringPlace) int { return cmp.Compare(x.hash, y.hash) })
	b.subsetting.places = places
	b.subsetting.ring = b.subsetting.ring[:0]
	for _, place := range places {
		b.subsetting.ring = append(b.subsetting.ring, place.worker)
	}
}

// updateSubsets renews this dispatcher's subset of each interval's block, which is all of the block where dispatchers
// are few. It also renews which peers have a worker in theirs. They alone are sent its load, so the price of gossip does
// not grow with the number of dispatchers.
func (b *Balancer) updateSubsets() {
	subsets := &b.subsetting.subsets
	union := &subsets[allIntervals]
	union.workers = union.workers[:0]
	subsets[wholeRing].workers = b.subsetting.ring
	for interval := range sizeinterval.Count {
		b.updateSubsetOf(&subsets[interval], b.blockOf(interval))
		union.workers = append(union.workers, subsets[interval].workers...)
	}
	for n := range subsets {
		subsets[n].reindex(b.workers)
	}
}

// blockOf returns the workers of an interval of sizes, the same at every dispatcher.
func (b *Balancer) blockOf(interval int) []WorkerID {
	ring := b.subsetting.ring
	first := len(ring) * interval / sizeinterval.Count
	end := len(ring) * (interval + 1) / sizeinterval.Count
	return ring[first:end]
}

// updateSubsetOf renews this dispatcher's subset of a block. It holds as many workers as give each worker the wanted
// number of dispatchers. It begins at a place by this dispatcher's position, and goes round the block.
func (b *Balancer) updateSubsetOf(own *subset, block []WorkerID) {
	dispatchers := b.config.dispatchers
	size := len(block)
	first := size * b.config.position / dispatchers
	subsetSize := min(size, divideUp(size*b.config.dispatchersPerWorker, dispatchers))
	own.workers = own.workers[:0]
	for index, id := range block {
		// The subset of the dispatcher at position p begins at size*p/dispatchers. So these are the first dispatcher
		// whose subset reaches this worker, and the first one whose subset begins behind it.
		b.workers[id].gossip.peers = peerRange{
			from: divideUp((index-subsetSize+1+size)*dispatchers, size),
			to:   divideUp((index+1+size)*dispatchers, size),
		}
		if index < subsetSize {
			own.workers = append(own.workers, block[(first+index)%size])
		}
	}
}

// divideUp divides numbers that are not negative, and rounds up.
func divideUp(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// peerRange is a range of dispatchers by position, modulo their number.
type peerRange struct {
	from int
	to   int // not in the range
}

func (r peerRange) count() int { return r.to - r.from }
