package worker

import (
	"fmt"
	"sync"
	"time"

	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/workload"
)

// Config is the configuration that all workers of a fleet share.
type Config struct {
	Warmup      Warmup
	IdleTimeout time.Duration // a connection that receives no message for this long is closed
	StartNotes  bool          // workers write a response line when a job starts
	Progress    bool          // workers write a response line when half of a job is done
	Probes      bool          // workers respond to health checks and load requests
	Instant     bool          // jobs complete immediately, to measure the dispatcher's own cost
}

// DedupConfig configures how workers deduplicate an operation.
type DedupConfig struct {
	Scope  string        // workload.ScopeAll, ScopeZone or ScopeCell; "" if the operation is not deduplicated
	Window time.Duration // dedup window, from the start of the first job
}

// Fleet holds all workers of an experiment and their shared state.
type Fleet struct {
	config     Config
	operations []DedupConfig // by operation index
	history    *history.Log
	clock      func() time.Duration // returns the time since the start of the experiment
	onOverload func(worker int)     // called when a worker has crashed by overload; may be nil

	mu          sync.Mutex
	dedupGroups map[string]*DedupGroup // by operation and zone or cell
	servers     []*Server              // by index
	goroutines  sync.WaitGroup         // goroutines of all workers
}

// NewFleet returns an empty fleet. clock returns the time since the start of the experiment. onOverload, unless nil, is
// called in a separate goroutine when a warming-up worker has crashed because it was sent more work than its warm-up
// budget.
func NewFleet(config Config, operations []DedupConfig, log *history.Log, clock func() time.Duration,
	onOverload func(worker int),
) *Fleet {
	return &Fleet{
		config: config, operations: operations, history: log, clock: clock, onOverload: onOverload,
		dedupGroups: map[string]*DedupGroup{},
	}
}

// Add adds a worker, which is down until it is started. The worker listens on a separate address for each dispatcher.
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

// dedupGroup returns the dedup group of a worker for an operation, or nil if the operation is not deduplicated.
func (f *Fleet) dedupGroup(operation int, s *Server) *DedupGroup {
	config := f.operations[operation]
	name := fmt.Sprint(operation, "/")
	switch config.Scope {
	case "":
		return nil
	case workload.ScopeZone:
		name += fmt.Sprint("zone ", s.zone)
	case workload.ScopeCell:
		name += fmt.Sprint("cell ", s.cell)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	dedupGroup := f.dedupGroups[name]
	if dedupGroup == nil {
		dedupGroup = NewDedupGroup(config.Window)
		f.dedupGroups[name] = dedupGroup
	}
	return dedupGroup
}

// Close crashes all workers and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Crash()
	}
	f.goroutines.Wait()
}
