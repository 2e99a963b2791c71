// Package outlier decides when a worker or a zone gets no attempts for a while, as earlier ones failed there.
//
// A worker is ejected once another attempt would probably fail too. After its ejection it gets one attempt at a time, a
// probe, until one succeeds; each further failure doubles the time until the next probe. A zone is ejected once several
// attempts in a row found nobody there, whichever workers they went to.
package outlier

import "canvasroute/internal/balancer/tick"

const (
	// firstEjection is how long an ejection lasts after a single failure that counts. Each further one doubles it,
	// whether it ejects or not: a worker that is ejected by its second failure is so for two seconds.
	firstEjection        = tick.Duration(tick.Second)
	maxEjectionDoublings = 3

	// ZoneThreshold is the number of consecutive failures after which a zone is ejected.
	ZoneThreshold = 3

	// nonIdempotentProbeDelay is how long a due probe waits for a request that may run again, before one that must not
	// may be the probe.
	nonIdempotentProbeDelay = tick.Duration(8 * tick.Second)
)

// Failure is what an attempt that failed says of its execution.
type Failure uint8

// The kinds of failure.
const (
	NeverRan   Failure = iota // it certainly was not executed: no connection came up
	MayHaveRun                // it was cut off, or the worker reported an error
)

// Worker is what failures have shown of one worker. Fields are exported for snapshots; they change by the methods alone.
type Worker struct {
	ConsecutiveFailures int       // counted once for each ejection, as one failure ends all that is in flight
	PossiblyExecuted    bool      // an attempt that failed there since the last success may have run
	ProbeAfter          tick.Time // no attempt before: the worker is ejected, or was overloaded
}

// RecordFailure counts an attempt that failed by its worker, and reports whether the worker is ejected for it. Failures
// within an ejection do not count: what caused it also ended all else that was in flight there. A single attempt that
// was cut off is chance; one that found nobody is not.
func (w *Worker) RecordFailure(now tick.Time, failure Failure) (ejected bool) {
	w.PossiblyExecuted = w.PossiblyExecuted || failure == MayHaveRun
	if w.Ejected(now) {
		return false
	}
	w.ConsecutiveFailures++
	if failure == MayHaveRun && w.ConsecutiveFailures == 1 {
		return false
	}
	w.ProbeAfter = now.Add(firstEjection << min(w.ConsecutiveFailures-1, maxEjectionDoublings))
	return true
}

// RecordSuccess ends the suspicion against a worker.
func (w *Worker) RecordSuccess() {
	w.ConsecutiveFailures = 0
	w.PossiblyExecuted = false
}

// RecordRestart forgets what the process before has shown.
func (w *Worker) RecordRestart() { *w = Worker{} }

// BackOff keeps attempts from a worker that was overloaded until a moment.
func (w *Worker) BackOff(until tick.Time) { w.ProbeAfter = until }

// Ejected reports whether the worker has failed and gets nothing now, by an ejection or by a backoff.
func (w *Worker) Ejected(now tick.Time) bool { return w.Suspect() && now < w.ProbeAfter }

// Suspect reports whether the worker has failed since its last success. It gets one attempt at a time.
func (w *Worker) Suspect() bool { return w.ConsecutiveFailures > 0 }

// AcceptsNonIdempotent reports whether a request that is not idempotent may be sent to the worker. Where an attempt that
// failed may have run, the next one would often end with an unknown outcome too. Other requests probe the worker first
// then, unless none has for a while.
func (w *Worker) AcceptsNonIdempotent(now tick.Time) bool {
	return !w.Suspect() || !w.PossiblyExecuted || now >= w.ProbeAfter.Add(nonIdempotentProbeDelay)
}

// Zone is what failures have shown of one zone. Fields are exported for snapshots; they change by the methods alone.
type Zone struct {
	Failures     int       // consecutive attempts that were cut off or found nobody there
	EjectedUntil tick.Time // no attempt goes there before
}

// RecordFailure counts an attempt that was cut off or found nobody in the zone, and reports whether the zone is ejected
// for it. Failures within an ejection count: they are of attempts to other workers, and show that the zone is still
// lost. A lost zone stays in the endpoint list for seconds, and a request has not attempts enough to find out worker by
// worker. The last zone with a healthy worker is never ejected: hasOther reports whether there is another one.
func (z *Zone) RecordFailure(now tick.Time, hasOther func() bool) (ejected bool) {
	z.Failures++
	if z.Failures < ZoneThreshold || z.Ejected(now) || !hasOther() {
		return false
	}
	z.EjectedUntil = now.Add(firstEjection << min(z.Failures-ZoneThreshold, maxEjectionDoublings))
	return true
}

// RecordSuccess ends the ejection of a zone.
func (z *Zone) RecordSuccess() { *z = Zone{} }

// Ejected reports whether failures keep attempts from the zone now.
func (z *Zone) Ejected(now tick.Time) bool { return now < z.EjectedUntil }
