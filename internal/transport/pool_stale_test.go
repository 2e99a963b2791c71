package transport

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
)

func TestInvalidateClosesConnectionsInUseOncePut(t *testing.T) {
	addr, _ := startWorker(t)
	var log bytes.Buffer
	pool := NewPool(2, time.Minute, zerolog.New(&log))
	idle, inUse := mustGet(t, pool, addr), mustGet(t, pool, addr)
	pool.Put(idle)
	pool.Invalidate(addr)
	pool.Put(inUse)
	assert.Empty(t, pool.idle)
	assert.Equal(t, 2, bytes.Count(log.Bytes(), []byte("stale_retired")))
	mustGet(t, pool, addr)
	mustGet(t, pool, addr)
}

func TestDialIsNotUsedOnceItsAddressIsInvalidated(t *testing.T) {
	addr, accepted := startWorker(t)
	var log bytes.Buffer
	pool := NewPool(2, time.Minute, zerolog.New(&log))
	var once sync.Once
	pool.testHooks.afterDial = func() { once.Do(func() { pool.Invalidate(addr) }) }
	conn := mustGet(t, pool, addr)
	assert.Contains(t, log.String(), "stale_retired")
	first := peertest.Receive(t, accepted)
	assert.NotEqual(t, first.RemoteAddr(), conn.nc.LocalAddr(), "the first may lead to a previous worker process")
	assert.Equal(t, 1, pool.OpenConnections())
	pool.Put(conn)
	assert.Same(t, conn, mustGet(t, pool, addr), "the second connection is reused")
	assert.Empty(t, pool.dialing)
}

func TestInterruptOpenedBeforeInterruptsOlderConnections(t *testing.T) {
	addr, _ := startWorker(t)
	var log bytes.Buffer
	pool := NewPool(2, time.Minute, zerolog.New(&log))
	older, newer := mustGet(t, pool, addr), mustGet(t, pool, addr)
	older.openedAt = time.Now().Add(-time.Minute)
	pool.InterruptOpenedBefore(addr, time.Now().Add(-time.Second))
	_, err := older.ReadResponseHead()
	assert.Equal(t, TimedOut, CloseReasonOf(err), "the read is interrupted")
	older.CloseFor(CloseReasonOf(err), err)
	assert.Contains(t, log.String(), "stale_retired")
	newer.SetReadTimeout(10 * time.Millisecond)
	_, err = newer.ReadResponseHead()
	assert.Error(t, err)
	assert.False(t, newer.peerProcessEnded.Load())
}

func TestInterruptedConnectionIsNotReused(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(2, time.Minute, zerolog.Nop())
	conn := mustGet(t, pool, addr)
	pool.InterruptOpenedBefore(addr, time.Now().Add(time.Hour))
	pool.Put(conn)
	assert.Empty(t, pool.idle)
	assert.NotSame(t, conn, mustGet(t, pool, addr))
}

// A worker may close a reused connection while a message that must not be sent twice is being sent on it.
func TestSuspectConnectionsAreNotReusedWithSettledUnlessSuspect(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(4, time.Minute, zerolog.Nop())
	putSettled := func(conn *Conn) {
		pool.Put(conn)
		conn.idleSince = time.Now().Add(-SettleTime)
	}
	conn := mustGetWithPolicy(t, pool, addr, SettledUnlessSuspect)
	putSettled(conn)
	assert.Same(t, conn, mustGetWithPolicy(t, pool, addr, SettledUnlessSuspect), "reused connections are not suspect")
	putSettled(conn)
	pool.MarkSuspect("127.0.0.9:1")
	assert.NotSame(t, conn, mustGetWithPolicy(t, pool, addr, SettledUnlessSuspect))
	assert.Same(t, conn, mustGetWithPolicy(t, pool, addr, Settled))
	putSettled(conn)
	pool.MarkSuspect(addr)
	assert.NotSame(t, conn, mustGet(t, pool, addr), "the idle connections to the address were closed")
}
