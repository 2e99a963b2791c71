package balancer

import (
	"cmp"
	"math"
	"slices"
)

// The subsets of the workers over which a dispatcher goes round: those of each interval of sizes, all of these, and the
// whole ring.
const (
	bothIntervals = intervals + iota
	wholeRing
	subsetCount
)

// subsetting owns which workers this dispatcher uses (deterministic subsetting), and in which order.
type subsetting struct {
	ring    []WorkerID  // all listed workers by hash: the same order at every dispatcher
	places  []ringPlace // of the ring: kept for the next sort
	subsets [subsetCount]subset
}

// subset is an ordered set of workers with a round-robin position. Its index finds workers that may have room without
// going through all of them: a bit of maybeFree is cleared only once the worker at that position is known to have
// no room until something changes about it, and set again by any such change. Time alone, which warms a worker up
// or ends its ejection, never needs a bit that is cleared.
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

// inSubset tells whether a worker is in a subset.
func (s *subsetting) inSubset(subset int, id WorkerID) bool { return s.subsets[subset].contains(id) }

// addInFlight counts attempts that were sent to a worker, or have ended there.
func (s *subsetting) addInFlight(id WorkerID, count int) {
	for n := range s.subsets {
		if subset := &s.subsets[n]; subset.contains(id) {
			subset.inFlight += count
		}
	}
}

// markMaybeFree takes notice of a change after which a worker may have room.
func (s *subsetting) markMaybeFree(id WorkerID) {
	for n := range s.subsets {
		if subset := &s.subsets[n]; subset.contains(id) {
			position := subset.positions[id]
			subset.maybeFree[position/wordBits] |= 1 << (position % wordBits)
		}
	}
}

// markAllMaybeFree takes notice of a change after which any worker may have room.
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

// updateSubsets renews this dispatcher's subset of each interval's block, all of it where dispatchers are few, and the
// peers that have a worker in theirs: they alone are told of it, so that the price of gossip does not grow with the
// number of dispatchers.
func (b *Balancer) updateSubsets() {
	subsets := &b.subsetting.subsets
	ring := b.subsetting.ring
	both := &subsets[bothIntervals]
	both.workers = both.workers[:0]
	subsets[wholeRing].workers = ring
	for interval := range intervals {
		block := ring[len(ring)*interval/intervals : len(ring)*(interval+1)/intervals] // the same at every dispatcher
		b.updateSubsetOf(&subsets[interval], block)
		both.workers = append(both.workers, subsets[interval].workers...)
	}
	for n := range subsets {
		subsets[n].reindex(b.workers)
	}
}

// updateSubsetOf renews this dispatcher's subset of a block: as many workers as give each worker the wanted number of
// dispatchers, from a place by this dispatcher's position on and round.
func (b *Balancer) updateSubsetOf(subset *subset, block []WorkerID) {
	dispatchers := b.config.dispatchers
	size := len(block)
	first := size * b.config.position / dispatchers
	subsetSize := min(size, (size*b.config.dispatchersPerWorker+dispatchers-1)/dispatchers)
	subset.workers = subset.workers[:0]
	for place, id := range block {
		// The first and last dispatcher whose subset, which begins at size*position/dispatchers, reaches this place.
		b.workers[id].subsetPeerRange = [2]int{
			((place-subsetSize+1+size)*dispatchers + size - 1) / size,
			((place+1+size)*dispatchers + size - 1) / size,
		}
		if place < subsetSize {
			subset.workers = append(subset.workers, block[(first+place)%size])
		}
	}
}
