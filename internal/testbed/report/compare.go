package report

import (
	"fmt"
	"math"
	"strings"

	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/metrics"
)

// Metric is a value of a run by which two sets of runs are compared.
type Metric struct {
	Name   string
	Value  func(*experiment.Result) float64
	Better int // 1 if higher is better, -1 if lower is, 0 if neither
}

// figures are the metrics of a comparison, the most important first.
var figures = []Metric{
	{"rules broken", func(r *experiment.Result) (n float64) {
		for _, k := range r.Rules {
			n += float64(k)
		}
		return n
	}, -1},
	{"billed value %", func(r *experiment.Result) float64 { return 100 * r.Calls.Total.ValueShare }, 1},
	{"in time %", func(r *experiment.Result) float64 { return percentOfCalls(r, r.Calls.Total.InTime) }, 1},
	{"succeeded %", answerPercent("succeeded"), 1},
	{"throttled %", answerPercent("throttled"), -1},
	{"errored %", answerPercent("errored"), -1},
	{"unanswered %", answerPercent("unanswered"), -1},
	{"latency p50 ms", latencyFigure(func(l metrics.Latency) float64 { return l.P50 }), -1},
	{"latency p99 ms", latencyFigure(func(l metrics.Latency) float64 { return l.P99 }), -1},
	{"latency max ms", latencyFigure(func(l metrics.Latency) float64 { return l.Max }), -1},
	{"all calls p99 ms", func(r *experiment.Result) float64 { return r.Calls.All.P99 }, -1},
	{"requests per call", func(r *experiment.Result) float64 {
		return float64(r.Calls.Total.Tries) / float64(max(r.Calls.Total.Calls, 1))
	}, -1},
	{"CPU us per call", func(r *experiment.Result) float64 {
		return 1e6 * r.CPU() / float64(max(r.Calls.Total.Calls, 1))
	}, -1},
}

func percentOfCalls(r *experiment.Result, n int64) float64 {
	return 100 * float64(n) / float64(max(r.Calls.Total.Calls, 1))
}

func answerPercent(kind string) func(*experiment.Result) float64 {
	return func(r *experiment.Result) float64 { return percentOfCalls(r, r.Calls.Total.Answers[kind]) }
}

func latencyFigure(figure func(metrics.Latency) float64) func(*experiment.Result) float64 {
	return func(r *experiment.Result) float64 { return figure(r.Calls.Succeeded) }
}

// meanAndDeviation returns the mean of a metric over runs, and the standard deviation of a single run.
func meanAndDeviation(runs []*experiment.Result, f Metric) (mean, deviation float64) {
	for _, r := range runs {
		mean += f.Value(r) / float64(len(runs))
	}
	for _, r := range runs {
		deviation += (f.Value(r) - mean) * (f.Value(r) - mean)
	}
	if len(runs) < 2 {
		return mean, 0
	}
	return mean, math.Sqrt(deviation / float64(len(runs)-1))
}

// differ reports whether two means differ by more than twice their standard error. With a single run on either side the
// error is unknown, so it reports false.
func differ(a, b []*experiment.Result, f Metric) bool {
	if len(a) < 2 || len(b) < 2 {
		return false
	}
	meanA, devA := meanAndDeviation(a, f)
	meanB, devB := meanAndDeviation(b, f)
	se := math.Sqrt(devA*devA/float64(len(a)) + devB*devB/float64(len(b)))
	return math.Abs(meanA-meanB) > 2*se && meanA != meanB
}

// Compare returns a table of two sets of runs side by side.
func Compare(nameA, nameB string, a, b []*experiment.Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "A: %s, %s, %d runs\nB: %s, %s, %d runs\n\n", nameA, a[0].Policy, len(a), nameB,
		b[0].Policy,
		len(b))
	for _, w := range warnings(a, b) {
		fmt.Fprintf(&out, "note: %s\n", w)
	}
	fmt.Fprintf(&out, "%-18s %20s %20s %12s\n", "", "A", "B", "B - A")
	for _, f := range figures {
		meanA, devA := meanAndDeviation(a, f)
		meanB, devB := meanAndDeviation(b, f)
		verdict := ""
		if differ(a, b, f) {
			verdict = "  B worse"
			if (meanB-meanA)*float64(f.Better) > 0 {
				verdict = "  B better"
			}
		}
		fmt.Fprintf(&out, "%-18s %11.3f ±%7.3f %11.3f ±%7.3f %+12.3f%s\n", f.Name, meanA, devA, meanB, devB,
			meanB-meanA, verdict)
	}
	out.WriteString("\n± is the standard deviation of single runs; a verdict is given where means differ by more " +
		"than\ntwice their standard errors.\n")
	return out.String()
}

// warnings returns reasons that make a comparison unreliable.
func warnings(a, b []*experiment.Result) (out []string) {
	if len(a) < 2 || len(b) < 2 {
		out = append(out, "a single run on a side has no spread: run several seeds for a verdict")
	}
	seen := map[string]bool{}
	for _, r := range append(append([]*experiment.Result{}, a...), b...) {
		if !r.Calls.Generator.Trusted {
			out = append(out, fmt.Sprintf("seed %d of %s: the generator was late: %s", r.Seed, r.Policy,
				r.Calls.Generator.Reason))
		}
		if r.Partial {
			out = append(out, fmt.Sprintf("seed %d of %s is partial", r.Seed, r.Policy))
		}
	}
	for _, r := range a {
		seen[r.Schedule] = true
	}
	for _, r := range b {
		if !seen[r.Schedule] {
			return append(out, fmt.Sprintf("seed %d of B has a schedule that no run of A has", r.Seed))
		}
	}
	return out
}
