package experiment

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"time"

	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/metrics"
	"canvasroute/internal/testbed/worker"
	"canvasroute/internal/testbed/workload"
)

// PhaseResult is a phase of a dispatcher's return, as its log tells.
type PhaseResult struct {
	Dispatcher int     `json:"dispatcher"`
	Phase      string  `json:"phase"`
	From       float64 `json:"from_s"`
	Reason     string  `json:"why"`
	Case       string  `json:"case"`
}

// readPhases reads them from the dispatchers' logs.
func readPhases(w *environment) (all []PhaseResult) {
	for n, p := range w.processes {
		file, err := os.Open(p.log.Name())
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var l struct {
				Message, Phase, Why, Case string
				Time                      int64
			}
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == "returning" {
				at := time.UnixMilli(l.Time).Sub(time.Unix(0, w.startedAtNanos.Load())).Seconds()
				all = append(all, PhaseResult{n, l.Phase, at, l.Why, l.Case})
			}
		}
		file.Close()
	}
	return all
}

// recoveries reckons how the fleet came back from each loss of power that workers met.
func (p *Plan) recoveries(r *Result, t *fault.Timeline, schedule []workload.Arrival) (backs []metrics.Recovery) {
	var offered []metrics.OfferedCall
	for _, a := range schedule {
		o := &p.Operations[a.Operation]
		offered = append(offered, metrics.OfferedCall{
			At: a.At, Work: a.Work, Objective: o.LatencyObjective.Std(), Stretch: o.Stretch,
			Value: o.Value, LateShare: o.LateShare,
		})
	}
	every := time.Duration(r.Calls.SlotSeconds * float64(time.Second))
	for k, mark := range t.Marks {
		if p.Faults[k].Kind != "power-loss" {
			continue
		}
		var workers []metrics.ReturningWorker
		kinds, _, _ := p.placeWorkers()
		for n := range kinds {
			one := metrics.ReturningWorker{Cores: p.Fleet.Kinds[kinds[n]].Cores, BackAt: -1}
			for _, a := range t.Actions {
				if a.Fault == k && a.Kind == fault.WorkerRestart && slices.Contains(a.Targets, n) {
					one.BackAt = max(one.BackAt, a.At)
				}
			}
			workers = append(workers, one)
		}
		backs = append(backs, metrics.MeasureRecovery(mark.From, r.Calls.Slots, every, offered, workers,
			worker.Warmup{InitialShare: p.Fleet.InitialShare, Duration: p.Fleet.WarmupDuration.Std()}))
	}
	return backs
}
