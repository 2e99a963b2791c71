package experiment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

// Ports for dispatchers are below the kernel's range for outgoing connections, which could otherwise take a port while
// its dispatcher restarts.
const (
	minPort         = 10240
	maxPort         = 32767
	maxPortAttempts = 200
)

// Ports are assigned in a ring, so that one whose dispatcher has no power at the moment is not assigned to another
// experiment.
var (
	firstPort  = rand.Uint32N(maxPort - minPort) // where the ring begins, as an offset from minPort
	portsTaken atomic.Uint32                     // number of ports assigned
)

// freePort returns an address on loopback whose port is free for TCP and UDP.
func freePort() (netip.AddrPort, error) {
	loopback := netip.MustParseAddr("127.0.0.1")
	for range maxPortAttempts {
		offset := (firstPort + portsTaken.Add(1)) % (maxPort - minPort)
		addr := netip.AddrPortFrom(loopback, uint16(minPort+offset))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		ln.Close()
		packets, err := net.ListenPacket("udp", addr.String())
		if err != nil {
			continue
		}
		packets.Close()
		return addr, nil
	}
	return netip.AddrPort{}, fmt.Errorf("no free port found on %v from %d to %d", loopback, minPort, maxPort)
}
