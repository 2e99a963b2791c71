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

// Cold is how a worker behaves after its start, in the figures that the settings tell dispatchers.
type Cold struct {
	From     float64       // the share of its capacity that it starts with
	Ramp     time.Duration // until it has all of it
	Multiple float64       // of what it can do at that moment: sent more within the span, it falls over
	Span     time.Duration
}

// Warmth is the share of its capacity that a worker has at an age.
func (c Cold) Warmth(age time.Duration) float64 {
	if c.Ramp <= 0 || age >= c.Ramp {
		return 1
	}
	return c.From + (1-c.From)*age.Seconds()/c.Ramp.Seconds()
}

// Job is an invocation at a worker.
type Job struct {
	ID    string
	Work  time.Duration // core time on a worker of standard speed
	Key   string        // "": no repeats are dropped
	Group *Group        // that drops them
}

// Verdict is the answer to an offer.
type Verdict uint8

// The values of Verdict.
const (
	Accepted Verdict = iota
	Declined         // full, or draining: it never runs
	Toppled          // this one has pushed the cold worker over: its process ends
)

// What is what has happened to a job.
type What uint8

// The values of What.
const (
	Began What = iota + 1
	Halfway
	Finished
	Repeated // a first one under the same key has run: Result is its
)

// Event is one thing that has happened.
type Event struct {
	ID     string
	What   What
	Result string
}

type job struct {
	Job
	left time.Duration // of the work
	half bool          // told
}

// Machine is one life of a worker's process: cores that run jobs, and a queue before them, taken in order.
type Machine struct {
	kind    Kind
	cold    Cold
	now     time.Duration
	born    time.Duration // of a warm one: long ago
	pace    float64       // part of its speed that it has; 0 while it stands still
	drains  bool
	running []*job
	queue   []*job
	waiting []*job // for a first one under the same key
	sent    []load
	result  func(id string) string
}

type load struct {
	at   time.Duration
	work time.Duration
	id   string
}

// Heaviest words what it was sent within the span, the heaviest first, at most so many.
func (m *Machine) Heaviest(most int) string {
	all := slices.Clone(m.sent)
	slices.SortStableFunc(all, func(a, b load) int { return cmp.Compare(b.work, a.work) })
	var words []string
	for _, l := range all[:min(most, len(all))] {
		words = append(words, fmt.Sprintf("%s %v", l.id, l.work.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%d sent: %s", len(all), strings.Join(words, ", "))
}

// NewMachine starts a process; warm if it is to have started long ago. result words what a job makes.
func NewMachine(k Kind, c Cold, now time.Duration, warm bool, result func(id string) string) *Machine {
	m := &Machine{kind: k, cold: c, now: now, born: now, pace: 1, result: result}
	if warm {
		m.born = now - c.Ramp
	}
	return m
}

// Warmth is the share of its capacity that it has, by its age.
func (m *Machine) Warmth(now time.Duration) float64 {
	return m.cold.Warmth(now - m.born)
}

// upTo is the work that one core at full pace does from the start to an age, in seconds.
func (m *Machine) upTo(age float64) float64 {
	ramp := m.cold.Ramp.Seconds()
	within := min(age, ramp)
	done := max(age-ramp, 0)
	if ramp > 0 {
		done += m.cold.From*within + (1-m.cold.From)*within*within/(2*ramp)
	}
	return done
}

// ageAt is the inverse of upTo.
func (m *Machine) ageAt(done float64) float64 {
	ramp, from := m.cold.Ramp.Seconds(), m.cold.From
	whole := m.upTo(ramp)
	if ramp <= 0 || done >= whole {
		return ramp + done - whole
	}
	slope := (1 - from) / ramp
	if slope <= 0 {
		return done / from
	}
	return 2 * done / (from + math.Sqrt(from*from+2*slope*done))
}

// done is the work that a core does between two times, in seconds.
func (m *Machine) done(from, to time.Duration) float64 {
	return m.pace * (m.upTo((to - m.born).Seconds()) - m.upTo((from - m.born).Seconds()))
}

// due is when a piece of work that runs from now on will be done.
func (m *Machine) due(left time.Duration) time.Duration {
	if m.pace <= 0 {
		return math.MaxInt64
	}
	age := m.ageAt(m.upTo((m.now - m.born).Seconds()) + left.Seconds()/m.pace)
	if age > 1e9 {
		return math.MaxInt64
	}
	return m.born + time.Duration(math.Ceil(age*1e9))
}

// Pace sets the part of its speed that the machine has from now on: less than 1 for a slow one or one that
// other programs share, 0 for one that stands still.
func (m *Machine) Pace(now time.Duration, pace float64) []Event {
	events := m.Advance(now)
	m.pace = pace
	return events
}

// Drain makes it finish what runs and decline what is new; what still waits is handed back.
func (m *Machine) Drain(now time.Duration) (events []Event, back []string) {
	events = m.Advance(now)
	m.drains = true
	for _, j := range append(m.queue, m.waiting...) {
		back = append(back, j.ID)
	}
	m.queue, m.waiting = nil, nil
	return events, back
}

// Offer hands it a job. What it was sent within the span and the bound are told for a fall.
func (m *Machine) Offer(now time.Duration, j Job) (v Verdict, events []Event, sent, bound time.Duration) {
	events = m.Advance(now)
	if warmth := m.Warmth(now); warmth < 1 && m.cold.Multiple > 0 {
		m.sent = slices.DeleteFunc(m.sent, func(l load) bool { return l.at <= now-m.cold.Span })
		m.sent = append(m.sent, load{now, j.Work, j.ID})
		for _, l := range m.sent {
			sent += l.work
		}
		bear := m.cold.Multiple * warmth * float64(m.kind.Cores) * float64(m.cold.Span)
		if bound = time.Duration(bear); sent > bound {
			return Toppled, events, sent, bound
		}
	}
	if m.drains || len(m.running) >= m.kind.Cores && len(m.queue) >= m.kind.Queue {
		return Declined, events, sent, bound
	}
	m.queue = append(m.queue, &job{Job: j, left: j.Work})
	return Accepted, m.begin(events), sent, bound
}

// Cancel takes a job out, wherever it is; what it did is lost, and a repeat of it may run.
func (m *Machine) Cancel(now time.Duration, id string) []Event {
	events := m.Advance(now)
	same := func(j *job) bool { return j.ID == id }
	for _, j := range m.running {
		if same(j) && j.Group != nil {
			j.Group.lost(j.Key, id)
		}
	}
	m.running = slices.DeleteFunc(m.running, same)
	m.queue = slices.DeleteFunc(m.queue, same)
	m.waiting = slices.DeleteFunc(m.waiting, same)
	return m.begin(events)
}

// End ends the process: a repeat of what ran may run elsewhere.
func (m *Machine) End() {
	for _, j := range m.running {
		if j.Group != nil {
			j.Group.lost(j.Key, j.ID)
		}
	}
	m.running, m.queue, m.waiting = nil, nil, nil
}

// Load is how many jobs run and wait.
func (m *Machine) Load() (running, queued int) { return len(m.running), len(m.queue) }

// Advance goes to a time, and tells what has happened until then.
func (m *Machine) Advance(now time.Duration) (events []Event) {
	for {
		at, first := now, false
		for _, j := range m.running {
			if d := m.due(m.next(j)); d <= at {
				at, first = d, true
			}
		}
		events = m.step(max(at, m.now), events)
		if !first {
			return m.begin(events)
		}
	}
}

// next is the work until a job has something to tell.
func (m *Machine) next(j *job) time.Duration {
	if half := j.left - j.Work/2; !j.half && half > 0 {
		return half
	}
	return j.left
}

func (m *Machine) step(at time.Duration, events []Event) []Event {
	did := time.Duration(math.Round(m.done(m.now, at) * 1e9))
	m.now = at
	for _, j := range m.running {
		j.left -= did
		if !j.half && j.left <= j.Work/2+time.Microsecond {
			j.half = true
			events = append(events, Event{ID: j.ID, What: Halfway})
		}
		if j.left <= time.Microsecond { // finer than what times are rounded to
			result := m.result(j.ID)
			if j.Group != nil {
				j.Group.done(j.Key, j.ID, result)
			}
			events = append(events, Event{ID: j.ID, What: Finished, Result: result})
		}
	}
	m.running = slices.DeleteFunc(m.running, func(j *job) bool { return j.left <= time.Microsecond })
	return m.begin(events)
}

// begin starts what waits, in order, while there are cores; repeats need none.
func (m *Machine) begin(events []Event) []Event {
	if m.pace <= 0 {
		return events
	}
	again := m.waiting
	m.waiting = nil
	for _, j := range again {
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
		switch result, state := j.Group.begin(j.Key, j.ID, m.now); state {
		case runs:
			m.waiting = append(m.waiting, j)
			return events
		case hasRun:
			return append(events, Event{ID: j.ID, What: Repeated, Result: result})
		}
	}
	m.running = append(m.running, j)
	return append(events, Event{ID: j.ID, What: Began})
}

// lookAgain is how often a job that waits for a first one under its key looks whether that is over.
const lookAgain = 5 * time.Millisecond

// Next is when something may happen by time alone.
func (m *Machine) Next() (at time.Duration, any bool) {
	at = math.MaxInt64
	for _, j := range m.running {
		at = min(at, m.due(m.next(j)))
	}
	if len(m.waiting) > 0 && m.pace > 0 {
		at = min(at, m.now+lookAgain)
	}
	return at, at < math.MaxInt64
}
