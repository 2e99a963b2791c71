package transport

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/protocol"
)

// How a client is watched of which nothing more can be read. Together these times keep the detection of a closed
// connection below half of the 0.1 s after which nothing may be sent to a worker for its client.
const (
	closePollInterval = 10 * time.Millisecond // between inspections of the socket
	pollsPerProbe     = 3                     // inspections from one interim response to the next
	maxUnreadBytes    = 32 << 10              // beyond it the peer may have more to send than the kernel accepts
	probeWriteTimeout = closePollInterval     // for an interim response
	queuedAtLeast     = 50 * time.Millisecond // a request that has waited longer may be of a client long gone
	resetTimeout      = 50 * time.Millisecond // from an interim response to the reset by a client that has closed
)

// errClosedBehindUnread reports a client that sent more than is buffered and then closed the connection.
var errClosedBehindUnread = errors.New("connection closed after more data than is buffered")

// WatchForClose watches in the background for the peer closing the connection, and then calls onClose once with the
// cause. Data that comes meanwhile is buffered. stop ends the watch and waits for its goroutine; nothing else may read
// before it has returned.
func (c *Conn) WatchForClose(onClose func(error)) (stop func()) {
	c.setReadDeadline(time.Time{})
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if err := c.awaitClose(stopped); err != nil {
			onClose(err)
		}
	}()
	return sync.OnceFunc(func() {
		close(stopped)
		c.setReadDeadline(pastDeadline)
		<-done
		c.setReadDeadline(time.Time{})
	})
}

// awaitClose returns why the peer has closed the connection, nil where it was stopped before.
func (c *Conn) awaitClose(stopped <-chan struct{}) error {
	for !c.readBuf.Full() {
		_, err := c.readBuf.Fill(&c.stream)
		switch {
		case err == nil:
		case isTimeout(err):
			return nil
		case errors.Is(err, io.EOF) && c.acceptsInterim:
			return c.probeForClose(stopped, err)
		default:
			return err
		}
	}
	return c.probeForClose(stopped, errClosedBehindUnread)
}

// probeForClose watches a client of which nothing more can be read: it has half-closed the connection and may still
// wait for its response, or it has sent more than is buffered, which hides the end of the stream. Whether it still
// reads doesn't show until something is sent to it. So it gets interim responses (RFC 9110, 15.2) again and again: a
// client that reads skips them, and the kernel of one that has closed the connection answers with a reset, however
// long after its half-close that was. It returns cause once the client has closed, nil where it was stopped before.
func (c *Conn) probeForClose(stopped <-chan struct{}, cause error) error {
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		if errors.Is(cause, io.EOF) {
			return cause
		}
		return nil
	}
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for poll := 0; ; poll++ {
		state, unread := tcpState(socket)
		halfClosed := state == tcpCloseWait
		switch {
		case !halfClosed && state != tcpEstablished:
			return cause
		case halfClosed && !c.acceptsInterim: // nothing may be sent that would show whether it reads
			return cause
		case poll%pollsPerProbe == 0 && c.acceptsInterim && (halfClosed || unread > maxUnreadBytes):
			c.setWriteDeadline(time.Now().Add(probeWriteTimeout))
			if _, err := c.stream.Write([]byte(protocol.Continue)); err != nil {
				return cause
			}
		}
		select {
		case <-ticker.C:
		case <-stopped:
			return nil
		}
	}
}

// closedWhileQueued reports whether a client closed its connection some time before its request was read, as one that
// gave up while the connection waited in the listener's queue: work that starts now would start too late. A client
// whose request has just come isn't inspected. It can't have closed long ago, and WatchForClose will notice in time.
func (c *Conn) closedWhileQueued() bool {
	socket, ok := c.nc.(syscall.Conn)
	if !ok || timeSinceLastData(socket) < queuedAtLeast {
		return false
	}
	if state, _ := tcpState(socket); state == tcpEstablished {
		return false
	}
	stopped := make(chan struct{})
	timer := time.AfterFunc(resetTimeout, func() { close(stopped) })
	defer timer.Stop()
	if c.probeForClose(stopped, io.EOF) != nil {
		return true
	}
	state, _ := tcpState(socket) // the reset may have come as the wait ended
	return state != tcpEstablished && state != tcpCloseWait
}
