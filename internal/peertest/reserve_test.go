package peertest

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A port that was only picked and released could be assigned to another socket before the test uses it.
func TestReservedAddressIsNotAssignedToOtherSockets(t *testing.T) {
	address := ReserveAddress(t)
	for range 2 {
		listener, err := net.Listen("tcp", address)
		assert.NoError(t, err, "also after a process that used it has ended")
		assert.NoError(t, listener.Close())
		local := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
		dialer := net.Dialer{LocalAddr: local}
		_, err = dialer.DialContext(context.Background(), "tcp", ClosedAddress)
		assert.ErrorIs(t, err, syscall.EADDRINUSE, "an outgoing connection")
		_, err = net.Dial("tcp", address)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED, "nobody listens")
	}
}
