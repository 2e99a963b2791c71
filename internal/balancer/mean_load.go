package balancer

import "math"

const (
	// maxMeanLoadRatio is the multiple of a subset's mean load above which a worker is skipped (STAR).
	maxMeanLoadRatio = 2.0
	minMeanLoad      = 0.5 // lower bound of the mean, in attempts

	// roundingTolerance is the distance from the limit below which rounding of the mean may decide the comparison.
	roundingTolerance = 1e-6
)

// exceedsMeanLoad reports whether a worker has more attempts in flight than maxMeanLoadRatio times the mean of a
// subset.
func (b *Balancer) exceedsMeanLoad(candidates *subset, id WorkerID) bool {
	own := float64(b.workers[id].inFlight)
	if own <= maxMeanLoadRatio*minMeanLoad {
		return false
	}
	size := float64(len(candidates.workers))
	mean := float64(candidates.inFlight) / size
	if math.Abs(own-maxMeanLoadRatio*mean) < roundingTolerance {
		mean = b.sumMeanLoad(candidates)
	}
	return own > maxMeanLoadRatio*max(mean, minMeanLoad)
}

// sumMeanLoad computes the mean by adding each worker's share. The mean is defined as this sum, and its rounding
// decides ties.
func (b *Balancer) sumMeanLoad(candidates *subset) (mean float64) {
	size := float64(len(candidates.workers))
	for _, id := range candidates.workers {
		mean += float64(b.workers[id].inFlight) / size
	}
	return mean
}
