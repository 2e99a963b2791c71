package transport

import "time"

// takeReusable returns the most recently used idle connection to an address that satisfies policy, or nil if there is
// none. It closes connections that have expired, or that the worker has closed or sent unsolicited data on.
func (p *Pool) takeReusable(addr string, policy ReusePolicy) *Conn {
	for {
		c := p.takeLatestIdle(addr, policy)
		if c == nil || !c.readable() && time.Since(c.idleSince) < p.maxIdle {
			return c
		}
		p.closeIdleConn(c)
	}
}

// takeLatestIdle removes and returns the most recently used idle connection to an address that satisfies policy, or
// nil.
func (p *Pool) takeLatestIdle(addr string, policy ReusePolicy) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	n := len(conns) - 1
	for n >= 0 && policy != AnyConnection && time.Since(conns[n].idleSince) < SettleTime {
		n--
	}
	if n < 0 {
		return nil
	}
	c := p.removeIdle(addr, n)
	p.inUse[c] = addr
	return c
}

// removeOldestIdle removes and returns the connection that has been idle longest, or nil. The caller must hold the
// lock.
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

// removeIdle removes and returns the connection with index n in the list of idle connections to addr. The caller must
// hold the lock.
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

// removeExpired removes and returns the connections that have expired, or that the worker has closed or sent
// unsolicited data on.
func (p *Pool) removeExpired() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removeIdleWhere(func(c *Conn) bool { return time.Since(c.idleSince) >= p.maxIdle || c.readable() })
}

// removeIdleWhere removes and returns all idle connections for which remove returns true. The caller must hold the
// lock.
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

// closeIdleConn closes a connection that was removed from the idle ones or has just been put back. If the worker has
// already closed it or sent unsolicited data on it, reused connections become suspect.
func (p *Pool) closeIdleConn(c *Conn) {
	if !c.readable() {
		c.CloseFor(IdleTimeout, nil)
		return
	}
	c.CloseFor(PeerClosed, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markReuseSuspect()
}
