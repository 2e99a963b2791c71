package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPhaseString checks the names that operators read in responses and in the log, in the order of the phases.
func TestPhaseString(t *testing.T) {
	for n, want := range []string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"} {
		assert.Equal(t, want, Phase(n).String())
	}
	assert.EqualError(t, ErrStopping, "the process ends")
}

// phaseProperties are the results of the methods of a Phase.
type phaseProperties struct {
	acceptsNewClients   bool
	healthy             bool
	acceptsConnections  bool
	closesAfterResponse bool
	admitsRequests      bool
	keepsIdle           bool
	isStopping          bool
}

// phaseTestCases has the properties of each phase. It shows two invariants: in each phase either this process or its
// successor accepts connections, and a dispatcher stays healthy throughout a hot restart.
var phaseTestCases = []struct {
	phase Phase
	want  phaseProperties
}{
	{Serving, phaseProperties{
		acceptsNewClients:  true,
		healthy:            true,
		acceptsConnections: true,
		admitsRequests:     true,
		keepsIdle:          true,
	}},
	{Draining, phaseProperties{
		acceptsConnections:  true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
	}},
	{Drained, phaseProperties{
		acceptsConnections:  true,
		closesAfterResponse: true,
	}},
	{HandedOff, phaseProperties{
		healthy:             true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
	}},
	{Stopping, phaseProperties{
		acceptsConnections:  true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
		isStopping:          true,
	}},
	{StoppingHandedOff, phaseProperties{
		healthy:             true,
		closesAfterResponse: true,
		admitsRequests:      true,
		keepsIdle:           true,
		isStopping:          true,
	}},
	{Closing, phaseProperties{
		acceptsConnections:  true,
		closesAfterResponse: true,
		admitsRequests:      true,
		isStopping:          true,
	}},
}

func TestPhaseProperties(t *testing.T) {
	for _, c := range phaseTestCases {
		t.Run(c.phase.String(), func(t *testing.T) {
			p := c.phase
			assert.Equal(t, c.want, phaseProperties{
				acceptsNewClients:   p.AcceptsNewClients(),
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
