package balancer

import "hash/fnv"

// ListExtent specifies which workers an endpoint list contains.
type ListExtent uint8

// The extents of an endpoint list.
const (
	ChangedEndpoints ListExtent = iota // only changed workers
	AllEndpoints                       // all workers: a worker that is not contained is gone
)

// ListSource specifies the origin of an endpoint list.
type ListSource uint8

// The sources of an endpoint list.
const (
	FromDiscovery    ListSource = iota // the response to a poll, or an update of the watch that the poll started
	NotFromDiscovery                   // known from before the start, or received from a peer or the predecessor
)

// UpdateEndpoints applies an endpoint list.
func (b *Balancer) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	if source == FromDiscovery {
		b.polling.RecordAnswer(b.now)
	} else if len(entries) > 0 {
		b.polling.RecordNonDiscoveryList(b.now)
	}
	if extent == AllEndpoints {
		for n := range b.workers {
			b.workers[n].state = Gone
		}
	}
	for n := range entries {
		b.updateEndpoint(&entries[n])
	}
	b.updateRing()
	b.updateSubsets()
	b.due.capacityChanged = true
}

func (b *Balancer) updateEndpoint(entry *Endpoint) {
	for int(entry.Worker) >= len(b.workers) {
		b.workers = append(b.workers, worker{state: Gone})
	}
	for int(entry.Zone) >= len(b.zones) {
		b.zones = append(b.zones, zone{deliveryTime: b.config.initialDeliveryTime()})
	}
	w := &b.workers[entry.Worker]
	if entry.StartedAt > w.warmup.startedAt {
		w.recordRestart(entry.StartedAt)
		b.warmup.latestStart = max(b.warmup.latestStart, entry.StartedAt)
	}
	w.hash = ringHash(entry.ID)
	w.zone = entry.Zone
	w.kind = entry.Kind
	w.cell = entry.Cell
	w.state = entry.State
}

// ringHash returns the position of a worker on the ring.
func ringHash(workerID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(workerID))
	return hash.Sum64()
}

// recordRestart records that the endpoint list contains a new process of the worker. It discards the state of the
// previous process, and the new one has to warm up.
func (w *worker) recordRestart(startedAt Time) {
	w.health.RecordRestart()
	w.warmup.recordListedStart(startedAt)
}
