package transport

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
)

// hasWaiter reports whether a goroutine is waiting for a slot.
func (p *Pool) hasWaiter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters) > 0
}

func TestPoolClosesIdleConnectionsToStayWithinItsLimit(t *testing.T) {
	addr, _ := startWorker(t)
	otherAddr, _ := startWorker(t)
	pool := NewPool(1, time.Minute, zerolog.Nop())
	pool.Put(mustGet(t, pool, addr))
	conn := mustGet(t, pool, otherAddr)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := pool.Get(ctx, addr, AnyConnection)
	assert.ErrorIs(t, err, ErrPoolExhausted)
	conn.CloseFor(AttemptCanceled, nil)
	mustGet(t, pool, addr)
}

func TestFailedDialFreesItsSlot(t *testing.T) {
	pool := NewPool(1, time.Minute, zerolog.Nop())
	_, err := pool.Get(context.Background(), peertest.ReserveAddress(t), AnyConnection)
	assert.Error(t, err)
	assert.Empty(t, pool.slots)
}

func TestPutGrantsConnectionOnlyToMatchingWaiter(t *testing.T) {
	addr, _ := startWorker(t)
	otherAddr, _ := startWorker(t)
	for _, tt := range []struct {
		name   string
		addr   string
		policy ReusePolicy
		reused bool
	}{
		{"same address", addr, AnyConnection, true},
		{"another address", otherAddr, AnyConnection, false},
		{"policy SettledUnlessSuspect", addr, SettledUnlessSuspect, false},
		{"policy Settled", addr, Settled, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := NewPool(1, time.Minute, zerolog.Nop())
			inUse := mustGet(t, pool, addr)
			got := make(chan *Conn, 1)
			go func() { got <- mustGetWithPolicy(t, pool, tt.addr, tt.policy) }()
			assert.Eventually(t, pool.hasWaiter, testTimeout, time.Millisecond)
			pool.Put(inUse)
			next := peertest.Receive(t, got)
			assert.Equal(t, tt.reused, next == inUse)
			assert.Equal(t, 1, pool.OpenConnections())
			pool.Put(next)
			assert.Len(t, pool.idle, 1)
			assert.Empty(t, pool.waiters)
		})
	}
}

func TestClosedConnectionThatIsPutFreesItsSlotForAWaiter(t *testing.T) {
	addr, accepted := startWorker(t)
	pool := NewPool(1, time.Minute, zerolog.Nop())
	inUse, got := mustGet(t, pool, addr), make(chan *Conn, 1)
	go func() { got <- mustGet(t, pool, addr) }()
	assert.Eventually(t, pool.hasWaiter, testTimeout, time.Millisecond)
	peertest.Receive(t, accepted).Close()
	assert.Eventually(t, inUse.readable, testTimeout, time.Millisecond)
	pool.Put(inUse)
	assert.NotSame(t, inUse, peertest.Receive(t, got))
}

// An attempt is canceled at the same time as a connection is granted to it. The connection must be returned to the
// pool.
func TestConnectionGrantedToACanceledWaiterIsNotLost(t *testing.T) {
	addr, _ := startWorker(t)
	pool := NewPool(1, time.Minute, zerolog.Nop())
	conn := mustGet(t, pool, addr)
	w := &waiter{addr: addr, granted: make(chan *Conn, 1)}
	pool.waiters = append(pool.waiters, w)
	pool.Put(conn)
	pool.cancelWait(w)
	assert.Same(t, conn, mustGet(t, pool, addr))
}
