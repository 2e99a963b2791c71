package report

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"

	"canvasroute/internal/testbed/experiment"
)

// phaseColours maps the recovery phases, under the names that dispatchers log, to their colours.
var phaseColours = map[string]color.Color{
	"identity":   color.RGBA{90, 90, 90, 255},
	"list":       color.RGBA{200, 60, 60, 255},
	"others":     color.RGBA{225, 130, 40, 255},
	"trickle":    color.RGBA{235, 200, 60, 255},
	"ramp":       color.RGBA{150, 200, 110, 255},
	"full":       color.RGBA{60, 150, 90, 255},
	"superseded": color.RGBA{0, 0, 0, 255},
}

// bandHalfHeight is the distance from the middle of a row to either edge of its band, as a fraction of the row's
// height.
const bandHalfHeight = 0.35

// phaseEnd returns the end of r.Phases[n] in seconds since the start of the run: the start of the same dispatcher's
// next phase, or the end of the run if there is none. r.Phases is ordered by dispatcher, and then by time.
func phaseEnd(r *experiment.Result, n int) float64 {
	next := n + 1
	if next < len(r.Phases) && r.Phases[next].Dispatcher == r.Phases[n].Dispatcher {
		return r.Phases[next].From
	}
	return r.DurationSeconds
}

// phasesChart returns a chart of each dispatcher's recovery phases over time, or nil if no phase was logged.
func phasesChart(r *experiment.Result) *plot.Plot {
	if len(r.Phases) == 0 {
		return nil
	}
	chart := newChart(r, "Phases of return", "dispatcher")
	chart.Y.Min = -1
	chart.Y.Max = float64(len(r.Dispatchers))
	shadeFaults(chart, r, chart.Y.Min, chart.Y.Max)
	inLegend := map[string]bool{}
	for n, phase := range r.Phases {
		from, to := max(phase.From, 0), phaseEnd(r, n)
		if to <= from {
			continue
		}
		row := float64(phase.Dispatcher)
		band, err := newBand(from, to, row-bandHalfHeight, row+bandHalfHeight)
		if err != nil {
			continue
		}
		band.Color = phaseColours[phase.Phase]
		chart.Add(band)
		if !inLegend[phase.Phase] {
			inLegend[phase.Phase] = true
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
