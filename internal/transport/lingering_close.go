package transport

import (
	"time"

	"canvasroute/internal/protocol"
)

// maxDrainReads limits a drain to twice the largest body, where each read fills the buffer.
const maxDrainReads = 2 * protocol.MaxBodyBytes / readBufferBytes

// halfCloseAndDrain is the first part of a lingering close (RFC 9112, 9.6): it closes the sending side, and reads and
// drops what the client still sends, until the client closes too or timeout has passed. A full close would reset the
// connection on data that comes later, and the reset could destroy the response before the client has read it.
func (c *Conn) halfCloseAndDrain(timeout time.Duration) {
	socket, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || socket.CloseWrite() != nil {
		return
	}
	c.SetReadTimeout(timeout)
	for range maxDrainReads {
		c.readBuf.Discard(c.readBuf.Len())
		if c.fill() != nil {
			return
		}
	}
}
