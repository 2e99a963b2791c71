package transport

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

func TestCloseIdleClosesConnectionsInUseOncePut(t *testing.T) {
	addr, _ := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	idle, inUse := mustGet(t, p, addr), mustGet(t, p, addr)
	p.Put(idle)
	p.CloseIdle(addr)
	p.Put(inUse)
	assert.Empty(t, p.idle)
	assert.Equal(t, 2, bytes.Count(log.Bytes(), []byte("stale_retired")))
	mustGet(t, p, addr)
	mustGet(t, p, addr)
}

func TestDialIsNotUsedOnceItsAddressIsInvalidated(t *testing.T) {
	addr, accepted := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	var once sync.Once
	p.testHooks.afterDial = func() { once.Do(func() { p.CloseIdle(addr) }) }
	c := mustGet(t, p, addr)
	assert.Contains(t, log.String(), "stale_retired")
	first := receive(t, accepted)
	assert.NotEqual(t, first.RemoteAddr(), c.nc.LocalAddr(), "it may lead to the worker's predecessor")
	assert.Equal(t, 1, p.OpenConnections())
	p.Put(c)
	assert.Same(t, c, mustGet(t, p, addr), "the next one is reused")
	assert.Empty(t, p.dialing)
}

func TestCloseOpenedBeforeInterruptsOlderConnections(t *testing.T) {
	addr, _ := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	older, newer := mustGet(t, p, addr), mustGet(t, p, addr)
	older.openedAt = time.Now().Add(-time.Minute)
	p.CloseOpenedBefore(addr, time.Now().Add(-time.Second))
	_, err := older.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err), "the read ends")
	older.CloseFor(CloseReasonOf(err), err)
	assert.Contains(t, log.String(), "stale_retired")
	newer.SetReadTimeout(10 * time.Millisecond)
	_, err = newer.ReadResponseHead()
	assert.Error(t, err)
	assert.False(t, newer.peerProcessEnded.Load())
}

func TestInterruptedConnectionIsNotReused(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.CloseOpenedBefore(addr, time.Now().Add(time.Hour))
	p.Put(c)
	assert.Empty(t, p.idle)
	assert.NotSame(t, c, mustGet(t, p, addr))
}

// A worker may close a reused connection under a message that must not be sent twice.
func TestSuspectConnectionsAreNotReusedWhereVerifiedOnlyIsNeeded(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(4, time.Minute, zerolog.Nop())
	putSettled := func(c *Conn) {
		p.Put(c)
		c.idleSince = time.Now().Add(-SettleTime)
	}
	c := mustGetFresh(t, p, addr, VerifiedOnly)
	putSettled(c)
	assert.Same(t, c, mustGetFresh(t, p, addr, VerifiedOnly), "nothing makes it suspect")
	putSettled(c)
	p.MarkSuspect("127.0.0.9:1")
	assert.NotSame(t, c, mustGetFresh(t, p, addr, VerifiedOnly))
	assert.Same(t, c, mustGetFresh(t, p, addr, Settled))
	putSettled(c)
	p.MarkSuspect(addr)
	assert.NotSame(t, c, mustGet(t, p, addr), "the other idle connections to the address were closed")
}
