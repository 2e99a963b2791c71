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

// ListenOptions say how a socket is opened where a second process of this dispatcher may serve at the same address.
type ListenOptions struct {
	// Inherited is the predecessor's socket, which is used instead of a new one; nil without a predecessor. Both
	// processes then accept from one queue, which outlives either.
	Inherited *os.File
	// ReusePort lets a second process listen at the same address, with a queue of its own.
	ReusePort bool
}

// ListenClients listens for clients at a TCP address.
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

// ListenDatagrams opens the UDP socket between dispatchers, or uses the inherited one.
func ListenDatagrams(addr netip.AddrPort, options ListenOptions) (*Datagrams, error) {
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
	return &Datagrams{conn: udp}, nil
}

// openOrInherit returns a socket of the inherited file, which it closes, or opens a new one where there is none.
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

// shrinkBacklog limits the queue of a listener that is about to be closed to one connection. Connections that are queued
// already stay. The kernel does not answer a client that finds the queue full; it tries again later.
func shrinkBacklog(ln syscall.Conn) error {
	var listenErr error
	inspectErr := withDescriptor(ln, func(fd int) { listenErr = unix.Listen(fd, 0) })
	if err := errors.Join(listenErr, inspectErr); err != nil {
		return fmt.Errorf("shrinking the listener's backlog: %w", err)
	}
	return nil
}

// setReusePort lets more than one socket of this user be bound to the address.
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
