package report

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"canvasroute/internal/testbed/experiment"
)

// phaseColours are the colours of the phases of a recovery, in their order.
var phaseColours = []struct {
	name   string
	colour color.Color
}{
	{"identity", color.RGBA{90, 90, 90, 255}},
	{"list", color.RGBA{200, 60, 60, 255}},
	{"others", color.RGBA{225, 130, 40, 255}},
	{"trickle", color.RGBA{235, 200, 60, 255}},
	{"ramp", color.RGBA{150, 200, 110, 255}},
	{"full", color.RGBA{60, 150, 90, 255}},
	{"superseded", color.RGBA{0, 0, 0, 255}},
}

// bandShare is how much of its row a band fills.
const bandShare = 0.35

// phasesChart shows the recovery phases of each dispatcher as bands over time. It is nil if no phase was logged.
func phasesChart(r *experiment.Result) *plot.Plot {
	if len(r.Phases) == 0 {
		return nil
	}
	chart := newChart(r, "Phases of return", "dispatcher")
	chart.Y.Min = -1
	chart.Y.Max = float64(len(r.Dispatchers))
	shadeFaults(chart, r, -1, float64(len(r.Dispatchers)))
	drawn := map[string]bool{}
	for n, phase := range r.Phases {
		to := r.DurationSeconds
		if n+1 < len(r.Phases) && r.Phases[n+1].Dispatcher == phase.Dispatcher {
			to = r.Phases[n+1].From
		}
		from := max(phase.From, 0)
		if to <= from {
			continue
		}
		y := float64(phase.Dispatcher)
		band, err := plotter.NewPolygon(plotter.XYs{
			{X: from, Y: y - bandShare},
			{X: to, Y: y - bandShare},
			{X: to, Y: y + bandShare},
			{X: from, Y: y + bandShare},
		})
		if err != nil {
			continue
		}
		band.Width = 0
		for _, c := range phaseColours {
			if c.name == phase.Phase {
				band.Color = c.colour
			}
		}
		chart.Add(band)
		if !drawn[phase.Phase] {
			drawn[phase.Phase] = true
			chart.Legend.Add(phase.Phase, band)
		}
	}
	ticks := make([]plot.Tick, len(r.Dispatchers))
	for n := range r.Dispatchers {
		ticks[n] = plot.Tick{Value: float64(n), Label: fmt.Sprintf("d%d", n)}
	}
	chart.Y.Tick.Marker = plot.ConstantTicks(ticks)
	return chart
}
