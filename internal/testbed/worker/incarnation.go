package worker

import (
	"net"
	"sync"
)

// incarnation is one process of a worker: its machine and its connections. While the process is paused or partitioned,
// it neither reads nor writes on its connections.
type incarnation struct {
	number    int                  // from 0
	machine   *Machine             // guarded by the server's lock
	exchanges map[string]*exchange // by request ID; guarded by the server's lock
	ended     chan struct{}        // closed when the process ends
	wake      chan struct{}        // signals the timer goroutine that the machine's next event may have changed
	listeners []net.Listener       // by dispatcher

	mu      sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
	resumed chan struct{} // nil unless paused; closed on resume
}

// wakeTimer makes the timer goroutine recompute the time of the machine's next event, which may now be earlier.
func (p *incarnation) wakeTimer() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// waitWhilePaused blocks while the process is paused. It reports whether the process is still running.
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

// pause pauses the process: waitWhilePaused blocks until resume.
func (p *incarnation) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

// resume ends a pause. It does nothing if the process is not paused.
func (p *incarnation) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// addConn registers a connection, which close resets. It returns false if the process has ended.
func (p *incarnation) addConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[conn] = true
	}
	return !p.closed
}

// removeConn unregisters and closes a connection.
func (p *incarnation) removeConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	conn.Close()
}

// close ends the process: it closes the listeners and resets the connections.
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
			_ = tcp.SetLinger(0) // sends a reset, as the kernel does for a killed process
		}
		conn.Close()
	}
}
