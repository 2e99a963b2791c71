package messaging

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Socket carries messages between the members of a fleet.
type Socket struct {
	conn    *net.UDPConn
	members []netip.AddrPort
	log     zerolog.Logger

	Sent, Bytes, Failed, Heard, Malformed, Strangers atomic.Int64
}

// Listen opens the socket of one member. Members are all of them by number, its own among them.
func Listen(addr netip.AddrPort, members []netip.AddrPort, log zerolog.Logger) (*Socket, error) {
	pc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listening for the fleet: %w", err)
	}
	return &Socket{conn: pc, members: members, log: log}, nil
}

// Send sends one message to a member.
func (s *Socket) Send(to int, m *Message) {
	b, err := Encode(m)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(b, s.members[to])
	}
	if err != nil {
		s.Failed.Add(1)
		return
	}
	s.Sent.Add(1)
	s.Bytes.Add(int64(len(b)))
}

// Run hands on what members send until ctx ends.
func (s *Socket) Run(ctx context.Context, take func(from int, m *Message)) error {
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	b := make([]byte, MaxDatagramBytes+1)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // a refusal by some member's machine is no fault of the socket
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		member := slices.Index(s.members, from)
		if member < 0 {
			s.Strangers.Add(1)
			continue
		}
		m, err := Decode(b[:n])
		if err != nil {
			s.Malformed.Add(1)
			s.log.Debug().Err(err).Str("addr", from.String()).Msg("message of the fleet")
			continue
		}
		s.Heard.Add(1)
		take(member, m)
	}
	return nil
}

// Close ends the socket.
func (s *Socket) Close() error { return s.conn.Close() }
