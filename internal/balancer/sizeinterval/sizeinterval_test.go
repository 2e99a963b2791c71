package sizeinterval

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

func TestIntervalOfIsUndividedBelowMinSample(t *testing.T) {
	var intervals Intervals
	for n := range MinSample {
		assert.Equal(t, Undivided, intervals.IntervalOf(10))
		due := intervals.Observe(tick.Work(1 + n))
		if due {
			intervals.Update()
		}
	}
	assert.Len(t, intervals.CutPoints(), Count-1)
	assert.Equal(t, 0, intervals.IntervalOf(1))
	assert.Equal(t, 1, intervals.IntervalOf(MinSample))
	assert.Equal(t, 1, intervals.IntervalOf(intervals.CutPoints()[0]), "a cut point is the lower bound of its interval")
	assert.Equal(t, 0, intervals.IntervalOf(intervals.CutPoints()[0]-1))
}

func TestRestoredSampleGivesSameCutPoints(t *testing.T) {
	var intervals, restored Intervals
	for n := range 2 * MaxSample {
		intervals.Observe(tick.Work(n * 7 % 60))
	}
	intervals.Update()
	restored.Restore(intervals.Sample(), intervals.Observed())
	restored.Update()
	assert.Equal(t, intervals, restored)
}
