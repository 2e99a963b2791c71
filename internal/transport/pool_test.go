package transport

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

func TestPoolReusesAConnection(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	assert.Same(t, c, mustGet(t, p, addr))
}

// A message that is sent on a closed connection may have been processed for all that the dispatcher knows.
func TestPoolDoesNotReuseAConnectionThatTheWorkerClosed(t *testing.T) {
	addr, accepted := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	c := mustGet(t, p, addr)
	p.Put(c)
	receive(t, accepted).Close()
	assert.Eventually(t, c.readable, testTimeout, time.Millisecond)
	assert.NotSame(t, c, mustGet(t, p, addr))
	assert.Contains(t, log.String(), "peer_closed")
}

func TestPoolDoesNotReuseAConnectionWithUnsolicitedData(t *testing.T) {
	addr, accepted := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	receive(t, accepted).Write([]byte("HTTP/1.1 408 Late\r\n\r\n"))
	assert.Eventually(t, c.readable, testTimeout, time.Millisecond)
	assert.NotSame(t, c, mustGet(t, p, addr))
}

func TestIdleConnectionsExpireWellBeforeTheWorkersIdleTimeout(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	c.idleSince = time.Now().Add(-30 * time.Second)
	assert.Equal(t, []*Conn{c}, p.removeExpired())
	assert.Empty(t, p.removeExpired())
}

func TestConnectionSettlesBeforeItIsReused(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(4, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	for _, need := range []Freshness{Settled, VerifiedOnly} {
		assert.NotSame(t, c, mustGetFresh(t, p, addr, need))
	}
	c.idleSince = c.idleSince.Add(-SettleTime)
	assert.Same(t, c, mustGetFresh(t, p, addr, Settled))
}

func TestClosedPoolLeavesNoConnectionOpen(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	idle, inUse := mustGet(t, p, addr), mustGet(t, p, addr)
	p.Put(idle)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, p.Run(ctx))
	p.Put(inUse)
	assert.Empty(t, p.idle)
	assert.Empty(t, p.slots)
}
