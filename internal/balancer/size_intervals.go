package balancer

import "slices"

const (
	intervals       = 2   // intervals of sizes that hold the same work, each with its own block of workers
	maxSample       = 128 // size hints behind the cut points: older ones drop out
	minSample       = 50  // size hints before there are cut points
	cutPointUpdates = 8   // per full sample
)

// sizeIntervals owns the sample of size hints, and the cut points that part sizes into intervals of equal work (STAR).
type sizeIntervals struct {
	sample    []Work
	sampled   int    // hints so far
	median    Work   // of the sample: taken for requests without a hint
	total     Work   // of the sample as the cut points were set
	cutPoints []Work // lower bounds of all intervals but the first
}

// observe adds a size hint to the sample, and tells whether new cut points are due.
func (s *sizeIntervals) observe(size Work) (due bool) {
	s.sample = append(s.sample, size)
	s.sample = s.sample[max(0, len(s.sample)-maxSample):]
	s.sampled++
	return s.sampled%(maxSample/cutPointUpdates) == 0 || s.sampled == minSample
}

// update sets the cut points so that each interval of the sample holds the same work.
func (s *sizeIntervals) update() {
	sorted := slices.Sorted(slices.Values(s.sample))
	total := Work(0)
	for _, size := range sorted {
		total += size
	}
	s.median = sorted[len(sorted)/2]
	s.total = total
	s.cutPoints = s.cutPoints[:0]
	if s.sampled < minSample {
		return
	}
	smaller := Work(0)
	for _, size := range sorted {
		next := len(s.cutPoints) + 1
		if next < intervals && smaller*intervals >= total*Work(next) {
			s.cutPoints = append(s.cutPoints, size)
		}
		smaller += size
	}
}

// interval is the one that a size is in, or bothIntervals while there are no cut points.
func (s *sizeIntervals) interval(size Work) int {
	if len(s.cutPoints) == 0 {
		return bothIntervals
	}
	interval, _ := slices.BinarySearch(s.cutPoints, size+1)
	return interval
}

// observeSize takes in the size of a request, and returns the median where there is no hint.
func (b *Balancer) observeSize(size Work) Work {
	if size <= 0 {
		return b.sizes.median
	}
	if b.sizes.observe(size) {
		b.updateCutPoints()
	}
	return size
}

// updateCutPoints renews the cut points and what depends on them.
func (b *Balancer) updateCutPoints() {
	b.sizes.update()
	b.gossip.setResendInterval(b.sizes.total, len(b.sizes.sample))
	b.pending.sort(b.comparePriority)
}
