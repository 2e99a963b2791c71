package balancer

// Size hints are rough: clients estimate them, and a request may need several times its hint. Each rule that goes by a
// hint allows for that by one of these shares.
const (
	// verifiedPace is the share of its hinted pace at which a success proves that its worker is warm.
	verifiedPace = 0.7

	// hintConfidence is the share of the wait allowed by a hint that is relied on.
	hintConfidence = 0.5

	// stopConfidence is the share of the time left to a process that ends which a hint may fill. What is cut off then
	// may have run.
	stopConfidence = 0.5

	// warmupReserve is the share of a warming worker's budget that is not used where dispatchers divide it. It also
	// covers slots that are less than a core.
	warmupReserve = 0.7
)

// Weights of a new sample in a running mean.
const (
	learningRate     = 0.2
	slowLearningRate = learningRate / 4 // for figures by which requests are compared: they must not follow single ones
)

// sampleWeight returns the weight of a new sample in a mean of some earlier ones: at first each counts alike.
func sampleWeight(earlier int) float64 { return max(slowLearningRate, 1/float64(1+earlier)) }
