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
	Policy        string
	Objective     time.Duration // limit of p99, counted from the intended time of sending
	TrialDuration time.Duration // length of each trial
	Cores         float64
	Workers       int
	FirstRate     float64 // first rate, per second
	MaxRate       float64 // highest rate that is tried
	Steps         int     // number of bisections
	Seed          uint64
}

// Trial is the result for one rate.
type Trial struct {
	Rate          float64 `json:"rate"`
	Holds         bool    `json:"holds"`
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
func Saturate(ctx context.Context, s Saturation, o Options, report func(Trial)) (best Trial, err error) {
	low, high := 0.0, math.Inf(1)
	step := 0
	for rate := s.FirstRate; step <= s.Steps && rate <= s.MaxRate; {
		t, err := s.trial(ctx, rate, o)
		if err != nil {
			return best, err
		}
		report(t)
		if t.Holds {
			low = rate
			best = t
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

// planAt is an experiment at a rate whose workers take no time, so that only the dispatcher is measured.
func (s Saturation) planAt(rate float64) (*Plan, error) {
	p := defaults()
	p.Name = "saturate"
	p.Seed = s.Seed
	p.Fleet.Instant = true
	d := &p.Dispatchers
	d.Policy = s.Policy
	d.Cores = s.Cores
	d.MemoryMB = 1024
	d.Sockets = 8192
	d.Peers = false
	p.Fleet.Kinds = []worker.Kind{{Name: "null", Cores: 64, Queue: 4096, Count: s.Workers}}
	p.Fleet.StartNotes = false
	p.Fleet.AnnounceStartNotes = false
	p.Fleet.OverloadMultiple = 0
	p.Operations = []workload.Operation{{
		Name: "null", Idempotency: workload.Idempotent, LatencyObjective: unit.Duration(s.Objective),
		Timeout: unit.Duration(2 * time.Second), Work: unit.Duration(100 * time.Microsecond), Tail: "constant", Share: 1,
		Value: 1,
	}}
	p.Load.Phases = []workload.Phase{{Shape: "poisson", Rate: rate, For: unit.Duration(s.TrialDuration)}}
	p.Load.Retries = 0
	return &p, p.validate()
}

func (s Saturation) trial(ctx context.Context, rate float64, o Options) (Trial, error) {
	plan, err := s.planAt(rate)
	if err != nil {
		return Trial{}, err
	}
	if o.Folder, err = os.MkdirTemp(o.Folder, fmt.Sprintf("%s-%.0f-", s.Policy, rate)); err != nil {
		return Trial{}, err
	}
	result, err := plan.Run(ctx, s.Seed, o)
	if err != nil {
		return Trial{}, err
	}
	calls, c := float64(max(result.Calls.Total.Calls, 1)), &result.Calls
	trial := Trial{
		Rate: rate, P50: c.All.P50, P99: c.All.P99, CPU: 1e6 * result.CPU() / calls,
		GeneratorLate: !c.Generator.Trusted,
	}
	var counters struct {
		Mallocs uint64 `json:"mallocs"`
		Bytes   uint64 `json:"alloc_bytes"`
	}
	if json.Unmarshal(result.Dispatchers[0].Counters, &counters) == nil {
		trial.Mallocs = float64(counters.Mallocs) / calls
		trial.Bytes = float64(counters.Bytes) / calls
	}
	succeeded := float64(c.Total.Answers["succeeded"]) / calls
	switch {
	case trial.GeneratorLate:
		trial.Reason = "generator: " + c.Generator.Reason
	case succeeded < minSuccessShare:
		trial.Reason = fmt.Sprintf("%.2f%% succeeded", 100*succeeded)
	case time.Duration(trial.P99*float64(time.Millisecond)) > s.Objective:
		trial.Reason = "p99 beyond the objective"
	default:
		trial.Holds = true
	}
	return trial, os.RemoveAll(filepath.Clean(o.Folder))
}
