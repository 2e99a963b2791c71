package metrics

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasroute/internal/testbed/history"
)

// Latency holds percentiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Tally aggregates the calls of a group.
type Tally struct {
	Name       string           `json:"name,omitempty"`
	Calls      int64            `json:"calls"`
	Answers    map[string]int64 `json:"answers"` // by outcome
	InTime     int64            `json:"in_time"`
	Tries      int64            `json:"tries"`       // requests
	ValueShare float64          `json:"value_share"` // earned of the offered value
	Latency    *Latency         `json:"latency,omitempty"`
}

// Slot aggregates the calls that were due in one time slot.
type Slot struct {
	From         float64          `json:"from_s"` // seconds since the start of the experiment
	Arrivals     int64            `json:"arrivals"`
	Answers      map[string]int64 `json:"answers"`
	ValueOffered float64          `json:"asked_value"`
	ValueEarned  float64          `json:"earned_value"`
	P50          float64          `json:"p50_ms"`
	P95          float64          `json:"p95_ms"`
	P99          float64          `json:"p99_ms"`
}

// Generator is how closely the load generator kept to its schedule.
type Generator struct {
	Late      Latency `json:"late"` // from the intended to the actual time of sending
	LateCalls int64   `json:"late_calls"`
	Unsent    int64   `json:"unsent"`        // calls
	Trusted   bool    `json:"trusted"`       // latencies are those of the dispatchers
	Reason    string  `json:"why,omitempty"` // why they are not
}

// Summary is everything that a recorder has aggregated.
type Summary struct {
	Total       Tally     `json:"total"`
	Succeeded   Latency   `json:"latency_succeeded"`
	All         Latency   `json:"latency_all"` // a call without an answer counts with the time waited
	Generator   Generator `json:"generator"`
	Operations  []Tally   `json:"operations"`
	Tenants     []Tally   `json:"customers,omitempty"`
	SlotSeconds float64   `json:"slot_s"`
	Slots       []Slot    `json:"slots"`
}

// Summary returns the aggregates, with the names of operations and tenants.
func (r *Recorder) Summary(operations, tenants []string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := Summary{
		Total:       r.total.export(""),
		Succeeded:   percentiles(r.succeeded),
		All:         percentiles(r.all),
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

// generator judges whether the load generator kept to its schedule. The caller holds the lock.
func (r *Recorder) generator() Generator {
	generator := Generator{
		Late:      percentiles(r.lateness),
		LateCalls: r.lateCalls,
		Unsent:    r.total.outcomes[history.Unsent],
	}
	switch {
	case generator.Unsent > 0:
		generator.Reason = fmt.Sprintf("%d calls were never sent: too many were open", generator.Unsent)
	case float64(generator.LateCalls) > maxLateShare*float64(generator.Late.Count):
		generator.Reason = fmt.Sprintf("%d of %d calls were sent more than %v late", generator.LateCalls,
			generator.Late.Count, LateAfter)
	default:
		generator.Trusted = true
	}
	return generator
}

// export returns the slot as it stands in results. from is its start in seconds.
func (s *slotTally) export(from float64) Slot {
	return Slot{
		From:         from,
		Arrivals:     s.arrivals,
		Answers:      s.outcomes.byName(),
		ValueOffered: s.valueOffered,
		ValueEarned:  s.valueEarned,
		P50:          percentile(s.latency, 50),
		P95:          percentile(s.latency, 95),
		P99:          percentile(s.latency, 99),
	}
}

// export returns the tally as it stands in results.
func (t *groupTally) export(name string) Tally {
	exported := Tally{Name: name, Calls: t.calls, Answers: t.outcomes.byName(), InTime: t.inTime, Tries: t.tries}
	if t.valueOffered > 0 {
		exported.ValueShare = t.valueEarned / t.valueOffered
	}
	if t.latency != nil {
		latency := percentiles(t.latency)
		exported.Latency = &latency
	}
	return exported
}

// byName returns the counts above 0 by the name of the outcome.
func (c outcomeCounts) byName() map[string]int64 {
	counts := map[string]int64{}
	for outcome, count := range c {
		if count > 0 {
			counts[history.OutcomeNames[outcome]] = count
		}
	}
	return counts
}

// microsPerMilli converts the unit of the histograms to that of results.
const microsPerMilli = 1000

// percentile returns a percentile of a histogram in milliseconds.
func percentile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}

// percentiles returns the percentiles of a histogram that stand in results.
func percentiles(histogram *hdrhistogram.Histogram) Latency {
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
