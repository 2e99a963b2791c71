package metrics

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/worker"
)

// Two workers with one core each lose power at 2 s. They restart at 3 s and 4 s, and warm up. A call with 100 ms of
// work arrives every 100 ms.
func TestRecoveryTimeIsMeasuredFromTheLastWorkerRestart(t *testing.T) {
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
	workers := []Worker{{1, 3 * second}, {1, 4 * second}}
	loss := PowerLoss{
		At: 2 * second, Slots: slots, SlotLength: second, Calls: calls, Workers: workers,
		Warmup: worker.Warmup{InitialShare: 0.1, Duration: 9 * second},
	}
	recovery := loss.Recovery()
	assert.Equal(t, []float64{2, 4, 1, 9}, []float64{
		recovery.LostAt, recovery.LastWorkerRestartAt, recovery.ValueShareBefore, recovery.RecoveryTime,
	})
	// Calculated by hand: at a warm-up factor of one half, a call takes 200 ms, which is within its objective. The mean
	// factor of both workers reaches one half at 7.5 s, the middle of the slot that begins at 7 s. The load is the work
	// of one core, and both workers together have that capacity by then.
	assert.Equal(t, 3.0, recovery.BestRecoveryTime)
	assert.InDelta(t, 10.0/4, recovery.RatioToBest, 1e-9)

	loss.Slots = slots[:10]
	never := loss.Recovery()
	assert.Equal(t, -1.0, never.RecoveryTime)
	assert.Zero(t, never.RatioToBest)
}
