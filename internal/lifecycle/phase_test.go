package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPhaseWords pins the words that operators read in answers and in the log, by the numbers of the phases.
func TestPhaseWords(t *testing.T) {
	for n, want := range []string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"} {
		assert.Equal(t, want, Phase(n).String())
	}
	assert.EqualError(t, ErrStopping, "the process ends")
}

// TestWhatEachPhaseAllows is the table of phases. Somebody accepts connections at any time, and clients are not sent
// elsewhere during a hot restart: Healthy and AcceptsConnections show that.
func TestWhatEachPhaseAllows(t *testing.T) {
	type answers struct {
		takesClients, healthy, acceptsConnections, closesAfterResponse, admitsRequests, keepsIdle, isStopping bool
	}
	for _, c := range []struct {
		phase Phase
		want  answers
	}{
		{Serving, answers{true, true, true, false, true, true, false}},
		{Draining, answers{false, false, true, true, true, true, false}},
		{Drained, answers{false, false, true, true, false, false, false}},
		{HandedOff, answers{false, true, false, true, true, true, false}},
		{Stopping, answers{false, false, true, true, true, true, true}},
		{StoppingHandedOff, answers{false, true, false, true, true, true, true}},
		{Closing, answers{false, false, true, true, true, false, true}},
	} {
		t.Run(c.phase.String(), func(t *testing.T) {
			p := c.phase
			assert.Equal(t, c.want, answers{
				p.TakesClients(), p.Healthy(), p.AcceptsConnections(), p.ClosesAfterResponse(), p.AdmitsRequests(),
				p.KeepsIdleConnections(), p.IsStopping(),
			})
		})
	}
}
