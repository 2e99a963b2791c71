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

// Saturation is how the highest rate is looked for.
type Saturation struct {
	Policy        string
	Objective     time.Duration // p99 from the intended time of sending has to keep it, and all have to succeed
	TrialDuration time.Duration // each trial
	Cores         float64
	Workers       int
	FirstRate     float64 // the first rate, a second
	MaxRate       float64 // the highest rate that is tried
	Steps         int     // halvings of the last interval
	Seed          uint64
}

// Trial is what one rate came to.
type Trial struct {
	Rate          float64 `json:"rate"`
	Holds         bool    `json:"holds"`
	Reason        string  `json:"why,omitempty"` // it does not hold
	GeneratorLate bool    `json:"generator_late"`
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
	CPU           float64 `json:"cpu_us_a_call"`
	Mallocs       float64 `json:"mallocs_a_call"`
	Bytes         float64 `json:"alloc_bytes_a_call"`
}

// minSuccessShare of the calls must succeed at a rate that holds.
const minSuccessShare = 0.999

// growth is from one rate to the next while rates hold.
const rateGrowth = 1.5

// Saturate looks for the highest rate that holds, each rate on a fresh process before workers that do no
// work.
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
			low, best = rate, t
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

// planAt is a fleet that costs nothing, so that the dispatcher is all that is measured.
func (s Saturation) planAt(rate float64) (*Plan, error) {
	p := defaults()
	p.Name, p.Seed, p.Fleet.Instant = "saturate", s.Seed, true
	d := &p.Dispatchers
	d.Policy, d.Cores, d.MemoryMB, d.Sockets, d.Peers = s.Policy, s.Cores, 1024, 8192, false
	p.Fleet.Kinds = []worker.Kind{{Name: "null", Cores: 64, Queue: 4096, Count: s.Workers}}
	p.Fleet.StartNotes, p.Fleet.AnnounceStartNotes, p.Fleet.OverloadMultiple = false, false, 0
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
	p, err := s.planAt(rate)
	if err != nil {
		return Trial{}, err
	}
	if o.Folder, err = os.MkdirTemp(o.Folder, fmt.Sprintf("%s-%.0f-", s.Policy, rate)); err != nil {
		return Trial{}, err
	}
	r, err := p.Run(ctx, s.Seed, o)
	if err != nil {
		return Trial{}, err
	}
	calls, c := float64(max(r.Calls.Total.Calls, 1)), &r.Calls
	t := Trial{
		Rate: rate, P50: c.All.P50, P99: c.All.P99, CPU: 1e6 * r.CPU() / calls,
		GeneratorLate: !c.Generator.Trusted,
	}
	var counters struct {
		Mallocs uint64 `json:"mallocs"`
		Bytes   uint64 `json:"alloc_bytes"`
	}
	if json.Unmarshal(r.Dispatchers[0].Counters, &counters) == nil {
		t.Mallocs, t.Bytes = float64(counters.Mallocs)/calls, float64(counters.Bytes)/calls
	}
	succeeded := float64(c.Total.Answers["succeeded"]) / calls
	switch {
	case t.GeneratorLate:
		t.Reason = "generator: " + c.Generator.Reason
	case succeeded < minSuccessShare:
		t.Reason = fmt.Sprintf("%.2f%% succeeded", 100*succeeded)
	case time.Duration(t.P99*float64(time.Millisecond)) > s.Objective:
		t.Reason = "p99 beyond the objective"
	default:
		t.Holds = true
	}
	return t, os.RemoveAll(filepath.Clean(o.Folder))
}
