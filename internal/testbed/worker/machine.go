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
	InitialShare     float64       // share of its capacity at the start
	Duration         time.Duration // until it has its full capacity
	OverloadMultiple float64       // of its current capacity over the span: a worker that is sent more work within the span crashes
	OverloadSpan     time.Duration
}

// Factor is the share of its capacity that a worker has at an age. It grows linearly.
func (c Warmup) Factor(age time.Duration) float64 {
	if c.Duration <= 0 || age >= c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*age.Seconds()/c.Duration.Seconds()
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

type job struct {
	Job
	remaining    time.Duration // work left
	halfReported bool          // Halfway has been reported
}

// Machine is one incarnation of a worker's process: cores that run jobs, and a FIFO queue before them.
type Machine struct {
	kind            Kind
	warmup          Warmup
	now             time.Duration
	startedAt       time.Duration // so long ago that it is warm, for a worker that starts warm
	speed           float64       // factor of the normal speed; 0 while paused
	draining        bool
	running         []*job
	queue           []*job
	waitingForFirst []*job // for a job under the same key that runs elsewhere
	recent          []recentJob
	result          func(id string) string
}

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
	for _, l := range all[:min(limit, len(all))] {
		words = append(words, fmt.Sprintf("%s %v", l.id, l.work.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%d sent: %s", len(all), strings.Join(words, ", "))
}

// NewMachine starts a process; a warm one has full capacity at once. result returns the result of a job.
func NewMachine(kind Kind, warmup Warmup, now time.Duration, warm bool, result func(id string) string) *Machine {
	m := &Machine{kind: kind, warmup: warmup, now: now, startedAt: now, speed: 1, result: result}
	if warm {
		m.startedAt = now - warmup.Duration
	}
	return m
}

// WarmupFactor is the share of its capacity that the machine has at a time.
func (m *Machine) WarmupFactor(now time.Duration) float64 {
	return m.warmup.Factor(now - m.startedAt)
}

// workByAge is the work that one core at normal speed does from the start to an age, in seconds: the integral of the
// warm-up factor.
func (m *Machine) workByAge(age float64) float64 {
	ramp := m.warmup.Duration.Seconds()
	within := min(age, ramp)
	done := max(age-ramp, 0)
	if ramp > 0 {
		done += m.warmup.InitialShare*within + (1-m.warmup.InitialShare)*within*within/(2*ramp)
	}
	return done
}

// ageAfterWork is the inverse of workByAge.
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

// workBetween is the work that a core does between two times at the current speed, in seconds.
func (m *Machine) workBetween(from, to time.Duration) float64 {
	return m.speed * (m.workByAge((to - m.startedAt).Seconds()) - m.workByAge((from - m.startedAt).Seconds()))
}

// finishTime is when work that runs from now on will be done, MaxInt64 for never.
func (m *Machine) finishTime(left time.Duration) time.Duration {
	if m.speed <= 0 {
		return math.MaxInt64
	}
	age := m.ageAfterWork(m.workByAge((m.now - m.startedAt).Seconds()) + left.Seconds()/m.speed)
	if age > 1e9 {
		return math.MaxInt64
	}
	return m.startedAt + time.Duration(math.Ceil(age*1e9))
}

// SetSpeed sets the factor of the normal speed from now on: less than 1 for a slow or shared machine, 0 for a paused
// one.
func (m *Machine) SetSpeed(now time.Duration, speed float64) []Event {
	events := m.Advance(now)
	m.speed = speed
	return events
}

// Drain makes the machine decline new jobs. Running jobs go on; the IDs of waiting ones are returned, and those never
// run.
func (m *Machine) Drain(now time.Duration) (events []Event, unstarted []string) {
	events = m.Advance(now)
	m.draining = true
	for _, j := range append(m.queue, m.waitingForFirst...) {
		unstarted = append(unstarted, j.ID)
	}
	m.queue = nil
	m.waitingForFirst = nil
	return events, unstarted
}

// OfferResult is the outcome of an offer. SentWork and Budget are set only for a worker that warms up.
type OfferResult struct {
	Verdict  Verdict
	Events   []Event
	SentWork time.Duration // core time sent within the span, this job included
	Budget   time.Duration // core time allowed within the span
}

// Offer hands the machine a job. A declined job counts against the warm-up budget as well.
func (m *Machine) Offer(now time.Duration, j Job) OfferResult {
	result := OfferResult{Events: m.Advance(now)}
	if factor := m.WarmupFactor(now); factor < 1 && m.warmup.OverloadMultiple > 0 {
		m.recent = slices.DeleteFunc(m.recent, func(r recentJob) bool { return r.at <= now-m.warmup.OverloadSpan })
		m.recent = append(m.recent, recentJob{now, j.Work, j.ID})
		for _, r := range m.recent {
			result.SentWork += r.work
		}
		budget := m.warmup.OverloadMultiple * factor * float64(m.kind.Cores) * float64(m.warmup.OverloadSpan)
		result.Budget = time.Duration(budget)
		if result.SentWork > result.Budget {
			result.Verdict = Overloaded
			return result
		}
	}
	if m.draining || len(m.running) >= m.kind.Cores && len(m.queue) >= m.kind.Queue {
		result.Verdict = Declined
		return result
	}
	m.queue = append(m.queue, &job{Job: j, remaining: j.Work})
	result.Verdict = Accepted
	result.Events = m.startQueued(result.Events)
	return result
}

// Cancel removes a job. Its work is lost, and another job under its key may run.
func (m *Machine) Cancel(now time.Duration, id string) []Event {
	events := m.Advance(now)
	same := func(j *job) bool { return j.ID == id }
	for _, j := range m.running {
		if same(j) && j.Group != nil {
			j.Group.release(j.Key, id)
		}
	}
	m.running = slices.DeleteFunc(m.running, same)
	m.queue = slices.DeleteFunc(m.queue, same)
	m.waitingForFirst = slices.DeleteFunc(m.waitingForFirst, same)
	return m.startQueued(events)
}

// Stop ends the process. Other jobs under the keys of running ones may run elsewhere.
func (m *Machine) Stop() {
	for _, j := range m.running {
		if j.Group != nil {
			j.Group.release(j.Key, j.ID)
		}
	}
	m.running = nil
	m.queue = nil
	m.waitingForFirst = nil
}

// Load returns the number of running and queued jobs.
func (m *Machine) Load() (running, queued int) { return len(m.running), len(m.queue) }

// Advance simulates up to a time, and returns the events until then.
func (m *Machine) Advance(now time.Duration) (events []Event) {
	for {
		at, due := now, false
		for _, j := range m.running {
			if d := m.finishTime(m.workUntilEvent(j)); d <= at {
				at = d
				due = true
			}
		}
		events = m.step(max(at, m.now), events)
		if !due {
			return m.startQueued(events)
		}
	}
}

// workUntilEvent is the work left until a job's next event.
func (m *Machine) workUntilEvent(j *job) time.Duration {
	if half := j.remaining - j.Work/2; !j.halfReported && half > 0 {
		return half
	}
	return j.remaining
}

// step does the work up to a time that is not after the next event.
func (m *Machine) step(at time.Duration, events []Event) []Event {
	workDone := time.Duration(math.Round(m.workBetween(m.now, at) * 1e9))
	m.now = at
	for _, j := range m.running {
		j.remaining -= workDone
		if !j.halfReported && j.remaining <= j.Work/2+time.Microsecond {
			j.halfReported = true
			events = append(events, Event{ID: j.ID, Kind: Halfway})
		}
		if j.remaining <= time.Microsecond { // below the rounding of times
			result := m.result(j.ID)
			if j.Group != nil {
				j.Group.complete(j.Key, j.ID, result)
			}
			events = append(events, Event{ID: j.ID, Kind: Finished, Result: result})
		}
	}
	m.running = slices.DeleteFunc(m.running, func(j *job) bool { return j.remaining <= time.Microsecond })
	return m.startQueued(events)
}

// startQueued starts waiting jobs in order while cores are free. Deduplicated jobs need no core.
func (m *Machine) startQueued(events []Event) []Event {
	if m.speed <= 0 {
		return events
	}
	waiting := m.waitingForFirst
	m.waitingForFirst = nil
	for _, j := range waiting {
		events = m.start(j, events)
	}
	for len(m.queue) > 0 && len(m.running) < m.kind.Cores {
		j := m.queue[0]
		m.queue = m.queue[1:]
		events = m.start(j, events)
	}
	return events
}

// start starts a job on a core, unless another job under its key runs or has run.
func (m *Machine) start(j *job, events []Event) []Event {
	if j.Group != nil {
		switch result, state := j.Group.start(j.Key, j.ID, m.now); state {
		case keyRunning:
			m.waitingForFirst = append(m.waitingForFirst, j)
			return events
		case keyDone:
			return append(events, Event{ID: j.ID, Kind: Deduplicated, Result: result})
		}
	}
	m.running = append(m.running, j)
	return append(events, Event{ID: j.ID, Kind: Started})
}

// duplicateCheckInterval is how often a job checks whether another one under its key has ended.
const duplicateCheckInterval = 5 * time.Millisecond

// NextEvent returns the time of the next event without further calls. found is false if there is none.
func (m *Machine) NextEvent() (at time.Duration, found bool) {
	at = math.MaxInt64
	for _, j := range m.running {
		at = min(at, m.finishTime(m.workUntilEvent(j)))
	}
	if len(m.waitingForFirst) > 0 && m.speed > 0 {
		at = min(at, m.now+duplicateCheckInterval)
	}
	return at, at < math.MaxInt64
}
