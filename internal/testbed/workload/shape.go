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
	From, To float64 // requests per second
	For      time.Duration
	Even     bool
}

// rateAt is the rate at time t of the segment.
func (s Segment) rateAt(t time.Duration) float64 {
	if s.For <= 0 {
		return s.To
	}
	return s.From + (s.To-s.From)*t.Seconds()/s.For.Seconds()
}

// expectedArrivals is the mean number of arrivals in the segment.
func (s Segment) expectedArrivals() float64 { return (s.From + s.To) / 2 * s.For.Seconds() }

// timeOfArrival returns the time within the segment by which the expected number of arrivals reaches expected.
func (s Segment) timeOfArrival(mass float64) time.Duration {
	slope := (s.To - s.From) / s.For.Seconds()
	// Solves expected = From*t + slope*t*t/2, in the form that is numerically stable for a small slope.
	t := 2 * mass / (s.From + math.Sqrt(max(s.From*s.From+2*slope*mass, 0)))
	return min(time.Duration(t*float64(time.Second)), s.For)
}

// split cuts a segment in two at time t within it.
func (s Segment) split(t time.Duration) (Segment, Segment) {
	a, b := s, s
	a.To = s.rateAt(t)
	a.For = t
	b.From = s.rateAt(t)
	b.For = s.For - t
	return a, b
}

// Segments converts phases to segments. The error names the phase and the key.
func Segments(phases []Phase) (segments []Segment, err error) {
	for n, p := range phases {
		more, err := p.segments()
		if err != nil {
			return nil, fmt.Errorf("load.phase[%d].%w", n, err)
		}
		segments = append(segments, more...)
	}
	return segments, nil
}

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
	case "constant":
		return []Segment{{p.Rate, p.Rate, p.For.Std(), true}}, nil
	case "poisson":
		return []Segment{{p.Rate, p.Rate, p.For.Std(), p.Even}}, nil
	case "ramp":
		return []Segment{{p.Rate, p.To, p.For.Std(), p.Even}}, nil
	case "step":
		return p.stepSegments()
	case "burst":
		return p.burstSegments()
	}
	return nil, fmt.Errorf("shape: %q, must be constant, poisson, step, ramp or burst", p.Shape)
}

func (p Phase) stepSegments() (segments []Segment, err error) {
	if p.Steps < 2 || p.Steps > 1000 {
		return nil, fmt.Errorf("steps: %d, must be from 2 to 1000", p.Steps)
	}
	for k := range p.Steps {
		rate := p.Rate + (p.To-p.Rate)*float64(k)/float64(p.Steps-1)
		segments = append(segments, Segment{rate, rate, p.For.Std() / time.Duration(p.Steps), p.Even})
	}
	return segments, nil
}

func (p Phase) burstSegments() (segments []Segment, err error) {
	if p.Width <= 0 || p.Every <= p.Width {
		return nil, errors.New("every: must be longer than width, and width greater than 0")
	}
	total := p.For.Std()
	for at := time.Duration(0); at < total; at += p.Every.Std() {
		calm := min(p.Every.Std()-p.Width.Std(), total-at)
		segments = append(segments, Segment{p.Rate, p.Rate, calm, p.Even})
		if width := min(p.Width.Std(), total-at-calm); width > 0 {
			segments = append(segments, Segment{p.To, p.To, width, p.Even})
		}
	}
	return segments, nil
}

// ScaleWithin returns segments of the same total length whose rates are multiplied by factor between from and to, and
// 0 outside.
func ScaleWithin(segments []Segment, from, to time.Duration, factor float64) (out []Segment) {
	at := time.Duration(0)
	for _, s := range segments {
		for _, boundary := range []time.Duration{from, to} {
			if boundary <= at || boundary >= at+s.For {
				continue
			}
			before, after := s.split(boundary - at)
			out = append(out, scaled(before, at >= from && at < to, factor))
			at = boundary
			s = after
		}
		out = append(out, scaled(s, at >= from && at < to, factor))
		at += s.For
	}
	return out
}

// scaled multiplies a segment's rates by factor if it lies within the interval, else by 0.
func scaled(s Segment, within bool, factor float64) Segment {
	if !within {
		factor = 0
	}
	s.From *= factor
	s.To *= factor
	return s
}

// drawTimes draws arrival times. Measured in expected arrivals, Poisson arrivals have exponential gaps and even ones
// gaps of 1; timeOfArrival then maps these onto the segment's changing rate.
func drawTimes(segments []Segment, rng *rand.Rand) (at []time.Duration) {
	start, next := time.Duration(0), -1.0
	for _, s := range segments {
		if next < 0 { // evenly spaced arrivals start half a gap in
			next = 0.5
			if !s.Even {
				next = rng.ExpFloat64()
			}
		}
		for mass := s.expectedArrivals(); mass > 0; {
			if next > mass {
				next -= mass
				break
			}
			at = append(at, start+s.timeOfArrival(next))
			if s.Even {
				next++
			} else {
				next += rng.ExpFloat64()
			}
		}
		start += s.For
	}
	slices.Sort(at)
	return at
}

// TotalDuration is the sum of the segments' lengths.
func TotalDuration(segments []Segment) (d time.Duration) {
	for _, s := range segments {
		d += s.For
	}
	return d
}
