package metrics

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/worker"
)

// Two workers of one core lose power at 2 s and are back, cold, at 3 s and 4 s; a call of 100 ms comes each 100 ms.
func TestReturnIsReckonedFromTheLastWorkerAgainstItsWarmth(t *testing.T) {
	second := time.Second
	var calls []OfferedCall
	for at := time.Duration(0); at < 20*second; at += 100 * time.Millisecond {
		calls = append(calls, OfferedCall{
			At: at, Work: 100 * time.Millisecond, Objective: 201 * time.Millisecond,
			Value: 1, LateShare: 0.25,
		})
	}
	var slots []Slot
	for n := range 20 {
		s := Slot{From: float64(n), ValueOffered: 1, ValueEarned: 1}
		if n >= 2 && n < 13 {
			s.ValueEarned = 0.3
		}
		slots = append(slots, s)
	}
	workers := []ReturningWorker{{1, 3 * second}, {1, 4 * second}}
	b := MeasureRecovery(2*second, slots, second, calls, workers, worker.Warmup{InitialShare: 0.1, Duration: 9 * second})
	assert.Equal(t, []float64{2, 4, 1, 9}, []float64{b.LostAt, b.LastWorkerBackAt, b.ShareBefore, b.UntilRecovered})
	// By hand: a call takes its 200 ms at half of the warmth, which the mean of the two has at 7.5 s: the slot
	// from 7 s on is the first whose middle is there. A second's work is one core: reached by then.
	assert.Equal(t, 3.0, b.UntilRecoveredAtBest)
	assert.InDelta(t, 10.0/4, b.RatioToBest, 1e-9)

	never := MeasureRecovery(2*second, slots[:10], second, calls, workers, worker.Warmup{InitialShare: 0.1, Duration: 9 * second})
	assert.Equal(t, -1.0, never.UntilRecovered)
	assert.Zero(t, never.RatioToBest)
}
