package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/settings"
)

// Datagrams is the socket between dispatchers.
type Datagrams struct {
	pc *net.UDPConn

	mu     sync.Mutex
	resume chan struct{} // closed when another process no longer has the socket's turn; nil while it is ours
}

func newDatagrams(pc *net.UDPConn) *Datagrams { return &Datagrams{pc: pc} }

// Socket is what can be handed over.
func (d *Datagrams) Socket() syscall.Conn { return d.pc }

// Yield leaves the socket to another process that has it too, or takes it back: meanwhile nothing is read
// here, and nothing sent.
func (d *Datagrams) Yield(yield bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case yield && d.resume == nil:
		d.resume = make(chan struct{})
		d.pc.SetReadDeadline(time.Unix(1, 0))
	case !yield && d.resume != nil:
		d.pc.SetReadDeadline(time.Time{})
		close(d.resume)
		d.resume = nil
	}
}

func (d *Datagrams) yielded() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resume
}

// The ways that a datagram does not leave.
var (
	ErrDatagramTooLong = errors.New("datagram too long")
	ErrSocketYielded   = errors.New("another process has the socket")
)

// Send sends one datagram.
func (d *Datagrams) Send(to netip.AddrPort, b []byte) error {
	if len(b) > settings.MaxMessageBytes {
		return ErrDatagramTooLong
	}
	if d.yielded() != nil {
		return ErrSocketYielded
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
	b := make([]byte, settings.MaxMessageBytes+1)
	for ctx.Err() == nil {
		if resume := d.yielded(); resume != nil {
			select {
			case <-resume:
			case <-ctx.Done():
			}
			continue
		}
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
