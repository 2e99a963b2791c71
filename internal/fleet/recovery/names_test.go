package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPhaseNumbersAndNames pins the phases: peers receive the numbers, operators read both.
func TestPhaseNumbersAndNames(t *testing.T) {
	for number, want := range []string{"identity", "list", "others", "trickle", "ramp", "full", "superseded"} {
		assert.Equal(t, want, Phase(number).String())
	}
}

// TestOutageNumbersAndNames pins the kinds of outage, of which operators read the number and the name.
func TestOutageNumbersAndNames(t *testing.T) {
	for number, want := range []string{"undecided", "alone", "some", "all"} {
		assert.Equal(t, want, Outage(number).String())
	}
}
