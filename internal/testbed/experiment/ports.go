package experiment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
)

// Ports for dispatchers are below the kernel's ephemeral port range. Otherwise an outgoing connection could use the
// port of a dispatcher during its restart.
const (
	minPort         = 10240
	maxPort         = 32767
	maxPortAttempts = 200
)

// Ports are assigned in cyclic order, so that the port of a dispatcher that has no power is not assigned to another
// experiment.
var (
	firstPortOffset = rand.Uint32N(maxPort - minPort) // random start of the cycle, as an offset from minPort
	portsAssigned   atomic.Uint32                     // number of ports assigned or skipped so far
)

// freePort returns a loopback address whose port is free for TCP and UDP. It fails after maxPortAttempts ports in use.
func freePort() (netip.AddrPort, error) {
	loopback := netip.MustParseAddr("127.0.0.1")
	for range maxPortAttempts {
		offset := (firstPortOffset + portsAssigned.Add(1)) % (maxPort - minPort)
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
