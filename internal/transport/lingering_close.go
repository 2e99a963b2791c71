package transport

import (
	"time"

	"canvasroute/internal/protocol"
)

// maxDrainReads is the maximum number of reads of a drain. They discard at most twice the maximum length of a body.
const maxDrainReads = 2 * protocol.MaxBodyBytes / readBufferBytes

// halfCloseAndDrain is the first part of a lingering close (RFC 9112, 9.6). It closes the sending side, and then reads
// and discards data until the client closes the connection, timeout expires or maxDrainReads is reached.
//
// A full close would reset the connection when more data is received. The reset could discard the response before the
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
