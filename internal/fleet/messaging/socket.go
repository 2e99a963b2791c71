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

// Socket sends and receives messages between the members of a fleet. Send is safe for concurrent use.
type Socket struct {
	conn    *net.UDPConn
	members []netip.AddrPort // by position
	log     zerolog.Logger

	// Counters since the socket was opened.
	Sent           atomic.Int64 // messages
	SentBytes      atomic.Int64 // of the messages sent
	SendErrors     atomic.Int64 // messages that could not be encoded or sent
	Received       atomic.Int64 // messages from members
	Malformed      atomic.Int64 // datagrams from members that are not valid messages
	UnknownSenders atomic.Int64 // datagrams from senders that are not members
}

// Listen opens the socket of a member at its address. members holds the addresses of all members by position.
func Listen(address netip.AddrPort, members []netip.AddrPort, log zerolog.Logger) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listening for fleet messages: %w", err)
	}
	return &Socket{conn: conn, members: members, log: log}, nil
}

// Send sends a message to the member at position to. An error is only counted: the protocol handles it like a lost
// message.
func (s *Socket) Send(to int, msg *Message) {
	datagram, err := Encode(msg)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(datagram, s.members[to])
	}
	if err != nil {
		s.SendErrors.Add(1)
		return
	}
	s.Sent.Add(1)
	s.SentBytes.Add(int64(len(datagram)))
}

// Run calls receive for each message from a member, with the sender's position, until ctx is canceled. It then closes
// the socket.
func (s *Socket) Run(ctx context.Context, receive func(from int, msg *Message)) error {
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	datagram := make([]byte, MaxDatagramBytes+1) // one extra byte, so that a datagram that is too long is detected
	for ctx.Err() == nil {
		size, from, err := s.conn.ReadFromUDPAddrPort(datagram)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // for example an ICMP message that a member's port is closed
			continue
		}
		s.receive(datagram[:size], from, receive)
	}
	return nil
}

// receive counts a datagram, and calls the function receive with its message if the sender is a member. An IPv4 sender
// is matched by its IPv4 address even on a dual-stack socket.
func (s *Socket) receive(datagram []byte, from netip.AddrPort, receive func(from int, msg *Message)) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	position := slices.Index(s.members, from)
	if position < 0 {
		s.UnknownSenders.Add(1)
		return
	}
	msg, err := Decode(datagram)
	if err != nil {
		s.Malformed.Add(1)
		s.log.Debug().Err(err).Str("addr", from.String()).Msg("malformed fleet message ignored")
		return
	}
	s.Received.Add(1)
	receive(position, msg)
}

// Close closes the socket.
func (s *Socket) Close() error { return s.conn.Close() }
