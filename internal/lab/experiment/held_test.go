package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/store"
)

// Guards against a jump that changes anything but times: the plays with one would blame the clock for it.
func TestJumpMovesTimesAndNothingElse(t *testing.T) {
	path, now := t.TempDir(), time.Now().UnixMilli()
	write := func() *store.Folder {
		disk, _, err := store.OpenFolder(path)
		assert.NoError(t, err)
		return disk
	}
	disk := write()
	s, _ := store.Open(disk, "d1")
	life, err := s.Begin(store.Life{}, 4, 77, false, now)
	assert.NoError(t, err)
	assert.NoError(t, s.Keep([]store.Key{{Sum: 9, Host: "w3", At: now, Until: now + 1000}}, now))
	assert.NoError(t, s.Learn(store.Facts{At: now, Settings: "abc"}))
	assert.NoError(t, s.Leave(true))
	assert.NoError(t, disk.Close())
	assert.NoError(t, jump(path, "d1", time.Hour))
	disk = write()
	defer func() { assert.NoError(t, disk.Close()) }()
	_, found := store.Open(disk, "d1")
	assert.Empty(t, found.Lost)
	assert.False(t, found.KeysBad)
	hour := time.Hour.Milliseconds()
	life.Began, life.Left = now-hour, true
	assert.Equal(t, life, found.Life)
	assert.Equal(t, []store.Key{{Sum: 9, Host: "w3", At: now - hour, Until: now + 1000 - hour}}, found.Keys)
	assert.Equal(t, []any{now - hour, "abc", uint64(1)}, []any{found.Facts.At, found.Facts.Settings, found.Facts.Keys})
}
