package worker

import (
	"fmt"
	"sync"
	"time"

	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/workload"
)

// Config is what all workers of a fleet have in common.
type Config struct {
	Warmup      Warmup
	IdleTimeout time.Duration // after which a connection without a message is closed
	StartNotes  bool          // workers write a line when a job starts
	Progress    bool          // workers write a line when half of a job is done
	Probes      bool          // workers answer health checks and requests for their load
	Instant     bool          // jobs take no time, to measure the dispatcher alone
}

// Deduplication is how workers deduplicate an operation.
type Deduplication struct {
	Scope  string        // workload.ScopeAll, ScopeZone or ScopeCell; "" for none
	Window time.Duration // from the start of the first job
}

// Fleet is all workers and what they share.
type Fleet struct {
	config     Config
	operations []Deduplication // by index of the operation
	history    *history.Log
	clock      func() time.Duration // returns the time since the start of the experiment
	overloaded func(worker int)     // called when a worker has crashed by overload; nil: nobody is notified

	mu      sync.Mutex
	groups  map[string]*DedupGroup // by operation and scope
	servers []*Server              // by index
	running sync.WaitGroup         // goroutines of all workers
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

// Add adds a worker, which is down until it is started. It has an address for each of a number of dispatchers.
func (f *Fleet) Add(name string, kind Kind, zone, cell, dispatchers int) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Server{
		fleet:     f,
		index:     len(f.servers),
		name:      name,
		kind:      kind,
		zone:      zone,
		cell:      cell,
		speed:     1,
		addresses: make([]string, dispatchers),
	}
	f.servers = append(f.servers, s)
	return s
}

// group returns the dedup group of an operation that a worker belongs to, nil if the operation is not deduplicated.
func (f *Fleet) group(operation int, s *Server) *DedupGroup {
	deduplication := f.operations[operation]
	name := fmt.Sprint(operation, "/")
	switch deduplication.Scope {
	case "":
		return nil
	case workload.ScopeZone:
		name += fmt.Sprint("zone ", s.zone)
	case workload.ScopeCell:
		name += fmt.Sprint("cell ", s.cell)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	group := f.groups[name]
	if group == nil {
		group = NewDedupGroup(deduplication.Window)
		f.groups[name] = group
	}
	return group
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
