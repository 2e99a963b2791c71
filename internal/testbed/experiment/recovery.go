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

// PhaseResult is a phase of a dispatcher's recovery, from its log.
type PhaseResult struct {
	Dispatcher int     `json:"dispatcher"`
	Phase      string  `json:"phase"`
	From       float64 `json:"from_s"`
	Reason     string  `json:"why"`
	Case       string  `json:"case"`
}

// recoveryMessage is the log message of a dispatcher that enters a phase, see docs/oncall.md.
const recoveryMessage = "returning"

// readPhases reads the phases from the dispatchers' logs.
func readPhases(env *environment) (all []PhaseResult) {
	for n, p := range env.processes {
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
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == recoveryMessage {
				at := time.UnixMilli(l.Time).Sub(time.Unix(0, env.startedAtNanos.Load())).Seconds()
				all = append(all, PhaseResult{n, l.Phase, at, l.Why, l.Case})
			}
		}
		file.Close()
	}
	return all
}

// recoveries measures how the fleet recovered from each loss of power.
func (p *Plan) recoveries(r *Result, t *fault.Timeline, schedule []workload.Arrival) (all []metrics.Recovery) {
	var calls []metrics.OfferedCall
	for _, a := range schedule {
		o := &p.Operations[a.Operation]
		calls = append(calls, metrics.OfferedCall{
			At: a.At, Work: a.Work, Objective: o.LatencyObjective.Std(), Stretch: o.Stretch,
			Value: o.Value, LateShare: o.LateShare,
		})
	}
	for index, mark := range t.Marks {
		if p.Faults[index].Kind != "power-loss" {
			continue
		}
		loss := metrics.PowerLoss{
			At: mark.From, Slots: r.Calls.Slots, SlotLength: time.Duration(r.Calls.SlotSeconds * float64(time.Second)),
			Calls: calls, Workers: p.returningWorkers(t, index),
			Warmup: worker.Warmup{InitialShare: p.Fleet.InitialShare, Duration: p.Fleet.WarmupDuration.Std()},
		}
		all = append(all, loss.Recovery())
	}
	return all
}

// returningWorkers are the workers with the time at which a fault's last restart of each is due.
func (p *Plan) returningWorkers(t *fault.Timeline, index int) (workers []metrics.ReturningWorker) {
	kinds, _, _ := p.placeWorkers()
	for n := range kinds {
		returning := metrics.ReturningWorker{Cores: p.Fleet.Kinds[kinds[n]].Cores, BackAt: -1}
		for _, a := range t.Actions {
			if a.Fault == index && a.Kind == fault.WorkerRestart && slices.Contains(a.Targets, n) {
				returning.BackAt = max(returning.BackAt, a.At)
			}
		}
		workers = append(workers, returning)
	}
	return workers
}
