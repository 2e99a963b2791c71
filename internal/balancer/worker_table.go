package balancer

import "canvasroute/internal/balancer/outlier"

// worker is all that is known of one worker, by WorkerID. health is changed by ejection.go and overload.go, gossip by
// gossip.go, and warmup by warm_up.go, warmup_credit.go and process_exit.go.
type worker struct {
	hash  uint64 // of its ID: its place on the ring
	zone  ZoneID
	kind  KindID
	cell  CellID
	state WorkerState

	inFlight  int  // attempts from here, those of a sibling process included
	unstarted int  // of these, attempts whose start has not been reported
	notBefore Time // no attempt before: it is another dispatcher's turn

	health outlier.Worker
	gossip workerGossip
	warmup workerWarmup
}

// zone is what attempts have shown of a failure zone, by ZoneID.
type zone struct {
	health       outlier.Zone
	deliveryTime Duration // mean time until a worker there has received an attempt
}

// load returns the attempts in flight at a worker, from here and from the peers that report it.
func (b *Balancer) load(id WorkerID) int {
	w := &b.workers[id]
	return w.inFlight + max(w.gossip.peerInFlight, 0)
}

// addInFlight counts attempts that were sent to a worker, or have ended there.
func (b *Balancer) addInFlight(id WorkerID, count int) {
	b.workers[id].inFlight += count
	b.subsetting.addInFlight(id, count)
	if count < 0 {
		b.subsetting.markMaybeFree(id)
	}
}

// zoneOf returns what attempts have shown of a worker's zone.
func (b *Balancer) zoneOf(id WorkerID) *zone { return &b.zones[b.workers[id].zone] }

// countWorkers returns the number of listed workers, and of those that are healthy by the list but ejected, themselves
// or with their zone.
func (b *Balancer) countWorkers() (listed, ejected int) {
	for _, id := range b.subsetting.ring {
		w := &b.workers[id]
		if w.state == Healthy && (w.health.Ejected(b.now) || b.zoneOf(id).health.Ejected(b.now)) {
			ejected++
		}
	}
	return len(b.subsetting.ring), ejected
}
