package metrics

import (
	"time"

	"canvasroute/internal/testbed/worker"
)

// ReturningWorker is a worker that may have lost power.
type ReturningWorker struct {
	Cores  int
	BackAt time.Duration // when it starts again, or NoPowerLoss
}

// NoPowerLoss is the ReturningWorker.BackAt of a worker that did not lose power.
const NoPowerLoss time.Duration = -1

// OfferedCall is a planned call and what it can earn.
type OfferedCall struct {
	At        time.Duration // since the start of the experiment
	Work      time.Duration // core time
	Objective time.Duration // fixed part of the latency objective
	Stretch   float64       // added to the objective: this many times Work
	Value     float64       // billed value per second of work
	LateShare float64       // share of the value that a late answer earns
}

// PowerLoss is a loss of power and what is known about the time around it.
type PowerLoss struct {
	At         time.Duration // since the start of the experiment
	Slots      []Slot        // of the run, by intended time of the calls
	SlotLength time.Duration
	Calls      []OfferedCall // of the whole schedule
	Workers    []ReturningWorker
	Warmup     worker.Warmup
}

// Recovery is how a fleet recovered from a loss of power. Times are in seconds.
type Recovery struct {
	LostAt           float64 `json:"lost_s"`
	LastWorkerBackAt float64 `json:"last_worker_back_s"`
	ShareBefore      float64 `json:"share_before"` // earned of the offered value before the loss

	// UntilRecovered is the time from the last worker's return until recoveredShare of ShareBefore is earned again, or
	// neverRecovered. UntilRecoveredAtBest is the same for bestValueShare.
	UntilRecovered       float64 `json:"until_90_s"`
	UntilRecoveredAtBest float64 `json:"until_best_s"`

	// RatioToBest is UntilRecovered to UntilRecoveredAtBest, each plus one slot. It is 0 if either is neverRecovered.
	RatioToBest float64 `json:"until_to_best"`
}

// neverRecovered is the Recovery.UntilRecovered of a fleet that did not recover within the run.
const neverRecovered = -1

// recoveredShare is the part of the earned share before a loss at which the fleet counts as recovered.
const recoveredShare = 0.9

// minOffered and minWork keep quotients over an empty slot finite.
const (
	minOffered = 1e-9
	minWork    = 1e-9
)

// warmupFactor returns the share of its capacity that a worker has at a time.
func (w ReturningWorker) warmupFactor(warmup worker.Warmup, at time.Duration) float64 {
	switch {
	case w.BackAt == NoPowerLoss || warmup.Duration <= 0:
		return 1
	case at < w.BackAt:
		return 0
	}
	return warmup.Factor(at - w.BackAt)
}

// Recovery compares the time that the fleet needed to recover with the shortest that any dispatcher could reach.
func (l *PowerLoss) Recovery() Recovery {
	lastBackAt := l.At
	for _, w := range l.Workers {
		lastBackAt = max(lastBackAt, w.BackAt)
	}
	recovery := Recovery{
		LostAt:               l.At.Seconds(),
		LastWorkerBackAt:     lastBackAt.Seconds(),
		UntilRecovered:       neverRecovered,
		UntilRecoveredAtBest: neverRecovered,
	}
	before, known := l.shareBefore()
	if !known {
		return recovery
	}
	recovery.ShareBefore = before
	actual := make([]float64, len(l.Slots))
	best := make([]float64, len(l.Slots))
	for n, slot := range l.Slots {
		actual[n] = slot.ValueEarned / max(slot.ValueOffered, minOffered)
		best[n] = l.bestValueShare(time.Duration(n) * l.SlotLength)
	}
	recovery.UntilRecovered = l.timeToRecovery(lastBackAt, before, actual)
	recovery.UntilRecoveredAtBest = l.timeToRecovery(lastBackAt, before, best)
	if recovery.UntilRecovered >= 0 && recovery.UntilRecoveredAtBest >= 0 {
		resolution := l.SlotLength.Seconds() // times are no finer than a slot
		recovery.RatioToBest = (recovery.UntilRecovered + resolution) / (recovery.UntilRecoveredAtBest + resolution)
	}
	return recovery
}

// shareBefore returns the earned share of the offered value in the slots before the loss. It is unknown if nothing was
// offered.
func (l *PowerLoss) shareBefore() (share float64, known bool) {
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

// timeToRecovery returns the time in seconds from the last return to the first of two consecutive slots whose share
// counts as recovered, or neverRecovered. The last slot needs no second one.
func (l *PowerLoss) timeToRecovery(lastBackAt time.Duration, before float64, shares []float64) float64 {
	const rounding = 1e-9
	recovered := func(n int) bool { return n >= len(shares) || shares[n] >= recoveredShare*before }
	for n, slot := range l.Slots {
		if slot.From+rounding < lastBackAt.Seconds() {
			continue
		}
		if recovered(n) && recovered(n+1) {
			return slot.From - lastBackAt.Seconds()
		}
	}
	return neverRecovered
}

// bestValueShare returns an upper bound of the value share of the slot that begins at a time. Each call starts at its
// intended time, at a worker of the mean warm-up factor in the middle of the slot. It takes its work divided by that
// factor. It earns its full value within its objective, and LateShare of it later. All calls together do no more work
// than the cores can in the slot. No dispatcher does better by more than the spread of warm-up factors between workers.
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
