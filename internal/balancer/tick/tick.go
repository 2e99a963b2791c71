// Package tick defines the units of time and work in the balancer.
//
// A tick is a tenth of a millisecond. Times, durations and work have distinct types, so that the compiler detects
// mix-ups. All are integers, so sums do not depend on the order of addition.
package tick

import (
	"math"
	"time"
)

// Time is a timestamp, in ticks since an origin that the caller of the balancer chooses.
type Time int64

// Duration is a length of time, in ticks.
type Duration int64

// Work is an amount of work, measured as the time that a core of standard speed needs for it, in ticks.
type Work int64

// Second is one second as a Duration, and the work of one second on a core of standard speed as a Work.
const Second = 10_000

// Unit is the length of one tick.
const Unit = time.Second / Second

// Millisecond is one millisecond.
const Millisecond = Duration(time.Millisecond / Unit)

const (
	// Never is the latest Time, which is never reached.
	Never = Time(math.MaxInt64)
	// Forever is an unlimited duration.
	Forever = Duration(math.MaxInt64)
)

// DurationOf converts a standard library duration, rounded down to whole ticks.
func DurationOf(d time.Duration) Duration { return Duration(d / Unit) }

// Standard returns d as a standard library duration.
func (d Duration) Standard() time.Duration { return time.Duration(d) * Unit }

// Add returns the time t+d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration t-earlier, which is negative if t is before earlier.
func (t Time) Sub(earlier Time) Duration { return Duration(t - earlier) }

// Ratio is a fraction of a duration.
type Ratio struct {
	Numerator   Duration
	Denominator Duration
}

// Of returns the fraction of d, rounded down to whole ticks.
func (r Ratio) Of(d Duration) Duration { return d * r.Numerator / r.Denominator }
