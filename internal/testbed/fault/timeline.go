// Package fault turns the faults of an experiment file into a timeline of single actions. It does no I/O: it draws the
// workers and dispatchers that a fault affects from the seed, and package experiment applies the actions.
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

// ActionKind is what an action does.
type ActionKind uint8

// The values of ActionKind.
const (
	WorkerCrash ActionKind = iota + 1
	WorkerRestart
	WorkerSpeed // Value is this fault's factor of the worker's speed
	WorkerPause
	WorkerResume
	WorkerMute
	WorkerUnmute
	WorkerCut
	WorkerHeal
	WorkerDrain
	WorkerStop // ends a worker that has drained
	WorkerAdd  // adds Value workers
	ListLag    // by Duration
	ListLagEnd
	ListDown
	ListUnavailable
	ListRecover
	DispatcherKill
	DispatcherStart
	DispatcherPause
	DispatcherResume
	DispatcherRestart // planned: asked to end, then started again
	DispatcherLeave   // asked to drain
	DispatcherJoin
	DispatcherUpgrade     // by a second process beside it
	DispatcherReconfigure // to Value attempts per request, 0 for the experiment's own number
	ClientsIdle           // Value connections for Duration
	ClientsTrickle
	PeersCut
	PeersLoss // Value is the share of datagrams lost
	PeersRecover
	LinkCut // between the targets and all other dispatchers, in the direction Mode, "" for both
	LinkHeal
	LinkLoss // Value is the share of messages lost
	LinkRecover
	PowerLoss   // of all targets at once
	PowerReturn // of one dispatcher: Mode is the state of its disk, Duration the jump of its clock
)

// Action is one step of a fault. The meaning of Value, Duration and Mode is that of the kind.
type Action struct {
	At       time.Duration // since the start of the experiment
	Kind     ActionKind
	Targets  []int // indexes of workers or dispatchers; nil if the kind affects something else
	Value    float64
	Duration time.Duration
	Mode     string
	Fault    int // index of the fault's Spec
}

// Mark is the time of a fault as reports show it, since the start of the experiment.
type Mark struct {
	From        time.Duration `json:"from_ns"`
	To          time.Duration `json:"to_ns"`
	Description string        `json:"what"`
}

// Timeline is the outcome of planning all faults: actions ordered by time, extra load, and a mark for each fault.
type Timeline struct {
	Actions    []Action
	ExtraLoads []workload.ExtraLoad
	Marks      []Mark
}

// Plan returns the timeline of all faults. The same specs, topology and seed give the same timeline. The error names the
// fault and the key.
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
		mark := Mark{From: p.start(), To: p.end(), Description: kind.plan(p)}
		timeline.Marks = append(timeline.Marks, mark)
	}
	slices.SortStableFunc(timeline.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return timeline, nil
}

// randomStream returns the random stream of the fault with index n. The stream's name is the former key of faults: with
// another name the same seed would draw other targets.
func randomStream(seed uint64, n int) *rand.Rand {
	return unit.RandomStream(seed, fmt.Sprint("trouble ", n))
}
