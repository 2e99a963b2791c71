package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Connection attempts beyond a shrunk backlog must time out rather than be reset, so that clients retry them.
func TestShrunkBacklogQueuesOneMoreAtMost(t *testing.T) {
	ln := listenLoopback(t)
	defer ln.Close()
	dial := func() error {
		conn, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { conn.Close() })
		}
		return err
	}
	for range 3 {
		assert.NoError(t, dial())
	}
	assert.NoError(t, shrinkBacklog(ln))
	assert.True(t, isTimeout(dial()), "the attempt times out and is not refused")
	ln.SetDeadline(time.Now().Add(testTimeout))
	for range 3 {
		conn, err := ln.Accept()
		assert.NoError(t, err, "queued connections remain in the queue")
		conn.Close()
	}
}
