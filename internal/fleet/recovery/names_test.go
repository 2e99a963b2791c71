package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPhaseNumbersAndNames checks the numbers and names of phases: peers rely on the numbers, operators on both.
func TestPhaseNumbersAndNames(t *testing.T) {
	for number, want := range []string{"identity", "list", "others", "trickle", "ramp", "full", "superseded"} {
		assert.Equal(t, want, Phase(number).String())
	}
}

// TestOutageNumbersAndNames checks the numbers and names of outages, which operators rely on.
func TestOutageNumbersAndNames(t *testing.T) {
	for number, want := range []string{"undecided", "alone", "some", "all"} {
		assert.Equal(t, want, Outage(number).String())
	}
}
