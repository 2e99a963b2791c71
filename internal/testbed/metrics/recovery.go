package metrics

import (
	"time"

	"canvasroute/internal/testbed/worker"
)

// Worker describes a worker of the fleet, and its restart if it lost power.
type Worker struct {
	Cores     int
	RestartAt time.Duration // time of its restart, or NoPowerLoss
}

// NoPowerLoss is the value of RestartedWorker.RestartAt for a worker that did not lose power.
const NoPowerLoss time.Duration = -1

// OfferedCall is a planned call and the value that it can earn.
type OfferedCall struct {
	At        time.Duration // since the start of the experiment
	Work      time.Duration // core time
	Objective time.Duration // fixed part of the latency objective
	Stretch   float64       // multiple of Work that is added to Objective
	Value     float64       // billed value per second of work
	LateShare float64       // share of the value that is earned by a late answer
}

// PowerLoss holds the data that is needed to measure the recovery from a power loss.
type PowerLoss struct {
	At         time.Duration // since the start of the experiment
	Slots      []Slot        // all slots of the run, by intended time of the calls
	SlotLength time.Duration
	Calls      []OfferedCall // all calls of the schedule
	Workers    []Worker
	Warmup     worker.Warmup
}

// Recovery describes how fast a fleet recovered from a power loss. Times are in seconds.
type Recovery struct {
	LostAt              float64 `json:"lost_s"`
	LastWorkerRestartAt float64 `json:"last_worker_back_s"` // LostAt if no worker lost power
	ValueShareBefore    float64 `json:"share_before"`       // earned share of the offered value before the loss

	// RecoveryTime is the time from the last worker's restart until the earned share reaches recoveredFraction of
	// ValueShareBefore again, or neverRecovered. BestRecoveryTime is the same time for the upper bound that
	// bestValueShare computes.
	RecoveryTime     float64 `json:"until_90_s"`
	BestRecoveryTime float64 `json:"until_best_s"`

	// RatioToBest is the ratio of RecoveryTime to BestRecoveryTime, after one slot length is added to both. It is 0 if
	// either is neverRecovered.
	RatioToBest float64 `json:"until_to_best"`
}

// neverRecovered is the value of Recovery.RecoveryTime and Recovery.BestRecoveryTime if the share did not reach the
// threshold within the run, or if no value was offered before the loss.
const neverRecovered = -1

// recoveredFraction is the fraction of the earned share before the loss at which the fleet counts as recovered.
const recoveredFraction = 0.9

// minOffered and minWork are lower bounds of divisors. They prevent a division by zero for an empty slot.
const (
	minOffered = 1e-9
	minWork    = 1e-9
)

// warmupFactor returns the share of its full capacity that the worker has at the given time.
func (w Worker) warmupFactor(warmup worker.Warmup, at time.Duration) float64 {
	switch {
	case w.RestartAt == NoPowerLoss || warmup.Duration <= 0:
		return 1
	case at < w.RestartAt:
		return 0
	}
	return warmup.Factor(at - w.RestartAt)
}

// Recovery measures the time that the fleet took to recover, and compares it with the shortest time that any dispatcher
// could achieve.
func (l *PowerLoss) Recovery() Recovery {
	lastRestartAt := l.At
	for _, w := range l.Workers {
		lastRestartAt = max(lastRestartAt, w.RestartAt)
	}
	recovery := Recovery{
		LostAt:              l.At.Seconds(),
		LastWorkerRestartAt: lastRestartAt.Seconds(),
		RecoveryTime:        neverRecovered,
		BestRecoveryTime:    neverRecovered,
	}
	before, known := l.valueShareBefore()
	if !known {
		return recovery
	}
	recovery.ValueShareBefore = before
	actual := make([]float64, len(l.Slots))
	best := make([]float64, len(l.Slots))
	for n, slot := range l.Slots {
		actual[n] = slot.ValueEarned / max(slot.ValueOffered, minOffered)
		best[n] = l.bestValueShare(time.Duration(n) * l.SlotLength)
	}
	recovery.RecoveryTime = l.recoveryTime(lastRestartAt, before, actual)
	recovery.BestRecoveryTime = l.recoveryTime(lastRestartAt, before, best)
	if recovery.RecoveryTime >= 0 && recovery.BestRecoveryTime >= 0 {
		resolution := l.SlotLength.Seconds() // the resolution of recovery times is one slot
		recovery.RatioToBest = (recovery.RecoveryTime + resolution) / (recovery.BestRecoveryTime + resolution)
	}
	return recovery
}

// valueShareBefore returns the earned share of the offered value in the slots before the loss. known is false if no
// value was offered in them.
func (l *PowerLoss) valueShareBefore() (share float64, known bool) {
	offered, earned := 0.0, 0.0
	for _, slot := range l.Slots {
		if slot.From+l.SlotLength.Seconds() <= l.At.Seconds() {
			offered += slot.ValueOffered
			earned += slot.ValueEarned
		}
	}
	if offered == 0 {
		return 0, false
	}
	return earned / offered, true
}

// recoveryTime returns the time in seconds from the last worker's restart to the first of two consecutive slots whose
// shares count as recovered, or neverRecovered. The last slot of the run does not need a second one.
func (l *PowerLoss) recoveryTime(lastRestartAt time.Duration, before float64, shares []float64) float64 {
	const rounding = 1e-9
	recovered := func(n int) bool { return n >= len(shares) || shares[n] >= recoveredFraction*before }
	for n, slot := range l.Slots {
		if slot.From+rounding < lastRestartAt.Seconds() {
			continue
		}
		if recovered(n) && recovered(n+1) {
			return slot.From - lastRestartAt.Seconds()
		}
	}
	return neverRecovered
}

// bestValueShare returns an upper bound of the earned share of the value offered in the slot that begins at from. It
// assumes that each call starts at its intended time, and that its worker has the mean warm-up factor of all workers in
// the middle of the slot, so that the call takes its work divided by this factor. A call earns its full value if it
// ends within its latency objective, and LateShare of it otherwise. The total work is limited by the capacity of all
// cores in the slot. The warm-up factors of the workers differ, so a dispatcher can exceed the bound by at most their
// spread.
func (l *PowerLoss) bestValueShare(from time.Duration) float64 {
	cores, capacity := 0.0, 0.0
	for _, w := range l.Workers {
		cores += float64(w.Cores)
		capacity += float64(w.Cores) * w.warmupFactor(l.Warmup, from+l.SlotLength/2)
	}
	meanFactor := capacity / max(cores, 1)
	offered, earned, work := 0.0, 0.0, 0.0
	for _, call := range l.Calls {
		if call.At < from || call.At >= from+l.SlotLength {
			continue
		}
		seconds := call.Work.Seconds()
		value := call.Value * seconds
		offered += value
		work += seconds
		if meanFactor <= 0 {
			continue
		}
		if seconds/meanFactor > call.Objective.Seconds()+call.Stretch*seconds {
			value *= call.LateShare
		}
		earned += value
	}
	if offered == 0 {
		return 0
	}
	return earned / offered * min(1, capacity*l.SlotLength.Seconds()/max(work, minWork))
}
