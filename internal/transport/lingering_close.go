package transport

import (
	"time"

	"canvasroute/internal/protocol"
)

// maxDrainReads limits the reads of a drain, so that it takes no more than two of the largest bodies.
const maxDrainReads = 2 * protocol.MaxBodyBytes / readBufferBytes

// halfCloseAndDrain is the first part of a lingering close (RFC 9112, 9.6). It closes the sending side, and then reads
// and drops data until the client closes too, or timeout has passed.
//
// A full close would reset the connection on data that comes later. The reset could destroy the response before the
// client has read it.
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
