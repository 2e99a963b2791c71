// Package admission decides how much of what comes is taken in while there is more than the process can decide. It does
// no I/O and reads no clock.
//
// The signal is how long what comes waits before it is read, told by beats at equal times. It is taken as standing
// only where its least value over an interval is long, as in CoDel (Nichols and Jacobson, "Controlling queue delay",
// 2012): a burst that drains, or a pause of the machine, has short moments in it.
package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// Bounds.
const (
	SampleInterval = 10 * time.Millisecond // from one beat to the next
	Interval       = 40 * time.Millisecond // over which a delay has to stand
	Target         = 10 * time.Millisecond // the delay that is taken for none
	leastPer       = 1500.0                // heads a second and core: below it, delays are not of our making
	leastNow       = 8                     // heads in an interval, before which there is nothing to find out
	floor          = 1.0 / 32              // of what comes is taken however long the delay
	opens          = 0.06                  // of it more after an interval without, and a tenth of that of all
	steepest       = 0.5                   // of it is kept at least after one with
)

// Controller takes beats from one goroutine, and is asked by many.
type Controller struct {
	cores float64

	ends  time.Duration // of the interval, on the beats' clock
	least time.Duration // delay within it

	heads atomic.Int64 // within the interval
	asked atomic.Uint64
	share atomic.Uint64 // of what comes that is taken, as bits of a float
}

// New makes a door that is open.
func New(cores float64) *Controller {
	d := &Controller{cores: cores, least: math.MaxInt64}
	d.share.Store(math.Float64bits(1))
	return d
}

// AdmittedShare is how much of what comes is taken now, from 0 to 1.
func (d *Controller) AdmittedShare() float64 { return math.Float64frombits(d.share.Load()) }

// Admit tells whether to take one more in. Those taken are spread evenly among those that come.
func (d *Controller) Admit() bool {
	d.heads.Add(1)
	share := d.AdmittedShare()
	if share >= 1 {
		return true
	}
	n := float64(d.asked.Add(1) % (1 << 40))
	return math.Floor(n*share) != math.Floor((n-1)*share)
}

// Overloaded tells whether a beat is worth its cost: else what comes is taken to wait for nothing.
func (d *Controller) Overloaded() bool { return d.Examined() >= leastNow }

// Examined is what has come in this interval.
func (d *Controller) Examined() int64 { return d.heads.Load() }

// ObserveDelay tells how long a beat that was sent at a time has waited, and moves the door at the end of each interval.
func (d *Controller) ObserveDelay(due, late time.Duration) {
	d.least = min(d.least, late)
	if due < d.ends {
		return
	}
	heads := float64(d.heads.Swap(0))
	many := heads >= leastPer*d.cores*Interval.Seconds()
	share, wait := d.AdmittedShare(), Interval
	if d.least > Target && many {
		wait += d.least // what waits already has to pass before another step shows anything
		share *= max(float64(Target)/float64(d.least), steepest)
	} else {
		share += opens * (share + 0.1)
	}
	d.share.Store(math.Float64bits(min(max(share, floor), 1)))
	d.ends, d.least = due+wait, math.MaxInt64
}
