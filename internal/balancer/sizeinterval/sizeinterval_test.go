package sizeinterval

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer/tick"
)

func TestSizesAreUndividedUntilThereAreEnough(t *testing.T) {
	var s Intervals
	for n := range MinSample {
		assert.Equal(t, Undivided, s.Of(10))
		due := s.Observe(tick.Work(1 + n))
		if due {
			s.Update()
		}
	}
	assert.Len(t, s.CutPoints(), Count-1)
	assert.Equal(t, 0, s.Of(1))
	assert.Equal(t, 1, s.Of(MinSample))
	assert.Equal(t, 1, s.Of(s.CutPoints()[0]), "a cut point is the lower bound of its interval")
	assert.Equal(t, 0, s.Of(s.CutPoints()[0]-1))
}

func TestRestoredSampleCutsAsBefore(t *testing.T) {
	var s, restored Intervals
	for n := range 2 * MaxSample {
		s.Observe(tick.Work(n * 7 % 60))
	}
	s.Update()
	restored.Restore(s.Sample(), s.Observed())
	restored.Update()
	assert.Equal(t, s, restored)
}
