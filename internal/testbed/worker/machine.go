// Package worker is a stand-in for the platform's workers. The machine in this file does no I/O and has no
// clock: it is told the time, and says what has happened by then. The server puts one on sockets.
package worker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Kind is a sort of worker, in the words of an experiment file.
type Kind struct {
	Name  string `toml:"name"`
	Cores int    `toml:"cores"` // as many invocations run at once
	Queue int    `toml:"queue"` // and so many wait; what comes beyond is returned
	Count int    `toml:"count"`
}

// Warmup is how a worker behaves after its start, in the figures that the settings tell dispatchers.
type Warmup struct {
	InitialShare     float64       // the share of its capacity that it starts with
	Duration         time.Duration // until it has all of it
	OverloadMultiple float64       // of what it can do at that moment: sent more within the span, it falls over
	OverloadSpan     time.Duration
}

// Factor is the share of its capacity that a worker has at an age.
func (c Warmup) Factor(age time.Duration) float64 {
	if c.Duration <= 0 || age >= c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*age.Seconds()/c.Duration.Seconds()
}

// Job is an invocation at a worker.
type Job struct {
	ID    string
	Work  time.Duration // core time on a worker of standard speed
	Key   string        // "": no repeats are dropped
	Group *DedupGroup   // that drops them
}

// Verdict is the answer to an offer.
type Verdict uint8

// The values of Verdict.
const (
	Accepted   Verdict = iota
	Declined           // full, or draining: it never runs
	Overloaded         // this one has pushed the cold worker over: its process ends
)

// EventKind is what has happened to a job.
type EventKind uint8

// The values of What.
const (
	Started EventKind = iota + 1
	Halfway
	Finished
	Deduplicated // a first one under the same key has run: Result is its
)

// Event is one thing that has happened.
type Event struct {
	ID     string
	Kind   EventKind
	Result string
}

type job struct {
	Job
	remaining    time.Duration // of the work
	halfReported bool          // told
}

// Machine is one life of a worker's process: cores that run jobs, and a queue before them, taken in order.
type Machine struct {
	kind            Kind
	warmup          Warmup
	now             time.Duration
	startedAt       time.Duration // of a warm one: long ago
	speed           float64       // part of its speed that it has; 0 while it stands still
	draining        bool
	running         []*job
	queue           []*job
	waitingForFirst []*job // for a first one under the same key
	recent          []recentJob
	result          func(id string) string
}

type recentJob struct {
	at   time.Duration
	work time.Duration
	id   string
}

// HeaviestRecent words what it was sent within the span, the heaviest first, at most so many.
func (m *Machine) HeaviestRecent(limit int) string {
	all := slices.Clone(m.recent)
	slices.SortStableFunc(all, func(a, b recentJob) int { return cmp.Compare(b.work, a.work) })
	var words []string
	for _, l := range all[:min(limit, len(all))] {
		words = append(words, fmt.Sprintf("%s %v", l.id, l.work.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%d sent: %s", len(all), strings.Join(words, ", "))
}

// NewMachine starts a process; warm if it is to have started long ago. result words what a job makes.
func NewMachine(k Kind, c Warmup, now time.Duration, warm bool, result func(id string) string) *Machine {
	m := &Machine{kind: k, warmup: c, now: now, startedAt: now, speed: 1, result: result}
	if warm {
		m.startedAt = now - c.Duration
	}
	return m
}

// WarmupFactor is the share of its capacity that it has, by its age.
func (m *Machine) WarmupFactor(now time.Duration) float64 {
	return m.warmup.Factor(now - m.startedAt)
}

// workByAge is the work that one core at full pace does from the start to an age, in seconds.
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

// workBetween is the work that a core does between two times, in seconds.
func (m *Machine) workBetween(from, to time.Duration) float64 {
	return m.speed * (m.workByAge((to - m.startedAt).Seconds()) - m.workByAge((from - m.startedAt).Seconds()))
}

// finishTime is when a piece of work that runs from now on will be done.
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

// SetSpeed sets the part of its speed that the machine has from now on: less than 1 for a slow one or one that
// other programs share, 0 for one that stands still.
func (m *Machine) SetSpeed(now time.Duration, speed float64) []Event {
	events := m.Advance(now)
	m.speed = speed
	return events
}

// Drain makes it finish what runs and decline what is new; what still waits is handed back.
func (m *Machine) Drain(now time.Duration) (events []Event, unstarted []string) {
	events = m.Advance(now)
	m.draining = true
	for _, j := range append(m.queue, m.waitingForFirst...) {
		unstarted = append(unstarted, j.ID)
	}
	m.queue, m.waitingForFirst = nil, nil
	return events, unstarted
}

// Offer hands it a job. What it was sent within the span and the bound are told for a fall.
func (m *Machine) Offer(now time.Duration, j Job) (v Verdict, events []Event, sent, budget time.Duration) {
	events = m.Advance(now)
	if factor := m.WarmupFactor(now); factor < 1 && m.warmup.OverloadMultiple > 0 {
		m.recent = slices.DeleteFunc(m.recent, func(l recentJob) bool { return l.at <= now-m.warmup.OverloadSpan })
		m.recent = append(m.recent, recentJob{now, j.Work, j.ID})
		for _, l := range m.recent {
			sent += l.work
		}
		allowance := m.warmup.OverloadMultiple * factor * float64(m.kind.Cores) * float64(m.warmup.OverloadSpan)
		if budget = time.Duration(allowance); sent > budget {
			return Overloaded, events, sent, budget
		}
	}
	if m.draining || len(m.running) >= m.kind.Cores && len(m.queue) >= m.kind.Queue {
		return Declined, events, sent, budget
	}
	m.queue = append(m.queue, &job{Job: j, remaining: j.Work})
	return Accepted, m.startQueued(events), sent, budget
}

// Cancel takes a job out, wherever it is; what it did is lost, and a repeat of it may run.
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

// Stop ends the process: a repeat of what ran may run elsewhere.
func (m *Machine) Stop() {
	for _, j := range m.running {
		if j.Group != nil {
			j.Group.release(j.Key, j.ID)
		}
	}
	m.running, m.queue, m.waitingForFirst = nil, nil, nil
}

// Load is how many jobs run and wait.
func (m *Machine) Load() (running, queued int) { return len(m.running), len(m.queue) }

// Advance goes to a time, and tells what has happened until then.
func (m *Machine) Advance(now time.Duration) (events []Event) {
	for {
		at, first := now, false
		for _, j := range m.running {
			if d := m.finishTime(m.workUntilEvent(j)); d <= at {
				at, first = d, true
			}
		}
		events = m.step(max(at, m.now), events)
		if !first {
			return m.startQueued(events)
		}
	}
}

// workUntilEvent is the work until a job has something to tell.
func (m *Machine) workUntilEvent(j *job) time.Duration {
	if half := j.remaining - j.Work/2; !j.halfReported && half > 0 {
		return half
	}
	return j.remaining
}

func (m *Machine) step(at time.Duration, events []Event) []Event {
	workDone := time.Duration(math.Round(m.workBetween(m.now, at) * 1e9))
	m.now = at
	for _, j := range m.running {
		j.remaining -= workDone
		if !j.halfReported && j.remaining <= j.Work/2+time.Microsecond {
			j.halfReported = true
			events = append(events, Event{ID: j.ID, Kind: Halfway})
		}
		if j.remaining <= time.Microsecond { // finer than what times are rounded to
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

// startQueued starts what waits, in order, while there are cores; repeats need none.
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

// duplicateCheckInterval is how often a job that waits for a first one under its key looks whether that is over.
const duplicateCheckInterval = 5 * time.Millisecond

// NextEvent is when something may happen by time alone.
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
