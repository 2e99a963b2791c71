package balancer

// Size hints are rough: clients estimate them, and a request may need several times its hint. Each rule that relies on
// a hint applies one of these shares as an allowance.
const (
	// verifiedPace is the share of the pace implied by its hint that a successful attempt must reach to prove that its
	// worker is warm.
	verifiedPace = 0.7

	// hintConfidence is the share of the slack implied by a hint (operation.slack times the size) that is relied on: a
	// request may wait at a worker for this much longer than its latest start before it is rejected.
	hintConfidence = 0.5

	// stopConfidence is the share of the time left until the process exits that a request may need according to its hint.
	// A request that is interrupted by the exit may have run.
	stopConfidence = 0.5

	// warmupReserve is the share of a warming worker's budget that is left unused if dispatchers divide the budget. It
	// also covers slots that are smaller than a core.
	warmupReserve = 0.7
)

// Weights of a new sample in a running mean.
const (
	learningRate     = 0.2
	slowLearningRate = learningRate / 4 // for statistics that rank requests, which single samples must not change
)

// sampleWeight returns the weight of a new sample in a running mean of earlier ones. The first samples are weighted
// equally.
func sampleWeight(earlier int) float64 { return max(slowLearningRate, 1/float64(1+earlier)) }
