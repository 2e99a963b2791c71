package balancer

// arrivalsPerProbe is how many requests arrive between two probes: a load report comes only with a probe, and each
// probe has its price.
const arrivalsPerProbe = 2

// loadProbes owns when a worker is probed for its load report.
type loadProbes struct {
	arrivals int // requests so far
	nextAt   int // count of arrivals at which the next probe is due
}

func (b *Balancer) probeNextWorker() {
	b.loadProbes.nextAt = b.loadProbes.arrivals + arrivalsPerProbe
	turn := b.config.position + b.loadProbes.arrivals/arrivalsPerProbe
	b.effects.Probe(b.subsetting.ring[turn%len(b.subsetting.ring)])
}
