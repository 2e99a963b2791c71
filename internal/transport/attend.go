package transport

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"canvasroute/internal/protocol"
)

// How often a client that can bring nothing more is looked at, and how often it is sent something for that.
// All together a client that has left is known in less than half of the 0.1 s after which nothing may be sent
// on for it.
const (
	closePollInterval = 10 * time.Millisecond
	pollsPerProbe     = 3                     // looks
	maxUnreadBytes    = 32 << 10              // beyond it a client may have more on its way than the system takes in
	probeWriteTimeout = closePollInterval     // for an interim answer to be written
	queuedAtLeast     = 50 * time.Millisecond // a message that has waited longer may be of a client that is long gone
	resetTimeout      = 50 * time.Millisecond // from an interim answer to the reset of a client that has closed
)

// errClosedBehindUnread is the end of a client that has sent more than is held, and is gone.
var errClosedBehindUnread = errors.New("ended behind what it had sent ahead")

// WatchForClose watches for the other side's end while this one has the turn, and then calls left. What comes early
// is kept. stop ends the watch; before it returns nothing else may be read.
func (c *Conn) WatchForClose(left func(error)) (stop func()) {
	c.setDeadline(c.nc.SetReadDeadline, time.Time{})
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if err := c.awaitClose(stopped); err != nil {
			left(err)
		}
	}()
	return sync.OnceFunc(func() {
		close(stopped)
		c.setDeadline(c.nc.SetReadDeadline, pastDeadline)
		<-done
		c.setDeadline(c.nc.SetReadDeadline, time.Time{})
	})
}

// awaitClose returns why the other side has gone, nil where it was stopped before.
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

// probeForClose watches a client of which nothing more is read: it has ended its sending, and may still wait for its
// answer; or it has sent more than is held, behind which its end does not show. Both look alike whether it
// listens or not, until something is sent: an interim answer is, again and again, which one that listens
// passes over, and which one that has closed resets, be it long after it ended its sending. It returns why
// once the client has gone.
func (c *Conn) probeForClose(stopped <-chan struct{}, why error) error {
	raw, ok := c.nc.(syscall.Conn)
	if !ok {
		if errors.Is(why, io.EOF) {
			return why
		}
		return nil
	}
	looks := time.NewTicker(closePollInterval)
	defer looks.Stop()
	for n := 0; ; n++ {
		state, unread := socketState(raw)
		ended := state == unix.BPF_TCP_CLOSE_WAIT
		switch {
		case !ended && state != unix.BPF_TCP_ESTABLISHED, ended && !c.acceptsInterim:
			return why
		case n%pollsPerProbe == 0 && c.acceptsInterim && (ended || unread > maxUnreadBytes):
			c.setDeadline(c.nc.SetWriteDeadline, time.Now().Add(probeWriteTimeout))
			if _, err := c.stream.Write([]byte(protocol.Continue)); err != nil {
				return why
			}
		}
		select {
		case <-looks.C:
		case <-stopped:
			return nil
		}
	}
}

// closedWhileQueued tells whether a client had closed its connection before its message was read, some time ago: what is
// begun for it now would be begun too late. A client whose message has just come is not looked at: it cannot have
// closed long ago, and the watch that goes on beside its work finds it out in time.
func (c *Conn) closedWhileQueued() bool {
	raw, ok := c.nc.(syscall.Conn)
	if !ok || timeSinceLastData(raw) < queuedAtLeast {
		return false
	}
	if state, _ := socketState(raw); state == unix.BPF_TCP_ESTABLISHED {
		return false
	}
	stopped := make(chan struct{})
	timer := time.AfterFunc(resetTimeout, func() { close(stopped) })
	defer timer.Stop()
	if c.probeForClose(stopped, io.EOF) != nil {
		return true
	}
	state, _ := socketState(raw) // the reset may have come as the wait ended
	return state != unix.BPF_TCP_ESTABLISHED && state != unix.BPF_TCP_CLOSE_WAIT
}

// timeSinceLastData is how long ago the last bytes have come on a connection, 0 where the system does not tell.
func timeSinceLastData(raw syscall.Conn) (ago time.Duration) {
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	_ = rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// socketState is how the system sees a connection, and how much has come on it that was not read.
func socketState(raw syscall.Conn) (state uint8, unread int) {
	state = unix.BPF_TCP_CLOSE
	if rc, err := raw.SyscallConn(); err == nil {
		_ = rc.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
			unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			if err != nil {
				unread = maxUnreadBytes + 1
			}
		})
	}
	return state, unread
}

// peekSocket looks what a read would find now: how many bytes there are for sure, or syscall.EAGAIN for nothing
// yet. None without an error is the other side's end.
func (c *Conn) peekSocket() (n int, err error) {
	raw, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	one := make([]byte, 1)
	held := rc.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, held)
}

// alive looks whether an idle connection has neither ended nor brought anything.
func (c *Conn) alive() bool {
	_, err := c.peekSocket()
	return c.readBuf.Len() == 0 && errors.Is(err, syscall.EAGAIN)
}

// hasUnreadData looks whether something has come that was not read.
func (c *Conn) hasUnreadData() bool {
	n, err := c.peekSocket()
	return n > 0 && err == nil
}
