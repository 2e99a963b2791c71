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
	"canvasroute/internal/testbed/metrics"
)

// Sizes of a chart.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
)

// colours are the colours of lines by name, the same in all charts.
var colours = map[string]color.Color{
	"arrivals": color.Gray{90}, "succeeded": color.RGBA{44, 140, 80, 255}, "throttled": color.RGBA{
		230, 150,
		20, 255,
	},
	"errored": color.RGBA{200, 40, 40, 255}, "unanswered": color.RGBA{120, 40, 160, 255},
	"broken": color.RGBA{0, 0, 0, 255}, "unreachable": color.RGBA{110, 80, 50, 255},
	"interrupted": color.RGBA{120, 120, 200, 255}, "unsent": color.RGBA{250, 0, 200, 255},
	"p50": color.RGBA{60, 110, 190, 255}, "p95": color.RGBA{90, 60, 160, 255}, "p99": color.RGBA{
		200, 40, 90,
		255,
	},
}

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

// shadeFaults adds a numbered band for the time of each fault. One without a duration gets a narrow band.
func shadeFaults(chart *plot.Plot, r *experiment.Result, low, high float64) {
	for n, m := range r.Faults {
		from, to := m.From.Seconds(), m.To.Seconds()
		to = max(to, from+r.DurationSeconds/200)
		band, err := plotter.NewPolygon(plotter.XYs{
			{X: from, Y: low},
			{X: to, Y: low},
			{X: to, Y: high},
			{X: from, Y: high},
		})
		if err != nil {
			continue
		}
		band.Color = color.NRGBA{200, 60, 60, 36}
		band.Width = 0
		chart.Add(band)
		text, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: from, Y: high}},
			Labels: []string{fmt.Sprint(" ", n+1)},
		})
		if err == nil {
			text.Offset = vg.Point{Y: -12}
			chart.Add(text)
		}
	}
}

func addLine(chart *plot.Plot, name string, points plotter.XYs, dashed bool) {
	if len(points) == 0 {
		return
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return
	}
	l.Color = colours[name]
	l.Width = vg.Points(1.6)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	chart.Add(l)
	chart.Legend.Add(name, l)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("drawing %q: %w", p.Title.Text, err)
	}
	text := b.String()
	if at := strings.Index(text, "<svg"); at >= 0 { // HTML has no place for the XML prologue
		text = text[at:]
	}
	return template.HTML(text), nil
}

// answersChart shows arrivals and outcomes per second.
func answersChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Arrivals and answers", "per second")
	over := func(count func(metrics.Slot) int64) (points plotter.XYs, found bool) {
		for _, s := range r.Calls.Slots {
			n := count(s)
			found = found || n > 0
			points = append(points, plotter.XY{X: s.From + r.Calls.SlotSeconds/2, Y: float64(n) / r.Calls.SlotSeconds})
		}
		return points, found
	}
	arrivals, _ := over(func(s metrics.Slot) int64 { return s.Arrivals })
	top := 1.0
	for _, at := range arrivals {
		top = max(top, at.Y)
	}
	shadeFaults(chart, r, 0, top*1.15)
	addLine(chart, "arrivals", arrivals, true)
	for _, kind := range []string{
		"succeeded", "throttled", "errored", "unanswered", "broken", "unreachable",
		"interrupted", "unsent",
	} {
		if points, found := over(func(s metrics.Slot) int64 { return s.Answers[kind] }); found {
			addLine(chart, kind, points, false)
		}
	}
	chart.Y.Min = 0
	chart.Y.Max = top * 1.15
	return chart
}

// latencyChart shows percentiles of the latency of successful calls, by intended time.
func latencyChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Latency of successful calls, from the intended time of sending", "ms")
	low, high := math.Inf(1), 1.0
	lines := map[string]plotter.XYs{}
	for _, s := range r.Calls.Slots {
		if s.P50 <= 0 {
			continue
		}
		at := s.From + r.Calls.SlotSeconds/2
		for name, v := range map[string]float64{"p50": s.P50, "p95": s.P95, "p99": s.P99} {
			lines[name] = append(lines[name], plotter.XY{X: at, Y: v})
			low = min(low, v)
			high = max(high, v)
		}
	}
	if math.IsInf(low, 1) {
		return chart
	}
	low /= 1.3
	high *= 1.5
	shadeFaults(chart, r, low, high)
	for _, name := range []string{"p50", "p95", "p99"} {
		addLine(chart, name, lines[name], false)
	}
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: 3}
	chart.Y.Min = low
	chart.Y.Max = high
	return chart
}

// workGrid is the work finished by worker and time slot.
type workGrid struct {
	r *experiment.Result
}

func (g workGrid) Dims() (c, r int)   { return len(g.r.Calls.Slots), len(g.r.Workers) }
func (g workGrid) X(c int) float64    { return (float64(c) + 0.5) * g.r.Calls.SlotSeconds }
func (g workGrid) Y(r int) float64    { return float64(r) }
func (g workGrid) Z(c, r int) float64 { return g.r.Workers[r].BySlot[c] }

// workChart shows the work that each worker finished per second. A crash appears as a gap, warming up as a pale area.
func workChart(r *experiment.Result) *plot.Plot {
	chart := newChart(r, "Requests finished by worker over time (darker: more per second)", "worker")
	shades, err := brewer.GetPalette(brewer.TypeSequential, "Blues", 9)
	g := workGrid{r}
	if c, rows := g.Dims(); err != nil || c < 2 || rows < 2 {
		return chart
	}
	chart.Add(plotter.NewHeatMap(g, shades))
	shadeFaults(chart, r, -0.5, float64(len(r.Workers))-0.5)
	var ticks []plot.Tick
	for n, w := range r.Workers {
		t := plot.Tick{Value: float64(n)}
		if every := (len(r.Workers) + 19) / 20; n%every == 0 {
			t.Label = w.Name
		}
		ticks = append(ticks, t)
	}
	chart.Y.Tick.Marker = plot.ConstantTicks(ticks)
	chart.Y.Min = -0.5
	chart.Y.Max = float64(len(r.Workers)) - 0.5
	return chart
}

// sharesChart shows the total number of requests that each worker finished.
func sharesChart(r *experiment.Result) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = "Requests finished by worker"
	chart.Y.Label.Text = "requests"
	values, names := plotter.Values{}, []string{}
	for _, w := range r.Workers {
		values = append(values, float64(w.Done))
		names = append(names, w.Name)
	}
	if len(values) == 0 || slices.Max(values) == 0 {
		return chart
	}
	bars, err := plotter.NewBarChart(values, chartWidth*0.7/vg.Length(len(values)))
	if err != nil {
		return chart
	}
	bars.Color = colours["p50"]
	bars.LineStyle.Width = 0
	chart.Add(bars)
	if len(names) <= 30 {
		chart.NominalX(names...)
	}
	chart.Y.Min = 0
	return chart
}
