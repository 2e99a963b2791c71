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
	Policy        string        // policy of the dispatcher
	Objective     time.Duration // limit of p99, measured from the scheduled send time
	TrialDuration time.Duration // duration of the load in each trial
	Cores         float64       // of the dispatcher
	Workers       int           // number of workers
	FirstRate     float64       // first rate, per second
	MaxRate       float64       // highest rate to try, per second
	Steps         int           // number of bisections
	Seed          uint64
}

// Trial is the result of sending calls at one rate.
type Trial struct {
	Rate          float64 `json:"rate"`          // calls per second
	Sustained     bool    `json:"holds"`         // p99 met the objective, enough calls succeeded, generator trusted
	Reason        string  `json:"why,omitempty"` // why the rate is not sustained
	GeneratorLate bool    `json:"generator_late"`
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
	CPU           float64 `json:"cpu_us_a_call"`
	Mallocs       float64 `json:"mallocs_a_call"`
	Bytes         float64 `json:"alloc_bytes_a_call"`
}

// minSuccessShare is the minimum share of successful calls for a rate to count as sustained.
const minSuccessShare = 0.999

// rateGrowth is the factor by which the rate increases until a rate is not sustained.
const rateGrowth = 1.5

// Saturate searches for the highest sustained rate, and calls report after each trial. Each trial starts new processes,
// and its workers complete jobs immediately.
func Saturate(ctx context.Context, s Saturation, options Options, report func(Trial)) (best Trial, err error) {
	low, high := 0.0, math.Inf(1) // highest rate that was sustained, lowest rate that was not
	step := 0
	for rate := s.FirstRate; step <= s.Steps && rate <= s.MaxRate; {
		trial, err := s.runTrial(ctx, rate, options)
		if err != nil {
			return best, err
		}
		report(trial)
		if trial.Sustained {
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

// Limits of a trial other than the dispatcher's cores. They are large enough that only the cores limit the rate.
const (
	trialMemoryMB    = 1024
	trialSockets     = 8192
	trialWorkerCores = 64
	trialWorkerQueue = 4096
	trialTimeout     = 2 * time.Second        // of clients
	trialWork        = 100 * time.Microsecond // nominal work of a call, which completes immediately
)

// planForRate returns an experiment at the given rate. Its workers complete jobs immediately, so that only the
// dispatcher limits the rate.
func (s Saturation) planForRate(rate float64) (*Plan, error) {
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

// runTrial runs an experiment at one rate with new processes, and removes its folder.
func (s Saturation) runTrial(ctx context.Context, rate float64, options Options) (Trial, error) {
	plan, err := s.planForRate(rate)
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
	return s.evaluateTrial(rate, result), os.RemoveAll(filepath.Clean(options.Folder))
}

// evaluateTrial returns the trial of a rate, and determines from the result whether the rate was sustained.
func (s Saturation) evaluateTrial(rate float64, result *Result) Trial {
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
	succeeded := float64(result.Calls.Total.Outcomes["succeeded"]) / calls
	switch {
	case trial.GeneratorLate:
		trial.Reason = "generator: " + result.Calls.Generator.Reason
	case succeeded < minSuccessShare:
		trial.Reason = fmt.Sprintf("%.2f%% succeeded", 100*succeeded)
	case time.Duration(trial.P99*float64(time.Millisecond)) > s.Objective:
		trial.Reason = "p99 beyond the objective"
	default:
		trial.Sustained = true
	}
	return trial
}
