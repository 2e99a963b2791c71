package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// hasWaiter reports whether somebody waits for a slot.
func (p *Pool) hasWaiter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters) > 0
}

func TestPoolClosesIdleConnectionsToStayWithinItsLimit(t *testing.T) {
	addr, _ := startWorker(t)
	otherAddr, _ := startWorker(t)
	p := NewPool(1, time.Minute, zerolog.Nop())
	p.Put(mustGet(t, p, addr))
	c := mustGet(t, p, otherAddr)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Get(ctx, addr, AnyConnection)
	assert.ErrorIs(t, err, ErrPoolExhausted)
	c.CloseFor(AttemptCanceled, nil)
	mustGet(t, p, addr)
}

func TestFailedDialFreesItsSlot(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	ln.Close()
	p := NewPool(1, time.Minute, zerolog.Nop())
	_, err = p.Get(context.Background(), ln.Addr().String(), AnyConnection)
	assert.Error(t, err)
	assert.Empty(t, p.slots)
}

func TestPutConnectionGoesToAWaiter(t *testing.T) {
	addr, _ := startWorker(t)
	otherAddr, _ := startWorker(t)
	for _, tt := range []struct {
		name   string
		addr   string
		need   Freshness
		reused bool
	}{
		{"the same address", addr, AnyConnection, true},
		{"another address", otherAddr, AnyConnection, false},
		{"a verified one is needed", addr, VerifiedOnly, false},
		{"a settled one is needed", addr, Settled, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(1, time.Minute, zerolog.Nop())
			inUse := mustGet(t, p, addr)
			got := make(chan *Conn, 1)
			go func() { got <- mustGetFresh(t, p, tt.addr, tt.need) }()
			assert.Eventually(t, p.hasWaiter, testTimeout, time.Millisecond)
			p.Put(inUse)
			next := receive(t, got)
			assert.Equal(t, tt.reused, next == inUse)
			assert.Equal(t, 1, p.OpenConnections())
			p.Put(next)
			assert.Len(t, p.idle, 1)
			assert.Empty(t, p.waiters)
		})
	}
}

func TestClosedConnectionThatIsPutFreesItsSlotForAWaiter(t *testing.T) {
	addr, accepted := startWorker(t)
	p := NewPool(1, time.Minute, zerolog.Nop())
	inUse, got := mustGet(t, p, addr), make(chan *Conn, 1)
	go func() { got <- mustGet(t, p, addr) }()
	assert.Eventually(t, p.hasWaiter, testTimeout, time.Millisecond)
	receive(t, accepted).Close()
	assert.Eventually(t, inUse.readable, testTimeout, time.Millisecond)
	p.Put(inUse)
	assert.NotSame(t, inUse, receive(t, got))
}

// The client of an attempt closes its connection just as a worker's is granted to the attempt.
func TestConnectionGrantedToACanceledWaiterIsNotLost(t *testing.T) {
	addr, _ := startWorker(t)
	p := NewPool(1, time.Minute, zerolog.Nop())
	c := mustGet(t, p, addr)
	w := &waiter{addr: addr, granted: make(chan *Conn, 1)}
	p.waiters = append(p.waiters, w)
	p.Put(c)
	p.cancelWait(w)
	assert.Same(t, c, mustGet(t, p, addr))
}
