package transport

import (
	"context"
	"slices"
)

// waiter waits for a slot, or for a connection that is put back instead.
type waiter struct {
	addr    string
	need    Freshness
	granted chan *Conn // has room for one
}

// satisfies reports whether a connection that has just been put back can be given to a waiter.
func (c *Conn) satisfies(w *waiter) bool { return w.need == AnyConnection && w.addr == c.addr }

// acquireSlot takes a slot, for which it returns nil, or waits until one is free. The longest idle connection is closed
// for it. A connection that is put back meanwhile and satisfies the need is returned instead.
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

// waitForSlot waits for a slot, for which it returns nil, for a connection that is put back, or for the end of ctx,
// for which it returns ErrPoolExhausted.
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

// cancelWait removes a waiter; a connection that was granted to it just now is put back.
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
