package recovery

import (
	"math"
	"time"
)

// Capacity is the balancer's estimate of how many requests the workers can process concurrently, in slots. A slot
// processes one second of work per second.
type Capacity struct {
	Workers int     // number of workers that accept requests
	Warm    float64 // slots of all workers once they are warm; 0 if unknown
	Current float64 // slots of all workers at their current warm-up level
}

// isWarm reports whether the current capacity is at least warmCapacityShare of the warm capacity.
func (c Capacity) isWarm() bool {
	return c.Warm > 0 && c.Current >= warmCapacityShare*c.Warm
}

// Admission is the decision on whether to admit a request.
type Admission struct {
	Admitted   bool
	RetryAfter time.Duration // delay after which the client of a rejected request should retry, 0 for no advice
}

// loadTracker tracks the requests that this dispatcher has admitted and the demand that it has received, before it
// enters Serving.
type loadTracker struct {
	capacity       Capacity
	inFlight       int           // admitted requests that are still in progress
	succeeded      int           // admitted requests that succeeded
	lastRejectedAt time.Duration // time since the process started; 0 before the first rejection

	demand           time.Duration // processing time of all received requests, decaying over demandWindow
	demandUpdatedAt  time.Duration // when demand was last updated
	lastOverloadedAt time.Duration // when isDemandWithinCapacity last found too much demand or a recent rejection
}

const (
	// warmCapacityShare is the share of the warm capacity that counts as fully warmed up.
	warmCapacityShare = 0.9
	// fullServiceDemandShare is the highest share of the current capacity that demand may use to allow the switch to
	// Serving.
	fullServiceDemandShare = 0.7
	// lowDemandDuration is how long demand must stay within that limit. A short dip in demand is not enough.
	lowDemandDuration = 500 * time.Millisecond
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = time.Second
	// minRetryAfterDivisor sets the minimum retry delay as a fraction of the maximum: MaxRetryAfter /
	// minRetryAfterDivisor.
	minRetryAfterDivisor = 4
)

// SetCapacity records the current capacity of the workers.
func (s *StateMachine) SetCapacity(now time.Duration, capacity Capacity) {
	s.now = now
	s.load.capacity = capacity
	s.advancePhase()
}

// Admit decides whether to admit a request. size is its expected processing time on a warm worker. The caller must
// report the end of each request admitted before Serving with RequestSucceeded or RequestFailed.
func (s *StateMachine) Admit(now, size time.Duration) Admission {
	s.now = now
	if s.phase == Serving {
		return Admission{Admitted: true}
	}
	s.load.addDemand(now, size)
	if s.canAdmit() {
		s.load.inFlight++
		return Admission{Admitted: true}
	}
	s.load.lastRejectedAt = now
	return Admission{RetryAfter: s.randomRetryAfter()}
}

// canAdmit reports whether the current phase allows another request in addition to those in flight.
func (s *StateMachine) canAdmit() bool {
	switch s.phase.rule().admission {
	case admitProbes:
		return s.load.inFlight < s.probeLimit()
	case admitAll:
		return true
	}
	return false
}

// probeLimit returns how many requests may be in flight while it is unknown whether workers respond: one per worker,
// divided by the number of active dispatchers, but at least one.
func (s *StateMachine) probeLimit() int {
	return max(1, s.load.capacity.Workers/s.countActiveDispatchers())
}

// randomRetryAfter returns a random delay between MaxRetryAfter/minRetryAfterDivisor and MaxRetryAfter, which keeps
// clients from retrying simultaneously.
func (s *StateMachine) randomRetryAfter() time.Duration {
	longest := s.config.MaxRetryAfter
	return longest/minRetryAfterDivisor +
		time.Duration(s.rng.Float64()*float64(longest)*(minRetryAfterDivisor-1)/minRetryAfterDivisor)
}

// RequestSucceeded records that a request admitted before Serving has completed with a result.
func (s *StateMachine) RequestSucceeded(now time.Duration) {
	s.load.succeeded++
	s.recordRequestEnd(now)
}

// RequestFailed records that a request admitted before Serving has ended without a result.
func (s *StateMachine) RequestFailed(now time.Duration) { s.recordRequestEnd(now) }

func (s *StateMachine) recordRequestEnd(now time.Duration) {
	s.now = now
	s.load.inFlight--
	s.advancePhase()
}

// addDemand adds the processing time of a received request, whether it was admitted or rejected.
func (t *loadTracker) addDemand(now, size time.Duration) {
	t.demand = time.Duration(float64(t.demand)*demandDecay(now-t.demandUpdatedAt)) + size
	t.demandUpdatedAt = now
}

// demandRate returns the average demand in seconds of processing time per second.
func (t *loadTracker) demandRate(now time.Duration) float64 {
	return float64(t.demand) * demandDecay(now-t.demandUpdatedAt) / demandWindow.Seconds() / float64(time.Second)
}

// demandDecay returns the fraction of demand that remains after the elapsed time.
func demandDecay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(demandWindow))
}

// isDemandWithinCapacity reports whether, for at least lowDemandDuration, no request has been rejected and demand has
// not exceeded fullServiceDemandShare of this dispatcher's share of the workers' current capacity.
func (s *StateMachine) isDemandWithinCapacity() bool {
	load := &s.load
	limit := fullServiceDemandShare * load.capacity.Current / float64(s.countActiveDispatchers())
	overloaded := load.capacity.Current <= 0 || load.demandRate(s.now) > limit
	rejectedRecently := s.now-load.lastRejectedAt < lowDemandDuration
	if overloaded || rejectedRecently {
		load.lastOverloadedAt = s.now
		return false
	}
	return s.now-max(load.lastOverloadedAt, s.phaseStartedAt) >= lowDemandDuration
}
