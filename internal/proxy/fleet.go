// Package proxy carries an invocation from its client to workers and back. Where it goes, and when it is
// given up, it picks from the facade of the decisions; what happens it reports there. It decides nothing.
package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// fleet knows the workers by name and by address. A worker keeps its number while this process lives.
type fleet struct {
	zones, kinds map[string]int
	clock        func(unixMs float64) balancer.Time
	log          zerolog.Logger

	mu      sync.Mutex
	numbers map[string]balancer.WorkerID
	workers []worker
	tagged  map[uint16]balancer.WorkerID
	version int64
}

type worker struct {
	tag   uint16
	born  balancer.Time
	entry protocol.Endpoint // as last told, with the last address
}

func (w *worker) gone() bool { return w.entry.State == protocol.Gone }

var listed = map[string]balancer.WorkerState{
	protocol.Ready: balancer.Healthy, protocol.Terminating: balancer.Draining,
	protocol.Gone: balancer.Gone,
}

// stale is an address whose idle connections are of no more use; nor are the others, if they were opened
// before the process was born that is there now.
type stale struct {
	address string
	born    time.Time // zero where the process is the same
}

// take turns a list into the decisions' entries, and tells what it makes stale.
func (f *fleet) take(l *protocol.EndpointList) (entries []balancer.Endpoint, old []stale) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = l.Version
	seen := map[balancer.WorkerID]bool{}
	for _, e := range l.Endpoints {
		n, known := f.numbers[e.ID]
		if !known {
			n = balancer.WorkerID(len(f.workers))
			f.numbers[e.ID] = n
			f.workers = append(f.workers, worker{tag: protocol.Tag(e.ID)})
			f.log.Info().Int("worker", int(n)).Str("host", e.ID).Str("addr", e.Address).Msg("worker named")
			if _, taken := f.tagged[f.workers[n].tag]; !taken {
				f.tagged[f.workers[n].tag] = n
			}
		}
		seen[n] = true
		w, state, was := &f.workers[n], listed[e.State], f.workers[n]
		if e.Address == "" {
			e.Address = was.entry.Address
		}
		w.entry = e
		if e.StartedAtMillis > 0 {
			w.born = max(w.born, f.clock(e.StartedAtMillis))
		}
		switch {
		case was.entry.Address == "":
		case w.born > was.born:
			old = append(old, stale{was.entry.Address, time.UnixMilli(int64(e.StartedAtMillis))})
		case state != balancer.Healthy || e.Address != was.entry.Address:
			old = append(old, stale{address: was.entry.Address})
		}
		if _, known := f.zones[e.Zone]; !known { // not one of those in the settings, nor like any other
			f.zones[e.Zone] = len(f.zones)
		}
		entries = append(entries, balancer.Endpoint{
			Worker: n, ID: e.ID, Zone: balancer.ZoneID(f.zones[e.Zone]),
			Kind: balancer.KindID(f.kinds[e.Kind]), Cell: balancer.CellID(e.Cell), State: state, StartedAt: w.born,
		})
	}
	for n := range f.workers {
		if w := &f.workers[n]; l.Complete && !seen[balancer.WorkerID(n)] && !w.gone() {
			old = append(old, stale{address: w.entry.Address})
			w.entry.State = protocol.Gone
		}
	}
	return entries, old
}

func (f *fleet) address(w balancer.WorkerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[w].entry.Address
}

// takes tells whether a worker may be sent something new, at that address.
func (f *fleet) takes(w balancer.WorkerID, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &f.workers[w].entry
	return e.State == protocol.Ready && e.Address == address
}

func (f *fleet) tag(w balancer.WorkerID) uint16 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[w].tag
}

// id is a worker's name.
func (f *fleet) id(w balancer.WorkerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[w].entry.ID
}

func (f *fleet) byID(id string) (balancer.WorkerID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, known := f.numbers[id]
	return w, known
}

func (f *fleet) byTag(tag uint16) (balancer.WorkerID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.tagged[tag]
	return w, ok
}

// serves tells whether any worker is listed.
func (f *fleet) serves() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.workers, func(w worker) bool { return !w.gone() })
}

func (f *fleet) listVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}
