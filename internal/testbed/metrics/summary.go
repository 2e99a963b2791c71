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
	Tries      int64            `json:"tries"`
	ValueShare float64          `json:"value_share"` // earned of the offered value
	Latency    *Latency         `json:"latency,omitempty"`
}

// Slot aggregates the calls that were due in one time slot.
type Slot struct {
	From         float64          `json:"from_s"`
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
	Unsent    int64   `json:"unsent"`
	Trusted   bool    `json:"trusted"`
	Reason    string  `json:"why,omitempty"`
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
		Total: r.total.export(""), Succeeded: percentiles(r.succeeded), All: percentiles(r.all),
		SlotSeconds: r.slotLength.Seconds(),
	}
	for n, t := range r.operations {
		summary.Operations = append(summary.Operations, t.export(operations[n]))
	}
	for n, t := range r.tenants {
		summary.Tenants = append(summary.Tenants, t.export(tenants[n]))
	}
	for n, slot := range r.slots {
		summary.Slots = append(summary.Slots, Slot{
			From: float64(n) * summary.SlotSeconds, Arrivals: slot.arrivals, ValueOffered: slot.valueOffered,
			ValueEarned: slot.valueEarned,
			Answers:     countByName(slot.outcomes[:]), P50: millis(slot.latency.ValueAtQuantile(50)),
			P95: millis(slot.latency.ValueAtQuantile(95)), P99: millis(slot.latency.ValueAtQuantile(99)),
		})
	}
	summary.Generator = Generator{
		Late: percentiles(r.lateness), LateCalls: r.lateCalls,
		Unsent: r.total.outcomes[history.Unsent], Trusted: true,
	}
	switch g := &summary.Generator; {
	case g.Unsent > 0:
		g.Trusted = false
		g.Reason = fmt.Sprintf("%d calls were never sent: too many were open", g.Unsent)
	case float64(g.LateCalls) > maxLateShare*float64(g.Late.Count):
		g.Trusted = false
		g.Reason = fmt.Sprintf("%d of %d calls were sent more than %v late", g.LateCalls,
			g.Late.Count, LateAfter)
	}
	return summary
}

func (t *tally) export(name string) Tally {
	out := Tally{Name: name, Calls: t.calls, Answers: countByName(t.outcomes[:]), InTime: t.inTime, Tries: t.tries}
	if t.valueOffered > 0 {
		out.ValueShare = t.valueEarned / t.valueOffered
	}
	if t.latency != nil {
		l := percentiles(t.latency)
		out.Latency = &l
	}
	return out
}

func countByName(kinds []int64) map[string]int64 {
	m := map[string]int64{}
	for k, n := range kinds {
		if n > 0 {
			m[history.OutcomeNames[k]] = n
		}
	}
	return m
}

func millis(us int64) float64 { return float64(us) / 1000 }

func percentiles(h *hdrhistogram.Histogram) Latency {
	l := Latency{Count: h.TotalCount()}
	if l.Count == 0 {
		return l
	}
	l.Mean = h.Mean() / 1000
	l.Max = millis(h.Max())
	l.P50 = millis(h.ValueAtQuantile(50))
	l.P90 = millis(h.ValueAtQuantile(90))
	l.P99 = millis(h.ValueAtQuantile(99))
	l.P999 = millis(h.ValueAtQuantile(99.9))
	return l
}
