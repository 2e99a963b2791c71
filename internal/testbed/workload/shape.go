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

// maxRate bounds the rates of a phase, in requests per second.
const maxRate = 1_000_000

// Bounds of the number of steps of a phase.
const (
	minSteps = 2
	maxSteps = 1000
)

// The values of Phase.Shape.
const (
	ShapeConstant = "constant"
	ShapePoisson  = "poisson"
	ShapeRamp     = "ramp"
	ShapeStep     = "step"
	ShapeBurst    = "burst"
)

// Phase is one [[load.phase]] of an experiment file. Rates are in requests per second.
type Phase struct {
	Shape string        `toml:"shape"` // constant, poisson, step, ramp or burst
	Rate  float64       `toml:"rate"`
	To    float64       `toml:"to"`    // step, ramp: the rate at the end; burst: the rate within one
	For   unit.Duration `toml:"for"`   // how long the phase lasts
	Steps int           `toml:"steps"` // step: how many, the first at rate and the last at to
	Every unit.Duration `toml:"every"` // burst: from one burst's start to the next; the first starts after Every-Width
	Width unit.Duration `toml:"width"` // burst: how long one lasts
	Even  bool          `toml:"even"`  // arrivals evenly spaced instead of Poisson
}

// Segment is an interval over which the rate changes linearly.
type Segment struct {
	From float64 // rate at the start, in requests per second
	To   float64 // rate at the end, in requests per second
	For  time.Duration
	Even bool // arrivals are evenly spaced instead of Poisson
}

// rateAt returns the rate at time t of the segment.
func (s Segment) rateAt(t time.Duration) float64 {
	if s.For <= 0 {
		return s.To
	}
	return s.From + (s.To-s.From)*t.Seconds()/s.For.Seconds()
}

// expectedArrivals returns the mean number of arrivals in the segment.
func (s Segment) expectedArrivals() float64 { return (s.From + s.To) / 2 * s.For.Seconds() }

// timeOfArrival returns the time within the segment by which the mean number of arrivals reaches expected.
func (s Segment) timeOfArrival(expected float64) time.Duration {
	slope := (s.To - s.From) / s.For.Seconds()
	// Solves expected = From*t + slope*t*t/2, in the form that is numerically stable for a small slope.
	t := 2 * expected / (s.From + math.Sqrt(max(s.From*s.From+2*slope*expected, 0)))
	return min(time.Duration(t*float64(time.Second)), s.For)
}

// split cuts a segment in two at time t within it.
func (s Segment) split(t time.Duration) (before, after Segment) {
	before, after = s, s
	before.To = s.rateAt(t)
	before.For = t
	after.From = s.rateAt(t)
	after.For = s.For - t
	return before, after
}

// Segments converts phases to segments. The error names the phase and the key.
func Segments(phases []Phase) (segments []Segment, err error) {
	for n, phase := range phases {
		more, err := phase.segments()
		if err != nil {
			return nil, fmt.Errorf("load.phase[%d].%w", n, err)
		}
		segments = append(segments, more...)
	}
	return segments, nil
}

// segments returns the segments of a phase. The error text begins with the key.
func (p Phase) segments() ([]Segment, error) {
	switch {
	case p.For <= 0:
		return nil, errors.New("for: must be greater than 0")
	case !(p.Rate >= 0 && p.Rate <= maxRate):
		return nil, fmt.Errorf("rate: %v, must be from 0 to %d per second", p.Rate, maxRate)
	case !(p.To >= 0 && p.To <= maxRate):
		return nil, fmt.Errorf("to: %v, must be from 0 to %d per second", p.To, maxRate)
	}
	switch p.Shape {
	case ShapeConstant:
		return []Segment{{From: p.Rate, To: p.Rate, For: p.For.Std(), Even: true}}, nil
	case ShapePoisson:
		return []Segment{p.steady(p.Rate, p.For.Std())}, nil
	case ShapeRamp:
		return []Segment{{From: p.Rate, To: p.To, For: p.For.Std(), Even: p.Even}}, nil
	case ShapeStep:
		return p.stepSegments()
	case ShapeBurst:
		return p.burstSegments()
	}
	return nil, fmt.Errorf("shape: %q, must be constant, poisson, step, ramp or burst", p.Shape)
}

// steady returns a segment of the phase with a constant rate.
func (p Phase) steady(rate float64, duration time.Duration) Segment {
	return Segment{From: rate, To: rate, For: duration, Even: p.Even}
}

// stepSegments returns steps of equal length, whose rates grow evenly from Rate to To.
func (p Phase) stepSegments() (segments []Segment, err error) {
	if p.Steps < minSteps || p.Steps > maxSteps {
		return nil, fmt.Errorf("steps: %d, must be from %d to %d", p.Steps, minSteps, maxSteps)
	}
	for step := range p.Steps {
		rate := p.Rate + (p.To-p.Rate)*float64(step)/float64(p.Steps-1)
		segments = append(segments, p.steady(rate, p.For.Std()/time.Duration(p.Steps)))
	}
	return segments, nil
}

// burstSegments returns calm segments at Rate, each followed by a burst at To of the phase's width.
func (p Phase) burstSegments() (segments []Segment, err error) {
	if p.Width <= 0 || p.Every <= p.Width {
		return nil, errors.New("every: must be longer than width, and width greater than 0")
	}
	total := p.For.Std()
	for at := time.Duration(0); at < total; at += p.Every.Std() {
		calm := min(p.Every.Std()-p.Width.Std(), total-at)
		segments = append(segments, p.steady(p.Rate, calm))
		if width := min(p.Width.Std(), total-at-calm); width > 0 {
			segments = append(segments, p.steady(p.To, width))
		}
	}
	return segments, nil
}

// ScaleWithin returns segments of the same total length whose rates are multiplied by factor between from and to, and
// 0 outside. Both times are since the start of the first segment.
func ScaleWithin(segments []Segment, from, to time.Duration, factor float64) (out []Segment) {
	factorAt := func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor
		}
		return 0
	}
	at := time.Duration(0)
	for _, segment := range segments {
		for _, boundary := range []time.Duration{from, to} {
			if boundary <= at || boundary >= at+segment.For {
				continue
			}
			before, after := segment.split(boundary - at)
			out = append(out, before.scaled(factorAt(at)))
			at = boundary
			segment = after
		}
		out = append(out, segment.scaled(factorAt(at)))
		at += segment.For
	}
	return out
}

// scaled returns the segment with its rates multiplied by a factor.
func (s Segment) scaled(factor float64) Segment {
	s.From *= factor
	s.To *= factor
	return s
}

// firstEvenArrival is the expected number of arrivals before the first evenly spaced one: it comes half a gap in.
const firstEvenArrival = 0.5

// drawTimes draws arrival times. Counted in expected arrivals, Poisson arrivals have exponential gaps and even ones
// gaps of 1. timeOfArrival then maps these onto the segment's changing rate.
func drawTimes(segments []Segment, rng *rand.Rand) (times []time.Duration) {
	start := time.Duration(0) // of the segment
	untilNext := 0.0          // expected arrivals from the start of the segment to the next arrival
	for n, segment := range segments {
		if n == 0 {
			untilNext = firstEvenArrival
			if !segment.Even {
				untilNext = rng.ExpFloat64()
			}
		}
		for expected := segment.expectedArrivals(); expected > 0; {
			if untilNext > expected {
				untilNext -= expected
				break
			}
			times = append(times, start+segment.timeOfArrival(untilNext))
			if segment.Even {
				untilNext++
			} else {
				untilNext += rng.ExpFloat64()
			}
		}
		start += segment.For
	}
	slices.Sort(times)
	return times
}

// TotalDuration returns the sum of the segments' lengths.
func TotalDuration(segments []Segment) (total time.Duration) {
	for _, segment := range segments {
		total += segment.For
	}
	return total
}
