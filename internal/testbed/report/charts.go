// Package report renders results: an HTML page with charts, a table for the terminal, and a comparison of two sets of
// runs.
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

// Sizes of a chart and its parts.
const (
	chartWidth        = 24 * vg.Centimeter
	chartHeight       = 8 * vg.Centimeter
	faultLabelOffset  = vg.Length(-12) // of a fault's number from the top of its band
	minFaultBand      = 1.0 / 200      // width of the band of a fault without a duration, as a share of the run
	headroom          = 1.15           // top of the chart of answers, in multiples of the highest rate
	latencyHeadroom   = 1.5            // top of the chart of latencies, in multiples of the highest one
	latencyFootroom   = 1.3            // the lowest latency, in multiples of the bottom of its chart
	latencyTickDigits = 3              // significant digits of a latency beside the axis
	barShare          = 0.7            // of the width of the chart that bars fill
	maxBarNames       = 30             // number of bars up to which each has its name
	maxWorkerNames    = 20             // number of workers up to which each has its name
	workShades        = 9              // number of shades of the chart of work
	rowMargin         = 0.5            // of a chart with a row for each worker
)

// Strokes of lines.
var (
	lineWidth = vg.Points(1.6)
	dashes    = []vg.Length{vg.Points(5), vg.Points(3)}
)

// Names of the lines of charts that are no outcomes.
const (
	lineArrivals = "arrivals"
	lineP50      = "p50"
	lineP95      = "p95"
	lineP99      = "p99"
)

// colours are the colours of lines by name, the same in all charts.
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

// newChart returns an empty chart over the time of a run.
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

// shadeFaults adds a numbered band for the time of each fault, from the bottom to the top of a chart. One without a
// duration gets a narrow band.
func shadeFaults(chart *plot.Plot, r *experiment.Result, bottom, top float64) {
	for n, mark := range r.Faults {
		from := mark.From.Seconds()
		to := max(mark.To.Seconds(), from+r.DurationSeconds*minFaultBand)
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

// addLine adds a line with its name in the legend, and returns it. It returns nil if there are no points to draw.
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
	if start := strings.Index(text, "<svg"); start >= 0 { // HTML has no place for the XML prologue
		text = text[start:]
	}
	return template.HTML(text), nil
}

// answersChart shows arrivals and outcomes per second.
func answersChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Arrivals and answers", "per second")
	arrivals := ratePoints(r, func(s metrics.Slot) int64 { return s.Arrivals })
	top := 1.0
	for _, point := range arrivals {
		top = max(top, point.Y)
	}
	top *= headroom
	shadeFaults(chart, r, 0, top)
	if line := addLine(chart, lineArrivals, arrivals); line != nil {
		line.Dashes = dashes
	}
	for outcome := history.Succeeded; outcome <= history.Unsent; outcome++ {
		name := history.OutcomeNames[outcome]
		points := ratePoints(r, func(s metrics.Slot) int64 { return s.Answers[name] })
		if slices.ContainsFunc(points, func(point plotter.XY) bool { return point.Y > 0 }) {
			addLine(chart, name, points)
		}
	}
	chart.Y.Min = 0
	chart.Y.Max = top
	return chart
}

// ratePoints returns a point in the middle of each time slot: the slot's count per second.
func ratePoints(r *experiment.Result, count func(metrics.Slot) int64) (points plotter.XYs) {
	for _, slot := range r.Calls.Slots {
		points = append(points, plotter.XY{X: middleOf(r, slot), Y: float64(count(slot)) / r.Calls.SlotSeconds})
	}
	return points
}

// middleOf returns the middle of a time slot in seconds.
func middleOf(r *experiment.Result, slot metrics.Slot) float64 {
	return slot.From + r.Calls.SlotSeconds/2
}

// latencyChart shows percentiles of the latency of successful calls, by intended time.
func latencyChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Latency of successful calls, from the intended time of sending", "ms")
	lowest, highest := math.Inf(1), 1.0
	lines := map[string]plotter.XYs{}
	for _, slot := range r.Calls.Slots {
		if slot.P50 <= 0 {
			continue
		}
		for name, latency := range map[string]float64{lineP50: slot.P50, lineP95: slot.P95, lineP99: slot.P99} {
			lines[name] = append(lines[name], plotter.XY{X: middleOf(r, slot), Y: latency})
			lowest = min(lowest, latency)
			highest = max(highest, latency)
		}
	}
	if len(lines) == 0 {
		return chart
	}
	bottom, top := lowest/latencyFootroom, highest*latencyHeadroom
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

// workGrid is the work finished by worker (row) and time slot (column). It implements plotter.GridXYZ.
type workGrid struct {
	result *experiment.Result
}

// Dims returns the number of time slots and of workers.
func (g workGrid) Dims() (columns, rows int) {
	return len(g.result.Calls.Slots), len(g.result.Workers)
}

// X returns the middle of a time slot in seconds.
func (g workGrid) X(column int) float64 {
	return (float64(column) + 0.5) * g.result.Calls.SlotSeconds
}

// Y returns the place of a worker.
func (g workGrid) Y(row int) float64 { return float64(row) }

// Z returns the number of requests that a worker finished per second of a time slot.
func (g workGrid) Z(column, row int) float64 { return g.result.Workers[row].BySlot[column] }

// workChart shows the work that each worker finished per second. A crash appears as a gap, warming up as a pale area.
func workChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Requests finished by worker over time (darker: more per second)", "worker")
	shades, err := brewer.GetPalette(brewer.TypeSequential, "Blues", workShades)
	grid := workGrid{result: r}
	if columns, rows := grid.Dims(); err != nil || columns < 2 || rows < 2 {
		return chart // a heat map needs two of each
	}
	chart.Add(plotter.NewHeatMap(grid, shades))
	chart.Y.Min = -rowMargin
	chart.Y.Max = float64(len(r.Workers)) - rowMargin
	shadeFaults(chart, r, chart.Y.Min, chart.Y.Max)
	chart.Y.Tick.Marker = plot.ConstantTicks(workerTicks(r.Workers))
	return chart
}

// workerTicks returns a tick for each worker, of which at most maxWorkerNames have a name.
func workerTicks(workers []experiment.WorkerResult) (ticks []plot.Tick) {
	workersPerName := (len(workers) + maxWorkerNames - 1) / maxWorkerNames
	for n, worker := range workers {
		tick := plot.Tick{Value: float64(n)}
		if n%workersPerName == 0 {
			tick.Label = worker.Name
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

// sharesChart shows the total number of requests that each worker finished.
func sharesChart(r *experiment.Result) *plot.Plot {
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
	bars, err := plotter.NewBarChart(values, chartWidth*barShare/vg.Length(len(values)))
	if err != nil {
		return chart
	}
	bars.Color = barColour
	bars.LineStyle.Width = 0
	chart.Add(bars)
	if len(names) <= maxBarNames {
		chart.NominalX(names...)
	}
	chart.Y.Min = 0
	return chart
}
