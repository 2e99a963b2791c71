package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestLeaveServesForAWhileAndThenIsAway(t *testing.T) {
	var s State
	assert.Equal(t, Serving, s.At(start))
	s.Leave(start)
	assert.Equal(t, Leaving, s.At(after(ServeFor-1)))
	s.Leave(after(ServeFor / 2)) // does not begin it anew
	p := s.At(after(ServeFor))
	assert.Equal(t, Away, p)
	assert.Equal(t, []bool{false, true, false, false, false},
		[]bool{p.Takes(), p.Last(), p.Admits(), p.KeepsIdle(), p.Ends()})
	assert.Less(t, ServeFor, 2*time.Second, "what comes two seconds before the page looks must not be begun")
}

func TestJoinTakesClientsAtOnceHoweverOften(t *testing.T) {
	var s State
	assert.NoError(t, s.Join(start), "without a leave it changes nothing")
	for n := range 3 {
		at := after(time.Duration(n) * 200 * time.Millisecond)
		s.Leave(at)
		assert.False(t, s.At(at).Takes())
		assert.NoError(t, s.Join(at.Add(100*time.Millisecond)))
		assert.Equal(t, Serving, s.At(at.Add(100*time.Millisecond)))
	}
	assert.Equal(t, Serving, s.At(after(time.Hour)), "no leave of before acts late")
}

func TestAProcessThatEndsDoesNotJoin(t *testing.T) {
	var s State
	s.Leave(start)
	s.End(after(time.Second))
	assert.ErrorIs(t, s.Join(after(time.Second)), ErrEnding)
	s.Leave(after(time.Second))
	assert.Equal(t, Ending, s.At(after(time.Minute)))
	s.Stop(after(time.Minute))
	assert.Equal(t, Closing, s.At(after(time.Minute)))
	s.End(after(time.Minute))
	assert.Equal(t, Closing, s.At(after(time.Minute)), "a second signal opens nothing again")
}

// Guards against a dispatcher that is drained, and holds connections anew because it ends.
func TestOneThatIsAwayKeepsNoIdleConnectionWhenItEnds(t *testing.T) {
	var s State
	s.Leave(start)
	s.End(after(ServeFor))
	assert.False(t, s.At(after(ServeFor)).KeepsIdle())
}

func TestNextWakesAtTheChangeByTimeAndByCall(t *testing.T) {
	var s State
	wait, changed := s.Next(start)
	assert.Zero(t, wait)
	s.Leave(start)
	<-changed
	wait, changed = s.Next(after(time.Second))
	assert.Equal(t, ServeFor-time.Second, wait)
	assert.NoError(t, s.Join(after(time.Second)))
	<-changed
}

// Guards against a fleet that sends clients elsewhere while an upgrade goes on, and against nobody accepting.
func TestASuccessorRelievesAndItsDeathResumes(t *testing.T) {
	var s State
	assert.NoError(t, s.Relieve(start))
	p := s.At(start)
	assert.Equal(t, []bool{false, true, false, true, true, true},
		[]bool{
			p.Takes(), p.Healthy(), p.Accepts(), p.Last(),
			p.Admits(), p.KeepsIdle(),
		})
	s.Resume(start)
	assert.Equal(t, Serving, s.At(start))
	assert.NoError(t, s.Relieve(start))
	s.End(start)
	assert.Equal(t, Yielding, s.At(start))
	assert.True(t, s.At(start).Healthy(), "the successor takes clients")
	s.Resume(start)
	assert.Equal(t, Yielding, s.At(start), "it goes on ending")
	s.Stop(start)
	assert.ErrorIs(t, s.Relieve(start), ErrEnding)
	assert.False(t, s.At(start).KeepsIdle())
}
