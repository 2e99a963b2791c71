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
