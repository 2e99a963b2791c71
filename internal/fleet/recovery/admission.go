package recovery

import (
	"math"
	"time"
)

// Capacity is how many requests the workers can process at once, as the balancer sees it.
type Capacity struct {
	Workers int     // that take requests
	Warm    float64 // requests at once of all workers together, once they are warm; 0 while unknown
	Now     float64 // the same at their present warm-up; n slots process n seconds of work per second
}

// isWarm reports whether the workers have nearly the capacity of warm ones.
func (c Capacity) isWarm() bool { return c.Warm > 0 && c.Now >= warmCapacityShare*c.Warm }

// Admission is the answer to a request that wants to come in.
type Admission struct {
	Admitted   bool
	RetryAfter time.Duration // when the client of a rejected request should retry, 0 for no advice
}

// admission is the load that this dispatcher takes before it serves in full.
type admission struct {
	capacity       Capacity
	inFlight       int           // admitted requests that have not ended
	succeeded      int           // admitted requests
	lastRejectedAt time.Duration // since the process started; 0 before the first rejection

	demand     time.Duration // processing time of the requests that came, decaying over demandWindow
	demandAt   time.Duration // when demand was last brought up to date
	lastBusyAt time.Duration // when a request was last rejected, or demand above what may be served in full
}

const (
	// warmCapacityShare of the warm workers' capacity counts as all of it.
	warmCapacityShare = 0.9
	// fullServiceDemandShare of the present capacity may be demanded when every request is admitted.
	fullServiceDemandShare = 0.7
	// lowDemandDuration is how long demand has to be that low. One quiet moment is not enough to serve in full.
	lowDemandDuration = 500 * time.Millisecond
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = time.Second
	// minRetryAfterDivisor sets the shortest retry advice: the longest one divided by it.
	minRetryAfterDivisor = 4
)

// SetCapacity records the workers' capacity.
func (s *StateMachine) SetCapacity(now time.Duration, capacity Capacity) {
	s.now = now
	s.admission.capacity = capacity
	s.advance()
}

// Admit decides whether a request may come in. size is its expected processing time at a warm worker. Before Serving each
// admitted request is to be ended by RequestSucceeded or RequestFailed.
func (s *StateMachine) Admit(now, size time.Duration) Admission {
	s.now = now
	if s.phase == Serving {
		return Admission{Admitted: true}
	}
	s.admission.addDemand(now, size)
	if s.admitsOneMore() {
		s.admission.inFlight++
		return Admission{Admitted: true}
	}
	s.admission.lastRejectedAt = now
	return Admission{RetryAfter: s.drawRetryAfter()}
}

// admitsOneMore reports whether the phase's rule admits a request beside those in flight.
func (s *StateMachine) admitsOneMore() bool {
	switch s.phase.rule().admission {
	case admitProbes:
		return s.admission.inFlight < s.probeLimit()
	case admitAll:
		return true
	}
	return false
}

// probeLimit returns how many requests may be in flight while nobody knows whether workers answer: one for each worker,
// shared with the other dispatchers.
func (s *StateMachine) probeLimit() int {
	return max(1, s.admission.capacity.Workers/s.activeDispatchers())
}

// drawRetryAfter draws a time between a fraction of MaxRetryAfter and all of it, so that clients do not return in step.
func (s *StateMachine) drawRetryAfter() time.Duration {
	longest := s.config.MaxRetryAfter
	return longest/minRetryAfterDivisor +
		time.Duration(s.rng.Float64()*float64(longest)*(minRetryAfterDivisor-1)/minRetryAfterDivisor)
}

// RequestSucceeded records that a request that was admitted before Serving has ended with a result.
func (s *StateMachine) RequestSucceeded(now time.Duration) {
	s.admission.succeeded++
	s.requestEnded(now)
}

// RequestFailed records that a request that was admitted before Serving has ended without a result.
func (s *StateMachine) RequestFailed(now time.Duration) { s.requestEnded(now) }

func (s *StateMachine) requestEnded(now time.Duration) {
	s.now = now
	s.admission.inFlight--
	s.advance()
}

// addDemand adds a request that came, admitted or not.
func (a *admission) addDemand(now, size time.Duration) {
	a.demand = time.Duration(float64(a.demand)*demandDecay(now-a.demandAt)) + size
	a.demandAt = now
}

// demandRate returns the averaged demand in seconds of processing time per second.
func (a *admission) demandRate(now time.Duration) float64 {
	return float64(a.demand) * demandDecay(now-a.demandAt) / demandWindow.Seconds() / float64(time.Second)
}

// demandDecay returns the share that is left of the demand after a while.
func demandDecay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(demandWindow))
}

// demandWithinCapacity reports whether for lowDemandDuration no request has been rejected, and demand has been well
// within this dispatcher's share of the workers' present capacity.
func (s *StateMachine) demandWithinCapacity() bool {
	a := &s.admission
	limit := fullServiceDemandShare * a.capacity.Now / float64(s.activeDispatchers())
	overloaded := a.capacity.Now <= 0 || a.demandRate(s.now) > limit
	rejectedLately := s.now-a.lastRejectedAt < lowDemandDuration
	if overloaded || rejectedLately {
		a.lastBusyAt = s.now
		return false
	}
	return s.now-max(a.lastBusyAt, s.phaseStartedAt) >= lowDemandDuration
}
