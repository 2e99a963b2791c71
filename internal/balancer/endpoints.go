package balancer

import "hash/fnv"

// ListExtent tells what a list of endpoints names.
type ListExtent uint8

// The extents of a list.
const (
	ChangedEndpoints ListExtent = iota // only those that have changed
	AllEndpoints                       // all: a worker that is not named is gone
)

// ListSource tells where a list of endpoints comes from.
type ListSource uint8

// The sources of a list.
const (
	FromDiscovery   ListSource = iota // it answers a poll, or comes by the watch that the poll began
	FromBeforeStart                   // it was known before the start, or a peer or the predecessor told it
)

// UpdateEndpoints takes a list of endpoints.
func (b *Balancer) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	if source == FromDiscovery {
		b.discovery.recordAnswer(b.now)
	} else if len(entries) > 0 {
		b.discovery.recordInitialList(b.now, &b.config)
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
		b.zones = append(b.zones, zone{deliveryTime: Duration(b.config.meanObjective / deliveryMargin)})
	}
	worker := &b.workers[entry.Worker]
	if entry.StartedAt > worker.startedAt {
		worker.recordRestart(entry.StartedAt)
		b.warmup.latestStart = max(b.warmup.latestStart, entry.StartedAt)
	}
	hash := fnv.New64a()
	hash.Write([]byte(entry.ID))
	worker.hash = hash.Sum64()
	worker.zone = entry.Zone
	worker.kind = entry.Kind
	worker.cell = entry.Cell
	worker.state = entry.State
}

// recordRestart takes notice that the list tells of a new process: what was known of the one before is void, and it
// has to warm up.
func (w *worker) recordRestart(startedAt Time) {
	w.startedAt = startedAt
	w.earnsCredit = false
	w.possiblyExecuted = false
	w.consecutiveFailures = 0
	w.probeAfter = 0
	if startedAt >= w.exitedAt {
		w.exitedAt = 0
	}
}
