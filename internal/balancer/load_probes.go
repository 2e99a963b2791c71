package balancer

// arrivalsPerProbe is the number of requests that arrive between two probes. Load reports are sent only in response to
// probes, and each probe has a cost.
const arrivalsPerProbe = 2

// loadProbes schedules the probes that request a worker's load report.
type loadProbes struct {
	arrivals    int // requests that have arrived so far
	nextProbeAt int // value of arrivals at which the next probe is due
}

// due reports whether the next probe is due.
func (p *loadProbes) due() bool { return p.arrivals >= p.nextProbeAt }

// probeNextWorker sends a probe to the next worker of the ring in round-robin order. Each dispatcher starts at a
// different worker.
func (b *Balancer) probeNextWorker() {
	b.loadProbes.nextProbeAt = b.loadProbes.arrivals + arrivalsPerProbe
	next := b.config.position + b.loadProbes.arrivals/arrivalsPerProbe
	b.effects.Probe(b.subsetting.ring[next%len(b.subsetting.ring)])
}
