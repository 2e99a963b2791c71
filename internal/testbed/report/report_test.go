package report

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/metrics"
)

// newTestResult returns the result of a run with 100 calls, of which inTime succeeded within their latency objective.
func newTestResult(seed uint64, inTime int) *experiment.Result {
	recorder := metrics.NewRecorder(time.Second, 1, 0)
	for n := range 100 {
		recorder.Record(metrics.Call{
			Intended: time.Duration(n) * 30 * time.Millisecond, Outcome: history.Succeeded,
			Ended: time.Duration(n+1) * 30 * time.Millisecond, InTime: n < inTime, Requests: 1, ValueOffered: 1,
		})
	}
	return &experiment.Result{
		Name:            "test <b>",
		Seed:            seed,
		Policy:          "canvasroute",
		DurationSeconds: 3,
		Schedule:        "s",
		Calls:           recorder.Summary([]string{"safe"}, nil),
		Rules:           map[string]int{},
		Workers: []experiment.WorkerResult{
			{Name: "w0", BySlot: []float64{1, 2, 3}},
			{Name: "w1", BySlot: []float64{0, 0, 1}, Done: 1},
		},
		Dispatchers: []experiment.ProcessResult{{Name: "d0", CPU: 0.5}},
		Faults:      []fault.Interval{{From: time.Second, To: 2 * time.Second, Description: "1 workers crash"}},
	}
}

// writePage writes the HTML page of a result to a temporary folder, and returns its content.
func writePage(t *testing.T, result *experiment.Result) string {
	t.Helper()
	path, err := Write(result, t.TempDir())
	assert.NoError(t, err)
	page, err := os.ReadFile(path)
	assert.NoError(t, err)
	return string(page)
}

// newTestResults returns a result for each argument, which is its number of calls in time. The seeds are numbered from
// 1.
func newTestResults(inTime ...int) (all []*experiment.Result) {
	for n, calls := range inTime {
		all = append(all, newTestResult(uint64(n+1), calls))
	}
	return all
}

func TestPageShowsFiguresFaultsAndViolations(t *testing.T) {
	result := newTestResult(7, 90)
	result.Rules[string(history.RuleNoRequestLost)] = 1
	result.Violations = []history.Violation{{Rule: history.RuleNoRequestLost, ID: "deadbeef", Description: "no answer"}}
	page := writePage(t, result)
	for _, want := range []string{"test &lt;b&gt;", "90 (90.0%)", "1 workers crash", "deadbeef", "broken 1 times", "0.50 s"} {
		assert.Contains(t, page, want)
	}
	assert.Equal(t, 4, strings.Count(page, "<svg"))
	assert.Equal(t, 4, strings.Count(page, "</svg>"))
	assert.Contains(t, Text(result), "request deadbeef")
}

// Guards against renamed or removed fields in the page's template, which the compiler does not check.
func TestPageShowsTenantsRecoveriesPhasesAndFailures(t *testing.T) {
	result := newTestResult(7, 90)
	recorder := metrics.NewRecorder(time.Second, 1, 1)
	recorder.Record(metrics.Call{Outcome: history.Succeeded, Ended: time.Millisecond, InTime: true, Requests: 1, ValueOffered: 1})
	result.Calls = recorder.Summary([]string{"safe"}, []string{"uni"})
	result.Recoveries = []metrics.Recovery{{RecoveryTime: 3, BestRecoveryTime: 2, RatioToBest: 4.0 / 3}}
	result.Phases = []experiment.PhaseResult{{Phase: "identity", From: 1}, {Phase: "full", From: 2}}
	result.Failures = []string{"d0 ended by itself"}
	page := writePage(t, result)
	for _, want := range []string{"<h2>Tenants</h2>", "<td>uni</td>", "3 s after the last worker", "d0 ended by itself"} {
		assert.Contains(t, page, want)
	}
	assert.Equal(t, 5, strings.Count(page, "<svg"), "one more chart for the phases")
}

func TestCompareGivesVerdictOnlyForSignificantDifferences(t *testing.T) {
	different := Compare("a", "b", newTestResults(50, 52), newTestResults(90, 92))
	lineOf := func(table, name string) string {
		for line := range strings.Lines(table) {
			if strings.HasPrefix(line, name) {
				return line
			}
		}
		return ""
	}
	assert.Contains(t, lineOf(different, "in time %"), "B better")
	assert.Contains(t, lineOf(different, "in time %"), "+40.000")
	assert.NotContains(t, lineOf(different, "succeeded %"), "B ")
	overlapping := Compare("a", "b", newTestResults(10, 90), newTestResults(50, 70))
	assert.NotContains(t, lineOf(overlapping, "in time %"), "B better")
	single := Compare("a", "b", newTestResults(10), newTestResults(90))
	assert.Contains(t, single, "a single run on a side has no spread")
	assert.NotContains(t, lineOf(single, "in time %"), "B better")
}
