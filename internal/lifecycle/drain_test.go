package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestLeaveServesForAWhileAndThenIsAway(t *testing.T) {
	var s State
	assert.Equal(t, Serving, s.PhaseAt(start))
	s.Drain(start)
	assert.Equal(t, Draining, s.PhaseAt(after(AcceptAfterStop-1)))
	s.Drain(after(AcceptAfterStop / 2)) // does not begin it anew
	p := s.PhaseAt(after(AcceptAfterStop))
	assert.Equal(t, Drained, p)
	assert.Equal(t, []bool{false, true, false, false, false},
		[]bool{p.TakesClients(), p.ClosesAfterResponse(), p.AdmitsRequests(), p.KeepsIdleConnections(), p.IsStopping()})
	assert.Less(t, AcceptAfterStop, 2*time.Second, "what comes two seconds before the page looks must not be begun")
}

func TestJoinTakesClientsAtOnceHoweverOften(t *testing.T) {
	var s State
	assert.NoError(t, s.Rejoin(start), "without a leave it changes nothing")
	for n := range 3 {
		at := after(time.Duration(n) * 200 * time.Millisecond)
		s.Drain(at)
		assert.False(t, s.PhaseAt(at).TakesClients())
		assert.NoError(t, s.Rejoin(at.Add(100*time.Millisecond)))
		assert.Equal(t, Serving, s.PhaseAt(at.Add(100*time.Millisecond)))
	}
	assert.Equal(t, Serving, s.PhaseAt(after(time.Hour)), "no leave of before acts late")
}

func TestAProcessThatEndsDoesNotJoin(t *testing.T) {
	var s State
	s.Drain(start)
	s.Stop(after(time.Second))
	assert.ErrorIs(t, s.Rejoin(after(time.Second)), ErrStopping)
	s.Drain(after(time.Second))
	assert.Equal(t, Stopping, s.PhaseAt(after(time.Minute)))
	s.CloseIdle(after(time.Minute))
	assert.Equal(t, Closing, s.PhaseAt(after(time.Minute)))
	s.Stop(after(time.Minute))
	assert.Equal(t, Closing, s.PhaseAt(after(time.Minute)), "a second signal opens nothing again")
}

// Guards against a dispatcher that is drained, and holds connections anew because it ends.
func TestOneThatIsAwayKeepsNoIdleConnectionWhenItEnds(t *testing.T) {
	var s State
	s.Drain(start)
	s.Stop(after(AcceptAfterStop))
	assert.False(t, s.PhaseAt(after(AcceptAfterStop)).KeepsIdleConnections())
}

func TestNextWakesAtTheChangeByTimeAndByCall(t *testing.T) {
	var s State
	wait, changed := s.NextChange(start)
	assert.Zero(t, wait)
	s.Drain(start)
	<-changed
	wait, changed = s.NextChange(after(time.Second))
	assert.Equal(t, AcceptAfterStop-time.Second, wait)
	assert.NoError(t, s.Rejoin(after(time.Second)))
	<-changed
}

// Guards against a fleet that sends clients elsewhere while an upgrade goes on, and against nobody accepting.
func TestASuccessorRelievesAndItsDeathResumes(t *testing.T) {
	var s State
	assert.NoError(t, s.HandOff(start))
	p := s.PhaseAt(start)
	assert.Equal(t, []bool{false, true, false, true, true, true},
		[]bool{
			p.TakesClients(), p.Healthy(), p.AcceptsConnections(), p.ClosesAfterResponse(),
			p.AdmitsRequests(), p.KeepsIdleConnections(),
		})
	s.TakeBack(start)
	assert.Equal(t, Serving, s.PhaseAt(start))
	assert.NoError(t, s.HandOff(start))
	s.Stop(start)
	assert.Equal(t, StoppingHandedOff, s.PhaseAt(start))
	assert.True(t, s.PhaseAt(start).Healthy(), "the successor takes clients")
	s.TakeBack(start)
	assert.Equal(t, StoppingHandedOff, s.PhaseAt(start), "it goes on ending")
	s.CloseIdle(start)
	assert.ErrorIs(t, s.HandOff(start), ErrStopping)
	assert.False(t, s.PhaseAt(start).KeepsIdleConnections())
}
