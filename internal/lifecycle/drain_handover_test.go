package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A command that runs while a successor starts must reach it, because the successor has an older snapshot.
func TestSuccessorIsToldADrainThatChangedWhileItStarted(t *testing.T) {
	for _, c := range []struct {
		name                    string
		whenConnected, atServes bool
		want                    bool
	}{
		{"never drained", false, false, false},
		{"LEAVE while it starts", false, true, true},
		{"drained before", true, true, false},
		{"JOIN while it starts", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h DrainHandover
			h.SuccessorConnected(c.whenConnected)
			assert.True(t, h.RunsHere(), "the successor may not start at all")
			assert.Equal(t, c.want, h.SuccessorServing(c.atServes))
			assert.False(t, h.RunsHere())
			h.SuccessorExited()
			assert.True(t, h.RunsHere())
		})
	}
}

// A second successor gets a snapshot of its own: what the first one was told does not count.
func TestSecondSuccessorIsComparedWithItsOwnSnapshot(t *testing.T) {
	var h DrainHandover
	h.SuccessorConnected(false)
	assert.True(t, h.SuccessorServing(true))
	h.SuccessorExited()
	h.SuccessorConnected(true)
	assert.False(t, h.SuccessorServing(true))
}
