package report

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/history"
)

// metric is a measurement of a run that is compared between two sets of runs.
type metric struct {
	name   string
	value  func(*experiment.Result) float64
	better direction
}

// direction specifies whether higher or lower values of a metric are better.
type direction uint8

const (
	higherIsBetter direction = iota
	lowerIsBetter
)

// comparedMetrics lists the metrics of a comparison, the most important first.
var comparedMetrics = []metric{
	{"rules broken", violationCount, lowerIsBetter},
	{"billed value %", func(r *experiment.Result) float64 { return percent * r.Calls.Total.ValueShare }, higherIsBetter},
	{"in time %", func(r *experiment.Result) float64 { return percentOfCalls(r, r.Calls.Total.InTime) }, higherIsBetter},
	{"succeeded %", percentWithOutcome(history.Succeeded), higherIsBetter},
	{"throttled %", percentWithOutcome(history.Throttled), lowerIsBetter},
	{"errored %", percentWithOutcome(history.Errored), lowerIsBetter},
	{"unanswered %", percentWithOutcome(history.Unanswered), lowerIsBetter},
	{"latency p50 ms", func(r *experiment.Result) float64 { return r.Calls.Succeeded.P50 }, lowerIsBetter},
	{"latency p99 ms", func(r *experiment.Result) float64 { return r.Calls.Succeeded.P99 }, lowerIsBetter},
	{"latency max ms", func(r *experiment.Result) float64 { return r.Calls.Succeeded.Max }, lowerIsBetter},
	{"all calls p99 ms", func(r *experiment.Result) float64 { return r.Calls.All.P99 }, lowerIsBetter},
	{"requests per call", requestsPerCall, lowerIsBetter},
	{"CPU us per call", func(r *experiment.Result) float64 { return perCall(r, microsPerSecond*r.CPU()) }, lowerIsBetter},
}

// Conversion factors from fractions and seconds to the units of the tables.
const (
	percent         = 100
	microsPerSecond = 1e6
)

// violationCount returns the total number of rule violations.
func violationCount(r *experiment.Result) (count float64) {
	for _, violations := range r.Rules {
		count += float64(violations)
	}
	return count
}

// perCall returns a total divided by the number of calls. If there are no calls, it returns the total.
func perCall(r *experiment.Result, total float64) float64 {
	return total / float64(max(r.Calls.Total.Calls, 1))
}

// requestsPerCall returns the mean number of requests per call.
func requestsPerCall(r *experiment.Result) float64 {
	return perCall(r, float64(r.Calls.Total.Requests))
}

// percentOfCalls returns a number of calls as a percentage of all calls.
func percentOfCalls(r *experiment.Result, count int64) float64 {
	return perCall(r, percent*float64(count))
}

// percentWithOutcome returns a metric: the percentage of calls with the given outcome.
func percentWithOutcome(outcome history.Outcome) func(*experiment.Result) float64 {
	name := history.OutcomeNames[outcome]
	return func(r *experiment.Result) float64 { return percentOfCalls(r, r.Calls.Total.Outcomes[name]) }
}

// sample holds statistics of a metric over a set of runs.
type sample struct {
	runs   int
	mean   float64
	stdDev float64 // sample standard deviation of the runs; 0 if there is only one run
}

// newSample computes the statistics of a metric over a set of runs.
func newSample(runs []*experiment.Result, m metric) sample {
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
	s.stdDev = math.Sqrt(squares / float64(s.runs-1))
	return s
}

// minStandardErrors is the number of standard errors that the difference of two means must exceed to be reported as
// better or worse.
const minStandardErrors = 2

// differsSignificantly reports whether the difference of the means is greater than minStandardErrors of its standard
// errors. It reports false if either sample has only one run, because the standard error is unknown in that case.
func (s sample) differsSignificantly(other sample) bool {
	if s.runs < 2 || other.runs < 2 {
		return false
	}
	variance := s.stdDev*s.stdDev/float64(s.runs) + other.stdDev*other.stdDev/float64(other.runs)
	return math.Abs(s.mean-other.mean) > minStandardErrors*math.Sqrt(variance) && s.mean != other.mean
}

// verdict returns whether set B is better or worse than set A by a metric, or "" if the difference is not significant.
func verdict(m metric, a, b sample) string {
	if !a.differsSignificantly(b) {
		return ""
	}
	if higher := b.mean > a.mean; higher == (m.better == higherIsBetter) {
		return "  B better"
	}
	return "  B worse"
}

// Compare returns a table that compares two sets of runs side by side. Neither set may be empty.
func Compare(nameA, nameB string, runsA, runsB []*experiment.Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "A: %s, %s, %d runs\nB: %s, %s, %d runs\n\n", nameA, runsA[0].Policy, len(runsA), nameB,
		runsB[0].Policy, len(runsB))
	for _, warning := range warnings(runsA, runsB) {
		fmt.Fprintf(&out, "note: %s\n", warning)
	}
	fmt.Fprintf(&out, "%-18s %20s %20s %12s\n", "", "A", "B", "B - A")
	for _, m := range comparedMetrics {
		a, b := newSample(runsA, m), newSample(runsB, m)
		fmt.Fprintf(&out, "%-18s %11.3f ±%7.3f %11.3f ±%7.3f %+12.3f%s\n", m.name, a.mean, a.stdDev, b.mean, b.stdDev,
			b.mean-a.mean, verdict(m, a, b))
	}
	out.WriteString("\n± is the standard deviation of single runs; a verdict is given where means differ by more " +
		"than\ntwice their standard errors.\n")
	return out.String()
}

// warnings returns the reasons why a comparison is unreliable, if any.
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
