// Package admission sheds load while more requests arrive than the process can handle: it decides for each one whether
// it is admitted. It does no I/O and reads no clock; its caller measures the queueing delay, and answers what is not
// admitted.
//
// The signal is the queueing delay, from a request's arrival to its being read, as samples at equal intervals show it.
// As in CoDel (Nichols and Jacobson, "Controlling queue delay", 2012), only the minimum over an interval counts: a burst
// that drains, or a pause of the machine, has samples with a short delay in it, and a standing queue has none.
package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// Timing.
const (
	SampleInterval = 10 * time.Millisecond // between two samples of the queueing delay
	Interval       = 40 * time.Millisecond // at least, between two changes of the share
	Target         = 10 * time.Millisecond // queueing delay up to which requests are taken not to wait
)

// Bounds and steps of the share of requests that are admitted.
const (
	minShare         = 1.0 / 32 // is admitted however long the delay
	maxDecrease      = 0.5      // of the share is left at least after one interval
	increase         = 0.06     // of the share is added after an interval without a standing queue
	constantIncrease = 0.1      // counts as part of the share for its increase, so that a small one grows too
)

// Load below which delays are ignored.
const (
	minRatePerCore = 1500.0 // requests a second and core: below it, delays have other causes than requests
	minExamined    = 8      // requests in an interval: below it, sampling costs more than it can show
)

// Controller admits requests. Samples come from one goroutine; Admit and the getters may be called by many.
type Controller struct {
	cores float64

	// Of the goroutine that samples.
	intervalEnds time.Duration // on the samples' clock
	minDelay     time.Duration // within the interval

	examined atomic.Int64  // requests within the interval
	sequence atomic.Uint64 // of the requests while not all are admitted
	share    atomic.Uint64 // of the requests that are admitted, as bits of a float64
}

// New returns a controller that admits all requests, for a process that may use so many cores.
func New(cores float64) *Controller {
	c := &Controller{cores: cores, minDelay: math.MaxInt64}
	c.setShare(1)
	return c
}

// AdmittedShare is the share of the requests that is admitted now, from 0 to 1.
func (c *Controller) AdmittedShare() float64 { return math.Float64frombits(c.share.Load()) }

func (c *Controller) setShare(share float64) { c.share.Store(math.Float64bits(share)) }

// Admit decides on one more request. Those that are admitted are spread evenly among all.
func (c *Controller) Admit() bool {
	// So many numbers are exact in a float64, with room for the product's fraction.
	const sequenceSize = 1 << 40
	c.examined.Add(1)
	share := c.AdmittedShare()
	if share >= 1 {
		return true
	}
	n := float64(c.sequence.Add(1) % sequenceSize)
	return math.Floor(n*share) != math.Floor((n-1)*share)
}

// ShouldSample reports whether enough requests have been examined in this interval for a sample to be worth its cost. If
// not, the caller reports a delay of 0 instead of taking one. It does not say whether load is shed, see AdmittedShare.
func (c *Controller) ShouldSample() bool { return c.Examined() >= minExamined }

// Examined is the number of requests in this interval.
func (c *Controller) Examined() int64 { return c.examined.Load() }

// ObserveDelay takes a sample: something sent at a time, on any clock that goes on evenly, was read so much later. The
// sample that ends an interval adjusts the share.
func (c *Controller) ObserveDelay(sentAt, delay time.Duration) {
	c.minDelay = min(c.minDelay, delay)
	if sentAt < c.intervalEnds {
		return
	}
	examined := float64(c.examined.Swap(0))
	busy := examined >= minRatePerCore*c.cores*Interval.Seconds()
	if c.minDelay > Target && busy {
		c.decreaseShare()
		// What is queued already has to be read before another step shows an effect.
		c.intervalEnds = sentAt + Interval + c.minDelay
	} else {
		c.increaseShare()
		c.intervalEnds = sentAt + Interval
	}
	c.minDelay = math.MaxInt64
}

// decreaseShare lowers the share in proportion to the delay.
func (c *Controller) decreaseShare() {
	factor := max(float64(Target)/float64(c.minDelay), maxDecrease)
	c.setShare(max(c.AdmittedShare()*factor, minShare))
}

func (c *Controller) increaseShare() {
	share := c.AdmittedShare()
	c.setShare(min(share+increase*(share+constantIncrease), 1))
}
