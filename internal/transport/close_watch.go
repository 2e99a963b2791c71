package transport

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/protocol"
)

// maxUnreadBytes is how many received bytes the kernel holds at least before a client has to wait with more. Beyond it
// the kernel may hold back the end of the stream too.
const maxUnreadBytes = 32 << 10

// errClosedBehindUnread reports a client that sent more than is buffered and then closed the connection.
var errClosedBehindUnread = errors.New("connection closed after more data than is buffered")

// WatchForClose starts a goroutine that watches for the peer closing the connection, and then calls onClose once with the
// cause. Data that comes meanwhile is buffered. stop ends the watch and waits for its goroutine. The caller must not read
// before stop has returned.
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

// awaitClose waits until the peer has closed the connection and returns the cause, nil where it was stopped before.
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

// probeForClose watches a client from which nothing more can be read. It has half-closed the connection and may still
// wait for its response, or it has sent more than is buffered, which hides the end of the stream. It returns cause once
// the client has closed the connection, nil where it was stopped before.
//
// Whether the client still reads doesn't show until something is sent to it. It therefore gets interim responses
// (RFC 9110, 15.2) at intervals. A client that reads skips them; the kernel of one that has closed answers with a reset.
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
		endMayBeHidden := halfClosed || unread > maxUnreadBytes
		probeDue := poll%pollsPerProbe == 0
		switch {
		case !halfClosed && state != tcpEstablished:
			return cause
		case halfClosed && !c.acceptsInterim: // nothing may be sent that would show whether it reads
			return cause
		case probeDue && c.acceptsInterim && endMayBeHidden:
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

// closedWhileQueued reports whether a client closed its connection some time before its request was read. Such a client
// gave up while the connection waited in the listener's queue, and its request must not be sent to a worker any more.
//
// A client whose request has just come isn't inspected. It can't have closed long ago, and WatchForClose detects a close
// in time.
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
	state, _ := tcpState(socket) // the reset may have come just as the wait ended
	return state != tcpEstablished && state != tcpCloseWait
}
