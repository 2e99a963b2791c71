package worker

import (
	"net"
	"sync"
)

// incarnation is one process of a worker: its machine and its connections. While it is paused or partitioned, nothing is
// read or written.
type incarnation struct {
	number  int
	machine *Machine
	ended   chan struct{}
	wake    chan struct{}

	mu        sync.Mutex
	conns     map[net.Conn]bool
	listeners []net.Listener
	exchanges map[string]*exchange
	closed    bool
	resumed   chan struct{} // nil unless paused; closed on resume
}

func (l *incarnation) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// waitWhilePaused waits until the process is not paused, and reports whether it is still running.
func (l *incarnation) waitWhilePaused() bool {
	l.mu.Lock()
	resumed, closed := l.resumed, l.closed
	l.mu.Unlock()
	if closed || resumed == nil {
		return !closed
	}
	select {
	case <-resumed:
		return l.waitWhilePaused()
	case <-l.ended:
		return false
	}
}

func (l *incarnation) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case paused && l.resumed == nil:
		l.resumed = make(chan struct{})
	case !paused && l.resumed != nil:
		close(l.resumed)
		l.resumed = nil
	}
}

func (l *incarnation) addConn(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[c] = true
	}
	return !l.closed
}

func (l *incarnation) removeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

func (l *incarnation) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.ended)
	for _, ln := range l.listeners {
		ln.Close()
	}
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // reset, as the kernel does for a killed process
		}
		c.Close()
	}
}
