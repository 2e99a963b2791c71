package proxy

import (
	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// The methods below provide and apply the state that dispatchers exchange while one of them recovers. Workers are
// identified by their IDs, because each dispatcher assigns its own worker numbers.

// Endpoints returns the version of the endpoint list and the workers, indexed by worker number and including workers
// that are gone.
func (p *Proxy) Endpoints() (version int64, endpoints []protocol.Endpoint) {
	contents := p.endpoints.Contents()
	return contents.Version, contents.Endpoints
}

// MergeEndpoints applies more recent starts and drains of workers reported by peers.
func (p *Proxy) MergeEndpoints(endpoints []protocol.Endpoint) {
	p.discovery.MergePeerEndpoints(endpoints)
}

// InFlightByWorker returns the number of attempts that this process has in flight, by worker ID.
func (p *Proxy) InFlightByWorker() map[string]int { return p.inFlightFor(balancer.Successor) }

// inFlightFor returns the number of attempts in flight, by worker ID, excluding those that the sibling process itself
// has reported.
func (p *Proxy) inFlightFor(sibling balancer.SiblingRole) map[string]int {
	byWorker := map[string]int{}
	for _, load := range p.balancer.LoadsForSibling(sibling) {
		byWorker[p.endpoints.Endpoint(load.Worker).ID] = load.InFlight
	}
	return byWorker
}

// ReceiveLoad applies the number of attempts that another dispatcher has in flight at a worker. position is the
// dispatcher's position in Config.Peers. Unknown workers are ignored.
func (p *Proxy) ReceiveLoad(position int, workerID string, inFlight int) {
	if worker, known := p.endpoints.WorkerByID(workerID); known {
		peer := balancer.PeerID(position * p.balancer.Count()) // the dispatcher's first shard
		p.balancer.ReceiveLoad(peer, balancer.WorkerLoad{Worker: worker, InFlight: inFlight})
	}
}
