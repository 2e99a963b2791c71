// Package worker is a stand-in for the platform's workers. Machine, which does no I/O and gets the time as an argument,
// simulates the execution of jobs. Server puts machines on sockets and speaks the workers' protocol.
package worker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Kind is one [[fleet.kind]] of an experiment file.
type Kind struct {
	Name  string `toml:"name"`
	Cores int    `toml:"cores"` // jobs that run at once
	Queue int    `toml:"queue"` // jobs that wait; more are declined
	Count int    `toml:"count"`
}

// Warmup is how a worker behaves after its start, with the parameters that dispatchers get in their settings.
type Warmup struct {
	InitialShare     float64       // share of its capacity at the start, above 0
	Duration         time.Duration // until it has its full capacity; 0: at once
	OverloadMultiple float64       // of its current capacity: a worker that is sent more work within the span crashes; 0: none does
	OverloadSpan     time.Duration // over which sent work is summed
}

// Factor returns the share of its capacity that a worker has at an age. It grows linearly.
func (w Warmup) Factor(age time.Duration) float64 {
	if w.Duration <= 0 || age >= w.Duration {
		return 1
	}
	return w.InitialShare + (1-w.InitialShare)*age.Seconds()/w.Duration.Seconds()
}

// budget returns the work that a worker with a number of cores may be sent within the span, at a warm-up factor.
func (w Warmup) budget(factor float64, cores int) time.Duration {
	return time.Duration(w.OverloadMultiple * factor * float64(cores) * float64(w.OverloadSpan))
}

// Job is an attempt at a worker.
type Job struct {
	ID    string
	Work  time.Duration // core time on a worker of standard speed
	Key   string        // idempotency key, "" for none
	Group *DedupGroup   // that deduplicates by the key, nil for none
}

// Verdict is the machine's decision on an offered job.
type Verdict uint8

// The values of Verdict.
const (
	Accepted   Verdict = iota
	Declined           // full or draining: the job never runs
	Overloaded         // the job exceeds the warm-up budget: the process crashes
)

// EventKind is what happened to a job.
type EventKind uint8

// The values of EventKind.
const (
	Started EventKind = iota + 1
	Halfway
	Finished
	Deduplicated // another job under the same key has run; Result is that job's
)

// Event is something that happened to a job.
type Event struct {
	ID     string
	Kind   EventKind
	Result string
}

// acceptedJob is a job that waits or runs, and its progress.
type acceptedJob struct {
	Job
	remaining    time.Duration // work left
	halfReported bool          // Halfway has been reported
}

// Machine is one incarnation of a worker's process: cores that run jobs, and a FIFO queue before them. Times are since
// the start of the experiment.
type Machine struct {
	kind            Kind
	warmup          Warmup
	now             time.Duration // up to which it is simulated
	startedAt       time.Duration // so long ago that it is warm, for a worker that starts warm
	speed           float64       // factor of the normal speed; 0 while paused
	draining        bool
	running         []*acceptedJob // at most one a core
	queue           []*acceptedJob
	waitingForFirst []*acceptedJob         // for a job under the same key that runs elsewhere
	recent          []recentJob            // sent within the overload span, while warming up
	result          func(id string) string // returns the result of a job
}

// recentJob is a job that a warming-up worker was sent.
type recentJob struct {
	at   time.Duration
	work time.Duration
	id   string
}

// HeaviestRecent describes the jobs sent within the warm-up span, up to limit of them, largest first.
func (m *Machine) HeaviestRecent(limit int) string {
	all := slices.Clone(m.recent)
	slices.SortStableFunc(all, func(a, b recentJob) int { return cmp.Compare(b.work, a.work) })
	var words []string
	for _, recent := range all[:min(limit, len(all))] {
		words = append(words, fmt.Sprintf("%s %v", recent.id, recent.work.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%d sent: %s", len(all), strings.Join(words, ", "))
}

// NewMachine starts a process that warms up. result returns the result of a job.
func NewMachine(kind Kind, warmup Warmup, now time.Duration, result func(id string) string) *Machine {
	return &Machine{kind: kind, warmup: warmup, now: now, startedAt: now, speed: 1, result: result}
}

// NewWarmMachine starts a process that has its full capacity at once.
func NewWarmMachine(kind Kind, warmup Warmup, now time.Duration, result func(id string) string) *Machine {
	machine := NewMachine(kind, warmup, now, result)
	machine.startedAt = now - warmup.Duration
	return machine
}

// WarmupFactor returns the share of its capacity that the machine has at a time.
func (m *Machine) WarmupFactor(now time.Duration) float64 {
	return m.warmup.Factor(now - m.startedAt)
}

// workByAge returns the work that one core at normal speed does from the start to an age: the integral of the warm-up
// factor. Both are in seconds.
func (m *Machine) workByAge(age float64) float64 {
	ramp := m.warmup.Duration.Seconds()
	within := min(age, ramp)
	done := max(age-ramp, 0)
	if ramp > 0 {
		done += m.warmup.InitialShare*within + (1-m.warmup.InitialShare)*within*within/(2*ramp)
	}
	return done
}

// ageAfterWork returns the age at which one core at normal speed has done some work. It is the inverse of workByAge.
func (m *Machine) ageAfterWork(done float64) float64 {
	ramp, from := m.warmup.Duration.Seconds(), m.warmup.InitialShare
	rampWork := m.workByAge(ramp)
	if ramp <= 0 || done >= rampWork {
		return ramp + done - rampWork
	}
	slope := (1 - from) / ramp
	if slope <= 0 {
		return done / from
	}
	return 2 * done / (from + math.Sqrt(from*from+2*slope*done))
}

// workBetween returns the work that a core does between two times at the current speed, in seconds.
func (m *Machine) workBetween(from, to time.Duration) float64 {
	return m.speed * (m.workByAge((to - m.startedAt).Seconds()) - m.workByAge((from - m.startedAt).Seconds()))
}

// never is a time after all others.
const never = time.Duration(math.MaxInt64)

// maxAge is the age in seconds beyond which work counts as never done, as its time would overflow.
const maxAge = 1e9

// finishTime returns when work that runs from now on will be done, or never.
func (m *Machine) finishTime(left time.Duration) time.Duration {
	if m.speed <= 0 {
		return never
	}
	age := m.ageAfterWork(m.workByAge((m.now - m.startedAt).Seconds()) + left.Seconds()/m.speed)
	if age > maxAge {
		return never
	}
	return m.startedAt + time.Duration(math.Ceil(age*float64(time.Second)))
}

// SetSpeed sets the factor of the normal speed from now on. It is less than 1 for a slow or shared machine, and 0 for a
// paused one.
func (m *Machine) SetSpeed(now time.Duration, speed float64) []Event {
	events := m.Advance(now)
	m.speed = speed
	return events
}

// Drain makes the machine decline new jobs. Running jobs continue. It returns the IDs of the waiting jobs, which never
// run.
func (m *Machine) Drain(now time.Duration) (events []Event, unstarted []string) {
	events = m.Advance(now)
	m.draining = true
	for _, waiting := range append(m.queue, m.waitingForFirst...) {
		unstarted = append(unstarted, waiting.ID)
	}
	m.queue = nil
	m.waitingForFirst = nil
	return events, unstarted
}

// OfferResult is the outcome of an offer. SentWork and Budget are 0 for a worker that does not warm up.
type OfferResult struct {
	Verdict  Verdict
	Events   []Event
	SentWork time.Duration // core time sent within the span, this job included
	Budget   time.Duration // core time allowed within the span
}

// Offer decides on a job that a dispatcher sends, and queues or starts an accepted one. A declined job counts against the
// warm-up budget as well.
func (m *Machine) Offer(now time.Duration, job Job) OfferResult {
	result := OfferResult{Events: m.Advance(now)}
	if factor := m.WarmupFactor(now); factor < 1 && m.warmup.OverloadMultiple > 0 {
		result.SentWork = m.countRecent(now, job)
		result.Budget = m.warmup.budget(factor, m.kind.Cores)
		if result.SentWork > result.Budget {
			result.Verdict = Overloaded
			return result
		}
	}
	full := len(m.running) >= m.kind.Cores && len(m.queue) >= m.kind.Queue
	if m.draining || full {
		result.Verdict = Declined
		return result
	}
	m.queue = append(m.queue, &acceptedJob{Job: job, remaining: job.Work})
	result.Verdict = Accepted
	result.Events = m.startQueued(result.Events)
	return result
}

// countRecent adds a job to those sent within the overload span, and returns their work.
func (m *Machine) countRecent(now time.Duration, job Job) (sentWork time.Duration) {
	expired := func(r recentJob) bool { return r.at <= now-m.warmup.OverloadSpan }
	m.recent = append(slices.DeleteFunc(m.recent, expired), recentJob{at: now, work: job.Work, id: job.ID})
	for _, recent := range m.recent {
		sentWork += recent.work
	}
	return sentWork
}

// Cancel removes a job. Its work is lost, and another job under its key may run.
func (m *Machine) Cancel(now time.Duration, id string) []Event {
	events := m.Advance(now)
	isCancelled := func(job *acceptedJob) bool { return job.ID == id }
	for _, job := range m.running {
		if isCancelled(job) {
			job.releaseKey()
		}
	}
	m.running = slices.DeleteFunc(m.running, isCancelled)
	m.queue = slices.DeleteFunc(m.queue, isCancelled)
	m.waitingForFirst = slices.DeleteFunc(m.waitingForFirst, isCancelled)
	return m.startQueued(events)
}

// Stop ends the process. Other jobs under the keys of running ones may run elsewhere.
func (m *Machine) Stop() {
	for _, job := range m.running {
		job.releaseKey()
	}
	m.running = nil
	m.queue = nil
	m.waitingForFirst = nil
}

// releaseKey lets another job under the same key run, if the job has one.
func (j *acceptedJob) releaseKey() {
	if j.Group != nil {
		j.Group.release(j.Key, j.ID)
	}
}

// Load returns the number of running and queued jobs.
func (m *Machine) Load() (running, queued int) { return len(m.running), len(m.queue) }

// Advance simulates up to a time, and returns the events until then.
func (m *Machine) Advance(now time.Duration) (events []Event) {
	for {
		next, due := now, false
		for _, job := range m.running {
			if eventAt := m.finishTime(job.workUntilEvent()); eventAt <= next {
				next = eventAt
				due = true
			}
		}
		events = m.step(max(next, m.now), events)
		if !due {
			return m.startQueued(events)
		}
	}
}

// workUntilEvent returns the work left until the job's next event.
func (j *acceptedJob) workUntilEvent() time.Duration {
	if half := j.remaining - j.Work/2; !j.halfReported && half > 0 {
		return half
	}
	return j.remaining
}

// roundingError bounds the error of times and work that are rounded. Work below it counts as done.
const roundingError = time.Microsecond

// finished reports whether the job's work is done.
func (j *acceptedJob) finished() bool { return j.remaining <= roundingError }

// step does the work up to a time that is not after the next event.
func (m *Machine) step(at time.Duration, events []Event) []Event {
	workDone := time.Duration(math.Round(m.workBetween(m.now, at) * float64(time.Second)))
	m.now = at
	for _, job := range m.running {
		job.remaining -= workDone
		if !job.halfReported && job.remaining <= job.Work/2+roundingError {
			job.halfReported = true
			events = append(events, Event{ID: job.ID, Kind: Halfway})
		}
		if job.finished() {
			result := m.result(job.ID)
			if job.Group != nil {
				job.Group.complete(job.Key, job.ID, result)
			}
			events = append(events, Event{ID: job.ID, Kind: Finished, Result: result})
		}
	}
	m.running = slices.DeleteFunc(m.running, (*acceptedJob).finished)
	return m.startQueued(events)
}

// startQueued starts waiting jobs in order while cores are free. Deduplicated jobs need no core.
func (m *Machine) startQueued(events []Event) []Event {
	if m.speed <= 0 {
		return events
	}
	waiting := m.waitingForFirst
	m.waitingForFirst = nil
	for _, job := range waiting {
		events = m.start(job, events)
	}
	for len(m.queue) > 0 && len(m.running) < m.kind.Cores {
		first := m.queue[0]
		m.queue = m.queue[1:]
		events = m.start(first, events)
	}
	return events
}

// start starts a job on a core, unless another job under its key runs or has run.
func (m *Machine) start(job *acceptedJob, events []Event) []Event {
	if job.Group != nil {
		switch result, state := job.Group.start(job.Key, job.ID, m.now); state {
		case keyRunning:
			m.waitingForFirst = append(m.waitingForFirst, job)
			return events
		case keyDone:
			return append(events, Event{ID: job.ID, Kind: Deduplicated, Result: result})
		}
	}
	m.running = append(m.running, job)
	return append(events, Event{ID: job.ID, Kind: Started})
}

// duplicateCheckInterval is how often a job checks whether another one under its key has ended.
const duplicateCheckInterval = 5 * time.Millisecond

// NextEvent returns the time of the next event without further calls. found is false if there is none.
func (m *Machine) NextEvent() (at time.Duration, found bool) {
	at = never
	for _, job := range m.running {
		at = min(at, m.finishTime(job.workUntilEvent()))
	}
	if len(m.waitingForFirst) > 0 && m.speed > 0 {
		at = min(at, m.now+duplicateCheckInterval)
	}
	return at, at < never
}
