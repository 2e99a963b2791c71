package transport

import "time"

// markReuseSuspect makes reused connections suspect for suspectFactor times the idle timeout of the workers, starting
// now. The caller must hold the lock.
func (p *Pool) markReuseSuspect() {
	p.suspectUntil = time.Now().Add(suspectFactor * idleDivisor * p.maxIdle)
}

// isReuseSuspect reports whether reused connections are suspect: a worker has recently closed a connection that the
// pool would have kept, so others may be closed while a message is being sent (markReuseSuspect).
func (p *Pool) isReuseSuspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspectUntil)
}

// MarkSuspect records that the peer closed a reused connection to addr while a message was being sent. It makes reused
// connections to all addresses suspect, and closes the idle connections to addr, so that the next attempt opens a new
// connection, which shows whether the worker is still running.
func (p *Pool) MarkSuspect(addr string) {
	p.mu.Lock()
	p.markReuseSuspect()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeStale(conns)
}

// Invalidate closes the idle connections to addr. Connections in use are closed by Put, and those being opened are
// discarded.
func (p *Pool) Invalidate(addr string) {
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

// closeStale closes connections that were removed from the idle ones.
func closeStale(conns []*Conn) {
	for _, c := range conns {
		c.CloseFor(Stale, nil)
	}
}

// InterruptOpenedBefore interrupts the connections in use to addr that were opened before cutoff. The previous worker
// process at addr had ended by then. A host that fails sends no reset, so without the interrupt an attempt could wait
// on its connection forever.
func (p *Pool) InterruptOpenedBefore(addr string, cutoff time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, inUseAddr := range p.inUse {
		if inUseAddr == addr && c.openedAt.Before(cutoff) {
			c.peerProcessEnded.Store(true)
			c.Interrupt()
		}
	}
}
