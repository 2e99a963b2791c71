package transport

import (
	"time"

	"canvasroute/internal/protocol"
)

// maxDiscardReads is the maximum number of reads of halfCloseAndDiscard. They discard at most twice the maximum length
// of a body.
const maxDiscardReads = 2 * protocol.MaxBodyBytes / readBufferBytes

// halfCloseAndDiscard is the first part of a lingering close (RFC 9112, 9.6). It closes the sending side, and then
// reads and discards data until the client closes the connection, timeout expires or maxDiscardReads is reached.
//
// A full close would reset the connection when more data is received. The reset could discard the response before the
// client has read it.
func (c *Conn) halfCloseAndDiscard(timeout time.Duration) {
	socket, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || socket.CloseWrite() != nil {
		return
	}
	c.SetReadTimeout(timeout)
	for range maxDiscardReads {
		c.readBuf.Discard(c.readBuf.Len())
		if c.fill() != nil {
			return
		}
	}
}
