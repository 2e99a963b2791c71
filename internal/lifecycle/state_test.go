package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// start is when the states of the tests begin.
var start = time.Unix(1000, 0)

// after returns the time that is a duration after start.
func after(elapsed time.Duration) time.Time { return start.Add(elapsed) }

func TestDrainServesForAWhileAndThenIsDrained(t *testing.T) {
	var s State
	assert.Equal(t, Serving, s.PhaseAt(start))
	s.Drain(start)
	assert.Equal(t, Draining, s.PhaseAt(after(DrainGrace-1)))
	s.Drain(after(DrainGrace / 2)) // does not begin again
	assert.Equal(t, Drained, s.PhaseAt(after(DrainGrace)))
	assert.Less(t, DrainGrace, 2*time.Second, "the platform's limit on admitting requests after LEAVE")
}

func TestRejoinTakesClientsAtOnceHoweverOften(t *testing.T) {
	var s State
	assert.NoError(t, s.Rejoin(start), "without a drain it changes nothing")
	for n := range 3 {
		now := after(time.Duration(n) * 200 * time.Millisecond)
		s.Drain(now)
		assert.False(t, s.PhaseAt(now).TakesClients())
		assert.NoError(t, s.Rejoin(now.Add(100*time.Millisecond)))
		assert.Equal(t, Serving, s.PhaseAt(now.Add(100*time.Millisecond)))
	}
	assert.Equal(t, Serving, s.PhaseAt(after(time.Hour)), "no earlier drain takes effect late")
}

func TestStoppingProcessDoesNotRejoin(t *testing.T) {
	var s State
	s.Drain(start)
	s.Stop(after(time.Second))
	assert.ErrorIs(t, s.Rejoin(after(time.Second)), ErrStopping)
	s.Drain(after(time.Second))
	assert.Equal(t, Stopping, s.PhaseAt(after(time.Minute)))
	s.BeginClosing(after(time.Minute))
	assert.Equal(t, Closing, s.PhaseAt(after(time.Minute)))
	s.Stop(after(time.Minute))
	assert.Equal(t, Closing, s.PhaseAt(after(time.Minute)), "a second signal takes nothing back")
}

// A drained dispatcher must not hold connections again because it ends.
func TestDrainedProcessKeepsNoIdleConnectionWhenItStops(t *testing.T) {
	var s State
	s.Drain(start)
	s.Stop(after(DrainGrace))
	assert.False(t, s.PhaseAt(after(DrainGrace)).KeepsIdleConnections())
}

func TestNextChangeByTimeAndByCall(t *testing.T) {
	var s State
	wait, changed := s.NextChange(start)
	assert.Zero(t, wait)
	s.Drain(start)
	<-changed
	wait, changed = s.NextChange(after(time.Second))
	assert.Equal(t, DrainGrace-time.Second, wait)
	assert.NoError(t, s.Rejoin(after(time.Second)))
	<-changed
}

func TestHandOffAndTakeBack(t *testing.T) {
	var s State
	assert.NoError(t, s.HandOff(start))
	assert.Equal(t, HandedOff, s.PhaseAt(start))
	s.TakeBack(start)
	assert.Equal(t, Serving, s.PhaseAt(start))
	assert.NoError(t, s.HandOff(start))
	s.Stop(start)
	assert.Equal(t, StoppingHandedOff, s.PhaseAt(start))
	s.TakeBack(start)
	assert.Equal(t, StoppingHandedOff, s.PhaseAt(start), "it continues to stop")
	s.BeginClosing(start)
	assert.ErrorIs(t, s.HandOff(start), ErrStopping)
	assert.Equal(t, Closing, s.PhaseAt(start))
}
