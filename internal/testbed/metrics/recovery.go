package metrics

import (
	"time"

	"canvasroute/internal/testbed/worker"
)

// ReturningWorker is one that takes part in the return after a loss of power.
type ReturningWorker struct {
	Cores  int
	BackAt time.Duration // when it is back, negative for one that was never away
}

// OfferedCall is an invocation, for what it could earn at best.
type OfferedCall struct {
	At, Work, Objective time.Duration
	Stretch             float64
	Value, LateShare    float64 // for a second of work, and the part of it that a late answer earns
}

// Recovery is how a fleet came back after a loss of power. Times are in seconds.
type Recovery struct {
	LostAt               float64 `json:"lost_s"`
	LastWorkerBackAt     float64 `json:"last_worker_back_s"`
	ShareBefore          float64 `json:"share_before"`  // of the billed value asked for
	UntilRecovered       float64 `json:"until_90_s"`    // from the last worker's return until nine tenths of that are served again, -1: never
	UntilRecoveredAtBest float64 `json:"until_best_s"`  // the same, as the workers' warmth allows
	RatioToBest          float64 `json:"until_to_best"` // the one to the other
}

// recoveredShare is the part of the value before a loss at which service counts as back.
const recoveredShare = 0.9

// warmupFactor is the share of its capacity that a worker has at a time.
func (k ReturningWorker) warmupFactor(c worker.Warmup, at time.Duration) float64 {
	switch {
	case k.BackAt < 0 || c.Duration <= 0:
		return 1
	case at < k.BackAt:
		return 0
	}
	return c.Factor(at - k.BackAt)
}

// MeasureRecovery reckons how a fleet came back from a loss of power at a time. slots are what was measured, by when
// calls were made; wanted are all calls.
//
// At best, each call would begin as it is made, at a worker of the mean warmth of that moment: it takes its work
// divided by that, earns in full within its objective and its tardy part later, and no more work is done in a
// slot than all cores do by their warmth. No program can do better by more than the spread of warmth between
// workers.
func MeasureRecovery(lost time.Duration, slots []Slot, every time.Duration, calls []OfferedCall, workers []ReturningWorker,
	c worker.Warmup,
) Recovery {
	last := lost
	for _, k := range workers {
		last = max(last, k.BackAt)
	}
	b := Recovery{LostAt: lost.Seconds(), LastWorkerBackAt: last.Seconds(), UntilRecovered: -1, UntilRecoveredAtBest: -1}
	offered, earned := 0.0, 0.0
	for _, s := range slots {
		if s.From+every.Seconds() <= lost.Seconds() {
			offered, earned = offered+s.ValueOffered, earned+s.ValueEarned
		}
	}
	if offered == 0 {
		return b
	}
	b.ShareBefore = earned / offered
	best := make([]float64, len(slots))
	for n := range slots {
		best[n] = bestValueShare(time.Duration(n)*every, every, calls, workers, c)
	}
	share := func(n int) float64 { return slots[n].ValueEarned / max(slots[n].ValueOffered, 1e-9) }
	b.UntilRecovered = timeToRecovery(slots, last, b.ShareBefore, share)
	b.UntilRecoveredAtBest = timeToRecovery(slots, last, b.ShareBefore, func(n int) float64 { return best[n] })
	if b.UntilRecovered >= 0 && b.UntilRecoveredAtBest >= 0 {
		b.RatioToBest = (b.UntilRecovered + every.Seconds()) / (b.UntilRecoveredAtBest + every.Seconds()) // no finer than a slot
	}
	return b
}

// timeToRecovery is the time from the last return to the first of two slots in a row that are back.
func timeToRecovery(slots []Slot, last time.Duration, before float64, share func(int) float64) float64 {
	for n := range slots {
		if slots[n].From+1e-9 < last.Seconds() {
			continue
		}
		if share(n) >= recoveredShare*before && (n+1 >= len(slots) || share(n+1) >= recoveredShare*before) {
			return slots[n].From - last.Seconds()
		}
	}
	return -1
}

func bestValueShare(from, every time.Duration, calls []OfferedCall, workers []ReturningWorker, cold worker.Warmup) float64 {
	cores, capacity := 0.0, 0.0
	for _, k := range workers {
		cores += float64(k.Cores)
		capacity += float64(k.Cores) * k.warmupFactor(cold, from+every/2)
	}
	mean := capacity / max(cores, 1)
	offered, earned, work := 0.0, 0.0, 0.0
	for _, c := range calls {
		if c.At < from || c.At >= from+every {
			continue
		}
		value := c.Value * c.Work.Seconds()
		offered, work = offered+value, work+c.Work.Seconds()
		if mean > 0 {
			if c.Work.Seconds()/mean > c.Objective.Seconds()+c.Stretch*c.Work.Seconds() {
				value *= c.LateShare
			}
			earned += value
		}
	}
	if offered == 0 {
		return 0
	}
	return earned / offered * min(1, capacity*every.Seconds()/max(work, 1e-9))
}
