package transport

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
)

func TestPoolReusesAConnection(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(2, time.Minute, zerolog.Nop())
	conn := mustGet(t, pool, addr)
	pool.Put(conn)
	assert.Same(t, conn, mustGet(t, pool, addr))
}

// If a message is sent on a closed connection, the dispatcher can't determine whether the worker has processed it.
func TestPoolDoesNotReuseAConnectionThatTheWorkerClosed(t *testing.T) {
	addr, accepted := startWorker(t)
	var log bytes.Buffer
	pool := NewPool(2, time.Minute, zerolog.New(&log))
	conn := mustGet(t, pool, addr)
	pool.Put(conn)
	peertest.Receive(t, accepted).Close()
	assert.Eventually(t, conn.readable, testTimeout, time.Millisecond)
	assert.NotSame(t, conn, mustGet(t, pool, addr))
	assert.Contains(t, log.String(), "peer_closed")
}

func TestPoolDoesNotReuseAConnectionWithUnsolicitedData(t *testing.T) {
	addr, accepted := startWorker(t)
	pool := NewPool(2, time.Minute, zerolog.Nop())
	conn := mustGet(t, pool, addr)
	pool.Put(conn)
	peertest.Receive(t, accepted).Write([]byte("HTTP/1.1 408 Late\r\n\r\n"))
	assert.Eventually(t, conn.readable, testTimeout, time.Millisecond)
	assert.NotSame(t, conn, mustGet(t, pool, addr))
}

func TestIdleConnectionsExpireWellBeforeTheWorkersIdleTimeout(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(2, time.Minute, zerolog.Nop())
	conn := mustGet(t, pool, addr)
	pool.Put(conn)
	conn.idleSince = time.Now().Add(-30 * time.Second)
	assert.Equal(t, []*Conn{conn}, pool.removeExpired())
	assert.Empty(t, pool.removeExpired())
}

func TestConnectionSettlesBeforeItIsReused(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(4, time.Minute, zerolog.Nop())
	conn := mustGet(t, pool, addr)
	pool.Put(conn)
	for _, policy := range []ReusePolicy{Settled, SettledUnlessSuspect} {
		assert.NotSame(t, conn, mustGetWithPolicy(t, pool, addr, policy))
	}
	conn.idleSince = conn.idleSince.Add(-SettleTime)
	assert.Same(t, conn, mustGetWithPolicy(t, pool, addr, Settled))
}

func TestClosedPoolLeavesNoConnectionOpen(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(2, time.Minute, zerolog.Nop())
	idle, inUse := mustGet(t, pool, addr), mustGet(t, pool, addr)
	pool.Put(idle)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, pool.Run(ctx))
	pool.Put(inUse)
	assert.Empty(t, pool.idle)
	assert.Empty(t, pool.slots)
}
