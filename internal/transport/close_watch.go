package transport

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/protocol"
)

// maxUnreadBytes is a lower bound of the size of the kernel's receive buffer. If more bytes than this are unread, the
// receive window may be closed, and a FIN of the client may not have been received.
const maxUnreadBytes = 32 << 10

// errClosedAfterUnreadData reports that a client closed the connection after it had sent more data than the read buffer
// holds.
var errClosedAfterUnreadData = errors.New("connection closed after more data than is buffered")

// WatchForClose starts a goroutine that calls onClose once with the cause when the peer closes the connection. Data
// that is received meanwhile is buffered. stop ends the watch and waits for the goroutine to return. The caller must
// not read from the connection before stop has returned.
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

// awaitClose waits until the peer has closed the connection and returns the cause. It returns nil if stopped earlier.
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
	return c.probeForClose(stopped, errClosedAfterUnreadData)
}

// probeForClose detects a close by a client when reads can't detect it. Either the client has half-closed the
// connection and may still be waiting for its response, or it has sent more data than the read buffer holds, so that
// the end of the stream can't be read. probeForClose returns cause once the client has closed the connection, and nil
// if stopped earlier. A connection that isn't a socket can't be probed: the result is cause if it is io.EOF, and nil
// otherwise.
//
// Only sending data shows whether the client still reads. probeForClose therefore sends interim responses (RFC 9110,
// 15.2) periodically. A client that reads ignores them; if the client has closed the connection, its kernel replies
// with a reset.
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
		closeMayBeHidden := halfClosed || unread > maxUnreadBytes
		probeDue := poll%pollsPerProbe == 0
		switch {
		case !halfClosed && state != tcpEstablished:
			return cause
		case halfClosed && !c.acceptsInterim: // without interim responses, it can't be probed
			return cause
		case probeDue && c.acceptsInterim && closeMayBeHidden:
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

// closedWhileUnwatched reports whether a client closed its connection while no process watched it: while the connection
// waited in the listener's queue or was handed over by a predecessor, or while the request was unread behind others. The
// request of such a client must not be sent to a worker. The result is false if that can't be determined.
//
// A client that has half-closed its connection and whose request was received less than queuedThreshold ago isn't probed:
// it can't have closed the connection long ago, and WatchForClose detects a recent close in time.
func (c *Conn) closedWhileUnwatched() bool {
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	info := inspectSocket(socket)
	switch {
	case info.state == unknownState:
		return false
	case info.state == tcpClosed: // by a reset
		return true
	case info.unread > maxUnreadBytes: // a close may be hidden behind them
	case info.state == tcpEstablished, info.sinceLastData < queuedThreshold:
		return false
	}
	stopped := make(chan struct{})
	timer := time.AfterFunc(resetTimeout, func() { close(stopped) })
	defer timer.Stop()
	if c.probeForClose(stopped, io.EOF) != nil {
		return true
	}
	state, _ := tcpState(socket) // the reset may have been received as the wait ended
	return state != tcpEstablished && state != tcpCloseWait
}
