package proxy

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// A client may send the ID of a request again after it has left. A request that must not be executed twice is then
// refused, because its first attempt may have been executed.
func TestIDOfARequestWhoseClientLeftIsNotServedAgain(t *testing.T) {
	for _, c := range []struct {
		operation string
		want      int // status of the second request
	}{{"once", 409}, {"idem", 200}} {
		t.Run(c.operation, func(t *testing.T) {
			address, attempts := startCountingWorker(t)
			hanging, received := startHangingWorker(t)
			p := newProxy(hanging)
			ctx, leave := context.WithCancel(t.Context())
			first := startServe(ctx, p, requestHead(c.operation))
			assert.True(t, peertest.Receive(t, received))
			leave()
			assert.Nil(t, peertest.Receive(t, first))
			updateWorker(t, p, `"dial":"`+address+`","health":"Ready"`)
			assert.Equal(t, c.want, serve(p, requestHead(c.operation)).Status)
			assert.Equal(t, c.want == 200, attempts.Load() == 1)
		})
	}
}

// If the client leaves before it has read the response, it may send the ID again too.
func TestIDOfAnExecutedRequestIsNotServedAgain(t *testing.T) {
	address, attempts := startCountingWorker(t)
	p := newProxy(address)
	assert.Equal(t, 200, serve(p, requestHead("once")).Status)
	assert.Equal(t, 409, serve(p, requestHead("once")).Status)
	assert.Equal(t, int32(1), attempts.Load())
}

// A request that was never executed may be sent again with the same ID.
func TestIDOfARejectedRequestIsServedAgain(t *testing.T) {
	address, attempts := startCountingWorker(t)
	p := newProxy(peertest.StartServer(t, peertest.RespondWith(declinedText)))
	assert.Equal(t, 429, serve(p, requestHead("once")).Status)
	updateWorker(t, p, `"dial":"`+address+`","health":"Ready"`)
	assert.Equal(t, 200, serve(p, requestHead("once")).Status)
	assert.Equal(t, int32(1), attempts.Load())
}

// The IDs in use of a process must stay in use when the process exits: a client may send one again to its successor.
func TestIDsInUseAreRetainedWhenThePredecessorExits(t *testing.T) {
	var ids requestIDs
	ids.addInPredecessor([]string{"a", "b"})
	ids.openMigrated("b")
	ids.predecessorExited()
	assert.False(t, opens(t, &ids, "a"))
	ids.close("b")
	assert.True(t, opens(t, &ids, "b"), "it was moved to this process, and has ended here")
}

func TestRetainedIDsExpire(t *testing.T) {
	now := time.Now()
	var retained retainedIDs
	retained.add("a", now)
	retained.add("b", now.Add(time.Second))
	assert.Empty(t, retained.takeExpired(now.Add(idRetention-1)))
	assert.Equal(t, []string{"a"}, retained.takeExpired(now.Add(idRetention)))
	assert.Equal(t, []string{"b"}, retained.takeExpired(now.Add(idRetention+time.Second)))
	assert.Zero(t, retained.bytes)
}

// However many IDs are retained, and however long they are, their memory is limited.
func TestRetainedIDsTakeLimitedMemory(t *testing.T) {
	const longest = protocol.MaxHeadBytes
	var retained retainedIDs
	now := time.Now()
	for range 2 * maxRetainedIDBytes / longest {
		retained.add(strings.Repeat("x", longest), now)
		retained.takeExpired(now)
		assert.LessOrEqual(t, retained.bytes, maxRetainedIDBytes)
	}
	assert.Greater(t, retained.bytes, maxRetainedIDBytes-2*longest)
}
