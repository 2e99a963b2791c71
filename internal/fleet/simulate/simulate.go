// Package simulate runs whole fleets through losses of power in one process, without real time. The recovery's state
// machines, the stores and the messages are those of the dispatcher; disks, clocks, network, workers and clients are
// simulated. A seed gives one history. Invariants are checked after each step.
//
// It does not simulate the balancer or the dispatcher's process: package lab does, in real time.
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
	Dispatchers, Workers int
	Seed                 uint64
	FleetOutageOnly      bool // no fault but one loss of power of the whole fleet
}

// Result is what happened in a history.
type Result struct {
	Violations   []string // of invariants, with the time; the first maxViolations of them
	Events       int
	Messages     int           // of all dispatchers together
	Bytes        int           // of all dispatchers together
	MaxMessages  int           // of the dispatcher that sent most
	RecoveryTime time.Duration // from the end of the last fault until the last dispatcher served
	Outages      map[recovery.Outage]int
	Repeats      map[string]int // marked repeats of keys sent before a restart, by what became of them
	FinalPhases  map[recovery.Phase]int
}

const (
	dedupWindow       = 10 * time.Second
	warmupTime        = 12 * time.Second
	coldCapacityShare = 0.12             // of a warm worker's capacity that a cold one has
	settleTime        = 25 * time.Second // from the last fault to the end of the history
	maxStagger        = 200 * time.Millisecond
	// maxViolations bounds how many violations a result lists: the first ones tell most.
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

	network       network
	listServiceUp bool
	workers       workers
	keys          []sentKey     // in the order of sending
	lastFaultAt   time.Duration // when the last fault ends
}

// workers are all workers together.
type workers struct {
	up        bool
	restarted bool
	restartAt time.Duration // the last time, if restarted
}

// sentKey is a request under a key that was sent to a dedup group.
type sentKey struct {
	sum            uint64
	zone           string
	at             time.Duration
	sender         int
	unknownToPeers bool // the sender's disk was reset, and no peer can know the key
}

// Run simulates one history.
func Run(plan Plan) Result {
	w := &world{
		plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, uint64(plan.Dispatchers))),
		listServiceUp: true, workers: workers{up: true}, network: newNetwork(),
		result: Result{
			Outages: map[recovery.Outage]int{}, Repeats: map[string]int{}, FinalPhases: map[recovery.Phase]int{},
		},
	}
	for n := range plan.Dispatchers {
		w.nodes = append(w.nodes, &node{world: w, position: n, disk: store.NewMemory()})
	}
	for _, n := range w.nodes {
		w.after(w.between(0, maxStagger), n.start)
	}
	end := w.scheduleFaults() + settleTime
	w.after(time.Second, w.sendRequests)
	w.runUntil(end)
	w.checkEnd()
	return w.result
}

// runUntil handles all events up to a time.
func (w *world) runUntil(end time.Duration) {
	for {
		e, ok := w.events.next()
		if !ok || e.at > end {
			return
		}
		w.now = e.at
		w.result.Events++
		e.handle()
	}
}

// at schedules an event, now if its time has passed.
func (w *world) at(t time.Duration, handle func()) { w.events.add(max(t, w.now), handle) }

func (w *world) after(d time.Duration, handle func()) { w.at(w.now+d, handle) }

// happens draws whether something of a probability happens.
func (w *world) happens(probability float64) bool { return w.rng.Float64() < probability }

// between draws a time from low to high, both included.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// capacity returns the workers' present capacity.
func (w *world) capacity() recovery.Capacity {
	const warmWorker = 3 // requests that a warm worker processes at once
	warm := warmWorker * float64(w.plan.Workers)
	if !w.workers.up {
		return recovery.Capacity{Warm: warm}
	}
	share := 1.0
	if age := w.now - w.workers.restartAt; w.workers.restarted && age < warmupTime {
		share = coldCapacityShare + (1-coldCapacityShare)*age.Seconds()/warmupTime.Seconds()
	}
	return recovery.Capacity{Workers: w.plan.Workers, Warm: warm, Now: share * warm}
}

// violation reports that an invariant does not hold.
func (w *world) violation(format string, args ...any) {
	if len(w.result.Violations) < maxViolations {
		text := fmt.Sprintf(format, args...)
		w.result.Violations = append(w.result.Violations, fmt.Sprintf("%v: %s", w.now, text))
	}
}
