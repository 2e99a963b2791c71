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

// Errors of Datagrams.Send beside those of the socket.
var (
	ErrDatagramTooLong = errors.New("datagram too long")
	ErrSocketYielded   = errors.New("socket yielded to another process")
)

// Datagrams is the UDP socket between dispatchers. During a hot restart two processes have it, of which one at a time
// uses it. It is safe for use by several goroutines.
type Datagrams struct {
	conn *net.UDPConn

	mu     sync.Mutex
	resume chan struct{} // closed when another process gives the socket back; nil while this one uses it
}

// Socket returns the socket in a form that can be passed to another process.
func (d *Datagrams) Socket() syscall.Conn { return d.conn }

// Yield leaves the socket to another process. Until Reclaim nothing is received or sent here.
func (d *Datagrams) Yield() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume == nil {
		d.resume = make(chan struct{})
		d.conn.SetReadDeadline(pastDeadline)
	}
}

// Reclaim takes the socket back from the other process.
func (d *Datagrams) Reclaim() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume != nil {
		d.conn.SetReadDeadline(time.Time{})
		close(d.resume)
		d.resume = nil
	}
}

// resumed returns a channel that is closed when the socket is taken back, nil while it isn't yielded.
func (d *Datagrams) resumed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resume
}

// Send sends one datagram of at most settings.MaxMessageBytes. The error is ErrDatagramTooLong, ErrSocketYielded or one
// of the socket.
func (d *Datagrams) Send(to netip.AddrPort, payload []byte) error {
	if len(payload) > settings.MaxMessageBytes {
		return ErrDatagramTooLong
	}
	if d.resumed() != nil {
		return ErrSocketYielded
	}
	if _, err := d.conn.WriteToUDPAddrPort(payload, to); err != nil {
		return fmt.Errorf("sending a datagram: %w", err)
	}
	return nil
}

// Run passes received datagrams to receive until ctx ends, and closes the socket then. payload is valid during the call
// only. One of more than settings.MaxMessageBytes has exactly one byte more. Errors of a read are skipped, as most mean
// that a peer's machine refused an earlier datagram. The error is always nil.
func (d *Datagrams) Run(ctx context.Context, receive func(from netip.AddrPort, payload []byte)) error {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buffer := make([]byte, settings.MaxMessageBytes+1)
	for ctx.Err() == nil {
		if resumed := d.resumed(); resumed != nil {
			select {
			case <-resumed:
			case <-ctx.Done():
			}
			continue
		}
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err == nil:
			receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
	return nil
}
