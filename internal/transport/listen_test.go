package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Clients that come beyond a shrunk backlog wait outside; they aren't reset.
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
	assert.True(t, isTimeout(dial()), "no answer, rather than a refusal")
	ln.SetDeadline(time.Now().Add(testTimeout))
	for range 3 {
		conn, err := ln.Accept()
		assert.NoError(t, err, "those that were queued are still there")
		conn.Close()
	}
}
