package transport

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP socket, as reported by TCP_INFO.
const (
	tcpEstablished = unix.BPF_TCP_ESTABLISHED
	tcpClosed      = unix.BPF_TCP_CLOSE
	tcpCloseWait   = unix.BPF_TCP_CLOSE_WAIT // the peer has closed its sending side
)

// withDescriptor calls use with the file descriptor of a socket.
func withDescriptor(socket syscall.Conn, use func(fd int)) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) })
}

// socketInfo describes a TCP socket.
type socketInfo struct {
	state         uint8         // as in TCP_INFO; unknownState if it can't be determined
	sinceLastData time.Duration // time since data was last received, in milliseconds; 0 if it can't be determined
	unread        int           // received bytes that have not been read; unknownUnread if it can't be determined
}

const (
	unknownState  = 0 // not a state of TCP_INFO
	unknownUnread = -1
)

// inspectSocket returns the present state of a TCP socket.
func inspectSocket(socket syscall.Conn) socketInfo {
	s := socketInfo{unread: unknownUnread}
	_ = withDescriptor(socket, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s.state = info.State
			s.sinceLastData = time.Duration(info.Last_data_recv) * time.Millisecond
		}
		if unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			s.unread = unread
		}
	})
	return s
}

// tcpState returns the state of a TCP socket and the number of received bytes that have not been read. If the state
// can't be determined, it is tcpClosed. If the number can't be determined, it is maxUnreadBytes+1.
func tcpState(socket syscall.Conn) (state uint8, unread int) {
	info := inspectSocket(socket)
	if info.state == unknownState {
		info.state = tcpClosed
	}
	if info.unread == unknownUnread {
		info.unread = maxUnreadBytes + 1
	}
	return info.state, info.unread
}

// peekSocket returns the results of a read of one byte without blocking or consuming data. At the end of the stream it
// returns 0 and no error. The error is syscall.EAGAIN if no data is available, and errors.ErrUnsupported if the
// connection isn't a socket.
func (c *Conn) peekSocket() (n int, err error) {
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	buffer := make([]byte, 1)
	inspectErr := withDescriptor(socket, func(fd int) {
		n, _, err = syscall.Recvfrom(fd, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, inspectErr)
}

// readable reports whether a read would return immediately with data, the end of the stream or an error. An idle
// connection that is readable can't be reused.
func (c *Conn) readable() bool {
	_, err := c.peekSocket()
	return c.readBuf.Len() > 0 || !errors.Is(err, syscall.EAGAIN)
}

// hasUnreadData reports whether the socket has received data that has not been read.
func (c *Conn) hasUnreadData() bool {
	n, err := c.peekSocket()
	return n > 0 && err == nil
}
