package transport

import "time"

// pastDeadline is a deadline that has passed: reads, writes or accepts fail at once with a timeout.
var pastDeadline = time.Unix(1, 0)

// SetReadTimeout sets the read deadline to d from now. 0 removes the deadline; a negative d is one that has passed.
func (c *Conn) SetReadTimeout(d time.Duration) {
	var deadline time.Time
	if d != 0 {
		deadline = time.Now().Add(d)
	}
	c.setReadDeadline(deadline)
}

func (c *Conn) setReadDeadline(deadline time.Time) { c.setDeadline(c.nc.SetReadDeadline, deadline) }

func (c *Conn) setWriteDeadline(deadline time.Time) { c.setDeadline(c.nc.SetWriteDeadline, deadline) }

func (c *Conn) clearDeadlines() { c.setDeadline(c.nc.SetDeadline, time.Time{}) }

// setDeadline sets a deadline by one of the connection's methods. A connection that was interrupted stays so.
func (c *Conn) setDeadline(set func(time.Time) error, deadline time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.interrupted {
		_ = set(deadline) // fails only on a closed connection, as the next read or write on it does
	}
}

// Interrupt makes all reads and writes fail at once with a timeout, now and later. A deadline that is set after it has no
// effect. It may be called from any goroutine.
func (c *Conn) Interrupt() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.interrupted = true
	c.nc.SetDeadline(pastDeadline)
}

// Interrupted reports whether Interrupt was called. The connection can't be used any more then.
func (c *Conn) Interrupted() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.interrupted
}
