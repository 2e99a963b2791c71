package recovery

import (
	"math"
	"time"
)

// Capacity is what workers bear, as the decisions see it.
type Capacity struct {
	Workers int     // that take work
	Warm    float64 // forwards at once, of all of them, when they are warm
	Now     float64 // the same by their warmth now: core time done in a unit of time
}

// load is what is under way here since this life serves.
type load struct {
	open      int
	succeeded int
	turnedAt  time.Duration // when one was last turned away
	asked     time.Duration // work asked for, the older the less
	askedAt   time.Duration
	lowSince  time.Duration // since when it is within what workers bear
}

const (
	warmShare = 0.9 // of what warm workers bear is as good as all
	easyShare = 0.7 // of what they bear now may be asked for when all that comes is let in
	easyFor   = 500 * time.Millisecond
	askedOver = time.Second // over which what is asked for is reckoned
)

// SetCapacity takes how workers stand.
func (c *StateMachine) SetCapacity(now time.Duration, k Capacity) {
	c.now, c.capacity = now, k
	c.move()
}

// Admit tells whether an invocation may come in, and else when its client should come back, 0 for no advice.
func (c *StateMachine) Admit(now, size time.Duration) (ok bool, comeBack time.Duration) {
	c.now = now
	if c.phase == Serving {
		return true, 0
	}
	c.asked(size)
	if ok = c.fits(); ok {
		c.load.open++
		return true, 0
	}
	c.load.turnedAt = now
	// Spread, so that clients do not return in step.
	most := c.terms.MaxRetryAfter
	return false, most/4 + time.Duration(c.rng.Float64()*float64(most)*3/4)
}

// fits lets in a few, as long as nobody knows how workers are. From then on the decisions do better what a door
// could: they hold what has come by its value and give up what cannot be done in time. (Measured: a door in Ramp
// that let in what fits its time cost a tenth to a third of the billed value after a loss of power.)
func (c *StateMachine) fits() bool {
	switch c.phase {
	case Probing:
		return c.load.open < max(1, c.capacity.Workers/c.ServingPeers())
	case SlowStart, Serving:
		return true
	}
	return false
}

// RequestEnded takes the end of one that was let in before Full.
func (c *StateMachine) RequestEnded(now time.Duration, succeeded bool) {
	c.now = now
	c.load.open--
	if succeeded {
		c.load.succeeded++
	}
	c.move()
}

func (c *StateMachine) asked(size time.Duration) {
	l := &c.load
	l.asked = time.Duration(float64(l.asked)*decay(c.now-l.askedAt)) + size
	l.askedAt = c.now
}

// decay is what is left of a sum over askedOver after a while.
func decay(after time.Duration) float64 {
	return math.Exp(-float64(after) / float64(askedOver))
}

// eased tells that for a while nobody had to be turned away, and what is asked for is well within what workers
// bear. It guards against letting all in at the first quiet moment.
func (c *StateMachine) eased() bool {
	l := &c.load
	asked := float64(l.asked) * decay(c.now-l.askedAt) / askedOver.Seconds() / float64(time.Second)
	if c.capacity.Now <= 0 || asked > easyShare*c.capacity.Now/float64(c.ServingPeers()) || c.now-l.turnedAt < easyFor {
		l.lowSince = c.now
		return false
	}
	return c.now-max(l.lowSince, c.since) >= easyFor
}
