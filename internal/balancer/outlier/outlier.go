// Package outlier ejects workers and zones temporarily after attempts at them have failed.
//
// A worker is ejected when another attempt would probably fail too. After its ejection it gets one attempt at a time, a
// probe, until one succeeds. Each further failure doubles the delay until the next probe. A zone is ejected after
// several consecutive attempts at any of its workers have failed to get a connection or lost it.
package outlier

import "canvasroute/internal/balancer/tick"

const (
	// initialEjection is the duration of an ejection of a worker at its first consecutive failure, and of a zone at the
	// failure that reaches ZoneThreshold. Each further counted failure doubles the duration. A worker's first failure
	// counts even if it causes no ejection, so an ejection at the second failure always lasts 2 seconds.
	initialEjection      = tick.Duration(tick.Second)
	maxEjectionDoublings = 3

	// ZoneThreshold is the number of consecutive failures after which a zone is ejected.
	ZoneThreshold = 3

	// nonIdempotentProbeDelay is how long a due probe is reserved for idempotent requests. After it, a non-idempotent
	// request may be the probe.
	nonIdempotentProbeDelay = tick.Duration(8 * tick.Second)
)

// Failure classifies a failed attempt by whether it may have been executed.
type Failure uint8

// Values of Failure.
const (
	NeverRan   Failure = iota // the attempt was not executed: no connection was established
	MayHaveRun                // the connection was lost, or the worker reported an error
)

// Worker holds the failure state of one worker. Its fields are exported for snapshots and modified only by its methods.
type Worker struct {
	ConsecutiveFailures int       // failures during an ejection are not counted: see RecordFailure
	PossiblyExecuted    bool      // a failed attempt since the last success may have been executed
	ProbeAfter          tick.Time // no attempt is sent before, because of an ejection or an overload
}

// RecordFailure records an attempt whose failure was caused by the worker, and reports whether the worker is ejected
// for it. Failures during an ejection are not counted, because one fault ends all attempts that are in flight at the
// worker. A single attempt that may have run can fail by coincidence, so it causes no ejection. A failure to get a
// connection does.
func (w *Worker) RecordFailure(now tick.Time, failure Failure) (ejected bool) {
	w.PossiblyExecuted = w.PossiblyExecuted || failure == MayHaveRun
	if w.Ejected(now) {
		return false
	}
	w.ConsecutiveFailures++
	if failure == MayHaveRun && w.ConsecutiveFailures == 1 {
		return false
	}
	w.ProbeAfter = now.Add(initialEjection << min(w.ConsecutiveFailures-1, maxEjectionDoublings))
	return true
}

// RecordSuccess clears the recorded failures of a worker.
func (w *Worker) RecordSuccess() {
	w.ConsecutiveFailures = 0
	w.PossiblyExecuted = false
}

// RecordRestart resets the state when the worker has restarted, because it describes the previous process.
func (w *Worker) RecordRestart() { *w = Worker{} }

// BackOff prevents attempts at an overloaded worker until the given time.
func (w *Worker) BackOff(until tick.Time) { w.ProbeAfter = until }

// Ejected reports whether the worker has failed and gets no attempts now, because of an ejection or a backoff.
func (w *Worker) Ejected(now tick.Time) bool { return w.Suspect() && now < w.ProbeAfter }

// Suspect reports whether the worker has failed since its last success. A suspect worker gets one attempt at a time.
func (w *Worker) Suspect() bool { return w.ConsecutiveFailures > 0 }

// AcceptsNonIdempotent reports whether a non-idempotent request may be sent to the worker. If a failed attempt may have
// run, the outcome of the next one would often be unknown too. In that case idempotent requests probe the worker first.
// If none has done so within nonIdempotentProbeDelay, a non-idempotent request is accepted.
func (w *Worker) AcceptsNonIdempotent(now tick.Time) bool {
	return !w.Suspect() || !w.PossiblyExecuted || now >= w.ProbeAfter.Add(nonIdempotentProbeDelay)
}

// Zone holds the failure state of one zone. Its fields are exported for snapshots and modified only by its methods.
type Zone struct {
	Failures     int       // consecutive attempts that got no connection or lost it
	EjectedUntil tick.Time // no attempt is sent to the zone before
}

// RecordFailure records an attempt in the zone that got no connection or lost it, and reports whether the zone is
// ejected for it. Failures during an ejection are counted: they belong to attempts at other workers, and prove that the
// zone is still unreachable. An unreachable zone stays in the endpoint list for seconds, and a request has too few
// attempts to try its workers one by one. The last zone with a healthy worker is never ejected: hasOtherZone reports
// whether there is another such zone.
func (z *Zone) RecordFailure(now tick.Time, hasOtherZone func() bool) (ejected bool) {
	z.Failures++
	if z.Failures < ZoneThreshold || z.Ejected(now) || !hasOtherZone() {
		return false
	}
	z.EjectedUntil = now.Add(initialEjection << min(z.Failures-ZoneThreshold, maxEjectionDoublings))
	return true
}

// RecordSuccess ends the ejection of a zone and resets its failure count.
func (z *Zone) RecordSuccess() { *z = Zone{} }

// Ejected reports whether the zone is ejected at the given time.
func (z *Zone) Ejected(now tick.Time) bool { return now < z.EjectedUntil }
