package transport

import (
	"context"
	"slices"
)

// waiter is a goroutine that waits for a slot, or for a connection that is put back.
type waiter struct {
	addr    string
	need    Freshness
	granted chan *Conn // of capacity 1, so that Put does not block
}

// satisfies reports whether a waiter may get a connection that has just been put back.
func (c *Conn) satisfies(w *waiter) bool { return w.need == AnyConnection && w.addr == c.addr }

// acquireSlot takes a slot and returns nil. Where none is free it closes the connection that is idle longest, and waits.
// It returns a connection instead if one is put back meanwhile that satisfies the need. The error is ErrPoolExhausted.
func (p *Pool) acquireSlot(ctx context.Context, addr string, need Freshness) (*Conn, error) {
	for {
		select {
		case p.slots <- struct{}{}:
			return nil, nil
		default:
		}
		c, err := p.waitForSlot(ctx, addr, need)
		if c == nil || !c.readable() {
			return c, err
		}
		p.closeIdleConn(c)
	}
}

// waitForSlot waits for the first of three events. It returns nil once it has a slot, a connection that was put back, or
// ErrPoolExhausted at the end of ctx.
func (p *Pool) waitForSlot(ctx context.Context, addr string, need Freshness) (*Conn, error) {
	w := &waiter{addr: addr, need: need, granted: make(chan *Conn, 1)}
	p.mu.Lock()
	oldest := p.removeOldestIdle()
	p.waiters = append(p.waiters, w) // under the same lock: a connection that is put back from now on finds the waiter
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

// cancelWait removes a waiter. A connection that was granted to it just now is put back.
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
