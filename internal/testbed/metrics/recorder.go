// Package metrics aggregates the calls of an experiment. A call is a client's request with its retries. Latency counts
// from the intended time of sending, not from the actual one: a generator that waits for a slow dispatcher would
// otherwise hide the very delay that is to be measured (coordinated omission).
package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasroute/internal/testbed/history"
)

// Range and precision of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Limits of the generator's own lateness, beyond which its results are not trusted.
const (
	LateAfter    = 10 * time.Millisecond
	maxLateShare = 0.01
)

// Call is a call that is over.
type Call struct {
	Operation, Tenant         int
	Intended, Sent            time.Duration // Sent: start of the first request
	Ended                     time.Duration
	Work                      time.Duration
	Outcome                   history.Outcome // of the last request
	Tries                     int
	InTime                    bool    // succeeded within the latency objective
	ValueOffered, ValueEarned float64 // billed value
}

// Recorder aggregates calls. It is safe for concurrent use.
type Recorder struct {
	slotLength time.Duration

	mu         sync.Mutex
	succeeded  *hdrhistogram.Histogram // latency of successful calls
	all        *hdrhistogram.Histogram // latency of all calls; one without an answer counts with the time waited
	lateness   *hdrhistogram.Histogram // from the intended to the actual time of sending
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
	latency  *hdrhistogram.Histogram // of successful calls, by intended time

	valueOffered, valueEarned float64 // billed value
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// NewRecorder returns a recorder that also aggregates by time slots of a length.
func NewRecorder(slotLength time.Duration, operations, tenants int) *Recorder {
	r := &Recorder{slotLength: slotLength, succeeded: newHistogram(), all: newHistogram(), lateness: newHistogram()}
	for range operations {
		r.operations = append(r.operations, &tally{latency: newHistogram()})
	}
	for range tenants {
		r.tenants = append(r.tenants, &tally{latency: newHistogram()})
	}
	return r
}

// recordValue records a value that clampMicros has returned, so that it is within the histogram's range.
func recordValue(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(value) // fails only outside the range
}

// clampMicros converts a duration to microseconds within the range of the histograms.
func clampMicros(d time.Duration) int64 {
	return min(max(int64(d/time.Microsecond), minMicros), maxMicros)
}

// Record adds a call that is over.
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
	s.valueOffered += c.ValueOffered
	s.valueEarned += c.ValueEarned
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

// CallCounts are numbers of calls by outcome.
type CallCounts struct {
	Total     int64
	Succeeded int64
	Throttled int64
	Other     int64 // any other outcome
}

// Counts returns the numbers of calls so far.
func (r *Recorder) Counts() CallCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcomes := r.total.outcomes
	counts := CallCounts{
		Total:     r.total.calls,
		Succeeded: outcomes[history.Succeeded],
		Throttled: outcomes[history.Throttled],
	}
	counts.Other = counts.Total - counts.Succeeded - counts.Throttled
	return counts
}
