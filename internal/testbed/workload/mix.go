// Package workload generates the schedule of an experiment: the requests and their arrival times. It does no I/O except
// reading a trace from a reader. The same plan and seed result in the same schedule, byte for byte.
package workload

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Operation is one [[operation]] of an experiment file.
type Operation struct {
	Name             string        `toml:"name"`
	Idempotency      string        `toml:"idempotency"`  // idempotent, deduplicated or non-idempotent
	DedupScope       string        `toml:"dedup-scope"`  // all, zone or cell: workers that share a dedup group
	DedupWindow      unit.Duration `toml:"dedup-window"` // how long workers remember a key
	LatencyObjective unit.Duration `toml:"objective"`    // fixed part of the latency objective
	Stretch          float64       `toml:"stretch"`      // multiple of the request's work, added to the objective
	Timeout          unit.Duration `toml:"timeout"`      // client timeout of each request
	Work             unit.Duration `toml:"work"`         // mean core time on a worker of standard speed
	Tail             string        `toml:"tail"`         // constant, exponential, lognormal or pareto
	Spread           float64       `toml:"spread"`       // lognormal: sigma of the logarithm; pareto: the exponent
	Share            float64       `toml:"share"`        // relative to the other shares
	Value            float64       `toml:"value"`        // billed value per second of work
	LateShare        float64       `toml:"late-value"`   // share of the value that a late response earns
	HintError        float64       `toml:"hint-error"`   // sigma of the logarithm of hint/work; below 0: no hint
}

// Tenant is one [[tenants]] entry of an experiment file.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // relative to the other shares
	Quota float64 `toml:"quota"` // requests per second that earn their full value; 0: unlimited
}

// Values of Operation.Idempotency.
const (
	Idempotent      = "idempotent"
	IdempotentByKey = "deduplicated"
	NonIdempotent   = "non-idempotent"
)

// Values of Operation.DedupScope.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
	ScopeCell = "cell"
)

// Values of Operation.Tail: the distribution of the work of requests.
const (
	TailConstant    = "constant"
	TailExponential = "exponential"
	TailLognormal   = "lognormal"
	TailPareto      = "pareto"
)

// Limits of the work of a request, in multiples of the mean. Without a maximum, a request drawn from a heavy tail could
// take longer than the experiment.
const (
	minWorkMeans = 1e-3
	maxWorkMeans = 200
)

// maxLognormalSpread is the maximum sigma of a lognormal tail.
const maxLognormalSpread = 4

// Validate returns an error for the first invalid key of an operation. The error text begins with the key.
func (o *Operation) Validate() error {
	if o.Name == "" {
		return errors.New("name: must not be empty")
	}
	if err := o.validateIdempotency(); err != nil {
		return err
	}
	switch {
	case o.Work <= 0:
		return errors.New("work: must be greater than 0")
	case o.LatencyObjective <= 0:
		return errors.New("objective: must be greater than 0")
	case o.Timeout < o.LatencyObjective:
		return fmt.Errorf("timeout: %v, must not be below the objective %v", o.Timeout.Std(), o.LatencyObjective.Std())
	case !(o.Share > 0):
		return fmt.Errorf("share: %v, must be greater than 0", o.Share)
	case !(o.Value >= 0) || !(o.LateShare >= 0 && o.LateShare <= 1):
		return errors.New("value: must not be negative, late-value from 0 to 1")
	case !(o.Stretch >= 0):
		return fmt.Errorf("stretch: %v, must not be negative", o.Stretch)
	}
	return o.validateTail()
}

func (o *Operation) validateIdempotency() error {
	switch {
	case !slices.Contains([]string{Idempotent, IdempotentByKey, NonIdempotent}, o.Idempotency):
		return fmt.Errorf("idempotency: %q, must be %s, %s or %s", o.Idempotency, Idempotent, IdempotentByKey, NonIdempotent)
	case !slices.Contains([]string{"", ScopeAll, ScopeZone, ScopeCell}, o.DedupScope):
		return fmt.Errorf("dedup-scope: %q, must be all, zone or cell", o.DedupScope)
	case o.Idempotency == IdempotentByKey && o.DedupWindow <= 0:
		return errors.New("dedup-window: must be greater than 0 for a deduplicated operation")
	}
	return nil
}

func (o *Operation) validateTail() error {
	switch o.Tail {
	case TailConstant, TailExponential:
	case TailPareto:
		if !(o.Spread > 1) {
			return fmt.Errorf("spread: %v, must be greater than 1 for a pareto tail, which has no mean below", o.Spread)
		}
	case TailLognormal:
		if !(o.Spread > 0 && o.Spread <= maxLognormalSpread) {
			return fmt.Errorf("spread: %v, must be greater than 0 and at most %d for a lognormal tail", o.Spread, maxLognormalSpread)
		}
	default:
		return fmt.Errorf("tail: %q, must be constant, exponential, lognormal or pareto", o.Tail)
	}
	return nil
}

// drawWork draws the work of a request from the operation's distribution. The work is a whole number of microseconds,
// and at least 1 µs.
func (o *Operation) drawWork(rng *rand.Rand) time.Duration {
	means := 1.0 // multiple of the mean
	switch o.Tail {
	case TailExponential:
		means = rng.ExpFloat64()
	case TailLognormal:
		means = math.Exp(rng.NormFloat64()*o.Spread - o.Spread*o.Spread/2)
	case TailPareto:
		means = (o.Spread - 1) / o.Spread / math.Pow(1-rng.Float64(), 1/o.Spread)
	}
	work := o.Work.Std().Seconds() * min(max(means, minWorkMeans), maxWorkMeans)
	return max(time.Duration(work*float64(time.Second)).Round(time.Microsecond), time.Microsecond)
}

// drawHint draws the client's estimate of a request's work, or returns 0 if the client sends no hint.
func (o *Operation) drawHint(work time.Duration, rng *rand.Rand) time.Duration {
	deviation := rng.NormFloat64() // drawn even if unused, so that later draws do not depend on HintError
	if o.HintError < 0 {
		return 0
	}
	return max(time.Duration(float64(work)*math.Exp(deviation*o.HintError)).Round(time.Microsecond),
		time.Microsecond)
}

// weightedChoice draws indexes with probabilities proportional to their shares.
type weightedChoice struct {
	cumulative []float64 // by index: the sum of the shares up to and including that index
}

func newWeightedChoice[T any](items []T, share func(T) float64) weightedChoice {
	choice, sum := weightedChoice{}, 0.0
	for _, item := range items {
		sum += share(item)
		choice.cumulative = append(choice.cumulative, sum)
	}
	return choice
}

// draw returns a random index, or 0 if there are no items.
func (c weightedChoice) draw(rng *rand.Rand) int {
	if len(c.cumulative) == 0 {
		return 0
	}
	last := len(c.cumulative) - 1
	drawn := rng.Float64() * c.cumulative[last]
	for index, upperBound := range c.cumulative {
		if drawn < upperBound {
			return index
		}
	}
	return last
}
