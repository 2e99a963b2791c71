package peertest

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// ReserveAddress returns a TCP address of the loopback interface on which the test, or a process that it starts, can
// listen. Until the test ends a bound socket keeps the port from being assigned to any other socket. The socket doesn't
// listen, so connections are refused until another one does.
func ReserveAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	address, err := bindShared(fd)
	if err != nil {
		t.Fatal(err)
	}
	return address.String()
}

// bindShared binds a socket to a free port of the loopback interface. Sockets with SO_REUSEADDR or SO_REUSEPORT may be
// bound to the same port.
func bindShared(fd int) (netip.AddrPort, error) {
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1); err != nil {
			return netip.AddrPort{}, err
		}
	}
	loopback := netip.MustParseAddr("127.0.0.1")
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(loopback, uint16(bound.(*unix.SockaddrInet4).Port)), nil
}

// packetHosts counts the loopback hosts that UnusedPacketAddress has used.
var packetHosts atomic.Int64

// Range of the loopback hosts of UnusedPacketAddress. The second byte depends on the process, so that the tests of
// several packages, which run at the same time, have different hosts.
const (
	firstHostByte  = 40
	processHosts   = 100
	hostsPerSubnet = 250
)

// UnusedPacketAddress returns a UDP address on a loopback host of its own. No other socket is bound to this host, so the
// port stays free until the test, or a process that it starts, uses it.
func UnusedPacketAddress(t *testing.T) string {
	t.Helper()
	n := packetHosts.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", firstHostByte+os.Getpid()%processHosts, n/hostsPerSubnet, 1+n%hostsPerSubnet)
	conn, err := net.ListenPacket("udp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}
