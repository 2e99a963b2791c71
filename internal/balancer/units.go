package balancer

import (
	"time"

	"canvasroute/internal/balancer/tick"
)

// Time is a moment, in ticks since an origin that the caller chooses.
type Time = tick.Time

// Duration is a span of time, in ticks.
type Duration = tick.Duration

// Work is the time that a core of standard speed needs for something, in ticks.
type Work = tick.Work

const (
	// Second is one second as a Duration or a Work, in ticks.
	Second = tick.Second
	// Tick is the length of one tick.
	Tick = tick.Unit

	// LongAgo is the moment before all others. Fields that hold a moment have it for what happened before anybody knew,
	// or has not happened; notYet, noExit and noFleetRestart are other names of it.
	LongAgo Time = 0

	never   = tick.Never
	forever = tick.Forever
)

// DurationOf rounds a duration of the standard library down to whole ticks.
func DurationOf(d time.Duration) Duration { return tick.DurationOf(d) }
