package worker

import (
	"net"
	"sync"
)

// incarnation is one process of a worker: its machine and its connections. While it is paused or partitioned, nothing is
// read or written.
type incarnation struct {
	number    int                  // from 0
	machine   *Machine             // guarded by the server's lock
	exchanges map[string]*exchange // by ID of the request; guarded by the server's lock
	ended     chan struct{}        // closed at the end of the process
	wake      chan struct{}        // has the timer look for the next event again
	listeners []net.Listener       // by dispatcher

	mu      sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
	resumed chan struct{} // nil unless paused; closed on resume
}

// wakeUp has the timer look for the machine's next event again, as it may be earlier now.
func (p *incarnation) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// waitWhilePaused waits until the process is not paused, and reports whether it still runs.
func (p *incarnation) waitWhilePaused() bool {
	p.mu.Lock()
	resumed, closed := p.resumed, p.closed
	p.mu.Unlock()
	if closed || resumed == nil {
		return !closed
	}
	select {
	case <-resumed:
		return p.waitWhilePaused()
	case <-p.ended:
		return false
	}
}

// pause makes waitWhilePaused wait.
func (p *incarnation) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

// resume ends a pause, if there is one.
func (p *incarnation) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// addConn adds a connection that close will reset. It reports false if the process has ended.
func (p *incarnation) addConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[conn] = true
	}
	return !p.closed
}

// removeConn closes a connection.
func (p *incarnation) removeConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	conn.Close()
}

// close ends the process: it resets its connections and listens no longer.
func (p *incarnation) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.ended)
	for _, ln := range p.listeners {
		ln.Close()
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // reset, as the kernel does for a killed process
		}
		conn.Close()
	}
}
