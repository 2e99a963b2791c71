// Package metrics aggregates the calls of an experiment. A call is a client's request including its retries. Latency is
// measured from the intended time of sending, not from the actual time. Otherwise a load generator that waits for a
// slow dispatcher would hide the delay that the dispatcher causes (coordinated omission).
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
	slotSignificantDigits = 2 // for the histogram of a slot
)

// Limits of the load generator's lateness. The results of a run whose share of late calls exceeds maxLateShare are not
// trusted.
const (
	LateThreshold = 10 * time.Millisecond // a call is late if it is sent more than this after its intended time
	maxLateShare  = 0.01                  // maximum share of late calls
)

// Call is a completed call. Times are since the start of the experiment.
type Call struct {
	Operation    int             // index
	Tenant       int             // index
	Intended     time.Duration   // intended time of sending
	Sent         time.Duration   // start of its first request
	Ended        time.Duration   // end of its last request
	Work         time.Duration   // core time that the call needs at a worker
	Outcome      history.Outcome // of the last request
	Requests     int             // including retries
	InTime       bool            // succeeded within the latency objective
	ValueOffered float64         // billed value if the call succeeds in time
	ValueEarned  float64         // value that was billed
}

// Recorder aggregates calls. It is safe for concurrent use.
type Recorder struct {
	slotLength time.Duration

	mu         sync.Mutex
	succeeded  *hdrhistogram.Histogram // latency of successful calls
	all        *hdrhistogram.Histogram // latency of all calls; for a call without an answer, the time that the client waited
	lateness   *hdrhistogram.Histogram // from the intended to the actual time of sending
	operations []*groupTally           // by index
	tenants    []*groupTally           // by index
	slots      []*slotTally            // by time
	total      groupTally
	lateCalls  int64 // calls sent more than LateThreshold after their intended time
}

// outcomeCounts holds the number of calls for each history.Outcome.
type outcomeCounts [history.Unsent + 1]int64

// groupTally aggregates a group of calls: all calls, or those of an operation or a tenant.
type groupTally struct {
	outcomes     outcomeCounts
	calls        int64
	inTime       int64 // calls that succeeded within their latency objective
	requests     int64 // including retries
	valueOffered float64
	valueEarned  float64
	latency      *hdrhistogram.Histogram // of successful calls; nil: not recorded
}

// slotTally aggregates the calls whose intended time is in a time slot.
type slotTally struct {
	arrivals     int64
	outcomes     outcomeCounts
	valueOffered float64
	valueEarned  float64
	latency      *hdrhistogram.Histogram // of successful calls
}

// newHistogram returns an empty histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// NewRecorder returns a recorder for the given numbers of operations and tenants. It also aggregates the calls by time
// slots of slotLength.
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

// recordValue records a value in a histogram. The value must be a result of clampMicros, and is therefore within the
// histogram's range.
func recordValue(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(value) // fails only for values outside the range
}

// clampMicros converts a duration to microseconds within the range of the histograms.
func clampMicros(d time.Duration) int64 {
	return min(max(int64(d/time.Microsecond), minMicros), maxMicros)
}

// Record adds a completed call.
func (r *Recorder) Record(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latency := clampMicros(call.Ended - call.Intended)
	r.total.add(call, latency)
	r.operations[call.Operation].add(call, latency)
	if call.Tenant < len(r.tenants) {
		r.tenants[call.Tenant].add(call, latency)
	}
	r.slotFor(call.Intended).add(call, latency)
	if call.Outcome == history.Unsent {
		return
	}
	recordValue(r.all, latency)
	if call.Outcome == history.Succeeded {
		recordValue(r.succeeded, latency)
	}
	lateness := call.Sent - call.Intended
	recordValue(r.lateness, clampMicros(lateness))
	if lateness > LateThreshold {
		r.lateCalls++
	}
}

// slotFor returns the slot that contains a time. It appends missing slots up to that one. The caller must hold r.mu.
func (r *Recorder) slotFor(at time.Duration) *slotTally {
	index := int(at / r.slotLength)
	for len(r.slots) <= index {
		r.slots = append(r.slots, &slotTally{latency: hdrhistogram.New(minMicros, maxMicros, slotSignificantDigits)})
	}
	return r.slots[index]
}

// add adds a call. The latency is in microseconds.
func (s *slotTally) add(call Call, latency int64) {
	s.arrivals++
	s.outcomes[call.Outcome]++
	s.valueOffered += call.ValueOffered
	s.valueEarned += call.ValueEarned
	if call.Outcome == history.Succeeded {
		recordValue(s.latency, latency)
	}
}

// add adds a call. The latency is in microseconds.
func (t *groupTally) add(call Call, latency int64) {
	t.outcomes[call.Outcome]++
	t.calls++
	t.requests += int64(call.Requests)
	t.valueOffered += call.ValueOffered
	t.valueEarned += call.ValueEarned
	if call.InTime {
		t.inTime++
	}
	if t.latency != nil && call.Outcome == history.Succeeded {
		recordValue(t.latency, latency)
	}
}

// CallCounts holds numbers of calls by outcome.
type CallCounts struct {
	Total     int64
	Succeeded int64
	Throttled int64
	Other     int64 // any other outcome
}

// Counts returns the numbers of calls recorded so far.
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
