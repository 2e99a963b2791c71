package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPhaseNumbersAndWords pins the phases of a return: other members are told the numbers, operators both.
func TestPhaseNumbersAndWords(t *testing.T) {
	for n, want := range []string{"identity", "list", "others", "trickle", "ramp", "full", "superseded"} {
		assert.Equal(t, want, Phase(n).String())
	}
}

// TestCaseNumbersAndWords pins who was away, as operators are told it by number and by word.
func TestCaseNumbersAndWords(t *testing.T) {
	for n, want := range []string{"undecided", "alone", "some", "all"} {
		assert.Equal(t, want, Outage(n).String())
	}
}
