package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startTime is the time at which each test starts.
var startTime = time.Unix(1000, 0)

// after returns startTime plus a duration.
func after(elapsed time.Duration) time.Time { return startTime.Add(elapsed) }

func TestDrainReachesDrainedAfterGracePeriod(t *testing.T) {
	var s State
	assert.Equal(t, Serving, s.PhaseAt(startTime))
	s.Drain(startTime)
	assert.Equal(t, Draining, s.PhaseAt(after(DrainGrace-1)))
	s.Drain(after(DrainGrace / 2)) // does not restart DrainGrace
	assert.Equal(t, Drained, s.PhaseAt(after(DrainGrace)))
	assert.Less(t, DrainGrace, 2*time.Second, "the platform's limit on admitting requests after LEAVE")
}

func TestRepeatedRejoinReturnsToServingImmediately(t *testing.T) {
	var s State
	assert.NoError(t, s.Rejoin(startTime), "without a drain it changes nothing")
	for n := range 3 {
		now := after(time.Duration(n) * 200 * time.Millisecond)
		s.Drain(now)
		assert.False(t, s.PhaseAt(now).AcceptsNewClients())
		assert.NoError(t, s.Rejoin(now.Add(100*time.Millisecond)))
		assert.Equal(t, Serving, s.PhaseAt(now.Add(100*time.Millisecond)))
	}
	assert.Equal(t, Serving, s.PhaseAt(after(time.Hour)), "an earlier drain must not take effect later")
}

func TestStoppingProcessRejectsRejoin(t *testing.T) {
	var s State
	s.Drain(startTime)
	s.Stop(after(time.Second))
	assert.ErrorIs(t, s.Rejoin(after(time.Second)), ErrStopping)
	s.Drain(after(time.Second))
	assert.Equal(t, Stopping, s.PhaseAt(after(time.Minute)))
	s.BeginClosing(after(time.Minute))
	assert.Equal(t, Closing, s.PhaseAt(after(time.Minute)))
	s.Stop(after(time.Minute))
	assert.Equal(t, Closing, s.PhaseAt(after(time.Minute)), "a second signal does not revert the phase")
}

// Stopping a drained dispatcher must not make it keep idle connections again.
func TestDrainedProcessKeepsNoIdleConnectionWhenItStops(t *testing.T) {
	var s State
	s.Drain(startTime)
	s.Stop(after(DrainGrace))
	assert.False(t, s.PhaseAt(after(DrainGrace)).KeepsIdleConnections())
}

func TestNextChangeReportsGracePeriodAndSignalsCalls(t *testing.T) {
	var s State
	wait, changed := s.NextChange(startTime)
	assert.Zero(t, wait)
	s.Drain(startTime)
	<-changed
	wait, changed = s.NextChange(after(time.Second))
	assert.Equal(t, DrainGrace-time.Second, wait)
	assert.NoError(t, s.Rejoin(after(time.Second)))
	<-changed
}

func TestResumeServingRevertsHandOffUnlessStopping(t *testing.T) {
	var s State
	assert.NoError(t, s.HandOff(startTime))
	assert.Equal(t, HandedOff, s.PhaseAt(startTime))
	s.ResumeServing(startTime)
	assert.Equal(t, Serving, s.PhaseAt(startTime))
	assert.NoError(t, s.HandOff(startTime))
	s.Stop(startTime)
	assert.Equal(t, StoppingHandedOff, s.PhaseAt(startTime))
	s.ResumeServing(startTime)
	assert.Equal(t, StoppingHandedOff, s.PhaseAt(startTime), "it continues to stop")
	s.BeginClosing(startTime)
	assert.ErrorIs(t, s.HandOff(startTime), ErrStopping)
	assert.Equal(t, Closing, s.PhaseAt(startTime))
}

// A drain applies to the open connections of a process with a successor too, and outlives the successor.
func TestDrainAppliesToAProcessWithASuccessor(t *testing.T) {
	var s State
	assert.NoError(t, s.HandOff(startTime))
	s.Drain(startTime)
	assert.True(t, s.IsDrained())
	assert.Equal(t, Draining, s.PhaseAt(startTime))
	assert.Equal(t, Drained, s.PhaseAt(after(DrainGrace)))
	assert.NoError(t, s.Rejoin(after(DrainGrace)))
	assert.Equal(t, HandedOff, s.PhaseAt(after(DrainGrace)), "the successor still serves")
	s.Drain(after(DrainGrace))
	s.ResumeServing(after(DrainGrace))
	assert.Equal(t, Draining, s.PhaseAt(after(DrainGrace)))
	assert.NoError(t, s.Rejoin(after(2*DrainGrace)))
	assert.Equal(t, Serving, s.PhaseAt(after(2*DrainGrace)))
}

func TestDrainLastsWhenTheProcessStops(t *testing.T) {
	var s State
	s.Drain(startTime)
	s.Stop(startTime)
	assert.True(t, s.IsDrained())
	assert.Equal(t, Stopping, s.PhaseAt(startTime))
}
