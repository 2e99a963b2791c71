// Package fault expands the faults of an experiment file into a timeline of actions. It selects the affected workers
// and dispatchers at random from the seed, and does no I/O. Package experiment applies the actions.
package fault

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

// ActionKind identifies the effect of an action.
type ActionKind uint8

// The values of ActionKind.
const (
	WorkerCrash ActionKind = iota + 1
	WorkerRestart
	WorkerSpeed // Value is the factor by which this fault changes the worker's speed
	WorkerPause // suspends the process until WorkerResume
	WorkerResume
	WorkerMute // jobs that start before WorkerUnmute run, but write no progress and no result
	WorkerUnmute
	WorkerCut // disconnects the worker from the network until WorkerHeal; its jobs continue to run
	WorkerHeal
	WorkerDrain
	WorkerStop // stops a drained worker
	WorkerAdd  // adds Value workers
	ListLag    // Duration is the delay until changes of the list are visible
	ListLagEnd
	ListDown
	ListUnavailable
	ListRecover
	DispatcherKill
	DispatcherStart
	DispatcherPause
	DispatcherResume
	DispatcherRestart     // graceful: stops the process, and starts it again
	DispatcherLeave       // drains the dispatcher
	DispatcherJoin        // ends the drain
	DispatcherUpgrade     // replaces the process by a new one, which is started while the old one still runs
	DispatcherReconfigure // Value is the number of attempts per request; 0 restores the experiment's setting
	ClientsIdle           // opens Value connections for Duration, and sends nothing
	ClientsTrickle        // as ClientsIdle, but the clients send an incomplete request byte by byte
	PeersCut
	PeersLoss // Value is the share of datagrams lost
	PeersRecover
	LinkCut // between the targets and all other dispatchers; Mode is the direction, "" for both
	LinkHeal
	LinkLoss // Value is the share of messages lost
	LinkRecover
	PowerLoss    // affects all targets at once
	PowerRestore // restarts one dispatcher; Mode is the state of its disk, Duration its clock jump
)

// Action is a step of a fault. The meaning of Value, Duration and Mode depends on Kind.
type Action struct {
	At       time.Duration // since the start of the experiment
	Kind     ActionKind
	Targets  []int // indexes of workers or dispatchers; nil if the kind affects something else
	Value    float64
	Duration time.Duration
	Mode     string
	Fault    int // index of the fault's Spec
}

// Interval is the period of a fault with its description, for reports. Times are since the start of the experiment.
type Interval struct {
	From        time.Duration `json:"from_ns"`
	To          time.Duration `json:"to_ns"`
	Description string        `json:"what"`
}

// Timeline is the plan of all faults: the actions in order of time, the extra load, and the interval of each fault.
type Timeline struct {
	Actions    []Action
	ExtraLoads []workload.ExtraLoad
	Intervals  []Interval
}

// Plan returns the timeline of all faults. It is deterministic for the same specs, topology and seed. An error names
// the invalid fault and key.
func Plan(specs []Spec, topology Topology, seed uint64) (*Timeline, error) {
	timeline := &Timeline{}
	for n, spec := range specs {
		kind, known := kinds[spec.Kind]
		if !known {
			names := slices.Sorted(maps.Keys(kinds))
			return nil, fmt.Errorf("fault[%d].kind: %q, must be one of %s", n, spec.Kind, strings.Join(names, ", "))
		}
		for _, key := range kind.requiredKeys {
			if err := spec.validate(key, topology); err != nil {
				return nil, fmt.Errorf("fault[%d].%w", n, err)
			}
		}
		p := &planner{topology: topology, rng: randomStream(seed, n), spec: spec, index: n, timeline: timeline}
		interval := Interval{From: p.start(), To: p.end(), Description: kind.plan(p)}
		timeline.Intervals = append(timeline.Intervals, interval)
	}
	slices.SortStableFunc(timeline.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return timeline, nil
}

// randomStream returns the random stream of the fault with index n. The name of the stream contains a former key of
// experiment files. It must not change: with another name, the same seed would select other targets.
func randomStream(seed uint64, n int) *rand.Rand {
	return unit.RandomStream(seed, fmt.Sprint("trouble ", n))
}
