package proxy

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
)

// opens opens an ID that need not be claimed, and reports whether it was free.
func opens(t *testing.T, ids *requestIDs, id string) bool {
	t.Helper()
	free, err := ids.open(id)
	assert.NoError(t, err)
	return free
}

func TestRequestIDIsOpenInOneProcessOnly(t *testing.T) {
	var ids requestIDs
	assert.True(t, opens(t, &ids, "a"))
	assert.False(t, opens(t, &ids, "a"))
	ids.applyPredecessor([]string{"b", "c"}, []string{"c"})
	assert.False(t, opens(t, &ids, "b"), "the ID is open in the predecessor")
	assert.True(t, opens(t, &ids, "c"), "the predecessor has closed the ID")
	ids.openMigrated("b")
	ids.close("b")
	assert.True(t, opens(t, &ids, "b"))
	ids.applyPredecessor([]string{"d"}, nil)
	ids.predecessorExited()
	assert.False(t, opens(t, &ids, "d"), "a worker may execute it")
}

func TestRequestIDChangesStartWithOpenIDs(t *testing.T) {
	var ids requestIDs
	opens(t, &ids, "a")
	opened, closed := ids.changes()
	assert.Empty(t, opened, "changes are not tracked yet")
	assert.Empty(t, closed)
	ids.startTracking()
	opens(t, &ids, "b")
	ids.close("a")
	opened, closed = ids.changes()
	assert.Equal(t, []string{"a", "b"}, opened)
	assert.Equal(t, []string{"a"}, closed)
	opened, closed = ids.changes()
	assert.Empty(t, opened)
	assert.Empty(t, closed)
}

// In a hot restart both processes may get a request with the same ID at the same moment. Only one may serve it.
func TestRequestIDIsClaimedFromTheSuccessor(t *testing.T) {
	var predecessor, successor requestIDs
	opens(t, &predecessor, "before")
	successor.addInPredecessor(predecessor.startClaiming(func(id string) (bool, error) { return successor.grant(id), nil }))
	assert.False(t, opens(t, &successor, "before"), "open in the predecessor when the successor starts to serve")
	assert.True(t, opens(t, &predecessor, "a"))
	assert.False(t, opens(t, &successor, "a"), "known at once, not only with the next update")
	assert.True(t, opens(t, &successor, "b"))
	assert.False(t, opens(t, &predecessor, "b"))
	successor.close("b")
	assert.True(t, opens(t, &predecessor, "b"), "a refused claim leaves nothing behind")
	predecessor.close("a")
	assert.True(t, opens(t, &predecessor, "a"), "the successor may not know yet that it was closed")
	predecessor.successorExited()
	opens(t, &successor, "c")
	assert.True(t, opens(t, &predecessor, "c"), "the successor has exited")
}

// If the successor does not answer, nobody knows whether it serves a request with the ID.
func TestRequestIDThatCannotBeClaimedIsNotOpened(t *testing.T) {
	var ids requestIDs
	failure := errors.New("no result")
	ids.startClaiming(func(string) (bool, error) { return false, failure })
	free, err := ids.open("a")
	assert.False(t, free)
	assert.ErrorIs(t, err, failure)
	ids.startClaiming(func(string) (bool, error) { return true, nil })
	assert.True(t, opens(t, &ids, "a"))
}

// A request whose ID cannot be claimed may be running at the successor, so it must not be answered with a rejection,
// which would tell the client that a retry is harmless.
func TestRequestWhoseIDCannotBeClaimedIsNotRejected(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	p.StartClaimingIDs(func(string) (bool, error) { return false, errors.New("no result") })
	assert.Equal(t, 502, serve(p, requestHead("once")).Status)
	assert.Zero(t, p.counters.sent.Load())
}
