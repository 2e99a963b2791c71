package balancer

import (
	"time"

	"canvasroute/internal/balancer/tick"
)

// Time is a timestamp, in ticks since an origin that the caller chooses.
type Time = tick.Time

// Duration is a length of time, in ticks.
type Duration = tick.Duration

// Work is an amount of work, measured as the time that a core of standard speed needs for it, in ticks.
type Work = tick.Work

const (
	// Second is one second as a Duration or a Work, in ticks.
	Second = tick.Second
	// Tick is the length of one tick.
	Tick = tick.Unit

	// DistantPast is the earliest Time. Timestamp fields hold it for events that have not happened, or that happened
	// before the balancer could observe them. notYet, noExit and noFleetRestart have the same value.
	DistantPast Time = 0

	never   = tick.Never
	forever = tick.Forever
)

// DurationOf rounds a duration of the standard library down to whole ticks.
func DurationOf(d time.Duration) Duration { return tick.DurationOf(d) }
