package metrics

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasroute/internal/testbed/history"
)

// Latency holds statistics of latencies, or of the lateness of calls, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Tally holds the results of a group of calls: all calls, or those of an operation or a tenant.
type Tally struct {
	Name       string           `json:"name,omitempty"`
	Calls      int64            `json:"calls"`
	Outcomes   map[string]int64 `json:"answers"` // number of calls by outcome
	InTime     int64            `json:"in_time"`
	Requests   int64            `json:"tries"`       // including retries
	ValueShare float64          `json:"value_share"` // earned share of the offered value
	Latency    *Latency         `json:"latency,omitempty"`
}

// Slot holds the results of the calls whose intended time is in a time slot.
type Slot struct {
	From         float64          `json:"from_s"` // seconds since the start of the experiment
	Arrivals     int64            `json:"arrivals"`
	Outcomes     map[string]int64 `json:"answers"`
	ValueOffered float64          `json:"asked_value"`
	ValueEarned  float64          `json:"earned_value"`
	P50          float64          `json:"p50_ms"` // of the latency of successful calls, as are P95 and P99
	P95          float64          `json:"p95_ms"`
	P99          float64          `json:"p99_ms"`
}

// Generator describes how closely the load generator kept to its schedule.
type Generator struct {
	Lateness  Latency `json:"late"` // from the intended to the actual time of sending
	LateCalls int64   `json:"late_calls"`
	Unsent    int64   `json:"unsent"`        // calls that were never sent
	Trusted   bool    `json:"trusted"`       // the latencies measure the dispatchers rather than the generator
	Reason    string  `json:"why,omitempty"` // why Trusted is false
}

// Summary holds all results of a recorder.
type Summary struct {
	Total       Tally     `json:"total"`
	Succeeded   Latency   `json:"latency_succeeded"`
	All         Latency   `json:"latency_all"` // for a call without an answer, the time that the client waited
	Generator   Generator `json:"generator"`
	Operations  []Tally   `json:"operations"`
	Tenants     []Tally   `json:"customers,omitempty"`
	SlotSeconds float64   `json:"slot_s"`
	Slots       []Slot    `json:"slots"`
}

// Summary returns the results so far. The arguments are the names of the operations and tenants, by index.
func (r *Recorder) Summary(operations, tenants []string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := Summary{
		Total:       r.total.export(""),
		Succeeded:   latencyStatistics(r.succeeded),
		All:         latencyStatistics(r.all),
		SlotSeconds: r.slotLength.Seconds(),
	}
	for n, operation := range r.operations {
		summary.Operations = append(summary.Operations, operation.export(operations[n]))
	}
	for n, tenant := range r.tenants {
		summary.Tenants = append(summary.Tenants, tenant.export(tenants[n]))
	}
	for n, slot := range r.slots {
		summary.Slots = append(summary.Slots, slot.export(float64(n)*summary.SlotSeconds))
	}
	summary.Generator = r.generator()
	return summary
}

// generator assesses whether the load generator kept to its schedule. The caller must hold r.mu.
func (r *Recorder) generator() Generator {
	generator := Generator{
		Lateness:  latencyStatistics(r.lateness),
		LateCalls: r.lateCalls,
		Unsent:    r.total.outcomes[history.Unsent],
	}
	switch {
	case generator.Unsent > 0:
		generator.Reason = fmt.Sprintf("%d calls were never sent: too many were open", generator.Unsent)
	case float64(generator.LateCalls) > maxLateShare*float64(generator.Lateness.Count):
		generator.Reason = fmt.Sprintf("%d of %d calls were sent more than %v late", generator.LateCalls,
			generator.Lateness.Count, LateThreshold)
	default:
		generator.Trusted = true
	}
	return generator
}

// export returns the slot in the format of results. from is the start of the slot in seconds.
func (s *slotTally) export(from float64) Slot {
	return Slot{
		From:         from,
		Arrivals:     s.arrivals,
		Outcomes:     s.outcomes.countsByName(),
		ValueOffered: s.valueOffered,
		ValueEarned:  s.valueEarned,
		P50:          percentile(s.latency, 50),
		P95:          percentile(s.latency, 95),
		P99:          percentile(s.latency, 99),
	}
}

// export returns the tally in the format of results.
func (t *groupTally) export(name string) Tally {
	exported := Tally{Name: name, Calls: t.calls, Outcomes: t.outcomes.countsByName(), InTime: t.inTime, Requests: t.requests}
	if t.valueOffered > 0 {
		exported.ValueShare = t.valueEarned / t.valueOffered
	}
	if t.latency != nil {
		latency := latencyStatistics(t.latency)
		exported.Latency = &latency
	}
	return exported
}

// countsByName returns the counts that are greater than 0, by the name of the outcome.
func (c outcomeCounts) countsByName() map[string]int64 {
	counts := map[string]int64{}
	for outcome, count := range c {
		if count > 0 {
			counts[history.OutcomeNames[outcome]] = count
		}
	}
	return counts
}

// microsPerMilli is the number of microseconds, the unit of the histograms, in a millisecond, the unit of results.
const microsPerMilli = 1000

// percentile returns a percentile of a histogram in milliseconds.
func percentile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}

// latencyStatistics returns the statistics of a histogram, or all zeros if it is empty.
func latencyStatistics(histogram *hdrhistogram.Histogram) Latency {
	count := histogram.TotalCount()
	if count == 0 {
		return Latency{}
	}
	return Latency{
		Count: count,
		Mean:  histogram.Mean() / microsPerMilli,
		P50:   percentile(histogram, 50),
		P90:   percentile(histogram, 90),
		P99:   percentile(histogram, 99),
		P999:  percentile(histogram, 99.9),
		Max:   float64(histogram.Max()) / microsPerMilli,
	}
}
