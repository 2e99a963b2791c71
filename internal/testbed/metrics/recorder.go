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
	shortest = 1
	longest  = int64(10 * time.Minute / time.Microsecond)
	figures  = 3
)

// Bounds on the generator's own lateness, beyond which its figures are not to be trusted.
const (
	LateAfter = 10 * time.Millisecond
	lateShare = 0.01
)

// Call is how one call went.
type Call struct {
	Operation, Customer int
	Intended, Sent      time.Duration // Sent: when the first try was begun
	Ended               time.Duration
	Work                time.Duration
	Kind                history.Kind // of the last try
	Tries               int
	InTime              bool    // it succeeded within the latency objective
	Asked, Earned       float64 // billed value
}

// Recorder takes calls from many goroutines.
type Recorder struct {
	every time.Duration

	mu         sync.Mutex
	succeeded  *hdrhistogram.Histogram // time to the result
	all        *hdrhistogram.Histogram // time to whatever end: a call without an answer counts with its wait
	late       *hdrhistogram.Histogram // from when the generator meant to send to when it did
	operations []*tally
	customers  []*tally
	slots      []*slot
	total      tally
	lateCalls  int64
}

type tally struct {
	kinds         [history.Unsent + 1]int64
	calls, inTime int64
	tries         int64
	asked, earned float64
	latency       *hdrhistogram.Histogram
}

type slot struct {
	arrivals int64
	kinds    [history.Unsent + 1]int64
	latency  *hdrhistogram.Histogram // of what succeeded, by when it arrived

	asked, earned float64 // billed value
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, figures) }

// New makes a recorder that also keeps figures for each stretch of time of a length.
func New(every time.Duration, operations, customers int) *Recorder {
	r := &Recorder{every: every, succeeded: histogram(), all: histogram(), late: histogram()}
	for range operations {
		r.operations = append(r.operations, &tally{latency: histogram()})
	}
	for range customers {
		r.customers = append(r.customers, &tally{latency: histogram()})
	}
	return r
}

// record takes a value in microseconds, which micros has brought within the bounds of every histogram here.
func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(value) // fails only outside the bounds
}

// micros is a span in whole microseconds, brought within the bounds of a histogram.
func micros(d time.Duration) int64 { return min(max(int64(d/time.Microsecond), shortest), longest) }

// Record takes a call that is over.
func (r *Recorder) Record(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := micros(c.Ended - c.Intended)
	at := int(c.Intended / r.every)
	for len(r.slots) <= at {
		r.slots = append(r.slots, &slot{latency: hdrhistogram.New(shortest, longest, 2)})
	}
	s := r.slots[at]
	s.arrivals++
	s.kinds[c.Kind]++
	s.asked, s.earned = s.asked+c.Asked, s.earned+c.Earned
	tallies := []*tally{&r.total, r.operations[c.Operation]}
	if c.Customer < len(r.customers) {
		tallies = append(tallies, r.customers[c.Customer])
	}
	for _, t := range tallies {
		t.add(c, took)
	}
	if c.Kind == history.Unsent {
		return
	}
	record(r.all, took)
	record(r.late, micros(c.Sent-c.Intended))
	if c.Sent-c.Intended > LateAfter {
		r.lateCalls++
	}
	if c.Kind == history.Succeeded {
		record(r.succeeded, took)
		record(s.latency, took)
	}
}

func (t *tally) add(c Call, took int64) {
	t.kinds[c.Kind]++
	t.calls++
	t.tries += int64(c.Tries)
	t.asked += c.Asked
	t.earned += c.Earned
	if c.InTime {
		t.inTime++
	}
	if t.latency != nil && c.Kind == history.Succeeded {
		record(t.latency, took)
	}
}

// Snapshot is how calls stand now, for progress.
func (r *Recorder) Snapshot() (calls, succeeded, throttled, other int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.total.kinds
	return r.total.calls, k[history.Succeeded], k[history.Throttled],
		r.total.calls - k[history.Succeeded] - k[history.Throttled]
}
