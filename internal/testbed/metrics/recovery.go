package metrics

import (
	"time"

	"canvasroute/internal/testbed/worker"
)

// ReturningWorker is a worker that may have lost power.
type ReturningWorker struct {
	Cores  int
	BackAt time.Duration // when it starts again, or KeptPower
}

// KeptPower is the ReturningWorker.BackAt of a worker that did not lose power.
const KeptPower time.Duration = -1

// OfferedCall is a planned call and what it can earn.
type OfferedCall struct {
	At, Work, Objective time.Duration
	Stretch             float64
	Value, LateShare    float64 // per second of work, and the share of it that a late answer earns
}

// PowerLoss is a loss of power and what is known about the time around it.
type PowerLoss struct {
	At         time.Duration
	Slots      []Slot // measured, by intended time of the calls
	SlotLength time.Duration
	Calls      []OfferedCall
	Workers    []ReturningWorker
	Warmup     worker.Warmup
}

// Recovery is how a fleet recovered from a loss of power. Times are in seconds.
type Recovery struct {
	LostAt               float64 `json:"lost_s"`
	LastWorkerBackAt     float64 `json:"last_worker_back_s"`
	ShareBefore          float64 `json:"share_before"`  // earned of the offered value before the loss
	UntilRecovered       float64 `json:"until_90_s"`    // from the last worker's return until 90% of ShareBefore is earned again, -1: never
	UntilRecoveredAtBest float64 `json:"until_best_s"`  // the same for BestValueShare
	RatioToBest          float64 `json:"until_to_best"` // UntilRecovered to UntilRecoveredAtBest, each plus one slot; 0 if either is never
}

// recoveredShare is the part of the earned share before a loss at which the fleet counts as recovered.
const recoveredShare = 0.9

// minOffered and minWork keep quotients over an empty slot finite.
const (
	minOffered = 1e-9
	minWork    = 1e-9
)

// warmupFactor is the share of its capacity that a worker has at a time.
func (w ReturningWorker) warmupFactor(warmup worker.Warmup, at time.Duration) float64 {
	switch {
	case w.BackAt == KeptPower || warmup.Duration <= 0:
		return 1
	case at < w.BackAt:
		return 0
	}
	return warmup.Factor(at - w.BackAt)
}

// Recovery compares the time that the fleet needed to recover with the shortest that any dispatcher could reach.
func (l *PowerLoss) Recovery() Recovery {
	lastBack := l.At
	for _, w := range l.Workers {
		lastBack = max(lastBack, w.BackAt)
	}
	recovery := Recovery{
		LostAt: l.At.Seconds(), LastWorkerBackAt: lastBack.Seconds(), UntilRecovered: -1, UntilRecoveredAtBest: -1,
	}
	before, known := l.shareBefore()
	if !known {
		return recovery
	}
	recovery.ShareBefore = before
	measured := make([]float64, len(l.Slots))
	best := make([]float64, len(l.Slots))
	for n, slot := range l.Slots {
		measured[n] = slot.ValueEarned / max(slot.ValueOffered, minOffered)
		best[n] = l.bestValueShare(time.Duration(n) * l.SlotLength)
	}
	recovery.UntilRecovered = l.timeToRecovery(lastBack, before, measured)
	recovery.UntilRecoveredAtBest = l.timeToRecovery(lastBack, before, best)
	if recovery.UntilRecovered >= 0 && recovery.UntilRecoveredAtBest >= 0 {
		slot := l.SlotLength.Seconds() // times are no finer than a slot
		recovery.RatioToBest = (recovery.UntilRecovered + slot) / (recovery.UntilRecoveredAtBest + slot)
	}
	return recovery
}

// shareBefore is the earned share of the offered value in the slots before the loss, unknown if nothing was offered.
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

// timeToRecovery is the time from the last return to the first of two consecutive slots whose share counts as
// recovered, -1 if there are none.
func (l *PowerLoss) timeToRecovery(lastBack time.Duration, before float64, shares []float64) float64 {
	const rounding = 1e-9
	for n, slot := range l.Slots {
		if slot.From+rounding < lastBack.Seconds() {
			continue
		}
		if shares[n] >= recoveredShare*before && (n+1 >= len(shares) || shares[n+1] >= recoveredShare*before) {
			return slot.From - lastBack.Seconds()
		}
	}
	return -1
}

// bestValueShare is an upper bound of the value share of the slot that begins at from. Each call starts at its intended
// time at a worker of the mean warm-up factor in the middle of the slot: it takes its work divided by that factor, and
// earns its full value within its objective and LateShare of it later. All calls together do no more work than the
// cores can in the slot. No dispatcher does better by more than the spread of warm-up factors between workers.
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
