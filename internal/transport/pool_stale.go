package transport

import "time"

// suspectFactor times the workers' idle timeout is how long reused connections are suspect after a worker, or a proxy
// before it, has closed one that the pool would have kept.
const suspectFactor = 6

// suspectReuse makes reused connections suspect for a while. It is called under the lock.
func (p *Pool) suspectReuse() {
	p.suspectUntil = time.Now().Add(suspectFactor * idleDivisor * p.maxIdle)
}

// reuseIsSuspect reports whether a reused connection may be closed by its worker just as a message is sent on it.
func (p *Pool) reuseIsSuspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspectUntil)
}

// MarkSuspect records that a reused connection to an address was closed by the peer under a message. It makes reuse
// suspect everywhere, and closes the other idle connections to this address: a new one will show whether the worker is
// there.
func (p *Pool) MarkSuspect(addr string) {
	p.mu.Lock()
	p.suspectReuse()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeStale(conns)
}

// CloseIdle closes the idle connections to an address. Those in use are closed as they are put back, and one that is
// being opened isn't used.
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

func closeStale(conns []*Conn) {
	for _, c := range conns {
		c.CloseFor(Stale, nil)
	}
}

// CloseOpenedBefore interrupts every connection in use to an address that was opened before a time, as the process that
// it leads to has ended by then. Without that an attempt would wait forever on a connection to a machine that vanished
// and came back: nothing ever comes on it.
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
