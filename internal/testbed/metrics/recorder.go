// Package metrics aggregates the calls of an experiment. A call is a client's request with its retries. Latency counts
// from the intended time of sending, not from the actual one. A generator that waits for a slow dispatcher would
// otherwise hide the delay that it causes (coordinated omission).
package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasroute/internal/testbed/history"
)

// Range of the histograms, in microseconds, and their precision in decimal digits.
const (
	minMicros             = 1
	maxMicros             = int64(10 * time.Minute / time.Microsecond)
	significantDigits     = 3
	slotSignificantDigits = 2 // of the histogram of a slot
)

// Limits of the generator's own lateness, beyond which its results are not trusted.
const (
	LateAfter    = 10 * time.Millisecond // a call that is sent later than this is late
	maxLateShare = 0.01                  // of the calls
)

// Call is a call that is over. Times are since the start of the experiment.
type Call struct {
	Operation    int             // index
	Tenant       int             // index
	Intended     time.Duration   // when it was due
	Sent         time.Duration   // start of its first request
	Ended        time.Duration   // end of its last request
	Work         time.Duration   // core time that it stands for
	Outcome      history.Outcome // of the last request
	Tries        int             // number of requests
	InTime       bool            // succeeded within the latency objective
	ValueOffered float64         // billed value of a success in time
	ValueEarned  float64         // billed value
}

// Recorder aggregates calls. It is safe for concurrent use.
type Recorder struct {
	slotLength time.Duration

	mu         sync.Mutex
	succeeded  *hdrhistogram.Histogram // latency of successful calls
	all        *hdrhistogram.Histogram // latency of all calls; one without an answer counts with the time waited
	lateness   *hdrhistogram.Histogram // from the intended to the actual time of sending
	operations []*groupTally           // by index
	tenants    []*groupTally           // by index
	slots      []*slotTally            // by time
	total      groupTally
	lateCalls  int64 // calls that were sent more than LateAfter late
}

// outcomeCounts are numbers of calls by history.Outcome.
type outcomeCounts [history.Unsent + 1]int64

// groupTally aggregates the calls of a group.
type groupTally struct {
	outcomes     outcomeCounts
	calls        int64
	inTime       int64 // calls that succeeded within their latency objective
	tries        int64 // requests
	valueOffered float64
	valueEarned  float64
	latency      *hdrhistogram.Histogram // of successful calls; nil: not recorded
}

// slotTally aggregates the calls that were due in a time slot.
type slotTally struct {
	arrivals     int64
	outcomes     outcomeCounts
	valueOffered float64
	valueEarned  float64
	latency      *hdrhistogram.Histogram // of successful calls
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// NewRecorder returns a recorder that also aggregates by time slots of a length.
func NewRecorder(slotLength time.Duration, operations, tenants int) *Recorder {
	r := &Recorder{
		slotLength: slotLength,
		succeeded:  newHistogram(),
		all:        newHistogram(),
		lateness:   newHistogram(),
	}
	for range operations {
		r.operations = append(r.operations, &groupTally{latency: newHistogram()})
	}
	for range tenants {
		r.tenants = append(r.tenants, &groupTally{latency: newHistogram()})
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
func (r *Recorder) Record(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latency := clampMicros(call.Ended - call.Intended)
	r.total.add(call, latency)
	r.operations[call.Operation].add(call, latency)
	if call.Tenant < len(r.tenants) {
		r.tenants[call.Tenant].add(call, latency)
	}
	r.slotAt(call.Intended).add(call, latency)
	if call.Outcome == history.Unsent {
		return
	}
	recordValue(r.all, latency)
	if call.Outcome == history.Succeeded {
		recordValue(r.succeeded, latency)
	}
	lateness := call.Sent - call.Intended
	recordValue(r.lateness, clampMicros(lateness))
	if lateness > LateAfter {
		r.lateCalls++
	}
}

// slotAt returns the slot of a time, and adds those up to it that are missing. The caller holds the lock.
func (r *Recorder) slotAt(at time.Duration) *slotTally {
	index := int(at / r.slotLength)
	for len(r.slots) <= index {
		r.slots = append(r.slots, &slotTally{latency: hdrhistogram.New(minMicros, maxMicros, slotSignificantDigits)})
	}
	return r.slots[index]
}

// add adds a call. Its latency is in microseconds.
func (s *slotTally) add(call Call, latency int64) {
	s.arrivals++
	s.outcomes[call.Outcome]++
	s.valueOffered += call.ValueOffered
	s.valueEarned += call.ValueEarned
	if call.Outcome == history.Succeeded {
		recordValue(s.latency, latency)
	}
}

// add adds a call. Its latency is in microseconds.
func (t *groupTally) add(call Call, latency int64) {
	t.outcomes[call.Outcome]++
	t.calls++
	t.tries += int64(call.Tries)
	t.valueOffered += call.ValueOffered
	t.valueEarned += call.ValueEarned
	if call.InTime {
		t.inTime++
	}
	if t.latency != nil && call.Outcome == history.Succeeded {
		recordValue(t.latency, latency)
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
