package transport

import "time"

// takeReusable returns the latest used idle connection to an address that is fresh enough, nil if there is none. It
// closes those that the worker has closed or that have expired.
func (p *Pool) takeReusable(addr string, need Freshness) *Conn {
	for {
		c := p.takeLatestIdle(addr, need)
		if c == nil || !c.readable() && time.Since(c.idleSince) < p.maxIdle {
			return c
		}
		p.closeIdleConn(c)
	}
}

// takeLatestIdle takes out the latest used idle connection to an address that is fresh enough, nil if there is none.
func (p *Pool) takeLatestIdle(addr string, need Freshness) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	n := len(conns) - 1
	for n >= 0 && need != AnyConnection && time.Since(conns[n].idleSince) < SettleTime {
		n--
	}
	if n < 0 {
		return nil
	}
	c := p.removeIdle(addr, n)
	p.inUse[c] = addr
	return c
}

// removeOldestIdle takes out the connection that is idle longest, nil if there is none. It is called under the lock.
func (p *Pool) removeOldestIdle() (oldest *Conn) {
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	if oldest != nil {
		p.removeIdle(oldest.addr, 0)
	}
	return oldest
}

// removeIdle takes out the n-th idle connection to an address. It is called under the lock.
func (p *Pool) removeIdle(addr string, n int) *Conn {
	conns := p.idle[addr]
	c := conns[n]
	conns = append(conns[:n:n], conns[n+1:]...)
	if len(conns) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = conns
	}
	return c
}

// removeExpired takes out the connections that have been idle for too long, or that the worker closed.
func (p *Pool) removeExpired() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removeIdleWhere(func(c *Conn) bool { return time.Since(c.idleSince) >= p.maxIdle || c.readable() })
}

// removeIdleWhere takes out all idle connections for which remove returns true. It is called under the lock.
func (p *Pool) removeIdleWhere(remove func(*Conn) bool) (removed []*Conn) {
	for addr, conns := range p.idle {
		for n := len(conns) - 1; n >= 0; n-- {
			if remove(conns[n]) {
				removed = append(removed, p.removeIdle(addr, n))
			}
		}
	}
	return removed
}

// closeIdleConn closes an idle connection that was taken out. One that its worker closed before it expired makes reused
// connections suspect.
func (p *Pool) closeIdleConn(c *Conn) {
	if !c.readable() {
		c.CloseFor(IdleTimeout, nil)
		return
	}
	c.CloseFor(PeerClosed, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectReuse()
}
