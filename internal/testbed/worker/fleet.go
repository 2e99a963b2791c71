package worker

import (
	"fmt"
	"sync"
	"time"

	"canvasroute/internal/testbed/history"
)

// Config is what all workers of a fleet have in common.
type Config struct {
	Warmup      Warmup
	IdleTimeout time.Duration // after which a connection without a message is closed
	StartNotes  bool          // workers write a line when a job starts
	Progress    bool          // workers write a line when half of a job is done
	Probes      bool
	Instant     bool // jobs take no time, to measure the dispatcher alone
}

// Deduplication is how workers deduplicate an operation.
type Deduplication struct {
	Scope  string // all, zone or cell; "" for none
	Window time.Duration
}

// Fleet is all workers and what they share.
type Fleet struct {
	config     Config
	operations []Deduplication
	history    *history.Log
	clock      func() time.Duration
	overloaded func(worker int)

	mu      sync.Mutex
	groups  map[string]*DedupGroup
	servers []*Server
	running sync.WaitGroup
}

// NewFleet returns an empty fleet. clock returns the time since the start of the experiment. overloaded is called, in a
// goroutine of its own, when a warming-up worker has crashed because it was sent too much work.
func NewFleet(config Config, operations []Deduplication, log *history.Log, clock func() time.Duration,
	overloaded func(worker int),
) *Fleet {
	return &Fleet{
		config: config, operations: operations, history: log, clock: clock, overloaded: overloaded,
		groups: map[string]*DedupGroup{},
	}
}

// Add adds a worker, which is down until Start.
func (f *Fleet) Add(name string, kind Kind, zone, cell, dispatchers int) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Server{
		fleet: f, index: len(f.servers), name: name, kind: kind, zone: zone, cell: cell, speed: 1,
		addresses: make([]string, dispatchers),
	}
	f.servers = append(f.servers, s)
	return s
}

func (f *Fleet) group(operation int, s *Server) *DedupGroup {
	d := f.operations[operation]
	key := fmt.Sprint(operation, "/")
	switch d.Scope {
	case "":
		return nil
	case "zone":
		key += fmt.Sprint("zone ", s.zone)
	case "cell":
		key += fmt.Sprint("cell ", s.cell)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[key]
	if g == nil {
		g = NewDedupGroup(d.Window)
		f.groups[key] = g
	}
	return g
}

// Close crashes all workers and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Crash()
	}
	f.running.Wait()
}
