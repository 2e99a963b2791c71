package experiment

import (
	"encoding/json"
	"slices"
	"time"

	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/metrics"
	"canvasroute/internal/testbed/workload"
)

// PhaseResult is a recovery phase that a dispatcher has entered, read from its log.
type PhaseResult struct {
	Dispatcher int     `json:"dispatcher"` // index
	Phase      string  `json:"phase"`
	From       float64 `json:"from_s"` // seconds since the start of the experiment
	Reason     string  `json:"why"`
	Case       string  `json:"case"`
}

// recoveryMessage is the message of the log entry that a dispatcher writes when it enters a phase, see docs/oncall.md.
const recoveryMessage = "returning"

// readPhases reads the recovery phases from the logs of all dispatchers.
func readPhases(env *environment) (phases []PhaseResult) {
	startedAt := time.Unix(0, env.startedAtNanos.Load())
	for n, p := range env.processes {
		scanLog(p.log.Name(), func(line []byte) {
			var entry struct {
				Message string
				Phase   string
				Why     string
				Case    string
				Time    int64 // Unix time in milliseconds
			}
			if json.Unmarshal(line, &entry) != nil || entry.Message != recoveryMessage {
				return
			}
			phases = append(phases, PhaseResult{
				Dispatcher: n,
				Phase:      entry.Phase,
				From:       time.UnixMilli(entry.Time).Sub(startedAt).Seconds(),
				Reason:     entry.Why,
				Case:       entry.Case,
			})
		})
	}
	return phases
}

// recoveries measures the recovery of the fleet from each power loss.
func (p *Plan) recoveries(r *Result, timeline *fault.Timeline, schedule []workload.Arrival) (all []metrics.Recovery) {
	calls := p.offeredCalls(schedule)
	for index, mark := range timeline.Intervals {
		if p.Faults[index].Kind != fault.KindPowerLoss {
			continue
		}
		loss := metrics.PowerLoss{
			At:         mark.From,
			Slots:      r.Calls.Slots,
			SlotLength: time.Duration(r.Calls.SlotSeconds * float64(time.Second)),
			Calls:      calls,
			Workers:    p.returningWorkers(timeline, index),
			Warmup:     p.warmup(),
		}
		all = append(all, loss.Recovery())
	}
	return all
}

// offeredCalls returns the work and the value of each call of a schedule.
func (p *Plan) offeredCalls(schedule []workload.Arrival) (calls []metrics.OfferedCall) {
	for _, arrival := range schedule {
		operation := &p.Operations[arrival.Operation]
		calls = append(calls, metrics.OfferedCall{
			At:        arrival.At,
			Work:      arrival.Work,
			Objective: operation.LatencyObjective.Std(),
			Stretch:   operation.Stretch,
			Value:     operation.Value,
			LateShare: operation.LateShare,
		})
	}
	return calls
}

// returningWorkers returns the workers, each with the scheduled time of its last restart by the fault at index, or with
// metrics.NoPowerLoss if the fault does not restart it.
func (p *Plan) returningWorkers(timeline *fault.Timeline, index int) (workers []metrics.Worker) {
	for n, place := range p.placeWorkers() {
		returning := metrics.Worker{Cores: p.Fleet.Kinds[place.kind].Cores, RestartAt: metrics.NoPowerLoss}
		for _, action := range timeline.Actions {
			restarts := action.Fault == index && action.Kind == fault.WorkerRestart
			if restarts && slices.Contains(action.Targets, n) {
				returning.RestartAt = max(returning.RestartAt, action.At)
			}
		}
		workers = append(workers, returning)
	}
	return workers
}
