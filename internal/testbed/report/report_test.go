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

// run returns a result of 100 calls, inTime of which succeeded within their objective.
func run(seed uint64, inTime int) *experiment.Result {
	rec := metrics.NewRecorder(time.Second, 1, 0)
	for n := range 100 {
		rec.Record(metrics.Call{
			Intended: time.Duration(n) * 30 * time.Millisecond, Outcome: history.Succeeded,
			Ended: time.Duration(n+1) * 30 * time.Millisecond, InTime: n < inTime, Tries: 1, ValueOffered: 1,
		})
	}
	return &experiment.Result{
		Name: "test <b>", Seed: seed, Policy: "canvasroute", DurationSeconds: 3, Schedule: "s",
		Calls: rec.Summary([]string{"safe"}, nil), Rules: map[string]int{},
		Workers:     []experiment.WorkerResult{{Name: "w0", BySlot: []float64{1, 2, 3}}, {Name: "w1", BySlot: []float64{0, 0, 1}, Done: 1}},
		Dispatchers: []experiment.ProcessResult{{Name: "d0", CPU: 0.5}},
		Faults:      []fault.Mark{{From: time.Second, To: 2 * time.Second, Description: "1 workers crash"}},
	}
}

func TestPageShowsFiguresFaultsAndViolations(t *testing.T) {
	r := run(7, 90)
	r.Rules[string(history.RuleNoRequestLost)] = 1
	r.Violations = []history.Violation{{Rule: history.RuleNoRequestLost, ID: "deadbeef", Description: "no answer"}}
	path, err := Write(r, t.TempDir())
	assert.NoError(t, err)
	b, err := os.ReadFile(path)
	assert.NoError(t, err)
	page := string(b)
	for _, want := range []string{"test &lt;b&gt;", "90 (90.0%)", "1 workers crash", "deadbeef", "broken 1 times", "0.50 s"} {
		assert.Contains(t, page, want)
	}
	assert.Equal(t, 4, strings.Count(page, "<svg"))
	assert.Equal(t, 4, strings.Count(page, "</svg>"))
	assert.Contains(t, Text(r), "request deadbeef")
}

// The page binds fields by name, which the compiler does not check.
func TestPageShowsTenantsRecoveriesAndPhases(t *testing.T) {
	r := run(7, 90)
	recorder := metrics.NewRecorder(time.Second, 1, 1)
	recorder.Record(metrics.Call{Outcome: history.Succeeded, Ended: time.Millisecond, InTime: true, Tries: 1, ValueOffered: 1})
	r.Calls = recorder.Summary([]string{"safe"}, []string{"uni"})
	r.Recoveries = []metrics.Recovery{{UntilRecovered: 3, UntilRecoveredAtBest: 2, RatioToBest: 4.0 / 3}}
	r.Phases = []experiment.PhaseResult{{Phase: "identity", From: 1}, {Phase: "full", From: 2}}
	r.Failures = []string{"d0 ended by itself"}
	path, err := Write(r, t.TempDir())
	assert.NoError(t, err)
	b, err := os.ReadFile(path)
	assert.NoError(t, err)
	page := string(b)
	for _, want := range []string{"<h2>Tenants</h2>", "<td>uni</td>", "3 s after the last worker", "d0 ended by itself"} {
		assert.Contains(t, page, want)
	}
	assert.Equal(t, 5, strings.Count(page, "<svg"), "one more chart for the phases")
}

func TestCompareGivesAVerdictOnlyBeyondTheSpread(t *testing.T) {
	sure := Compare("a", "b", []*experiment.Result{run(1, 50), run(2, 52)}, []*experiment.Result{run(1, 90), run(2, 92)})
	line := func(text, name string) string {
		for l := range strings.Lines(text) {
			if strings.HasPrefix(l, name) {
				return l
			}
		}
		return ""
	}
	assert.Contains(t, line(sure, "in time %"), "B better")
	assert.Contains(t, line(sure, "in time %"), "+40.000")
	assert.NotContains(t, line(sure, "succeeded %"), "B ")
	wide := Compare("a", "b", []*experiment.Result{run(1, 10), run(2, 90)}, []*experiment.Result{run(1, 50), run(2, 70)})
	assert.NotContains(t, line(wide, "in time %"), "B better")
	alone := Compare("a", "b", []*experiment.Result{run(1, 10)}, []*experiment.Result{run(1, 90)})
	assert.Contains(t, alone, "a single run on a side has no spread")
	assert.NotContains(t, line(alone, "in time %"), "B better")
}
