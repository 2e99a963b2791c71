package balancer

// arrivalsPerProbe is how many requests arrive between two probes. A load report comes only with a probe, and each probe
// has its price.
const arrivalsPerProbe = 2

// loadProbes owns when a worker is probed for its load report.
type loadProbes struct {
	arrivals int // requests so far
	nextAt   int // count of arrivals at which the next probe is due
}

func (p *loadProbes) due() bool { return p.arrivals >= p.nextAt }

// probeNextWorker probes the workers of the ring in turn. Dispatchers begin at different ones.
func (b *Balancer) probeNextWorker() {
	b.loadProbes.nextAt = b.loadProbes.arrivals + arrivalsPerProbe
	next := b.config.position + b.loadProbes.arrivals/arrivalsPerProbe
	b.effects.Probe(b.subsetting.ring[next%len(b.subsetting.ring)])
}
