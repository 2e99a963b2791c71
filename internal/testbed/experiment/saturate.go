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
	Policy    string
	Objective time.Duration // p99 from the intended time of sending has to keep it, and all have to succeed
	For       time.Duration // each trial
	Cores     float64
	Workers   int
	First     float64 // the first rate, a second
	Most      float64 // the highest rate that is tried
	Steps     int     // halvings of the last interval
	Seed      uint64
}

// Trial is what one rate came to.
type Trial struct {
	Rate     float64 `json:"rate"`
	Holds    bool    `json:"holds"`
	Why      string  `json:"why,omitempty"` // it does not hold
	Generous bool    `json:"generator_late"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	CPU      float64 `json:"cpu_us_a_call"`
	Mallocs  float64 `json:"mallocs_a_call"`
	Bytes    float64 `json:"alloc_bytes_a_call"`
}

// succeedShare of the calls must succeed at a rate that holds.
const succeedShare = 0.999

// growth is from one rate to the next while rates hold.
const growth = 1.5

// Saturate looks for the highest rate that holds, each rate on a fresh process before workers that do no
// work.
func Saturate(ctx context.Context, s Saturation, o Options, told func(Trial)) (best Trial, err error) {
	low, high := 0.0, math.Inf(1)
	step := 0
	for rate := s.First; step <= s.Steps && rate <= s.Most; {
		t, err := s.trial(ctx, rate, o)
		if err != nil {
			return best, err
		}
		told(t)
		if t.Holds {
			low, best = rate, t
		} else {
			high = rate
		}
		if math.IsInf(high, 1) {
			rate *= growth
			continue
		}
		if step++; low == 0 {
			rate = high / growth / growth
			continue
		}
		rate = math.Sqrt(low * high)
	}
	return best, ctx.Err()
}

// plan is a fleet that costs nothing, so that the dispatcher is all that is measured.
func (s Saturation) plan(rate float64) (*Plan, error) {
	p := usual()
	p.Name, p.Seed, p.Fleet.Instant = "saturate", s.Seed, true
	d := &p.Dispatchers
	d.Policy, d.Cores, d.MemoryMB, d.Sockets, d.Peers = s.Policy, s.Cores, 1024, 8192, false
	p.Fleet.Kinds = []worker.Kind{{Name: "null", Cores: 64, Queue: 4096, Count: s.Workers}}
	p.Fleet.StartNotes, p.Fleet.TellsStart, p.Fleet.ColdMultiple = false, false, 0
	p.Operations = []workload.Operation{{
		Name: "null", Repeat: workload.Idempotent, Objective: unit.Span(s.Objective),
		Timeout: unit.Span(2 * time.Second), Work: unit.Span(100 * time.Microsecond), Tail: "constant", Share: 1,
		Value: 1,
	}}
	p.Load.Phases = []workload.Phase{{Shape: "poisson", Rate: rate, For: unit.Span(s.For)}}
	p.Load.Retries = 0
	return &p, p.check()
}

func (s Saturation) trial(ctx context.Context, rate float64, o Options) (Trial, error) {
	p, err := s.plan(rate)
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
		Generous: !c.Generator.Trusted,
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
	case t.Generous:
		t.Why = "generator: " + c.Generator.Why
	case succeeded < succeedShare:
		t.Why = fmt.Sprintf("%.2f%% succeeded", 100*succeeded)
	case time.Duration(t.P99*float64(time.Millisecond)) > s.Objective:
		t.Why = "p99 beyond the objective"
	default:
		t.Holds = true
	}
	return t, os.RemoveAll(filepath.Clean(o.Folder))
}
