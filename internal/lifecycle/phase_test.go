package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPhaseWords pins the words that operators read in answers and in the log, in the order of the phases.
func TestPhaseWords(t *testing.T) {
	for n, want := range []string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"} {
		assert.Equal(t, want, Phase(n).String())
	}
	assert.EqualError(t, ErrStopping, "the process ends")
}

// TestWhatEachPhaseAllows is the table of phases. Two invariants show in it: in each phase either this process or its
// successor accepts connections, and a dispatcher is healthy all through a hot restart.
func TestWhatEachPhaseAllows(t *testing.T) {
	type answers struct {
		takesClients        bool
		healthy             bool
		acceptsConnections  bool
		closesAfterResponse bool
		admitsRequests      bool
		keepsIdle           bool
		isStopping          bool
	}
	for _, c := range []struct {
		phase Phase
		want  answers
	}{
		{Serving, answers{
			takesClients:       true,
			healthy:            true,
			acceptsConnections: true,
			admitsRequests:     true,
			keepsIdle:          true,
		}},
		{Draining, answers{
			acceptsConnections:  true,
			closesAfterResponse: true,
			admitsRequests:      true,
			keepsIdle:           true,
		}},
		{Drained, answers{
			acceptsConnections:  true,
			closesAfterResponse: true,
		}},
		{HandedOff, answers{
			healthy:             true,
			closesAfterResponse: true,
			admitsRequests:      true,
			keepsIdle:           true,
		}},
		{Stopping, answers{
			acceptsConnections:  true,
			closesAfterResponse: true,
			admitsRequests:      true,
			keepsIdle:           true,
			isStopping:          true,
		}},
		{StoppingHandedOff, answers{
			healthy:             true,
			closesAfterResponse: true,
			admitsRequests:      true,
			keepsIdle:           true,
			isStopping:          true,
		}},
		{Closing, answers{
			acceptsConnections:  true,
			closesAfterResponse: true,
			admitsRequests:      true,
			isStopping:          true,
		}},
	} {
		t.Run(c.phase.String(), func(t *testing.T) {
			p := c.phase
			assert.Equal(t, c.want, answers{
				takesClients:        p.TakesClients(),
				healthy:             p.Healthy(),
				acceptsConnections:  p.AcceptsConnections(),
				closesAfterResponse: p.ClosesAfterResponse(),
				admitsRequests:      p.AdmitsRequests(),
				keepsIdle:           p.KeepsIdleConnections(),
				isStopping:          p.IsStopping(),
			})
		})
	}
}
