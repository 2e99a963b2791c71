package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/worker"
	"canvasroute/internal/testbed/workload"
)

// Saturation configures the search for the highest sustainable rate.
type Saturation struct {
	Policy        string        // of the dispatcher
	Objective     time.Duration // limit of p99, counted from the intended time of sending
	TrialDuration time.Duration // length of the load of each trial
	Cores         float64       // of the dispatcher
	Workers       int           // number of workers
	FirstRate     float64       // first rate, per second
	MaxRate       float64       // highest rate that is tried
	Steps         int           // number of bisections
	Seed          uint64
}

// Trial is the result for one rate.
type Trial struct {
	Rate          float64 `json:"rate"`          // calls per second
	Holds         bool    `json:"holds"`         // the objective was reached, and the calls succeeded
	Reason        string  `json:"why,omitempty"` // why it does not hold
	GeneratorLate bool    `json:"generator_late"`
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
	CPU           float64 `json:"cpu_us_a_call"`
	Mallocs       float64 `json:"mallocs_a_call"`
	Bytes         float64 `json:"alloc_bytes_a_call"`
}

// minSuccessShare is the share of the calls that must succeed for a rate to hold.
const minSuccessShare = 0.999

// rateGrowth is the factor from one rate to the next while rates hold.
const rateGrowth = 1.5

// Saturate searches for the highest rate that holds. Each trial runs new processes, with workers that take no time.
func Saturate(ctx context.Context, s Saturation, options Options, report func(Trial)) (best Trial, err error) {
	low, high := 0.0, math.Inf(1) // the highest rate that holds, and the lowest that does not
	step := 0
	for rate := s.FirstRate; step <= s.Steps && rate <= s.MaxRate; {
		trial, err := s.runTrial(ctx, rate, options)
		if err != nil {
			return best, err
		}
		report(trial)
		if trial.Holds {
			low = rate
			best = trial
		} else {
			high = rate
		}
		if math.IsInf(high, 1) {
			rate *= rateGrowth
			continue
		}
		if step++; low == 0 {
			rate = high / rateGrowth / rateGrowth
			continue
		}
		rate = math.Sqrt(low * high)
	}
	return best, ctx.Err()
}

// Sizes of everything but the dispatcher's cores in a trial, so that nothing else limits the rate.
const (
	trialMemoryMB    = 1024
	trialSockets     = 8192
	trialWorkerCores = 64
	trialWorkerQueue = 4096
	trialTimeout     = 2 * time.Second        // of clients
	trialWork        = 100 * time.Microsecond // that a call stands for, which takes no time
)

// planAt returns an experiment at a rate whose workers take no time, so that only the dispatcher limits it.
func (s Saturation) planAt(rate float64) (*Plan, error) {
	plan := defaults()
	plan.Name = "saturate"
	plan.Seed = s.Seed

	dispatchers := &plan.Dispatchers
	dispatchers.Policy = s.Policy
	dispatchers.Cores = s.Cores
	dispatchers.MemoryMB = trialMemoryMB
	dispatchers.Sockets = trialSockets
	dispatchers.Peers = false

	plan.Fleet.Instant = true
	plan.Fleet.Kinds = []worker.Kind{{Name: "null", Cores: trialWorkerCores, Queue: trialWorkerQueue, Count: s.Workers}}
	plan.Fleet.StartNotes = false
	plan.Fleet.AnnounceStartNotes = false
	plan.Fleet.OverloadMultiple = 0

	plan.Operations = []workload.Operation{{
		Name:             "null",
		Idempotency:      workload.Idempotent,
		LatencyObjective: unit.Duration(s.Objective),
		Timeout:          unit.Duration(trialTimeout),
		Work:             unit.Duration(trialWork),
		Tail:             workload.TailConstant,
		Share:            1,
		Value:            1,
	}}
	plan.Load.Phases = []workload.Phase{{Shape: workload.ShapePoisson, Rate: rate, Length: unit.Duration(s.TrialDuration)}}
	plan.Load.Retries = 0
	return &plan, plan.validate()
}

// runTrial runs one rate with new processes.
func (s Saturation) runTrial(ctx context.Context, rate float64, options Options) (Trial, error) {
	plan, err := s.planAt(rate)
	if err != nil {
		return Trial{}, err
	}
	if options.Folder, err = os.MkdirTemp(options.Folder, fmt.Sprintf("%s-%.0f-", s.Policy, rate)); err != nil {
		return Trial{}, err
	}
	result, err := plan.Run(ctx, s.Seed, options)
	if err != nil {
		return Trial{}, err
	}
	return s.judge(rate, result), os.RemoveAll(filepath.Clean(options.Folder))
}

// judge returns the trial of a rate, and decides from its result whether the rate holds.
func (s Saturation) judge(rate float64, result *Result) Trial {
	calls := float64(max(result.Calls.Total.Calls, 1))
	trial := Trial{
		Rate:          rate,
		P50:           result.Calls.All.P50,
		P99:           result.Calls.All.P99,
		CPU:           float64(time.Second/time.Microsecond) * result.CPU() / calls,
		GeneratorLate: !result.Calls.Generator.Trusted,
	}
	var counters struct {
		Mallocs uint64 `json:"mallocs"`
		Bytes   uint64 `json:"alloc_bytes"`
	}
	if json.Unmarshal(result.Dispatchers[0].Counters, &counters) == nil {
		trial.Mallocs = float64(counters.Mallocs) / calls
		trial.Bytes = float64(counters.Bytes) / calls
	}
	succeeded := float64(result.Calls.Total.Answers["succeeded"]) / calls
	switch {
	case trial.GeneratorLate:
		trial.Reason = "generator: " + result.Calls.Generator.Reason
	case succeeded < minSuccessShare:
		trial.Reason = fmt.Sprintf("%.2f%% succeeded", 100*succeeded)
	case time.Duration(trial.P99*float64(time.Millisecond)) > s.Objective:
		trial.Reason = "p99 beyond the objective"
	default:
		trial.Holds = true
	}
	return trial
}
