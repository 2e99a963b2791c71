package recovery

import (
	"math"
	"time"
)

// Capacity is how many requests the workers can process at once, as the balancer sees it.
type Capacity struct {
	Workers int     // that take requests
	Warm    float64 // of all of them together, once they are warm
	Now     float64 // the same at their present warm-up: core time done in a unit of time
}

// admission is the load that this dispatcher takes before it serves in full.
type admission struct {
	capacity  Capacity
	inFlight  int // admitted requests that have not ended
	succeeded int

	lastRejectedAt time.Duration
	demand         time.Duration // of the requests that came, decaying over demandWindow
	demandAt       time.Duration // when demand was last brought up to date
	overloadedAt   time.Duration // when demand was last above what may be served in full
}

const (
	// warmCapacityShare of the warm workers' capacity counts as all of it.
	warmCapacityShare = 0.9
	// fullServiceDemandShare of the present capacity may be asked for when every request is admitted.
	fullServiceDemandShare = 0.7
	// lowDemandDuration is how long demand has to be that low.
	lowDemandDuration = 500 * time.Millisecond
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = time.Second
)

// SetCapacity takes the workers' capacity.
func (s *StateMachine) SetCapacity(now time.Duration, capacity Capacity) {
	s.now = now
	s.admission.capacity = capacity
	s.advance()
}

// Admit reports whether a request of an expected size may come in, and else when its client should retry, 0 for no advice.
// Before Serving each admitted request is to be ended by RequestEnded.
func (s *StateMachine) Admit(now, size time.Duration) (admitted bool, retryAfter time.Duration) {
	s.now = now
	if s.phase == Serving {
		return true, 0
	}
	s.admission.addDemand(now, size)
	if s.admits() {
		s.admission.inFlight++
		return true, 0
	}
	s.admission.lastRejectedAt = now
	// Spread, so that clients do not return in step.
	most := s.config.MaxRetryAfter
	return false, most/4 + time.Duration(s.rng.Float64()*float64(most)*3/4)
}

// admits lets in one request for each worker while nobody knows how workers are. After that the balancer does better
// than a limit here could: it queues requests by value and gives up those that cannot be done in time. (Measured: a limit
// in SlowStart to what could be done in time cost a tenth to a third of the billed value after a loss of power.)
func (s *StateMachine) admits() bool {
	switch s.phase {
	case Probing:
		return s.admission.inFlight < max(1, s.admission.capacity.Workers/s.activeDispatchers())
	case SlowStart, Serving:
		return true
	}
	return false
}

// RequestEnded takes the end of a request that was admitted before Serving.
func (s *StateMachine) RequestEnded(now time.Duration, succeeded bool) {
	s.now = now
	s.admission.inFlight--
	if succeeded {
		s.admission.succeeded++
	}
	s.advance()
}

// addDemand takes a request that came, admitted or not.
func (a *admission) addDemand(now, size time.Duration) {
	a.demand = time.Duration(float64(a.demand)*demandDecay(now-a.demandAt)) + size
	a.demandAt = now
}

// demandDecay returns the share that is left of the demand after a while.
func demandDecay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(demandWindow))
}

// demandWithinCapacity reports whether for a while no request has been rejected and demand has been well within the present
// capacity. One quiet moment is not enough to serve in full.
func (s *StateMachine) demandWithinCapacity() bool {
	a := &s.admission
	demand := float64(a.demand) * demandDecay(s.now-a.demandAt) / demandWindow.Seconds() / float64(time.Second)
	share := fullServiceDemandShare * a.capacity.Now / float64(s.activeDispatchers())
	if a.capacity.Now <= 0 || demand > share || s.now-a.lastRejectedAt < lowDemandDuration {
		a.overloadedAt = s.now
		return false
	}
	return s.now-max(a.overloadedAt, s.phaseStartedAt) >= lowDemandDuration
}
