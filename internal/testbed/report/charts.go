// Package report renders the results of experiments as an HTML page with charts, as a table for the terminal, and as a
// comparison of two sets of runs.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/metrics"
)

// Dimensions of charts and their elements.
const (
	chartWidth          = 24 * vg.Centimeter
	chartHeight         = 8 * vg.Centimeter
	faultLabelOffset    = vg.Length(-12) // from the top of a fault's band to its number; negative: downwards
	minFaultBandShare   = 1.0 / 200      // minimum width of a fault's band, as a fraction of the run
	rateTopFactor       = 1.15           // upper end of the rate axis, as a multiple of the highest rate
	latencyTopFactor    = 1.5            // upper end of the latency axis, as a multiple of the highest latency
	latencyBottomFactor = 1.3            // the lowest latency, as a multiple of the lower end of the latency axis
	latencyTickDigits   = 3              // significant digits of the labels on the latency axis
	barWidthShare       = 0.7            // fraction of the chart's width that is filled by bars
	maxLabeledBars      = 30             // largest number of bars that are labeled
	maxLabeledWorkers   = 20             // largest number of workers that are labeled
	workShadeCount      = 9              // number of shades in the work chart
	rowMargin           = 0.5            // from the middle of an outer row to the edge of the work chart, in rows
)

// Line styles.
var (
	lineWidth   = vg.Points(1.6)
	dashPattern = []vg.Length{vg.Points(5), vg.Points(3)}
)

// Names of chart lines that do not represent an outcome.
const (
	lineArrivals = "arrivals"
	lineP50      = "p50"
	lineP95      = "p95"
	lineP99      = "p99"
)

// colours maps the names of lines to their colours, which are the same in all charts.
var colours = map[string]color.Color{
	lineArrivals:                              color.Gray{90},
	history.OutcomeNames[history.Succeeded]:   color.RGBA{44, 140, 80, 255},
	history.OutcomeNames[history.Throttled]:   color.RGBA{230, 150, 20, 255},
	history.OutcomeNames[history.Errored]:     color.RGBA{200, 40, 40, 255},
	history.OutcomeNames[history.Unanswered]:  color.RGBA{120, 40, 160, 255},
	history.OutcomeNames[history.Broken]:      color.RGBA{0, 0, 0, 255},
	history.OutcomeNames[history.Unreachable]: color.RGBA{110, 80, 50, 255},
	history.OutcomeNames[history.Interrupted]: color.RGBA{120, 120, 200, 255},
	history.OutcomeNames[history.Unsent]:      color.RGBA{250, 0, 200, 255},
	lineP50:                                   color.RGBA{60, 110, 190, 255},
	lineP95:                                   color.RGBA{90, 60, 160, 255},
	lineP99:                                   color.RGBA{200, 40, 90, 255},
}

// Other colours.
var (
	faultColour = color.NRGBA{200, 60, 60, 36}
	barColour   = colours[lineP50]
)

// newChart returns an empty chart whose X axis is the time since the start of the run.
func newChart(r *experiment.Result, title, unit string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = title
	chart.Y.Label.Text = unit
	chart.X.Label.Text = "seconds from the start"
	chart.X.Min = 0
	chart.X.Max = max(r.DurationSeconds, 1)
	chart.Legend.Top = true
	chart.Legend.Left = false
	chart.Add(plotter.NewGrid())
	return chart
}

// shadeFaults adds a numbered band for each fault, which covers the fault's duration and extends from the bottom to the
// top of the chart. A fault without a duration, or a very short one, gets a band with a width of minFaultBandShare.
func shadeFaults(chart *plot.Plot, r *experiment.Result, bottom, top float64) {
	for n, interval := range r.Faults {
		from := interval.From.Seconds()
		to := max(interval.To.Seconds(), from+r.DurationSeconds*minFaultBandShare)
		band, err := newBand(from, to, bottom, top)
		if err != nil {
			continue
		}
		band.Color = faultColour
		chart.Add(band)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: from, Y: top}},
			Labels: []string{fmt.Sprint(" ", n+1)},
		})
		if err == nil {
			label.Offset = vg.Point{Y: faultLabelOffset}
			chart.Add(label)
		}
	}
}

// newBand returns a rectangle without a border.
func newBand(left, right, bottom, top float64) (*plotter.Polygon, error) {
	band, err := plotter.NewPolygon(plotter.XYs{
		{X: left, Y: bottom},
		{X: right, Y: bottom},
		{X: right, Y: top},
		{X: left, Y: top},
	})
	if err != nil {
		return nil, err
	}
	band.Width = 0
	return band, nil
}

// addLine adds a line and its legend entry to the chart, and returns the line. It returns nil if there are no points.
func addLine(chart *plot.Plot, name string, points plotter.XYs) *plotter.Line {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil
	}
	line.Color = colours[name]
	line.Width = lineWidth
	chart.Add(line)
	chart.Legend.Add(name, line)
	return line
}

// renderSVG returns a chart as an SVG element of an HTML page.
func renderSVG(chart *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	chart.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("drawing %q: %w", chart.Title.Text, err)
	}
	text := b.String()
	if start := strings.Index(text, "<svg"); start >= 0 { // HTML does not allow the XML prologue
		text = text[start:]
	}
	return template.HTML(text), nil
}

// outcomesChart returns a chart of arrivals and outcomes per second.
func outcomesChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Arrivals and answers", "per second")
	arrivals := ratePoints(r, func(s metrics.Slot) int64 { return s.Arrivals })
	top := 1.0
	for _, point := range arrivals {
		top = max(top, point.Y)
	}
	top *= rateTopFactor
	shadeFaults(chart, r, 0, top)
	if line := addLine(chart, lineArrivals, arrivals); line != nil {
		line.Dashes = dashPattern
	}
	for outcome := history.Succeeded; outcome <= history.Unsent; outcome++ {
		name := history.OutcomeNames[outcome]
		points := ratePoints(r, func(s metrics.Slot) int64 { return s.Outcomes[name] })
		if slices.ContainsFunc(points, func(point plotter.XY) bool { return point.Y > 0 }) {
			addLine(chart, name, points)
		}
	}
	chart.Y.Min = 0
	chart.Y.Max = top
	return chart
}

// ratePoints returns a point for each time slot: the middle of the slot and its count per second.
func ratePoints(r *experiment.Result, count func(metrics.Slot) int64) (points plotter.XYs) {
	for _, slot := range r.Calls.Slots {
		points = append(points, plotter.XY{X: slotMiddle(r, slot), Y: float64(count(slot)) / r.Calls.SlotSeconds})
	}
	return points
}

// slotMiddle returns the middle of a time slot, in seconds since the start of the run.
func slotMiddle(r *experiment.Result, slot metrics.Slot) float64 {
	return slot.From + r.Calls.SlotSeconds/2
}

// latencyChart returns a chart of latency percentiles of successful calls, by their intended time of sending.
func latencyChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Latency of successful calls, from the intended time of sending", "ms")
	lowest, highest := math.Inf(1), 1.0
	lines := map[string]plotter.XYs{}
	for _, slot := range r.Calls.Slots {
		if slot.P50 <= 0 {
			continue
		}
		for name, latency := range map[string]float64{lineP50: slot.P50, lineP95: slot.P95, lineP99: slot.P99} {
			lines[name] = append(lines[name], plotter.XY{X: slotMiddle(r, slot), Y: latency})
			lowest = min(lowest, latency)
			highest = max(highest, latency)
		}
	}
	if len(lines) == 0 {
		return chart
	}
	bottom, top := lowest/latencyBottomFactor, highest*latencyTopFactor
	shadeFaults(chart, r, bottom, top)
	for _, name := range []string{lineP50, lineP95, lineP99} {
		addLine(chart, name, lines[name])
	}
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: latencyTickDigits}
	chart.Y.Min = bottom
	chart.Y.Max = top
	return chart
}

// workGrid holds the number of requests per second that each worker (row) finished in each time slot (column). It
// implements plotter.GridXYZ.
type workGrid struct {
	result *experiment.Result
}

// Dims returns the number of time slots and of workers.
func (g workGrid) Dims() (columns, rows int) {
	return len(g.result.Calls.Slots), len(g.result.Workers)
}

// X returns the middle of a column's time slot, in seconds since the start of the run.
func (g workGrid) X(column int) float64 {
	return (float64(column) + 0.5) * g.result.Calls.SlotSeconds
}

// Y returns the vertical position of a worker's row.
func (g workGrid) Y(row int) float64 { return float64(row) }

// Z returns the number of requests per second that a worker finished in a time slot.
func (g workGrid) Z(column, row int) float64 { return g.result.Workers[row].BySlot[column] }

// workChart returns a heat map of the requests that each worker finished per second. A crash appears as a gap, a
// warm-up as a pale area.
func workChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Requests finished by worker over time (darker: more per second)", "worker")
	shades, err := brewer.GetPalette(brewer.TypeSequential, "Blues", workShadeCount)
	grid := workGrid{result: r}
	if columns, rows := grid.Dims(); err != nil || columns < 2 || rows < 2 {
		return chart // a heat map requires at least two columns and two rows
	}
	chart.Add(plotter.NewHeatMap(grid, shades))
	chart.Y.Min = -rowMargin
	chart.Y.Max = float64(len(r.Workers)) - rowMargin
	shadeFaults(chart, r, chart.Y.Min, chart.Y.Max)
	chart.Y.Tick.Marker = plot.ConstantTicks(workerTicks(r.Workers))
	return chart
}

// workerTicks returns a tick for each worker. At most maxLabeledWorkers of them are labeled.
func workerTicks(workers []experiment.WorkerResult) (ticks []plot.Tick) {
	workersPerLabel := (len(workers) + maxLabeledWorkers - 1) / maxLabeledWorkers
	for n, worker := range workers {
		tick := plot.Tick{Value: float64(n)}
		if n%workersPerLabel == 0 {
			tick.Label = worker.Name
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

// workerTotalsChart returns a bar chart of the total number of requests that each worker finished.
func workerTotalsChart(r *experiment.Result) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = "Requests finished by worker"
	chart.Y.Label.Text = "requests"
	values, names := plotter.Values{}, []string{}
	for _, worker := range r.Workers {
		values = append(values, float64(worker.Done))
		names = append(names, worker.Name)
	}
	if len(values) == 0 || slices.Max(values) == 0 {
		return chart
	}
	bars, err := plotter.NewBarChart(values, chartWidth*barWidthShare/vg.Length(len(values)))
	if err != nil {
		return chart
	}
	bars.Color = barColour
	bars.LineStyle.Width = 0
	chart.Add(bars)
	if len(names) <= maxLabeledBars {
		chart.NominalX(names...)
	}
	chart.Y.Min = 0
	return chart
}
