// Package sizeinterval divides the sizes of requests into intervals of equal work.
//
// It is the first half of the STAR rule (size-based task assignment by intervals with round-robin). Each interval has
// its own workers, so small requests do not wait behind large ones. The cut points are computed from a sample of recent
// sizes.
package sizeinterval

import (
	"slices"

	"canvasroute/internal/balancer/tick"
)

const (
	// Count is the number of intervals. Each has its own block of workers.
	Count = 2
	// Undivided is the result of IntervalOf while there are no cut points; no interval has this number.
	Undivided = Count

	// MaxSample is the number of most recent sizes from which the cut points are computed.
	MaxSample = 128
	// MinSample is the number of observed sizes required for cut points.
	MinSample = 50
	// updatesPerSample is how often the cut points are updated while a full sample is replaced.
	updatesPerSample = 8
)

// Intervals holds a sample of sizes and the cut points computed from it. The zero value has an empty sample.
type Intervals struct {
	sample    []tick.Work
	observed  int // number of sizes since the start
	median    tick.Work
	total     tick.Work   // total work of the sample at the last Update
	cutPoints []tick.Work // lower bounds of all intervals but the first
}

// Observe adds a size to the sample, and reports whether Update is due.
func (s *Intervals) Observe(size tick.Work) (updateDue bool) {
	s.sample = append(s.sample, size)
	s.sample = s.sample[max(0, len(s.sample)-MaxSample):]
	s.observed++
	return s.observed%(MaxSample/updatesPerSample) == 0 || s.observed == MinSample
}

// Update computes the cut points so that each interval holds the same share of the sample's work. The sample must not
// be empty.
func (s *Intervals) Update() {
	sorted := slices.Sorted(slices.Values(s.sample))
	s.total = 0
	for _, size := range sorted {
		s.total += size
	}
	s.median = sorted[len(sorted)/2]
	s.cutPoints = s.cutPoints[:0]
	if s.observed >= MinSample {
		s.setCutPoints(sorted)
	}
}

func (s *Intervals) setCutPoints(sorted []tick.Work) {
	smaller := tick.Work(0) // total work of the preceding, smaller sizes
	for _, size := range sorted {
		next := len(s.cutPoints) + 1
		if next < Count && smaller*Count >= s.total*tick.Work(next) {
			s.cutPoints = append(s.cutPoints, size)
		}
		smaller += size
	}
}

// IntervalOf returns the number of the interval that contains a size, or Undivided while there are no cut points.
func (s *Intervals) IntervalOf(size tick.Work) int {
	if len(s.cutPoints) == 0 {
		return Undivided
	}
	interval, _ := slices.BinarySearch(s.cutPoints, size+1) // a size equal to a cut point is in the upper interval
	return interval
}

// Median returns the median size of the sample at the last Update, or 0 before the first one.
func (s *Intervals) Median() tick.Work { return s.median }

// CutPoints returns the lower bounds of all intervals but the first, or none before MinSample sizes have been observed.
func (s *Intervals) CutPoints() []tick.Work { return s.cutPoints }

// SampleTotal returns the total work of the sample at the last Update.
func (s *Intervals) SampleTotal() tick.Work { return s.total }

// Sample returns the sizes that the next Update will use, oldest first. The caller must not modify them.
func (s *Intervals) Sample() []tick.Work { return s.sample }

// Observed returns the number of sizes observed since the start, including those of a restored sample.
func (s *Intervals) Observed() int { return s.observed }

// Restore replaces the sample with an earlier one, and the number of observed sizes with the number at the time of that
// sample. Update is then due unless the sample is empty.
func (s *Intervals) Restore(sample []tick.Work, observed int) {
	s.sample = sample
	s.observed = observed
}
