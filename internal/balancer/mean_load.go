package balancer

import "math"

const (
	// meanLoadMargin is how many times the mean in flight per worker a worker may have before it is passed over (STAR).
	meanLoadMargin = 2.0
	minMeanLoad    = 0.5 // the mean is taken as this at the least, in attempts

	// loadTolerance is how near to the margin a sum of parts may be rounded to either side of it.
	loadTolerance = 1e-6
)

// exceedsMeanLoad reports whether a worker has more in flight than the margin over the mean of a subset.
func (b *Balancer) exceedsMeanLoad(among *subset, id WorkerID) bool {
	own := float64(b.workers[id].inFlight)
	if own <= meanLoadMargin*minMeanLoad {
		return false
	}
	size := float64(len(among.workers))
	mean := float64(among.inFlight) / size
	if math.Abs(own-meanLoadMargin*mean) < loadTolerance {
		mean = b.meanLoadByParts(among)
	}
	return own > meanLoadMargin*max(mean, minMeanLoad)
}

// meanLoadByParts adds up the mean worker by worker. The mean is defined as this sum, and its rounding decides at a tie.
func (b *Balancer) meanLoadByParts(among *subset) (mean float64) {
	size := float64(len(among.workers))
	for _, id := range among.workers {
		mean += float64(b.workers[id].inFlight) / size
	}
	return mean
}
