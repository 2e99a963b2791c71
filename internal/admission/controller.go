// Package admission sheds load while requests arrive faster than the process can read them: it decides for each request
// whether it is admitted. It does no I/O and reads no clock. Its caller measures the queueing delay, and rejects the
// requests that are not admitted.
//
// The signal is the queueing delay: the time from the arrival of data until the process reads it. It is sampled at
// equal intervals. As in CoDel (Nichols and Jacobson, "Controlling queue delay", 2012), only the minimum over an
// interval counts. A burst that drains, or a pause of the machine, leaves at least one sample with a short delay; a
// standing queue leaves none.
//
// Once an interval ObserveDelay adjusts the admitted share. It lowers the share, in proportion to the delay, if the
// least delay exceeds Target and the process is busy. Otherwise it raises the share. Admit admits requests by that
// share.
package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// Timing.
const (
	SampleInterval = 10 * time.Millisecond // between two samples of the queueing delay
	Interval       = 40 * time.Millisecond // least time between two changes of the share
	Target         = 10 * time.Millisecond // least queueing delay of an interval that counts as a standing queue
)

// Bounds and steps of the admitted share: the part of the requests that is admitted, from minShare to allAdmitted.
const (
	allAdmitted   = 1.0      // no load is shed
	minShare      = 1.0 / 32 // admitted however long the delay
	maxDecrease   = 0.5      // least factor by which one interval lowers the share
	increase      = 0.06     // of the share and increaseFloor is added by one interval
	increaseFloor = 0.1      // added to the share for its increase, so that a small share recovers too
)

// Load below which delays are ignored.
const (
	minRatePerCore = 1500.0 // requests a second and core; below it, delays have other causes than requests
	minExamined    = 8      // requests in an interval; below it, a sample costs more than it can show
)

// Controller admits requests. One goroutine samples, by ObserveDelay. Many may call the other methods.
type Controller struct {
	cores float64 // that the process may use

	// Owned by the goroutine that samples.
	intervalEnds time.Duration // on the clock of the samples
	minDelay     time.Duration // least delay in the interval; noSample before the first one

	examined atomic.Int64  // requests in the interval
	sequence atomic.Uint64 // number of the last request that came while load was shed
	share    atomic.Uint64 // admitted share, as the bits of a float64
}

// noSample is longer than any delay.
const noSample time.Duration = math.MaxInt64

// New returns a controller that admits all requests at first. cores is how many cores the process may use.
func New(cores float64) *Controller {
	c := &Controller{cores: cores, minDelay: noSample}
	c.setShare(allAdmitted)
	return c
}

// AdmittedShare returns the share of the requests that is admitted now: 1 for all, and never 0.
func (c *Controller) AdmittedShare() float64 { return math.Float64frombits(c.share.Load()) }

func (c *Controller) setShare(share float64) { c.share.Store(math.Float64bits(share)) }

// Admit reports whether one more request is admitted. While load is shed, admitted requests are spread evenly. The n-th
// one is admitted if the whole part of n times the share exceeds that of n-1 times the share.
func (c *Controller) Admit() bool {
	// A float64 has 53 bits: numbers below 1 << 40 leave 13 of them to the fraction of the product.
	const sequenceSize = 1 << 40
	c.examined.Add(1)
	share := c.AdmittedShare()
	if share >= allAdmitted {
		return true
	}
	n := float64(c.sequence.Add(1) % sequenceSize)
	return math.Floor(n*share) != math.Floor((n-1)*share)
}

// ShouldSample reports whether enough requests came in this interval for a sample to be worth its cost. If not, the
// caller passes a delay of 0 to ObserveDelay instead of measuring it.
func (c *Controller) ShouldSample() bool { return c.Examined() >= minExamined }

// Examined returns how many requests came in this interval, admitted or not.
func (c *Controller) Examined() int64 { return c.examined.Load() }

// ObserveDelay takes a sample of the queueing delay: data that was sent at sentAt, on the caller's monotonic clock, was
// read delay later. The sample that ends an interval changes the share, and begins the next interval.
func (c *Controller) ObserveDelay(sentAt, delay time.Duration) {
	c.minDelay = min(c.minDelay, delay)
	if sentAt < c.intervalEnds {
		return
	}
	examined := float64(c.examined.Swap(0))
	isBusy := examined >= minRatePerCore*c.cores*Interval.Seconds()
	if c.minDelay > Target && isBusy {
		c.decreaseShare()
		// Queued requests have to be read before the new share shows an effect.
		c.intervalEnds = sentAt + Interval + c.minDelay
	} else {
		c.increaseShare()
		c.intervalEnds = sentAt + Interval
	}
	c.minDelay = noSample
}

// decreaseShare lowers the share in proportion to the delay.
func (c *Controller) decreaseShare() {
	factor := max(float64(Target)/float64(c.minDelay), maxDecrease)
	c.setShare(max(c.AdmittedShare()*factor, minShare))
}

// increaseShare raises the share by a fraction of it.
func (c *Controller) increaseShare() {
	share := c.AdmittedShare()
	c.setShare(min(share+increase*(share+increaseFloor), allAdmitted))
}
