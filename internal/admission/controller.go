// Package admission sheds load while requests arrive faster than the process can read them: it decides for each request
// whether to admit it. It does no I/O and reads no clock. The caller measures the queueing delay, and rejects the
// requests that are not admitted.
//
// The signal is the queueing delay: the time from the arrival of data until the process reads it. It is sampled at
// regular intervals. As in CoDel (Nichols and Jacobson, "Controlling queue delay", 2012), only the minimum over an
// interval is used. A burst that drains, or a pause of the machine, leaves at least one sample with a short delay; a
// standing queue leaves none.
//
// Once per interval, ObserveDelay adjusts the admitted share. It lowers the share, in proportion to the delay, if the
// minimum delay exceeds Target and the process is busy. Otherwise it raises the share. Admit admits that share of the
// requests.
package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// Intervals and the target delay.
const (
	SampleInterval = 10 * time.Millisecond // between two samples of the queueing delay
	Interval       = 40 * time.Millisecond // minimum time between two changes of the share
	Target         = 10 * time.Millisecond // a minimum queueing delay above this counts as a standing queue
)

// Limits and steps of the admitted share: the fraction of requests that are admitted, from minShare to allAdmitted.
const (
	allAdmitted       = 1.0      // no load is shed
	minShare          = 1.0 / 32 // admitted regardless of the delay
	minDecreaseFactor = 0.5      // minimum factor by which one interval multiplies the share
	increaseFactor    = 0.06     // increase per interval, relative to the sum of the share and increaseFloor
	increaseFloor     = 0.1      // added to the share to compute its increase, so that a small share recovers too
)

// Minimum load. Below it, delays are ignored.
const (
	minRatePerCore      = 1500.0 // requests per second and core; below it, delays have causes other than requests
	minIntervalRequests = 8      // requests in an interval; below it, a sample costs more than the information is worth
)

// Controller decides which requests are admitted. Only one goroutine may call ObserveDelay. The other methods are safe
// for concurrent use.
type Controller struct {
	cores float64 // number of cores that the process may use

	// The two fields below are used only by the goroutine that calls ObserveDelay.
	intervalEnd time.Duration // on the clock of sentAt
	minDelay    time.Duration // minimum delay in the interval; noSample before the first sample

	intervalRequests atomic.Int64  // number of requests in the interval
	requestNumber    atomic.Uint64 // of the last request that arrived while load was shed
	share            atomic.Uint64 // admitted share, as the bits of a float64
}

// noSample is longer than any delay.
const noSample time.Duration = math.MaxInt64

// New returns a controller that initially admits all requests. cores is the number of cores that the process may use.
func New(cores float64) *Controller {
	c := &Controller{cores: cores, minDelay: noSample}
	c.setShare(allAdmitted)
	return c
}

// AdmittedShare returns the share of requests that are currently admitted, from minShare to 1 (all requests).
func (c *Controller) AdmittedShare() float64 { return math.Float64frombits(c.share.Load()) }

func (c *Controller) setShare(share float64) { c.share.Store(math.Float64bits(share)) }

// Admit reports whether to admit a request. While load is shed, the admitted requests are spread evenly: the n-th
// request is admitted if the integer part of n times the share exceeds that of n-1 times the share.
func (c *Controller) Admit() bool {
	// A float64 has 53 bits of precision. Numbers below 1 << 40 leave 13 of them for the fraction of the product.
	const requestNumberModulus = 1 << 40
	c.intervalRequests.Add(1)
	share := c.AdmittedShare()
	if share >= allAdmitted {
		return true
	}
	n := float64(c.requestNumber.Add(1) % requestNumberModulus)
	return math.Floor(n*share) != math.Floor((n-1)*share)
}

// ShouldSample reports whether enough requests arrived in this interval for a sample to be worth its cost. If not, the
// caller passes a delay of 0 to ObserveDelay instead of measuring it.
func (c *Controller) ShouldSample() bool { return c.IntervalRequests() >= minIntervalRequests }

// IntervalRequests returns the number of requests that arrived in this interval, admitted or not.
func (c *Controller) IntervalRequests() int64 { return c.intervalRequests.Load() }

// ObserveDelay records a sample of the queueing delay: data sent at sentAt, on the caller's monotonic clock, was read
// after delay. The sample that ends an interval adjusts the share and starts the next interval.
func (c *Controller) ObserveDelay(sentAt, delay time.Duration) {
	c.minDelay = min(c.minDelay, delay)
	if sentAt < c.intervalEnd {
		return
	}
	intervalRequests := float64(c.intervalRequests.Swap(0))
	isBusy := intervalRequests >= minRatePerCore*c.cores*Interval.Seconds()
	if c.minDelay > Target && isBusy {
		c.decreaseShare()
		// Requests already queued must be read before the new share takes effect.
		c.intervalEnd = sentAt + Interval + c.minDelay
	} else {
		c.increaseShare()
		c.intervalEnd = sentAt + Interval
	}
	c.minDelay = noSample
}

// decreaseShare multiplies the share by the ratio of Target to the minimum delay, but at least by minDecreaseFactor.
// The share stays at minShare or above.
func (c *Controller) decreaseShare() {
	factor := max(float64(Target)/float64(c.minDelay), minDecreaseFactor)
	c.setShare(max(c.AdmittedShare()*factor, minShare))
}

// increaseShare raises the share by increaseFactor times the sum of the share and increaseFloor, to at most
// allAdmitted.
func (c *Controller) increaseShare() {
	share := c.AdmittedShare()
	c.setShare(min(share+increaseFactor*(share+increaseFloor), allAdmitted))
}
