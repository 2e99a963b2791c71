// Package workload makes the schedule of an experiment: what arrives when. It does no I/O but for reading traces
// that it is handed, and the same plan and seed give the same schedule to the byte.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Operation is one operation, in the words of an experiment file.
type Operation struct {
	Name             string        `toml:"name"`
	Idempotency      string        `toml:"repeat"`       // idempotent, deduplicated or non-idempotent
	DedupScope       string        `toml:"dedup-scope"`  // all, zone or cell: the workers that drop each other's repeats
	DedupWindow      unit.Duration `toml:"dedup-window"` // for how long they do
	LatencyObjective unit.Duration `toml:"objective"`    // the latency objective
	Stretch          float64       `toml:"stretch"`      // and so many times the invocation's own work on top
	Timeout          unit.Duration `toml:"timeout"`      // the client timeout of each try
	Work             unit.Duration `toml:"work"`         // mean core time on a worker of standard speed
	Tail             string        `toml:"tail"`         // constant, exponential, lognormal or pareto
	Spread           float64       `toml:"spread"`       // lognormal: sigma of the logarithm; pareto: the exponent
	Share            float64       `toml:"share"`        // of the arrivals, in proportion to those of the others
	Value            float64       `toml:"value"`        // billed value for each second of work
	LateShare        float64       `toml:"tardy-value"`  // the part of it that a late answer still earns
	HintError        float64       `toml:"hint-error"`   // sigma of the logarithm of hint over work; below 0: no hint
}

// Tenant is one customer, in the words of an experiment file.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the arrivals, in proportion to those of the others
	Quota float64 `toml:"quota"` // invocations a second that count in full; 0: no bound
}

// The ways an operation may be repeated.
const (
	Idempotent      = "idempotent"
	IdempotentByKey = "deduplicated"
	NonIdempotent   = "non-idempotent"
)

// maxWorkMeans bounds a tail, in means: without it a single draw could outlast an experiment.
const maxWorkMeans = 200

// Validate tells what is wrong with an operation; the error begins with the key.
func (o *Operation) Validate() error {
	switch {
	case o.Name == "":
		return fmt.Errorf("name: must be a text")
	case o.Idempotency != Idempotent && o.Idempotency != IdempotentByKey && o.Idempotency != NonIdempotent:
		return fmt.Errorf("repeat: %q, must be %s, %s or %s", o.Idempotency, Idempotent, IdempotentByKey, NonIdempotent)
	case o.DedupScope != "" && o.DedupScope != "all" && o.DedupScope != "zone" && o.DedupScope != "cell":
		return fmt.Errorf("dedup-scope: %q, must be all, zone or cell", o.DedupScope)
	case o.Idempotency == IdempotentByKey && o.DedupWindow <= 0:
		return fmt.Errorf("dedup-window: must be more than nothing for a deduplicated operation")
	case o.Work <= 0:
		return fmt.Errorf("work: must be more than nothing")
	case o.LatencyObjective <= 0:
		return fmt.Errorf("objective: must be more than nothing")
	case o.Timeout < o.LatencyObjective:
		return fmt.Errorf("timeout: %v, must not be below the objective %v", o.Timeout.Std(), o.LatencyObjective.Std())
	case !(o.Share > 0):
		return fmt.Errorf("share: %v, must be more than 0", o.Share)
	case !(o.Value >= 0) || !(o.LateShare >= 0 && o.LateShare <= 1):
		return fmt.Errorf("value: must not be negative, tardy-value from 0 to 1")
	case !(o.Stretch >= 0):
		return fmt.Errorf("stretch: %v, must not be negative", o.Stretch)
	case o.Tail == "pareto" && !(o.Spread > 1):
		return fmt.Errorf("spread: %v, a pareto tail has a mean only above 1", o.Spread)
	case o.Tail == "lognormal" && !(o.Spread > 0 && o.Spread <= 4):
		return fmt.Errorf("spread: %v, must be above 0 and at most 4 for a lognormal tail", o.Spread)
	}
	switch o.Tail {
	case "constant", "exponential", "lognormal", "pareto":
		return nil
	}
	return fmt.Errorf("tail: %q, must be constant, exponential, lognormal or pareto", o.Tail)
}

// drawWork is the work of one invocation, by the operation's tail.
func (o *Operation) drawWork(rng *rand.Rand) time.Duration {
	mean, times := o.Work.Std().Seconds(), 1.0
	switch o.Tail {
	case "exponential":
		times = rng.ExpFloat64()
	case "lognormal":
		times = math.Exp(rng.NormFloat64()*o.Spread - o.Spread*o.Spread/2)
	case "pareto":
		times = (o.Spread - 1) / o.Spread / math.Pow(1-rng.Float64(), 1/o.Spread)
	}
	work := mean * min(max(times, 1e-3), maxWorkMeans)
	return max(time.Duration(work*float64(time.Second)).Round(time.Microsecond), time.Microsecond)
}

// drawHint is what the client believes of a piece of work, 0 for nothing.
func (o *Operation) drawHint(work time.Duration, rng *rand.Rand) time.Duration {
	deviation := rng.NormFloat64() // drawn also where there is no hint, so that the rest of the schedule stays
	if o.HintError < 0 {
		return 0
	}
	return max(time.Duration(float64(work)*math.Exp(deviation*o.HintError)).Round(time.Microsecond),
		time.Microsecond)
}

// weightedChoice draws from shares.
type weightedChoice struct{ cumulative []float64 }

func newWeightedChoice[T any](of []T, share func(T) float64) weightedChoice {
	p, sum := weightedChoice{}, 0.0
	for _, x := range of {
		sum += share(x)
		p.cumulative = append(p.cumulative, sum)
	}
	return p
}

func (p weightedChoice) draw(rng *rand.Rand) int {
	if len(p.cumulative) == 0 {
		return 0
	}
	at := rng.Float64() * p.cumulative[len(p.cumulative)-1]
	for n, up := range p.cumulative {
		if at < up {
			return n
		}
	}
	return len(p.cumulative) - 1
}
