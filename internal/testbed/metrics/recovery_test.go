package metrics

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/worker"
)

// Two workers of one core lose power at 2 s and are back, warming up, at 3 s and 4 s. A call of 100 ms arrives every
// 100 ms.
func TestRecoveryIsMeasuredFromTheLastReturnAgainstTheWarmup(t *testing.T) {
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
		slot := Slot{From: float64(n), ValueOffered: 1, ValueEarned: 1}
		if n >= 2 && n < 13 {
			slot.ValueEarned = 0.3
		}
		slots = append(slots, slot)
	}
	workers := []ReturningWorker{{1, 3 * second}, {1, 4 * second}}
	loss := PowerLoss{
		At: 2 * second, Slots: slots, SlotLength: second, Calls: calls, Workers: workers,
		Warmup: worker.Warmup{InitialShare: 0.1, Duration: 9 * second},
	}
	recovery := loss.Recovery()
	assert.Equal(t, []float64{2, 4, 1, 9}, []float64{
		recovery.LostAt, recovery.LastWorkerBackAt, recovery.ShareBefore, recovery.UntilRecovered,
	})
	// By hand: a call takes 200 ms at a factor of one half, which the mean of the two reaches at 7.5 s, the middle of
	// the slot from 7 s. A second offers the work of one core, which both together can do by then.
	assert.Equal(t, 3.0, recovery.UntilRecoveredAtBest)
	assert.InDelta(t, 10.0/4, recovery.RatioToBest, 1e-9)

	loss.Slots = slots[:10]
	never := loss.Recovery()
	assert.Equal(t, -1.0, never.UntilRecovered)
	assert.Zero(t, never.RatioToBest)
}
