package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRequestIDIsOpenInOneProcessOnly(t *testing.T) {
	var ids requestIDs
	assert.True(t, ids.open("a"))
	assert.False(t, ids.open("a"))
	ids.applySibling([]string{"b", "c"}, []string{"c"})
	assert.False(t, ids.open("b"), "the ID is open in the sibling")
	assert.True(t, ids.open("c"), "the sibling has closed the ID")
	ids.openMigrated("b")
	ids.close("b")
	assert.True(t, ids.open("b"))
	ids.applySibling([]string{"d"}, nil)
	ids.forgetSibling()
	assert.True(t, ids.open("d"))
}

func TestRequestIDChangesStartWithOpenIDs(t *testing.T) {
	var ids requestIDs
	ids.open("a")
	opened, closed := ids.changes()
	assert.Empty(t, opened, "changes are not tracked yet")
	assert.Empty(t, closed)
	ids.startTracking()
	ids.open("b")
	ids.close("a")
	opened, closed = ids.changes()
	assert.Equal(t, []string{"a", "b"}, opened)
	assert.Equal(t, []string{"a"}, closed)
	opened, closed = ids.changes()
	assert.Empty(t, opened)
	assert.Empty(t, closed)
}
