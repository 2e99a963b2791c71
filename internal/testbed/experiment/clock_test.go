package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/store"
)

// If shiftClock changed more than timestamps, experiments with a clock jump would fail for an unrelated reason.
func TestShiftClockChangesOnlyTimes(t *testing.T) {
	path, now := t.TempDir(), time.Now().UnixMilli()
	open := func() *store.Folder {
		folder, err := store.OpenFolder(path)
		assert.NoError(t, err)
		return folder
	}
	disk := open()
	state, _ := store.Open(disk, "d1")
	incarnation, err := state.Begin(store.BeginOptions{MinNumber: 4, Nonce: 77, At: now})
	assert.NoError(t, err)
	assert.NoError(t, state.AppendKeys([]store.Key{{Sum: 9, Worker: "w3", SentAt: now, ExpiresAt: now + 1000}}, now))
	assert.NoError(t, state.SaveState(store.State{WrittenAt: now, SettingsHash: "abc"}))
	assert.NoError(t, state.MarkDrained())
	assert.NoError(t, disk.Close())
	assert.NoError(t, shiftClock(path, "d1", time.Hour))
	disk = open()
	defer func() { assert.NoError(t, disk.Close()) }()
	_, found := store.Open(disk, "d1")
	assert.Empty(t, found.Errors)
	assert.False(t, found.KeysSuspect)
	hour := time.Hour.Milliseconds()
	incarnation.StartedAt, incarnation.Drained = now-hour, true
	assert.Equal(t, incarnation, found.Incarnation)
	assert.Equal(t, []store.Key{{Sum: 9, Worker: "w3", SentAt: now - hour, ExpiresAt: now + 1000 - hour}}, found.Keys)
	assert.Equal(t, []any{now - hour, "abc", uint64(1)}, []any{found.State.WrittenAt, found.State.SettingsHash, found.State.PersistedKeys})
}
