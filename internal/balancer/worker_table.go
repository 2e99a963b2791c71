package balancer

import "canvasroute/internal/balancer/outlier"

// worker is the state of one worker, indexed by WorkerID. The rules for health are in ejection.go and overload.go, those
// for gossip in gossip.go, and those for warmup in warm_up.go, warmup_credit.go and process_exit.go.
type worker struct {
	hash  uint64 // hash of its ID: its position on the ring
	zone  ZoneID
	kind  KindID
	cell  CellID
	state WorkerState

	inFlight  int  // attempts of this dispatcher, including those of a sibling process
	unstarted int  // number of these whose start has not been reported
	notBefore Time // earliest time for the next attempt: see staggerAccess and delayWarmingWorkers

	health outlier.Worker
	gossip workerGossip
	warmup workerWarmup
}

// zone is the state of one failure zone, indexed by ZoneID.
type zone struct {
	health       outlier.Zone
	deliveryTime Duration // mean time until a worker of the zone has received an attempt
}

// load returns the number of attempts in flight at a worker from this dispatcher and from the peers that report it.
func (b *Balancer) load(id WorkerID) int {
	w := &b.workers[id]
	return w.inFlight + max(w.gossip.peerInFlight, 0)
}

// addInFlight adds to the number of attempts in flight at a worker. count is negative if attempts have ended.
func (b *Balancer) addInFlight(id WorkerID, count int) {
	b.workers[id].inFlight += count
	b.subsetting.addInFlight(id, count)
	if count < 0 {
		b.subsetting.markMaybeFree(id)
	}
}

// zoneOf returns the state of the zone of a worker.
func (b *Balancer) zoneOf(id WorkerID) *zone { return &b.zones[b.workers[id].zone] }

// countWorkers returns the number of workers in the endpoint list, and the number of these that are listed as healthy
// but ejected, individually or with their zone.
func (b *Balancer) countWorkers() (listed, ejected int) {
	for _, id := range b.subsetting.ring {
		w := &b.workers[id]
		if w.state == Healthy && (w.health.Ejected(b.now) || b.zoneOf(id).health.Ejected(b.now)) {
			ejected++
		}
	}
	return len(b.subsetting.ring), ejected
}
