// Package simulate runs the power-loss recovery of whole fleets in one process, in simulated time. It uses the recovery
// state machine, the store and the messages of the dispatcher, and simulates disks, clocks, network, workers and
// clients. A seed determines one history, which is one run of a fleet. Invariants are checked during the run.
//
// It does not simulate the balancer or the dispatcher's process. The testbed tests those in real time.
package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

// Plan holds the parameters of a history.
type Plan struct {
	Dispatchers     int // in the fleet
	Workers         int // shared by the dispatchers
	Seed            uint64
	FleetOutageOnly bool // the only fault is one power loss of the whole fleet
}

// Result holds the violations and statistics of a history.
type Result struct {
	Violations   []string                // of invariants, each with its time; at most maxViolations
	Events       int                     // number of events handled
	Messages     int                     // number of messages sent by all dispatchers
	Bytes        int                     // total size of these messages
	MaxMessages  int                     // highest number of messages sent by one dispatcher
	RecoveryTime time.Duration           // from the end of the last fault until the last dispatcher serves
	Outages      map[recovery.Outage]int // number of dispatchers by their final outage classification
	Repeats      map[string]int          // marked retries of requests sent before a restart, by outcome
	FinalPhases  map[recovery.Phase]int  // number of dispatchers by their final phase
}

const (
	dedupWindow       = 10 * time.Second       // duration for which workers drop repeats of a key
	warmupDuration    = 12 * time.Second       // from a worker's start until it is warm
	coldCapacityShare = 0.12                   // capacity of a cold worker as a share of a warm worker's
	warmWorkerSlots   = 3                      // requests that a warm worker processes at once
	settleDuration    = 25 * time.Second       // from the last fault to the end of the history
	maxStartDelay     = 200 * time.Millisecond // maximum delay of the first start of a dispatcher
	firstRequestAt    = time.Second
	// maxViolations limits the violations in a result, because later ones are often consequences of the first.
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
	discoveryUp bool // the discovery service is reachable
	workers     workerPool
	keys        []sentKey     // in the order in which they were sent
	lastFaultAt time.Duration // when the last fault ends
}

// workerPool is the state of all workers, which lose power and restart together.
type workerPool struct {
	up          bool
	restarted   bool          // the workers have restarted after a power loss
	restartedAt time.Duration // time of the last restart, if restarted
}

// sentKey records a request with a key that was sent to a dedup group.
type sentKey struct {
	sum            uint64
	zone           string        // zone of the dedup group
	sentAt         time.Duration // time at which it was sent
	sender         int           // position of the dispatcher
	unknownToPeers bool          // the sender's disk was reset, and no peer has received the key
}

// Run simulates one history and returns its result.
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
		w.after(w.drawDuration(0, maxStartDelay), n.start)
	}
	end := w.scheduleFaults() + settleDuration
	w.after(firstRequestAt, w.sendRequests)
	w.runUntil(end)
	w.checkFinalState()
	return w.result
}

// runUntil handles all events up to the given time.
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

// at schedules an event for the given time, or for now if that time has passed.
func (w *world) at(at time.Duration, handle func()) { w.events.add(max(at, w.now), handle) }

// after schedules an event after a delay.
func (w *world) after(delay time.Duration, handle func()) { w.at(w.now+delay, handle) }

// drawBool returns true with the given probability.
func (w *world) drawBool(probability float64) bool { return w.rng.Float64() < probability }

// drawDuration returns a random duration from low to high, inclusive.
func (w *world) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// capacity returns the current capacity of the workers.
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

// reportViolation adds a violated invariant to the result, unless the result already has maxViolations.
func (w *world) reportViolation(format string, args ...any) {
	if len(w.result.Violations) < maxViolations {
		text := fmt.Sprintf(format, args...)
		w.result.Violations = append(w.result.Violations, fmt.Sprintf("%v: %s", w.now, text))
	}
}
