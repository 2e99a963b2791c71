package balancer

import "hash/fnv"

// ListExtent says which workers a list of endpoints names.
type ListExtent uint8

// The extents of a list.
const (
	ChangedEndpoints ListExtent = iota // only those that have changed
	AllEndpoints                       // all: a worker that is not named is gone
)

// ListSource says where a list of endpoints comes from.
type ListSource uint8

// The sources of a list.
const (
	FromDiscovery   ListSource = iota // it answers a poll, or comes by the watch that the poll began
	FromBeforeStart                   // it was known before the start, or comes from a peer or the predecessor
)

// UpdateEndpoints takes a list of endpoints.
func (b *Balancer) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	if source == FromDiscovery {
		b.polling.RecordAnswer(b.now)
	} else if len(entries) > 0 {
		b.polling.RecordInitialList(b.now)
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

// ringHash returns the place of a worker on the ring.
func ringHash(workerID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(workerID))
	return hash.Sum64()
}

// recordRestart notes that the list names a new process of the worker. What was known of the one before is void, and the
// new one has to warm up.
func (w *worker) recordRestart(startedAt Time) {
	w.health.RecordRestart()
	w.warmup.recordListedStart(startedAt)
}
