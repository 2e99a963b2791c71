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

// Errors returned by DatagramSocket.Send, in addition to those of the socket.
var (
	ErrDatagramTooLong = errors.New("datagram too long")
	ErrSocketYielded   = errors.New("socket yielded to another process")
)

// DatagramSocket is the UDP socket for messages between dispatchers. During a hot restart two processes share the
// socket, and only one of them uses it at any time. It is safe for concurrent use.
type DatagramSocket struct {
	conn *net.UDPConn

	mu     sync.Mutex
	resume chan struct{} // closed by Reclaim; nil while this process uses the socket
}

// Socket returns the underlying socket, which can be passed to another process.
func (d *DatagramSocket) Socket() syscall.Conn { return d.conn }

// Yield lets another process use the socket. Until Reclaim is called, this process neither receives nor sends
// datagrams.
func (d *DatagramSocket) Yield() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume == nil {
		d.resume = make(chan struct{})
		d.conn.SetReadDeadline(pastDeadline)
	}
}

// Reclaim resumes the use of the socket by this process.
func (d *DatagramSocket) Reclaim() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume != nil {
		d.conn.SetReadDeadline(time.Time{})
		close(d.resume)
		d.resume = nil
	}
}

// resumed returns a channel that is closed when the socket is reclaimed. It returns nil if the socket is not yielded.
func (d *DatagramSocket) resumed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resume
}

// Send sends one datagram of at most settings.MaxMessageBytes. It returns ErrDatagramTooLong, ErrSocketYielded or an
// error of the socket.
func (d *DatagramSocket) Send(to netip.AddrPort, payload []byte) error {
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

// Run passes received datagrams to receive until ctx ends, and then closes the socket. payload is valid only during the
// call of receive. Datagrams longer than settings.MaxMessageBytes are truncated to settings.MaxMessageBytes+1 bytes.
// Read errors are ignored, because most of them report that a peer's host refused an earlier datagram. Run always
// returns nil.
func (d *DatagramSocket) Run(ctx context.Context, receive func(from netip.AddrPort, payload []byte)) error {
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
