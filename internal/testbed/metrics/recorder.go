// Package metrics counts what an experiment's calls came to. A call is an invocation with its client's
// retries. Its latency counts from when it was meant to be sent, not from when it was: a generator that waits
// for a slow dispatcher would hide just the time in question (coordinated omission).
package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasroute/internal/testbed/history"
)

// What histograms hold: microseconds up to ten minutes, to three figures.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Bounds on the generator's own lateness, beyond which its figures are not to be trusted.
const (
	LateAfter    = 10 * time.Millisecond
	maxLateShare = 0.01
)

// Call is how one call went.
type Call struct {
	Operation, Tenant         int
	Intended, Sent            time.Duration // Sent: when the first try was begun
	Ended                     time.Duration
	Work                      time.Duration
	Outcome                   history.Outcome // of the last try
	Tries                     int
	InTime                    bool    // it succeeded within the latency objective
	ValueOffered, ValueEarned float64 // billed value
}

// Recorder takes calls from many goroutines.
type Recorder struct {
	slotLength time.Duration

	mu         sync.Mutex
	succeeded  *hdrhistogram.Histogram // time to the result
	all        *hdrhistogram.Histogram // time to whatever end: a call without an answer counts with its wait
	lateness   *hdrhistogram.Histogram // from when the generator meant to send to when it did
	operations []*tally
	tenants    []*tally
	slots      []*slot
	total      tally
	lateCalls  int64
}

type tally struct {
	outcomes                  [history.Unsent + 1]int64
	calls, inTime             int64
	tries                     int64
	valueOffered, valueEarned float64
	latency                   *hdrhistogram.Histogram
}

type slot struct {
	arrivals int64
	outcomes [history.Unsent + 1]int64
	latency  *hdrhistogram.Histogram // of what succeeded, by when it arrived

	valueOffered, valueEarned float64 // billed value
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// NewRecorder makes a recorder that also keeps figures for each stretch of time of a length.
func NewRecorder(every time.Duration, operations, tenants int) *Recorder {
	r := &Recorder{slotLength: every, succeeded: newHistogram(), all: newHistogram(), lateness: newHistogram()}
	for range operations {
		r.operations = append(r.operations, &tally{latency: newHistogram()})
	}
	for range tenants {
		r.tenants = append(r.tenants, &tally{latency: newHistogram()})
	}
	return r
}

// recordValue takes a value in microseconds, which micros has brought within the bounds of every histogram here.
func recordValue(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(value) // fails only outside the bounds
}

// clampMicros is a span in whole microseconds, brought within the bounds of a histogram.
func clampMicros(d time.Duration) int64 {
	return min(max(int64(d/time.Microsecond), minMicros), maxMicros)
}

// Record takes a call that is over.
func (r *Recorder) Record(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := clampMicros(c.Ended - c.Intended)
	at := int(c.Intended / r.slotLength)
	for len(r.slots) <= at {
		r.slots = append(r.slots, &slot{latency: hdrhistogram.New(minMicros, maxMicros, 2)})
	}
	s := r.slots[at]
	s.arrivals++
	s.outcomes[c.Outcome]++
	s.valueOffered, s.valueEarned = s.valueOffered+c.ValueOffered, s.valueEarned+c.ValueEarned
	tallies := []*tally{&r.total, r.operations[c.Operation]}
	if c.Tenant < len(r.tenants) {
		tallies = append(tallies, r.tenants[c.Tenant])
	}
	for _, t := range tallies {
		t.add(c, took)
	}
	if c.Outcome == history.Unsent {
		return
	}
	recordValue(r.all, took)
	recordValue(r.lateness, clampMicros(c.Sent-c.Intended))
	if c.Sent-c.Intended > LateAfter {
		r.lateCalls++
	}
	if c.Outcome == history.Succeeded {
		recordValue(r.succeeded, took)
		recordValue(s.latency, took)
	}
}

func (t *tally) add(c Call, took int64) {
	t.outcomes[c.Outcome]++
	t.calls++
	t.tries += int64(c.Tries)
	t.valueOffered += c.ValueOffered
	t.valueEarned += c.ValueEarned
	if c.InTime {
		t.inTime++
	}
	if t.latency != nil && c.Outcome == history.Succeeded {
		recordValue(t.latency, took)
	}
}

// Snapshot is how calls stand now, for progress.
func (r *Recorder) Snapshot() (calls, succeeded, throttled, other int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.total.outcomes
	return r.total.calls, k[history.Succeeded], k[history.Throttled],
		r.total.calls - k[history.Succeeded] - k[history.Throttled]
}
