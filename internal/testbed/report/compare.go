package report

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/history"
)

// metric is a value of a run by which two sets of runs are compared.
type metric struct {
	name   string
	value  func(*experiment.Result) float64
	better direction
}

// direction says which values of a metric are better.
type direction uint8

const (
	higherIsBetter direction = iota
	lowerIsBetter
)

// comparedMetrics are the metrics of a comparison, the most important first.
var comparedMetrics = []metric{
	{"rules broken", violationCount, lowerIsBetter},
	{"billed value %", func(r *experiment.Result) float64 { return percent * r.Calls.Total.ValueShare }, higherIsBetter},
	{"in time %", func(r *experiment.Result) float64 { return percentOfCalls(r, r.Calls.Total.InTime) }, higherIsBetter},
	{"succeeded %", percentWith(history.Succeeded), higherIsBetter},
	{"throttled %", percentWith(history.Throttled), lowerIsBetter},
	{"errored %", percentWith(history.Errored), lowerIsBetter},
	{"unanswered %", percentWith(history.Unanswered), lowerIsBetter},
	{"latency p50 ms", func(r *experiment.Result) float64 { return r.Calls.Succeeded.P50 }, lowerIsBetter},
	{"latency p99 ms", func(r *experiment.Result) float64 { return r.Calls.Succeeded.P99 }, lowerIsBetter},
	{"latency max ms", func(r *experiment.Result) float64 { return r.Calls.Succeeded.Max }, lowerIsBetter},
	{"all calls p99 ms", func(r *experiment.Result) float64 { return r.Calls.All.P99 }, lowerIsBetter},
	{"requests per call", requestsPerCall, lowerIsBetter},
	{"CPU us per call", func(r *experiment.Result) float64 { return perCall(r, microsPerSecond*r.CPU()) }, lowerIsBetter},
}

// Factors from a share and from seconds to the units of the tables.
const (
	percent         = 100
	microsPerSecond = 1e6
)

// violationCount returns the number of violations of all rules.
func violationCount(r *experiment.Result) (count float64) {
	for _, violations := range r.Rules {
		count += float64(violations)
	}
	return count
}

// perCall returns a total divided by the number of calls. Without any call it is the total.
func perCall(r *experiment.Result, total float64) float64 {
	return total / float64(max(r.Calls.Total.Calls, 1))
}

// requestsPerCall returns the mean number of requests of a call.
func requestsPerCall(r *experiment.Result) float64 { return perCall(r, float64(r.Calls.Total.Tries)) }

// percentOfCalls returns how many percent of the calls a number is.
func percentOfCalls(r *experiment.Result, count int64) float64 {
	return perCall(r, percent*float64(count))
}

// percentWith returns the metric of the calls with an outcome, in percent.
func percentWith(outcome history.Outcome) func(*experiment.Result) float64 {
	name := history.OutcomeNames[outcome]
	return func(r *experiment.Result) float64 { return percentOfCalls(r, r.Calls.Total.Answers[name]) }
}

// sample is the distribution of a metric over runs.
type sample struct {
	runs      int
	mean      float64
	deviation float64 // standard deviation of a single run; 0 for a single one
}

// sampleOf returns the distribution of a metric over runs.
func sampleOf(runs []*experiment.Result, m metric) sample {
	s := sample{runs: len(runs)}
	for _, r := range runs {
		s.mean += m.value(r) / float64(len(runs))
	}
	if s.runs < 2 {
		return s
	}
	squares := 0.0
	for _, r := range runs {
		squares += (m.value(r) - s.mean) * (m.value(r) - s.mean)
	}
	s.deviation = math.Sqrt(squares / float64(s.runs-1))
	return s
}

// minStandardErrors is by how many standard errors two means must differ for a verdict.
const minStandardErrors = 2

// differs reports whether two means differ by more than minStandardErrors. With a single run on either side the error is
// unknown, so it reports false.
func (s sample) differs(other sample) bool {
	if s.runs < 2 || other.runs < 2 {
		return false
	}
	variance := s.deviation*s.deviation/float64(s.runs) + other.deviation*other.deviation/float64(other.runs)
	return math.Abs(s.mean-other.mean) > minStandardErrors*math.Sqrt(variance) && s.mean != other.mean
}

// verdict returns which of two sets of runs is better by a metric, or "" if they do not differ.
func verdict(m metric, a, b sample) string {
	if !a.differs(b) {
		return ""
	}
	if higher := b.mean > a.mean; higher == (m.better == higherIsBetter) {
		return "  B better"
	}
	return "  B worse"
}

// Compare returns a table of two sets of runs side by side. Neither may be empty.
func Compare(nameA, nameB string, runsA, runsB []*experiment.Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "A: %s, %s, %d runs\nB: %s, %s, %d runs\n\n", nameA, runsA[0].Policy, len(runsA), nameB,
		runsB[0].Policy, len(runsB))
	for _, warning := range warnings(runsA, runsB) {
		fmt.Fprintf(&out, "note: %s\n", warning)
	}
	fmt.Fprintf(&out, "%-18s %20s %20s %12s\n", "", "A", "B", "B - A")
	for _, m := range comparedMetrics {
		a, b := sampleOf(runsA, m), sampleOf(runsB, m)
		fmt.Fprintf(&out, "%-18s %11.3f ±%7.3f %11.3f ±%7.3f %+12.3f%s\n", m.name, a.mean, a.deviation, b.mean, b.deviation,
			b.mean-a.mean, verdict(m, a, b))
	}
	out.WriteString("\n± is the standard deviation of single runs; a verdict is given where means differ by more " +
		"than\ntwice their standard errors.\n")
	return out.String()
}

// warnings returns reasons that make a comparison unreliable.
func warnings(runsA, runsB []*experiment.Result) (reasons []string) {
	if len(runsA) < 2 || len(runsB) < 2 {
		reasons = append(reasons, "a single run on a side has no spread: run several seeds for a verdict")
	}
	for _, r := range slices.Concat(runsA, runsB) {
		if !r.Calls.Generator.Trusted {
			reasons = append(reasons, fmt.Sprintf("seed %d of %s: the generator was late: %s", r.Seed, r.Policy,
				r.Calls.Generator.Reason))
		}
		if r.Partial {
			reasons = append(reasons, fmt.Sprintf("seed %d of %s is partial", r.Seed, r.Policy))
		}
	}
	schedulesOfA := map[string]bool{}
	for _, r := range runsA {
		schedulesOfA[r.Schedule] = true
	}
	for _, r := range runsB {
		if !schedulesOfA[r.Schedule] {
			return append(reasons, fmt.Sprintf("seed %d of B has a schedule that no run of A has", r.Seed))
		}
	}
	return reasons
}
