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

// maxRate is the maximum rate of a phase, in requests per second.
const maxRate = 1_000_000

// Limits of the number of steps of a phase.
const (
	minSteps = 2
	maxSteps = 1000
)

// Values of Phase.Shape.
const (
	ShapeConstant = "constant"
	ShapePoisson  = "poisson"
	ShapeRamp     = "ramp"
	ShapeStep     = "step"
	ShapeBurst    = "burst"
)

// Phase is one [[load.phase]] of an experiment file. Rates are in requests per second.
type Phase struct {
	Shape    string        `toml:"shape"` // constant, poisson, step, ramp or burst
	Rate     float64       `toml:"rate"`
	EndRate  float64       `toml:"to"`    // step, ramp: rate at the end; burst: rate during a burst
	Length   unit.Duration `toml:"for"`   // duration of the phase
	Steps    int           `toml:"steps"` // step: number of steps; the first has rate Rate, the last EndRate
	Interval unit.Duration `toml:"every"` // burst: time between starts; the first burst starts after Interval-Width
	Width    unit.Duration `toml:"width"` // burst: duration of a burst
	Even     bool          `toml:"even"`  // arrivals are evenly spaced instead of Poisson
}

// Segment is an interval in which the rate changes linearly.
type Segment struct {
	StartRate float64 // rate at the start, in requests per second
	EndRate   float64 // rate at the end, in requests per second
	Length    time.Duration
	Even      bool // arrivals are evenly spaced instead of Poisson
}

// rateAt returns the rate at time t after the start of the segment.
func (s Segment) rateAt(t time.Duration) float64 {
	if s.Length <= 0 {
		return s.EndRate
	}
	return s.StartRate + (s.EndRate-s.StartRate)*t.Seconds()/s.Length.Seconds()
}

// expectedArrivals returns the mean number of arrivals in the segment.
func (s Segment) expectedArrivals() float64 {
	return (s.StartRate + s.EndRate) / 2 * s.Length.Seconds()
}

// timeOfArrival returns the time, since the start of the segment, at which the mean number of arrivals reaches
// expected.
func (s Segment) timeOfArrival(expected float64) time.Duration {
	slope := (s.EndRate - s.StartRate) / s.Length.Seconds()
	// Solves expected = StartRate*t + slope*t*t/2 in a form that is numerically stable for small slopes.
	t := 2 * expected / (s.StartRate + math.Sqrt(max(s.StartRate*s.StartRate+2*slope*expected, 0)))
	return min(time.Duration(t*float64(time.Second)), s.Length)
}

// split divides a segment at time t after its start.
func (s Segment) split(t time.Duration) (before, after Segment) {
	before, after = s, s
	before.EndRate = s.rateAt(t)
	before.Length = t
	after.StartRate = s.rateAt(t)
	after.Length = s.Length - t
	return before, after
}

// Segments converts phases to segments. It returns an error that names the phase and the key if a phase is invalid.
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

// segments returns the segments of a phase. If a key is invalid, the text of the error begins with the key.
func (p Phase) segments() ([]Segment, error) {
	switch {
	case p.Length <= 0:
		return nil, errors.New("for: must be greater than 0")
	case !(p.Rate >= 0 && p.Rate <= maxRate):
		return nil, fmt.Errorf("rate: %v, must be from 0 to %d per second", p.Rate, maxRate)
	case !(p.EndRate >= 0 && p.EndRate <= maxRate):
		return nil, fmt.Errorf("to: %v, must be from 0 to %d per second", p.EndRate, maxRate)
	}
	switch p.Shape {
	case ShapeConstant:
		return []Segment{{StartRate: p.Rate, EndRate: p.Rate, Length: p.Length.Std(), Even: true}}, nil
	case ShapePoisson:
		return []Segment{p.constantSegment(p.Rate, p.Length.Std())}, nil
	case ShapeRamp:
		return []Segment{{StartRate: p.Rate, EndRate: p.EndRate, Length: p.Length.Std(), Even: p.Even}}, nil
	case ShapeStep:
		return p.stepSegments()
	case ShapeBurst:
		return p.burstSegments()
	}
	return nil, fmt.Errorf("shape: %q, must be constant, poisson, step, ramp or burst", p.Shape)
}

// constantSegment returns a segment of the phase with a constant rate.
func (p Phase) constantSegment(rate float64, duration time.Duration) Segment {
	return Segment{StartRate: rate, EndRate: rate, Length: duration, Even: p.Even}
}

// stepSegments returns segments of equal duration whose rates change in equal steps from Rate to EndRate.
func (p Phase) stepSegments() (segments []Segment, err error) {
	if p.Steps < minSteps || p.Steps > maxSteps {
		return nil, fmt.Errorf("steps: %d, must be from %d to %d", p.Steps, minSteps, maxSteps)
	}
	for step := range p.Steps {
		rate := p.Rate + (p.EndRate-p.Rate)*float64(step)/float64(p.Steps-1)
		segments = append(segments, p.constantSegment(rate, p.Length.Std()/time.Duration(p.Steps)))
	}
	return segments, nil
}

// burstSegments returns segments at the base rate Rate, each followed by a burst at EndRate with the duration Width.
func (p Phase) burstSegments() (segments []Segment, err error) {
	if p.Width <= 0 || p.Interval <= p.Width {
		return nil, errors.New("every: must be longer than width, and width greater than 0")
	}
	total := p.Length.Std()
	for at := time.Duration(0); at < total; at += p.Interval.Std() {
		baseDuration := min(p.Interval.Std()-p.Width.Std(), total-at)
		segments = append(segments, p.constantSegment(p.Rate, baseDuration))
		if width := min(p.Width.Std(), total-at-baseDuration); width > 0 {
			segments = append(segments, p.constantSegment(p.EndRate, width))
		}
	}
	return segments, nil
}

// ScaleWithin returns segments of the same total duration. Their rates are multiplied by factor between from and to,
// and are 0 outside. Both times are since the start of the first segment.
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
			if boundary <= at || boundary >= at+segment.Length {
				continue
			}
			before, after := segment.split(boundary - at)
			out = append(out, before.scaled(factorAt(at)))
			at = boundary
			segment = after
		}
		out = append(out, segment.scaled(factorAt(at)))
		at += segment.Length
	}
	return out
}

// scaled returns the segment with its rates multiplied by a factor.
func (s Segment) scaled(factor float64) Segment {
	s.StartRate *= factor
	s.EndRate *= factor
	return s
}

// firstEvenArrival is the expected number of arrivals before the first evenly spaced arrival, which is half a gap after
// the start.
const firstEvenArrival = 0.5

// drawTimes draws arrival times. Gaps are drawn in units of expected arrivals: exponential gaps for Poisson arrivals,
// and gaps of 1 for evenly spaced arrivals. timeOfArrival converts them to times at the changing rate of the segment.
func drawTimes(segments []Segment, rng *rand.Rand) (times []time.Duration) {
	start := time.Duration(0) // start of the segment
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
		start += segment.Length
	}
	slices.Sort(times)
	return times
}

// TotalDuration returns the sum of the segments' durations.
func TotalDuration(segments []Segment) (total time.Duration) {
	for _, segment := range segments {
		total += segment.Length
	}
	return total
}
