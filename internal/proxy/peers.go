package proxy

import (
	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// What dispatchers report to each other while one of them recovers. Workers are named by their IDs, as their numbers
// differ.

// Endpoints returns the version of the endpoint list and the workers by their numbers, with those that are gone.
func (p *Proxy) Endpoints() (version int64, endpoints []protocol.Endpoint) {
	contents := p.endpoints.Contents()
	return contents.Version, contents.Endpoints
}

// MergeEndpoints applies later starts and drains of workers that peers have learned.
func (p *Proxy) MergeEndpoints(endpoints []protocol.Endpoint) {
	p.discovery.MergePeerEndpoints(endpoints)
}

// InFlightByWorker returns how many attempts of this process are in flight, by the worker's ID.
func (p *Proxy) InFlightByWorker() map[string]int { return p.inFlightFor(balancer.Successor) }

// inFlightFor returns how many attempts are in flight, by the worker's ID, except those that the sibling process itself
// has reported.
func (p *Proxy) inFlightFor(sibling balancer.SiblingRole) map[string]int {
	byWorker := map[string]int{}
	for _, load := range p.balancer.InFlightFor(sibling) {
		byWorker[p.endpoints.Endpoint(load.Worker).ID] = load.InFlight
	}
	return byWorker
}

// ReceiveLoad applies how many attempts another dispatcher has in flight at a worker. process is the dispatcher's
// position.
func (p *Proxy) ReceiveLoad(process int, workerID string, inFlight int) {
	if worker, known := p.endpoints.WorkerByID(workerID); known {
		peer := balancer.PeerID(process * p.balancer.Count())
		p.balancer.ReceiveLoad(peer, balancer.WorkerLoad{Worker: worker, InFlight: inFlight})
	}
}
