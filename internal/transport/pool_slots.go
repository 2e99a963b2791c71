package transport

import (
	"context"
	"slices"
)

// waiter is a goroutine that waits for a slot or for a connection to be put back.
type waiter struct {
	addr    string
	policy  ReusePolicy
	granted chan *Conn // has capacity 1, so that Put does not block
}

// satisfies reports whether a connection that was just put back may be granted to a waiter.
func (c *Conn) satisfies(w *waiter) bool { return w.policy == AnyConnection && w.addr == c.addr }

// acquireSlot acquires a slot and returns nil. If no slot is free, it closes the connection that has been idle longest
// and waits. If a suitable connection is put back meanwhile, acquireSlot returns this connection instead of acquiring a
// slot. The only error is ErrPoolExhausted.
func (p *Pool) acquireSlot(ctx context.Context, addr string, policy ReusePolicy) (*Conn, error) {
	for {
		select {
		case p.slots <- struct{}{}:
			return nil, nil
		default:
		}
		c, err := p.waitForSlot(ctx, addr, policy)
		if c == nil || !c.readable() {
			return c, err
		}
		p.closeIdleConn(c)
	}
}

// waitForSlot waits until a slot is acquired, a connection is granted by Put or ctx ends. It returns nil, the
// connection or ErrPoolExhausted, respectively.
func (p *Pool) waitForSlot(ctx context.Context, addr string, policy ReusePolicy) (*Conn, error) {
	w := &waiter{addr: addr, policy: policy, granted: make(chan *Conn, 1)}
	p.mu.Lock()
	oldest := p.removeOldestIdle()
	p.waiters = append(p.waiters, w) // under the same lock, so that a later Put finds the waiter
	p.mu.Unlock()
	if oldest != nil {
		oldest.CloseFor(Evicted, nil)
	}
	select {
	case p.slots <- struct{}{}:
		p.cancelWait(w)
		return nil, nil
	case c := <-w.granted:
		return c, nil
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, ErrPoolExhausted
	}
}

// cancelWait removes a waiter. If a connection was granted to it concurrently, cancelWait puts the connection back.
func (p *Pool) cancelWait(w *waiter) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(other *waiter) bool { return other == w })
	p.mu.Unlock()
	select {
	case c := <-w.granted:
		p.Put(c)
	default:
	}
}
