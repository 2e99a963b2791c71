package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Phase is one part of the load, in the words of an experiment file. Rates are in invocations a second.
type Phase struct {
	Shape string        `toml:"shape"` // constant, poisson, step, ramp or burst
	Rate  float64       `toml:"rate"`
	To    float64       `toml:"to"`    // step, ramp: the rate at the end; burst: the rate within one
	For   unit.Duration `toml:"for"`   // how long the phase lasts
	Steps int           `toml:"steps"` // step: how many, the first at rate and the last at to
	Every unit.Duration `toml:"every"` // burst: from the start of one to the next; the first after one such time
	Width unit.Duration `toml:"width"` // burst: how long one lasts
	Even  bool          `toml:"even"`  // arrivals at equal distances instead of by chance
}

// Segment is a stretch of time over which the rate goes from one figure to another in a straight line.
type Segment struct {
	From, To float64 // invocations a second
	For      time.Duration
	Even     bool
}

func (s Segment) rateAt(t time.Duration) float64 {
	if s.For <= 0 {
		return s.To
	}
	return s.From + (s.To-s.From)*t.Seconds()/s.For.Seconds()
}

// expectedArrivals is the mean number of arrivals.
func (s Segment) expectedArrivals() float64 { return (s.From + s.To) / 2 * s.For.Seconds() }

// timeOfArrival is the time within the segment by which so many arrivals are due on the mean.
func (s Segment) timeOfArrival(mass float64) time.Duration {
	slope := (s.To - s.From) / s.For.Seconds()
	// mass = From*t + slope*t*t/2, in the form that holds its precision where the slope is small.
	t := 2 * mass / (s.From + math.Sqrt(max(s.From*s.From+2*slope*mass, 0)))
	return min(time.Duration(t*float64(time.Second)), s.For)
}

// split splits a segment in two at a time within it.
func (s Segment) split(t time.Duration) (Segment, Segment) {
	a, b := s, s
	a.To, a.For = s.rateAt(t), t
	b.From, b.For = s.rateAt(t), s.For-t
	return a, b
}

// Segments turns phases into segments. The error names the phase and the key.
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
		return nil, fmt.Errorf("for: must be more than nothing")
	case !(p.Rate >= 0 && p.Rate <= 1e6):
		return nil, fmt.Errorf("rate: %v, must be from 0 to 1000000 a second", p.Rate)
	case !(p.To >= 0 && p.To <= 1e6):
		return nil, fmt.Errorf("to: %v, must be from 0 to 1000000 a second", p.To)
	}
	long := p.For.Std()
	switch p.Shape {
	case "constant":
		return []Segment{{p.Rate, p.Rate, long, true}}, nil
	case "poisson":
		return []Segment{{p.Rate, p.Rate, long, p.Even}}, nil
	case "ramp":
		return []Segment{{p.Rate, p.To, long, p.Even}}, nil
	case "step":
		if p.Steps < 2 || p.Steps > 1000 {
			return nil, fmt.Errorf("steps: %d, must be from 2 to 1000", p.Steps)
		}
		var out []Segment
		for k := range p.Steps {
			r := p.Rate + (p.To-p.Rate)*float64(k)/float64(p.Steps-1)
			out = append(out, Segment{r, r, long / time.Duration(p.Steps), p.Even})
		}
		return out, nil
	case "burst":
		if p.Width <= 0 || p.Every <= p.Width {
			return nil, fmt.Errorf("every: must be longer than width, and width more than nothing")
		}
		var out []Segment
		for at := time.Duration(0); at < long; at += p.Every.Std() {
			calm := min(p.Every.Std()-p.Width.Std(), long-at)
			out = append(out, Segment{p.Rate, p.Rate, calm, p.Even})
			if width := min(p.Width.Std(), long-at-calm); width > 0 {
				out = append(out, Segment{p.To, p.To, width, p.Even})
			}
		}
		return out, nil
	}
	return nil, fmt.Errorf("shape: %q, must be constant, poisson, step, ramp or burst", p.Shape)
}

// ScaleWithin keeps of segments what lies from one time to another, the rest at no rate, and multiplies the rates.
func ScaleWithin(segments []Segment, from, to time.Duration, factor float64) (out []Segment) {
	at := time.Duration(0)
	for _, s := range segments {
		for _, boundary := range []time.Duration{from, to} {
			if boundary > at && boundary < at+s.For {
				a, b := s.split(boundary - at)
				out, at, s = append(out, scaled(a, at >= from && at < to, factor)), boundary, b
			}
		}
		out, at = append(out, scaled(s, at >= from && at < to, factor)), at+s.For
	}
	return out
}

func scaled(s Segment, in bool, factor float64) Segment {
	if !in {
		factor = 0
	}
	s.From, s.To = s.From*factor, s.To*factor
	return s
}

// drawTimes draws times. In terms of the mean number due, arrivals by chance are exponential distances apart
// and even ones lie one apart; a change of the rate within a segment stretches time, not the draw.
func drawTimes(segments []Segment, rng *rand.Rand) (at []time.Duration) {
	start, next := time.Duration(0), -1.0
	for _, s := range segments {
		if next < 0 { // an even load begins in the middle of its first distance
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

// TotalDuration is how long segments last in all.
func TotalDuration(segments []Segment) (d time.Duration) {
	for _, s := range segments {
		d += s.For
	}
	return d
}
