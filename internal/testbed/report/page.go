package report

import (
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"

	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/metrics"
)

// pageFile is the file name of the HTML page in a result folder.
const pageFile = "report.html"

// pageData is the input of pageTemplate.
type pageData struct {
	*experiment.Result
	Charts []template.HTML
	Table  []Row
	Rules  []Row
}

// Write writes the HTML page of a result to a folder, and returns the path of the page.
func Write(r *experiment.Result, folder string) (string, error) {
	data := pageData{Result: r, Table: Figures(r), Rules: ruleRows(r)}
	charts := []*plot.Plot{outcomesChart(r), latencyChart(r), workChart(r), workerTotalsChart(r)}
	if phases := phasesChart(r); phases != nil {
		charts = append(charts, phases)
	}
	for _, chart := range charts {
		rendered, err := renderSVG(chart)
		if err != nil {
			return "", err
		}
		data.Charts = append(data.Charts, rendered)
	}
	path := filepath.Join(folder, pageFile)
	file, err := os.Create(path)
	if err != nil {
		return "", err
	}
	if err := pageTemplate.Execute(file, data); err != nil {
		file.Close()
		return "", fmt.Errorf("writing the report: %w", err)
	}
	return path, file.Close()
}

// Row is a row of a table.
type Row struct {
	Name  string
	Value string
	Bad   bool // highlighted, because the value indicates a failure
}

// ruleRows returns a row for each rule that was checked, with its number of violations.
func ruleRows(r *experiment.Result) (rows []Row) {
	for _, rule := range append(slices.Clone(history.Rules[:]), history.RuleKeysPersisted) {
		if _, checked := r.Rules[string(rule)]; !checked {
			continue
		}
		row := Row{Name: string(rule), Value: "kept"}
		if violations := r.Rules[string(rule)]; violations > 0 {
			row.Value = fmt.Sprintf("broken %d times", violations)
			row.Bad = true
		}
		rows = append(rows, row)
	}
	return rows
}

// Figures returns the main results of a run as table rows.
func Figures(r *experiment.Result) []Row {
	calls := &r.Calls
	rows := []Row{{Name: "calls", Value: fmt.Sprintf("%d of %d planned", calls.Total.Calls, r.Planned)}}
	for outcome, name := range history.OutcomeNames {
		isBad := outcome == int(history.Broken) || outcome == int(history.Unsent)
		if count := calls.Total.Outcomes[name]; count > 0 {
			rows = append(rows, Row{Name: name, Value: formatShare(r, count), Bad: isBad})
		}
	}
	latency := fmt.Sprintf("%s / %s / %s", formatMillis(calls.Succeeded.P50), formatMillis(calls.Succeeded.P99),
		formatMillis(calls.Succeeded.Max))
	rows = append(rows,
		Row{Name: "in time", Value: formatShare(r, calls.Total.InTime)},
		Row{Name: "billed value", Value: fmt.Sprintf("%.1f%% of the value offered", percent*calls.Total.ValueShare)},
		Row{Name: "latency p50 / p99 / max", Value: latency},
		Row{Name: "requests per call", Value: fmt.Sprintf("%.2f", requestsPerCall(r))},
		Row{Name: "dispatchers' CPU", Value: fmt.Sprintf("%.2f s", r.CPU())},
	)
	for _, recovery := range r.Recoveries {
		rows = append(rows, recoveryRow(recovery))
	}
	return append(rows, generatorRow(calls.Generator))
}

// recoveryRow returns a row with the time that the fleet took to recover from a power loss.
func recoveryRow(recovery metrics.Recovery) Row {
	row := Row{Name: "recovery after power loss"}
	if recovery.RecoveryTime < 0 {
		row.Value = fmt.Sprintf("not within the run, at best %.0f s", recovery.BestRecoveryTime)
		return row
	}
	row.Value = fmt.Sprintf("%.0f s after the last worker, at best %.0f s (%.2f)", recovery.RecoveryTime,
		recovery.BestRecoveryTime, recovery.RatioToBest)
	return row
}

// generatorRow returns a row that states whether the load generator kept to its schedule.
func generatorRow(generator metrics.Generator) Row {
	if !generator.Trusted {
		return Row{Name: "generator", Value: "NOT TO BE TRUSTED: " + generator.Reason, Bad: true}
	}
	return Row{Name: "generator", Value: "kept to its schedule"}
}

// formatShare formats a number of calls and its percentage of all calls.
func formatShare(r *experiment.Result, count int64) string {
	return fmt.Sprintf("%d (%.1f%%)", count, percentOfCalls(r, count))
}

// latencyRounding is the unit to which latencies are rounded.
const latencyRounding = 10 * time.Microsecond

// formatMillis formats a number of milliseconds as a duration with a unit.
func formatMillis(millis float64) string {
	return time.Duration(millis * float64(time.Millisecond)).Round(latencyRounding).String()
}

// maxTextViolations is the maximum number of violations that Text lists.
const maxTextViolations = 5

// Text returns the main results, violations and failures of a run as plain text for a terminal.
func Text(r *experiment.Result) string {
	var b strings.Builder
	for _, row := range append(Figures(r), ruleRows(r)...) {
		flag := ""
		if row.Bad {
			flag = "  <--"
		}
		fmt.Fprintf(&b, "  %-28s %s%s\n", row.Name, row.Value, flag)
	}
	for n, violation := range r.Violations {
		if n == maxTextViolations {
			fmt.Fprintf(&b, "  ... %d more in %s\n", len(r.Violations)-n, "result.json")
			break
		}
		fmt.Fprintf(&b, "  broken: %s: request %s (%s), dispatcher %d, worker %d, at %.3f s: %s\n", violation.Rule,
			violation.ID, violation.Operation, violation.Dispatcher, violation.Worker, violation.At.Seconds(),
			violation.Description)
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(&b, "  failure: %s\n", failure)
	}
	return b.String()
}

// pageTemplate is the template of the HTML page. Its input is a pageData.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"s":   func(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) },
	"pct": func(share float64) string { return fmt.Sprintf("%.1f%%", percent*share) },
	"ms":  formatMillis, "inc": func(n int) int { return n + 1 },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}, seed {{.Seed}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:.6rem 0 1.4rem}td,th{padding:.2rem .9rem .2rem 0;text-align:left;
border-bottom:1px solid #e4e4e4;font-variant-numeric:tabular-nums}td.n,th.n{text-align:right}
.bad{color:#b3261e;font-weight:600}svg{max-width:100%;height:auto;margin:.4rem 0}
.two{display:flex;gap:4rem;flex-wrap:wrap}
.note{color:#666}
</style></head><body>
<h1>{{.Name}}</h1>
<p>{{.Policy}}{{with .Fault}}, with the fault {{.}}{{end}} &middot; seed {{.Seed}} &middot; {{.StartedAt}}
 &middot;
{{.DurationSeconds}} s &middot; {{len .Dispatchers}} dispatchers, {{len .Workers}} workers, on {{.Cores}} cores
{{if .Partial}}&middot; <span class="bad">partial: interrupted</span>{{end}}</p>
<p class="note">Workers, list service, peer network and clients are stand-ins on loopback; the dispatchers are
real processes.</p>
<div class="two"><table>{{range .Table}}<tr><td>{{.Name}}</td><td{{if .Bad}} class="bad"{{end}}>{{.Value}}
</td></tr>
{{end}}</table>
<table>{{range .Rules}}<tr><td>{{.Name}}</td><td{{if .Bad}} class="bad"{{end}}>{{.Value}}</td></tr>{{end}}
</table></div>
{{with .Faults}}<h2>Faults</h2><table>{{range $n, $m := .}}<tr><td>{{inc $n}}</td><td>{{s .From}}
 to {{s .To}}</td>
<td>{{.Description}}</td></tr>{{end}}</table>{{end}}
{{range .Charts}}{{.}}
{{end}}
<h2>Operations</h2><table><tr><th>operation</th><th class="n">calls</th><th class="n">in time</th>
<th class="n">billed value</th><th class="n">p50</th><th class="n">p99</th><th class="n">max</th></tr>
{{range .Calls.Operations}}<tr><td>{{.Name}}</td><td class="n">{{.Calls}}</td><td class="n">{{.InTime}}</td>
<td class="n">{{pct .ValueShare}}</td>{{with .Latency}}<td class="n">{{ms .P50}}</td><td class="n">{{ms .P99}}
</td>
<td class="n">{{ms .Max}}</td>{{end}}</tr>{{end}}</table>
{{with .Calls.Tenants}}<h2>Tenants</h2><table><tr><th>tenant</th><th class="n">calls</th>
<th class="n">in time</th>
<th class="n">billed value</th></tr>{{range .}}<tr><td>{{.Name}}</td><td class="n">{{.Calls}}</td>
<td class="n">{{.InTime}}</td><td class="n">{{pct .ValueShare}}</td></tr>{{end}}</table>{{end}}
<h2>Dispatchers</h2><table><tr><th>name</th><th class="n">starts</th><th class="n">tries</th><th class="n">CPU
</th></tr>
{{range .Dispatchers}}<tr><td>{{.Name}}</td><td class="n">{{.Incarnations}}</td><td class="n">{{.Tries}}</td>
<td class="n">{{printf "%.2f s" .CPU}}</td></tr>{{end}}</table>
{{with .Violations}}<h2 class="bad">Broken rules</h2><table>{{range .}}<tr><td>{{.Rule}}</td><td>{{.ID}}</td>
<td>{{.Operation}}</td><td>{{s .At}}</td><td>{{.Description}}</td></tr>{{end}}</table>{{end}}
{{with .Failures}}<h2 class="bad">Failures</h2><ul>{{range .}}<li>{{.}}</li>{{end}}</ul>{{end}}
</body></html>
`))
