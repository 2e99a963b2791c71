// Package worker simulates the platform's workers. Machine simulates the execution of jobs; it does no I/O and takes
// the time as an argument. Server makes machines available on TCP sockets and implements the workers' protocol.
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
	Cores int    `toml:"cores"` // number of jobs that run concurrently
	Queue int    `toml:"queue"` // number of jobs that can wait; further jobs are declined
	Count int    `toml:"count"`
}

// Warmup describes how a worker's capacity grows after its start. Dispatchers get the same parameters in their
// settings.
type Warmup struct {
	InitialShare     float64       // share of the full capacity at the start, above 0
	Duration         time.Duration // from the start to the full capacity; 0: full capacity at the start
	OverloadMultiple float64       // warm-up budget as a multiple of the current capacity; 0: workers have no budget
	OverloadSpan     time.Duration // time over which sent work is summed; above its budget, a worker crashes
}

// Factor returns the share of its full capacity that a worker has at an age. The share grows linearly.
func (w Warmup) Factor(age time.Duration) float64 {
	if w.Duration <= 0 || age >= w.Duration {
		return 1
	}
	return w.InitialShare + (1-w.InitialShare)*age.Seconds()/w.Duration.Seconds()
}

// budget returns the work that may be sent to a worker within the overload span, at a warm-up factor.
func (w Warmup) budget(factor float64, cores int) time.Duration {
	return time.Duration(w.OverloadMultiple * factor * float64(cores) * float64(w.OverloadSpan))
}

// Job is the work of an attempt on a worker.
type Job struct {
	ID    string
	Work  time.Duration // core time on a worker of standard speed
	Key   string        // idempotency key, "" for none
	Group *DedupGroup   // deduplicates by the key; nil if the job is not deduplicated
}

// Verdict is the machine's decision on an offered job.
type Verdict uint8

// Values of Verdict.
const (
	Accepted   Verdict = iota
	Declined           // the worker is full or draining: the job never runs
	Overloaded         // the job exceeds the warm-up budget: the process crashes
)

// EventKind is the kind of an Event.
type EventKind uint8

// Values of EventKind.
const (
	Started EventKind = iota + 1
	Halfway
	Finished
	Deduplicated // another job with the same key has run; Result is the result of that job
)

// Event is a state change of a job.
type Event struct {
	ID     string
	Kind   EventKind
	Result string
}

// acceptedJob is a waiting or running job and its progress.
type acceptedJob struct {
	Job
	remaining    time.Duration // work left
	halfReported bool          // Halfway has been reported
}

// Machine simulates one incarnation of a worker's process: cores that run jobs, and a FIFO queue. Times are since the
// start of the experiment. Machine is not safe for concurrent use.
type Machine struct {
	kind          Kind
	warmup        Warmup
	now           time.Duration // time up to which the machine has been simulated
	startedAt     time.Duration // for a worker that starts warm, one warm-up duration before the actual start
	speed         float64       // factor of the normal speed; 0 while paused
	draining      bool
	running       []*acceptedJob // at most one per core, not counting jobs from waitingForKey
	queue         []*acceptedJob
	waitingForKey []*acceptedJob         // jobs that wait for a running job with the same key, on this or another worker
	recent        []recentJob            // jobs sent within the overload span, while warming up
	result        func(id string) string // returns the result of a job
}

// recentJob is a job that was sent to a warming-up worker.
type recentJob struct {
	sentAt time.Duration
	work   time.Duration
	id     string
}

// DescribeRecentJobs returns a text that lists up to limit of the jobs sent within the overload span, largest first.
func (m *Machine) DescribeRecentJobs(limit int) string {
	all := slices.Clone(m.recent)
	slices.SortStableFunc(all, func(a, b recentJob) int { return cmp.Compare(b.work, a.work) })
	var words []string
	for _, recent := range all[:min(limit, len(all))] {
		words = append(words, fmt.Sprintf("%s %v", recent.id, recent.work.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%d sent: %s", len(all), strings.Join(words, ", "))
}

// NewMachine returns a machine whose warm-up begins now. result returns the result of a job.
func NewMachine(kind Kind, warmup Warmup, now time.Duration, result func(id string) string) *Machine {
	return &Machine{kind: kind, warmup: warmup, now: now, startedAt: now, speed: 1, result: result}
}

// NewWarmMachine returns a machine that has its full capacity from the start. result returns the result of a job.
func NewWarmMachine(kind Kind, warmup Warmup, now time.Duration, result func(id string) string) *Machine {
	machine := NewMachine(kind, warmup, now, result)
	machine.startedAt = now - warmup.Duration
	return machine
}

// WarmupFactor returns the share of its full capacity that the machine has at the time now.
func (m *Machine) WarmupFactor(now time.Duration) float64 {
	return m.warmup.Factor(now - m.startedAt)
}

// workByAge returns the work that one core at normal speed does from the start until an age, which is the integral of
// the warm-up factor. Work and age are in seconds.
func (m *Machine) workByAge(age float64) float64 {
	ramp := m.warmup.Duration.Seconds()
	within := min(age, ramp)
	done := max(age-ramp, 0)
	if ramp > 0 {
		done += m.warmup.InitialShare*within + (1-m.warmup.InitialShare)*within*within/(2*ramp)
	}
	return done
}

// ageAfterWork returns the age at which one core at normal speed has done an amount of work. It is the inverse of
// workByAge, with work and age in seconds.
func (m *Machine) ageAfterWork(done float64) float64 {
	ramp, initialShare := m.warmup.Duration.Seconds(), m.warmup.InitialShare
	rampWork := m.workByAge(ramp)
	if ramp <= 0 || done >= rampWork {
		return ramp + done - rampWork
	}
	slope := (1 - initialShare) / ramp
	if slope <= 0 {
		return done / initialShare
	}
	return 2 * done / (initialShare + math.Sqrt(initialShare*initialShare+2*slope*done))
}

// workBetween returns the work, in seconds, that a core does between two times at the current speed.
func (m *Machine) workBetween(from, to time.Duration) float64 {
	return m.speed * (m.workByAge((to - m.startedAt).Seconds()) - m.workByAge((from - m.startedAt).Seconds()))
}

// never is the time of an event that does not occur. It is later than all other times.
const never = time.Duration(math.MaxInt64)

// maxAge is the maximum age of a worker, in seconds, at which a job can finish. A job that would finish later never
// finishes, because the finish time could overflow.
const maxAge = 1e9

// finishTime returns the time at which the work left of a running job will be done, or never.
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

// SetSpeed sets the factor of the normal speed from the time now on, and returns the events until then. The factor is
// less than 1 for a slow or shared machine, and 0 for a paused one.
func (m *Machine) SetSpeed(now time.Duration, speed float64) []Event {
	events := m.Advance(now)
	m.speed = speed
	return events
}

// Drain makes the machine decline new jobs. Running jobs continue. Drain returns the events until now and the IDs of
// the waiting jobs, which it removes without running them.
func (m *Machine) Drain(now time.Duration) (events []Event, unstarted []string) {
	events = m.Advance(now)
	m.draining = true
	for _, waiting := range append(m.queue, m.waitingForKey...) {
		unstarted = append(unstarted, waiting.ID)
	}
	m.queue = nil
	m.waitingForKey = nil
	return events, unstarted
}

// OfferResult is the result of Machine.Offer. SentWork and Budget are 0 unless the worker is warming up and has a
// budget.
type OfferResult struct {
	Verdict  Verdict
	Events   []Event
	SentWork time.Duration // core time sent within the overload span, including this job
	Budget   time.Duration // core time allowed within the overload span
}

// Offer accepts or declines a job that a dispatcher sends. It starts an accepted job, or queues it if the job cannot
// start yet. Declined jobs count against the warm-up budget too.
func (m *Machine) Offer(now time.Duration, job Job) OfferResult {
	result := OfferResult{Events: m.Advance(now)}
	if factor := m.WarmupFactor(now); factor < 1 && m.warmup.OverloadMultiple > 0 {
		result.SentWork = m.addRecentJob(now, job)
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

// addRecentJob adds a job to the jobs sent within the overload span, and returns the sum of their work.
func (m *Machine) addRecentJob(now time.Duration, job Job) (sentWork time.Duration) {
	expired := func(r recentJob) bool { return r.sentAt <= now-m.warmup.OverloadSpan }
	m.recent = append(slices.DeleteFunc(m.recent, expired), recentJob{sentAt: now, work: job.Work, id: job.ID})
	for _, recent := range m.recent {
		sentWork += recent.work
	}
	return sentWork
}

// Cancel removes a job. Its work is lost, and another job with its key can run. Cancel returns the events until now.
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
	m.waitingForKey = slices.DeleteFunc(m.waitingForKey, isCancelled)
	return m.startQueued(events)
}

// Stop ends the process and removes all jobs. Other jobs with the keys of the running jobs can then run on other
// workers.
func (m *Machine) Stop() {
	for _, job := range m.running {
		job.releaseKey()
	}
	m.running = nil
	m.queue = nil
	m.waitingForKey = nil
}

// releaseKey lets another job with the same key run. It does nothing for a job that is not deduplicated.
func (j *acceptedJob) releaseKey() {
	if j.Group != nil {
		j.Group.release(j.Key, j.ID)
	}
}

// Load returns the number of running and queued jobs.
func (m *Machine) Load() (running, queued int) { return len(m.running), len(m.queue) }

// Advance simulates the machine up to the time now, and returns the events until then.
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

// workUntilEvent returns the work left until the job's next event: Halfway or Finished.
func (j *acceptedJob) workUntilEvent() time.Duration {
	if half := j.remaining - j.Work/2; !j.halfReported && half > 0 {
		return half
	}
	return j.remaining
}

// roundingError is the maximum error of rounded times and work. Work left up to this limit counts as done.
const roundingError = time.Microsecond

// isFinished reports whether the job's work is done.
func (j *acceptedJob) isFinished() bool { return j.remaining <= roundingError }

// step simulates running jobs until at, which must not be later than the next event. It appends to events.
func (m *Machine) step(at time.Duration, events []Event) []Event {
	workDone := time.Duration(math.Round(m.workBetween(m.now, at) * float64(time.Second)))
	m.now = at
	for _, job := range m.running {
		job.remaining -= workDone
		if !job.halfReported && job.remaining <= job.Work/2+roundingError {
			job.halfReported = true
			events = append(events, Event{ID: job.ID, Kind: Halfway})
		}
		if job.isFinished() {
			result := m.result(job.ID)
			if job.Group != nil {
				job.Group.complete(job.Key, job.ID, result)
			}
			events = append(events, Event{ID: job.ID, Kind: Finished, Result: result})
		}
	}
	m.running = slices.DeleteFunc(m.running, (*acceptedJob).isFinished)
	return m.startQueued(events)
}

// startQueued first tries to start the jobs in waitingForKey, regardless of free cores, and then starts queued jobs in
// FIFO order while cores are free. It appends to events.
func (m *Machine) startQueued(events []Event) []Event {
	if m.speed <= 0 {
		return events
	}
	waiting := m.waitingForKey
	m.waitingForKey = nil
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

// start starts a job on a core, unless another job with its key is running or has run. In the first case the job waits
// for that job; in the second case it gets the result of that job and needs no core.
func (m *Machine) start(job *acceptedJob, events []Event) []Event {
	if job.Group != nil {
		switch result, state := job.Group.start(job.Key, job.ID, m.now); state {
		case keyRunning:
			m.waitingForKey = append(m.waitingForKey, job)
			return events
		case keyDone:
			return append(events, Event{ID: job.ID, Kind: Deduplicated, Result: result})
		}
	}
	m.running = append(m.running, job)
	return append(events, Event{ID: job.ID, Kind: Started})
}

// duplicateCheckInterval is the interval at which the machine checks whether a job that waits for a key can start. It
// has to poll, because it receives no event when a job with the key ends on another worker.
const duplicateCheckInterval = 5 * time.Millisecond

// NextEvent returns the time of the next event, provided that no other method changes the machine before. found is
// false if there is none.
func (m *Machine) NextEvent() (at time.Duration, found bool) {
	at = never
	for _, job := range m.running {
		at = min(at, m.finishTime(job.workUntilEvent()))
	}
	if len(m.waitingForKey) > 0 && m.speed > 0 {
		at = min(at, m.now+duplicateCheckInterval)
	}
	return at, at < never
}
