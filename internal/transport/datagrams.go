package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"canvasroute/internal/terms"
)

// Datagrams is the socket between dispatchers.
type Datagrams struct{ pc *net.UDPConn }

// ListenDatagrams opens the socket.
func ListenDatagrams(addr netip.AddrPort) (*Datagrams, error) {
	pc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return &Datagrams{pc}, nil
}

// ErrDatagramTooLong is one that may not leave.
var ErrDatagramTooLong = errors.New("datagram too long")

// Send sends one datagram.
func (d *Datagrams) Send(to netip.AddrPort, b []byte) error {
	if len(b) > terms.MessageMost {
		return ErrDatagramTooLong
	}
	if _, err := d.pc.WriteToUDPAddrPort(b, to); err != nil {
		return fmt.Errorf("sending a datagram: %w", err)
	}
	return nil
}

// Run hands on what comes until ctx ends. A refusal by some peer's machine is no fault of the socket.
func (d *Datagrams) Run(ctx context.Context, take func(from netip.AddrPort, b []byte)) error {
	stop := context.AfterFunc(ctx, func() { d.pc.Close() })
	defer stop()
	b := make([]byte, terms.MessageMost+1)
	for ctx.Err() == nil {
		n, from, err := d.pc.ReadFromUDPAddrPort(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err == nil:
			take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
		}
	}
	return nil
}
