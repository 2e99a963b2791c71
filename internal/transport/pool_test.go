package transport

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// startWorker accepts connections, and hands them out.
func startWorker(t *testing.T) (addr string, accepted <-chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- nc
		}
	}()
	return ln.Addr().String(), conns
}

func mustGet(t *testing.T, p *Pool, addr string) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Get(ctx, addr, AnyConnection)
	assert.NoError(t, err)
	return c
}

func TestPoolUsesAConnectionAgain(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	assert.Same(t, c, mustGet(t, p, addr))
}

// Guards against writing to a connection that the worker has ended: that forward has perhaps run.
func TestPoolNoticesThatTheWorkerEndedAnIdleConnection(t *testing.T) {
	addr, accepted := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	c := mustGet(t, p, addr)
	p.Put(c)
	(<-accepted).Close()
	assert.Eventually(t, func() bool { return c.readable() }, 5*time.Second, time.Millisecond)
	assert.NotSame(t, c, mustGet(t, p, addr))
	assert.Contains(t, log.String(), "peer_closed")
}

func TestPoolDropsAConnectionWithWordsThatNobodyAskedFor(t *testing.T) {
	addr, accepted := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	(<-accepted).Write([]byte("HTTP/1.1 408 Late\r\n\r\n"))
	assert.Eventually(t, func() bool { return c.readable() }, 5*time.Second, time.Millisecond)
	assert.NotSame(t, c, mustGet(t, p, addr))
}

func TestPoolRetiresIdleConnectionsWellBeforeTheWorkerDoes(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	p.Put(c)
	c.idleSince = time.Now().Add(-30 * time.Second)
	assert.Equal(t, []*Conn{c}, p.removeExpired())
	assert.Empty(t, p.removeExpired())
}

func TestPoolMakesRoomAndKeepsItsBudget(t *testing.T) {
	addr, _ := startWorker(t)
	other, _ := startWorker(t)
	p := NewPool(1, time.Minute, zerolog.Nop())
	p.Put(mustGet(t, p, addr))
	c := mustGet(t, p, other)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Get(ctx, addr, AnyConnection)
	assert.ErrorIs(t, err, ErrPoolExhausted)
	c.CloseFor(AttemptCanceled, nil)
	mustGet(t, p, addr)
}

func TestPoolKeepsNothingToAWorkerThatIsForgotten(t *testing.T) {
	addr, _ := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	idle, out := mustGet(t, p, addr), mustGet(t, p, addr)
	p.Put(idle)
	p.CloseIdle(addr)
	p.Put(out)
	assert.Empty(t, p.idle)
	assert.Equal(t, 2, bytes.Count(log.Bytes(), []byte("stale_retired")))
	mustGet(t, p, addr)
	mustGet(t, p, addr)
}

func TestPoolBuriesWhatLedToAProcessThatHasEnded(t *testing.T) {
	addr, _ := startWorker(t)
	var log bytes.Buffer
	p := NewPool(2, time.Minute, zerolog.New(&log))
	old, fresh := mustGet(t, p, addr), mustGet(t, p, addr)
	old.openedAt = time.Now().Add(-time.Minute)
	p.CloseOpenedBefore(addr, time.Now().Add(-time.Second))
	_, err := old.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err), "the wait on it ends")
	old.CloseFor(CloseReasonOf(err), err)
	assert.Contains(t, log.String(), "stale_retired")
	fresh.SetTimeout(10 * time.Millisecond)
	_, err = fresh.ReadResponseHead()
	assert.Error(t, err)
	assert.False(t, fresh.peerProcessEnded.Load())
}

func TestPoolThatEndsLeavesNothingOpen(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(2, time.Minute, zerolog.Nop())
	idle, out := mustGet(t, p, addr), mustGet(t, p, addr)
	p.Put(idle)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, p.Run(ctx))
	p.Put(out)
	assert.Empty(t, p.idle)
	assert.Empty(t, p.slots)
}

func TestPoolGivesThePlaceBackWhereNobodyAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	ln.Close()
	p := NewPool(1, time.Minute, zerolog.Nop())
	_, err = p.Get(context.Background(), ln.Addr().String(), AnyConnection)
	assert.Error(t, err)
	assert.Empty(t, p.slots)
}

// Guards against a kept connection that ends under a message that may not be sent again.
func TestDoubtedConnectionsAreNotUsedWhereItHasToBeSure(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(4, time.Minute, zerolog.Nop())
	get := func(need Freshness) *Conn {
		c, err := p.Get(context.Background(), addr, need)
		assert.NoError(t, err)
		return c
	}
	rested := func(c *Conn) {
		p.Put(c)
		c.idleSince = time.Now().Add(-SettleTime)
	}
	c := get(VerifiedOnly)
	rested(c)
	assert.Same(t, c, get(VerifiedOnly), "nothing speaks against it")
	rested(c)
	p.MarkSuspect("127.0.0.9:1")
	again := get(VerifiedOnly)
	assert.NotSame(t, c, again)
	assert.Same(t, c, get(Settled))
	rested(c)
	p.MarkSuspect(addr)
	assert.NotSame(t, c, get(AnyConnection), "the others to that address have ended")
}
