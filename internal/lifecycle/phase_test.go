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

// phaseAnswers are the answers of a phase to each question about it.
type phaseAnswers struct {
	takesClients        bool
	healthy             bool
	acceptsConnections  bool
	closesAfterResponse bool
	admitsRequests      bool
	keepsIdle           bool
	isStopping          bool
}

// phaseTable is what each phase allows. Two invariants show in it: in each phase either this process or its successor
// accepts connections, and a dispatcher is healthy all through a hot restart.
var phaseTable = []struct {
	phase Phase
	want  phaseAnswers
}{
	{Serving, phaseAnswers{
		takesClients:       true,
		healthy:            true,
		acceptsConnections: true,
		admitsRequests:     true,
		keepsIdle:          true,
	}},
	{Draining, phaseAnswers{
		acceptsConnections:  true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
	}},
	{Drained, phaseAnswers{
		acceptsConnections:  true,
		closesAfterResponse: true,
	}},
	{HandedOff, phaseAnswers{
		healthy:             true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
	}},
	{Stopping, phaseAnswers{
		acceptsConnections:  true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
		isStopping:          true,
	}},
	{StoppingHandedOff, phaseAnswers{
		healthy:             true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
		isStopping:          true,
	}},
	{Closing, phaseAnswers{
		acceptsConnections:  true,
		closesAfterResponse: true,
		admitsRequests:      true,
		isStopping:          true,
	}},
}

func TestWhatEachPhaseAllows(t *testing.T) {
	for _, c := range phaseTable {
		t.Run(c.phase.String(), func(t *testing.T) {
			p := c.phase
			assert.Equal(t, c.want, phaseAnswers{
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
