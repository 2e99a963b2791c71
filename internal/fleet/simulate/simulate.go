// Package simulate runs whole fleets through losses of power in one process, without real time. The recovery's state
// machines, the stores and the messages are those of the dispatcher; disks, clocks, network, workers and clients are
// simulated. A seed gives one history. Invariants are checked after each step.
//
// It does not simulate the balancer or the dispatcher's process: the testbed does, in real time.
package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

// Plan is what a history is drawn from.
type Plan struct {
	Dispatchers     int // in the fleet
	Workers         int // that the dispatchers share
	Seed            uint64
	FleetOutageOnly bool // no fault but one loss of power of the whole fleet
}

// Result is what happened in a history.
type Result struct {
	Violations   []string                // of invariants, with the time; the first maxViolations of them
	Events       int                     // that were handled
	Messages     int                     // sent by all dispatchers together
	Bytes        int                     // of these messages
	MaxMessages  int                     // sent by the dispatcher that sent most
	RecoveryTime time.Duration           // from the end of the last fault until the last dispatcher served
	Outages      map[recovery.Outage]int // dispatchers by how much of the fleet was down, at the end
	Repeats      map[string]int          // marked repeats of keys sent before a restart, by what became of them
	FinalPhases  map[recovery.Phase]int  // dispatchers by phase, at the end
}

const (
	dedupWindow       = 10 * time.Second       // in which workers drop the repeats of a key
	warmupDuration    = 12 * time.Second       // from a worker's start until it is warm
	coldCapacityShare = 0.12                   // of a warm worker's capacity that a cold one has
	warmWorkerSlots   = 3                      // requests that a warm worker processes at once
	settleDuration    = 25 * time.Second       // from the last fault to the end of the history
	maxStagger        = 200 * time.Millisecond // between the first starts of dispatchers
	firstRequestAt    = time.Second
	// maxViolations bounds how many violations a result lists: later ones often follow from the first.
	maxViolations = 20
)

// world is the state of one history.
type world struct {
	plan   Plan
	rng    *rand.Rand
	events schedule
	now    time.Duration
	nodes  []*node
	result Result

	network     network
	discoveryUp bool // the discovery service answers
	workers     workerPool
	keys        []sentKey     // in the order of sending
	lastFaultAt time.Duration // when the last fault ends
}

// workerPool is all workers together.
type workerPool struct {
	up          bool
	restarted   bool          // they have lost power and started again
	restartedAt time.Duration // the last time, if restarted
}

// sentKey is a request under a key that was sent to a dedup group.
type sentKey struct {
	sum            uint64
	zone           string        // of the dedup group
	at             time.Duration // when it was sent
	sender         int           // position of the dispatcher
	unknownToPeers bool          // the sender's disk was reset, and no peer can know the key
}

// Run simulates one history.
func Run(plan Plan) Result {
	w := &world{
		plan:        plan,
		rng:         rand.New(rand.NewPCG(plan.Seed, uint64(plan.Dispatchers))),
		discoveryUp: true,
		workers:     workerPool{up: true},
		network:     newNetwork(),
		result: Result{
			Outages:     map[recovery.Outage]int{},
			Repeats:     map[string]int{},
			FinalPhases: map[recovery.Phase]int{},
		},
	}
	for position := range plan.Dispatchers {
		w.nodes = append(w.nodes, &node{world: w, position: position, disk: store.NewMemory()})
	}
	for _, n := range w.nodes {
		w.after(w.between(0, maxStagger), n.start)
	}
	end := w.scheduleFaults() + settleDuration
	w.after(firstRequestAt, w.sendRequests)
	w.runUntil(end)
	w.checkEnd()
	return w.result
}

// runUntil handles all events up to a time.
func (w *world) runUntil(end time.Duration) {
	for {
		next, found := w.events.next()
		if !found || next.at > end {
			return
		}
		w.now = next.at
		w.result.Events++
		next.handle()
	}
}

// at schedules an event, or for now if its time has passed.
func (w *world) at(at time.Duration, handle func()) { w.events.add(max(at, w.now), handle) }

// after schedules an event a while from now.
func (w *world) after(wait time.Duration, handle func()) { w.at(w.now+wait, handle) }

// happens draws whether an event of a probability happens.
func (w *world) happens(probability float64) bool { return w.rng.Float64() < probability }

// between draws a time from low to high, both included.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// capacity returns the workers' present capacity.
func (w *world) capacity() recovery.Capacity {
	warm := warmWorkerSlots * float64(w.plan.Workers)
	if !w.workers.up {
		return recovery.Capacity{Warm: warm}
	}
	share := 1.0
	if age := w.now - w.workers.restartedAt; w.workers.restarted && age < warmupDuration {
		share = coldCapacityShare + (1-coldCapacityShare)*age.Seconds()/warmupDuration.Seconds()
	}
	return recovery.Capacity{Workers: w.plan.Workers, Warm: warm, Current: share * warm}
}

// violation reports that an invariant does not hold.
func (w *world) violation(format string, args ...any) {
	if len(w.result.Violations) < maxViolations {
		text := fmt.Sprintf(format, args...)
		w.result.Violations = append(w.result.Violations, fmt.Sprintf("%v: %s", w.now, text))
	}
}
