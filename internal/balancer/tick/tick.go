// Package tick defines the units in which the balancer counts time and work.
//
// A tick is a tenth of a millisecond. Moments, spans and work have types of their own, so that the compiler tells them
// apart. All are whole numbers, so sums do not depend on their order.
package tick

import (
	"math"
	"time"
)

// Time is a moment, in ticks since an origin that the caller of the balancer chooses.
type Time int64

// Duration is a span of time, in ticks.
type Duration int64

// Work is the time that a core of standard speed needs for something, in ticks.
type Work int64

// Second is one second as a Duration, and as a Work on a core of standard speed.
const Second = 10_000

// Unit is the length of one tick.
const Unit = time.Second / Second

// Millisecond is one millisecond.
const Millisecond = Duration(time.Millisecond / Unit)

const (
	// Never is a moment that does not come.
	Never = Time(math.MaxInt64)
	// Forever is a span that does not end.
	Forever = Duration(math.MaxInt64)
)

// DurationOf rounds a duration of the standard library down to whole ticks.
func DurationOf(d time.Duration) Duration { return Duration(d / Unit) }

// Standard returns d as the standard library has it.
func (d Duration) Standard() time.Duration { return time.Duration(d) * Unit }

// Add returns the moment that is d after t.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the span from an earlier moment to t; it is negative if t is the earlier one.
func (t Time) Sub(earlier Time) Duration { return Duration(t - earlier) }

// Ratio is a fraction of a span.
type Ratio struct {
	Numerator   Duration
	Denominator Duration
}

// Of returns the fraction of d, rounded down to whole ticks.
func (r Ratio) Of(d Duration) Duration { return d * r.Numerator / r.Denominator }
