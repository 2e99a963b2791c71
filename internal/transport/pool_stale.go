package transport

import "time"

// suspectReuse makes reused connections suspect from now on. It is called under the lock.
func (p *Pool) suspectReuse() {
	p.suspectUntil = time.Now().Add(suspectFactor * idleDivisor * p.maxIdle)
}

// reuseIsSuspect reports whether a worker may close a reused connection just as a message is sent on it.
func (p *Pool) reuseIsSuspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspectUntil)
}

// MarkSuspect records that the peer closed a reused connection to an address while a message was sent on it. It makes
// reused connections to all addresses suspect, and closes the idle ones to this address. A new one will show whether the
// worker still runs.
func (p *Pool) MarkSuspect(addr string) {
	p.mu.Lock()
	p.suspectReuse()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeStale(conns)
}

// CloseIdle closes the idle connections to an address. Put closes those in use, and one that is being opened isn't used.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	for c, inUseAddr := range p.inUse {
		if inUseAddr == addr {
			p.closeOnPut[c] = true
		}
	}
	for d := range p.dialing {
		d.invalidated = d.invalidated || d.addr == addr
	}
	p.mu.Unlock()
	closeStale(conns)
}

// closeStale closes connections that were taken out of the idle ones.
func closeStale(conns []*Conn) {
	for _, c := range conns {
		c.CloseFor(Stale, nil)
	}
}

// CloseOpenedBefore interrupts the connections in use to an address that were opened before a time, at which the process
// there has ended. A machine that vanishes sends no reset: without the interrupt an attempt could wait on its connection
// forever.
func (p *Pool) CloseOpenedBefore(addr string, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, inUseAddr := range p.inUse {
		if inUseAddr == addr && c.openedAt.Before(before) {
			c.peerProcessEnded.Store(true)
			c.Interrupt()
		}
	}
}
