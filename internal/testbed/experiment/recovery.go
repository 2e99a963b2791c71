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
	Why        string  `json:"why"`
	Case       string  `json:"case"`
}

// phases reads them from the dispatchers' logs.
func phases(w *world) (all []PhaseResult) {
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
				at := time.UnixMilli(l.Time).Sub(time.Unix(0, w.zero.Load())).Seconds()
				all = append(all, PhaseResult{n, l.Phase, at, l.Why, l.Case})
			}
		}
		file.Close()
	}
	return all
}

// backs reckons how the fleet came back from each loss of power that workers met.
func (p *Plan) backs(r *Result, t *fault.Timeline, schedule []workload.Arrival) (backs []metrics.Back) {
	var wanted []metrics.Wanted
	for _, a := range schedule {
		o := &p.Operations[a.Operation]
		wanted = append(wanted, metrics.Wanted{
			At: a.At, Work: a.Work, Objective: o.Objective.D(), Stretch: o.Stretch,
			Value: o.Value, Tardy: o.Tardy,
		})
	}
	every := time.Duration(r.Calls.Every * float64(time.Second))
	for k, mark := range t.Marks {
		if p.Troubles[k].Kind != "power-loss" {
			continue
		}
		var workers []metrics.Worker
		kinds, _, _ := p.sites()
		for n := range kinds {
			one := metrics.Worker{Cores: p.Fleet.Kinds[kinds[n]].Cores, Back: -1}
			for _, a := range t.Actions {
				if a.Trouble == k && a.Do == fault.WorkerReturn && slices.Contains(a.Targets, n) {
					one.Back = max(one.Back, a.At)
				}
			}
			workers = append(workers, one)
		}
		backs = append(backs, metrics.Returned(mark.From, r.Calls.Slots, every, wanted, workers,
			worker.Cold{From: p.Fleet.ColdFrom, Ramp: p.Fleet.ColdRamp.D()}))
	}
	return backs
}
