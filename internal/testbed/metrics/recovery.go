package metrics

import (
	"time"

	"canvasroute/internal/testbed/worker"
)

// Worker is one that takes part in the return after a loss of power.
type Worker struct {
	Cores int
	Back  time.Duration // when it is back, negative for one that was never away
}

// Wanted is an invocation, for what it could earn at best.
type Wanted struct {
	At, Work, Objective time.Duration
	Stretch             float64
	Value, Tardy        float64 // for a second of work, and the part of it that a late answer earns
}

// Back is how a fleet came back after a loss of power. Times are in seconds.
type Back struct {
	Lost     float64 `json:"lost_s"`
	LastBack float64 `json:"last_worker_back_s"`
	Before   float64 `json:"share_before"`  // of the billed value asked for
	Until    float64 `json:"until_90_s"`    // from the last worker's return until nine tenths of that are served again, -1: never
	AtBest   float64 `json:"until_best_s"`  // the same, as the workers' warmth allows
	Stretch  float64 `json:"until_to_best"` // the one to the other
}

// backShare is the part of the value before a loss at which service counts as back.
const backShare = 0.9

// warmth is the share of its capacity that a worker has at a time.
func (k Worker) warmth(c worker.Cold, at time.Duration) float64 {
	switch {
	case k.Back < 0 || c.Ramp <= 0:
		return 1
	case at < k.Back:
		return 0
	}
	return c.Warmth(at - k.Back)
}

// Returned reckons how a fleet came back from a loss of power at a time. slots are what was measured, by when
// calls were made; wanted are all calls.
//
// At best, each call would begin as it is made, at a worker of the mean warmth of that moment: it takes its work
// divided by that, earns in full within its objective and its tardy part later, and no more work is done in a
// slot than all cores do by their warmth. No program can do better by more than the spread of warmth between
// workers.
func Returned(lost time.Duration, slots []Slot, every time.Duration, wanted []Wanted, workers []Worker,
	c worker.Cold,
) Back {
	last := lost
	for _, k := range workers {
		last = max(last, k.Back)
	}
	b := Back{Lost: lost.Seconds(), LastBack: last.Seconds(), Until: -1, AtBest: -1}
	asked, earned := 0.0, 0.0
	for _, s := range slots {
		if s.From+every.Seconds() <= lost.Seconds() {
			asked, earned = asked+s.Asked, earned+s.Earned
		}
	}
	if asked == 0 {
		return b
	}
	b.Before = earned / asked
	best := make([]float64, len(slots))
	for n := range slots {
		best[n] = atBest(time.Duration(n)*every, every, wanted, workers, c)
	}
	share := func(n int) float64 { return slots[n].Earned / max(slots[n].Asked, 1e-9) }
	b.Until = since(slots, last, b.Before, share)
	b.AtBest = since(slots, last, b.Before, func(n int) float64 { return best[n] })
	if b.Until >= 0 && b.AtBest >= 0 {
		b.Stretch = (b.Until + every.Seconds()) / (b.AtBest + every.Seconds()) // no finer than a slot
	}
	return b
}

// since is the time from the last return to the first of two slots in a row that are back.
func since(slots []Slot, last time.Duration, before float64, share func(int) float64) float64 {
	for n := range slots {
		if slots[n].From+1e-9 < last.Seconds() {
			continue
		}
		if share(n) >= backShare*before && (n+1 >= len(slots) || share(n+1) >= backShare*before) {
			return slots[n].From - last.Seconds()
		}
	}
	return -1
}

func atBest(from, every time.Duration, wanted []Wanted, workers []Worker, cold worker.Cold) float64 {
	cores, does := 0.0, 0.0
	for _, k := range workers {
		cores += float64(k.Cores)
		does += float64(k.Cores) * k.warmth(cold, from+every/2)
	}
	mean := does / max(cores, 1)
	asked, earned, work := 0.0, 0.0, 0.0
	for _, c := range wanted {
		if c.At < from || c.At >= from+every {
			continue
		}
		worth := c.Value * c.Work.Seconds()
		asked, work = asked+worth, work+c.Work.Seconds()
		if mean > 0 {
			if c.Work.Seconds()/mean > c.Objective.Seconds()+c.Stretch*c.Work.Seconds() {
				worth *= c.Tardy
			}
			earned += worth
		}
	}
	if asked == 0 {
		return 0
	}
	return earned / asked * min(1, does*every.Seconds()/max(work, 1e-9))
}
