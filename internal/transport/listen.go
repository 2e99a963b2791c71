package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenOptions configure how a socket is opened if two processes of this dispatcher may serve at the same address.
type ListenOptions struct {
	// Inherited is the socket of the predecessor, which is used instead of a new one, or nil if there is none. Both
	// processes then accept from the same queue, which exists until both have closed the socket.
	Inherited *os.File
	// ReusePort allows a second process to listen at the same address with a separate queue.
	ReusePort bool
}

// ListenClients listens for clients at a TCP address, or uses the inherited socket.
func ListenClients(addr string, options ListenOptions) (*net.TCPListener, error) {
	ln, err := openOrInherit(options, net.FileListener, func(c net.ListenConfig) (net.Listener, error) {
		return c.Listen(context.Background(), "tcp", addr)
	})
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listening for clients: inherited socket %v is not TCP", ln.Addr())
	}
	return tcp, nil
}

// ListenDatagrams opens the UDP socket for messages between dispatchers, or uses the inherited socket.
func ListenDatagrams(addr netip.AddrPort, options ListenOptions) (*DatagramSocket, error) {
	pc, err := openOrInherit(options, net.FilePacketConn, func(c net.ListenConfig) (net.PacketConn, error) {
		return c.ListenPacket(context.Background(), "udp", addr.String())
	})
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	udp, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("listening for peers: inherited socket %v is not UDP", pc.LocalAddr())
	}
	return &DatagramSocket{conn: udp}, nil
}

// openOrInherit returns the socket of the inherited file, which it closes, or opens a new socket if there is none.
func openOrInherit[T any](options ListenOptions, inherit func(*os.File) (T, error),
	open func(net.ListenConfig) (T, error),
) (T, error) {
	if options.Inherited != nil {
		defer options.Inherited.Close()
		return inherit(options.Inherited)
	}
	var config net.ListenConfig
	if options.ReusePort {
		config.Control = setReusePort
	}
	return open(config)
}

// shrinkBacklog limits the queue of a listener that is about to be closed to one connection. Connections already in the
// queue remain there. While the queue is full, the kernel drops connection attempts silently, and clients retry them.
func shrinkBacklog(ln syscall.Conn) error {
	var listenErr error
	inspectErr := withDescriptor(ln, func(fd int) { listenErr = unix.Listen(fd, 0) })
	if err := errors.Join(listenErr, inspectErr); err != nil {
		return fmt.Errorf("shrinking the listener's backlog: %w", err)
	}
	return nil
}

// setReusePort allows several sockets of the same user to be bound to the address.
func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}
