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

// ListenClients listens for clients at an address. A listener that a predecessor has handed over is used as
// it is: both processes have one queue then, and what waits in it is lost with neither. Else, where the
// address may be shared, a second process of this dispatcher can listen there too, with a queue of its own.
func ListenClients(addr string, handed *os.File, shared bool) (*net.TCPListener, error) {
	ln, err := listenOn(handed, shared, net.FileListener, func(c net.ListenConfig) (net.Listener, error) {
		return c.Listen(context.Background(), "tcp", addr)
	})
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listening for clients: %v was handed over, which is not TCP", ln.Addr())
	}
	return tcp, nil
}

// ListenDatagrams opens the socket between dispatchers, or takes the one handed over.
func ListenDatagrams(addr netip.AddrPort, handed *os.File, shared bool) (*Datagrams, error) {
	pc, err := listenOn(handed, shared, net.FilePacketConn, func(c net.ListenConfig) (net.PacketConn, error) {
		return c.ListenPacket(context.Background(), "udp", addr.String())
	})
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	udp, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("listening for peers: %v was handed over, which is not UDP", pc.LocalAddr())
	}
	return newDatagrams(udp), nil
}

func listenOn[T any](handed *os.File, shared bool, take func(*os.File) (T, error),
	open func(net.ListenConfig) (T, error),
) (T, error) {
	if handed != nil {
		defer handed.Close()
		return take(handed)
	}
	var c net.ListenConfig
	if shared {
		c.Control = setReusePort
	}
	return open(c)
}

// shrinkBacklog lets the system hold but one connection for a listener that is about to end, beside those it holds
// already. Who finds it taken is not answered yet, and asks again once nobody listens.
func shrinkBacklog(ln syscall.Conn) (err error) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("narrowing the queue: %w", err)
	}
	held := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
	if err = errors.Join(err, held); err != nil {
		return fmt.Errorf("narrowing the queue: %w", err)
	}
	return nil
}

// setReusePort lets more than one socket of this user be bound to the address.
func setReusePort(_, _ string, raw syscall.RawConn) (err error) {
	held := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if held != nil {
		return held
	}
	return err
}
