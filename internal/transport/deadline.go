package transport

import "time"

// pastDeadline is a deadline in the past. It makes reads, writes and accepts fail immediately with a timeout.
var pastDeadline = time.Unix(1, 0)

// SetReadTimeout sets the read deadline to d from now. 0 removes the deadline; a negative d sets a deadline in the
// past.
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

// setDeadline calls set, a method of the underlying connection, with deadline, unless Interrupt has been called.
func (c *Conn) setDeadline(set func(time.Time) error, deadline time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.interrupted {
		_ = set(deadline) // fails only if the connection is closed, which the next read or write reports too
	}
}

// Interrupt makes all current and future reads and writes fail immediately with a timeout. Deadlines that are set later
// have no effect. It may be called from any goroutine.
func (c *Conn) Interrupt() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.interrupted = true
	c.nc.SetDeadline(pastDeadline)
}

// Interrupted reports whether Interrupt was called. An interrupted connection can't be used any more.
func (c *Conn) Interrupted() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.interrupted
}
