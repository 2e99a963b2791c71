// Package network is a stand-in for the network between dispatchers. It relays datagrams, and loses, delays, duplicates
// or blocks them as configured. Each pair of dispatchers has addresses of its own.
package network

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"canvasroute/internal/testbed/unit"
)

// Conditions are how the network treats datagrams.
type Conditions struct {
	Loss           float64       // share of datagrams lost
	Delay          time.Duration // one way
	Jitter         time.Duration // up to this much more, uniformly distributed
	Partitioned    bool          // nothing is delivered
	DuplicateShare float64       // share delivered twice, the second time after up to maxDuplicateDelay times the delay
}

// maxDuplicateDelay bounds the delay of a duplicate, in multiples of that of the datagram.
const maxDuplicateDelay = 10

// direction is the way from one dispatcher to another, by their indexes.
type direction struct {
	from int
	to   int
}

// Network relays datagrams between dispatchers.
type Network struct {
	listenAddrs []netip.AddrPort   // by dispatcher
	sockets     [][]*net.UDPConn   // [of][by]: the socket that represents dispatcher of to dispatcher by
	views       [][]netip.AddrPort // [by][of]: the address of dispatcher of as dispatcher by sees it

	maxBytes int // size of the largest datagram that is relayed

	mu         sync.Mutex
	partitions map[direction]int // number of faults that cut a direction
	rng        *rand.Rand
	conditions Conditions
	Forwarded  int // number of datagrams; to be read once Run has returned
	Discarded  int // number of datagrams; to be read once Run has returned
}

// Kind is what a network connects dispatchers for. It names the network's random stream.
type Kind string

// The values of Kind. Another text would draw other losses for the same seed.
const (
	Peers Kind = "peers" // datagrams of the platform's network
	Link  Kind = "link"  // messages between the members of a fleet that persists state
)

// PlatformDatagramBytes is the size of the largest datagram that the platform's network delivers.
const PlatformDatagramBytes = 256

// New opens the sockets of a network between dispatchers that listen at these addresses, for datagrams of up to
// maxBytes.
func New(kind Kind, listenAddrs []netip.AddrPort, conditions Conditions, maxBytes int, seed uint64) (*Network, error) {
	n := &Network{
		listenAddrs: listenAddrs,
		conditions:  conditions,
		maxBytes:    maxBytes,
		partitions:  map[direction]int{},
		rng:         unit.RandomStream(seed, string(kind)),
	}
	if err := n.openSockets(); err != nil {
		n.close()
		return nil, fmt.Errorf("peer network: %w", err)
	}
	for by := range listenAddrs {
		view := slices.Clone(listenAddrs)
		for of := range listenAddrs {
			if of != by {
				view[of] = n.sockets[of][by].LocalAddr().(*net.UDPAddr).AddrPort()
			}
		}
		n.views = append(n.views, view)
	}
	return n, nil
}

// openSockets opens a socket for each ordered pair of dispatchers.
func (n *Network) openSockets() (err error) {
	for of := range n.listenAddrs {
		n.sockets = append(n.sockets, make([]*net.UDPConn, len(n.listenAddrs)))
		for by := range n.listenAddrs {
			if by == of {
				continue
			}
			if n.sockets[of][by], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				return err
			}
		}
	}
	return nil
}

// View returns the addresses of all dispatchers as one of them sees them. Its own is the real one.
func (n *Network) View(by int) []netip.AddrPort { return n.views[by] }

// SetConditions changes the conditions for datagrams that arrive from now on.
func (n *Network) SetConditions(conditions Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = conditions
}

// Cut cuts the direction from one dispatcher to another. A direction that was cut twice has to be healed twice.
func (n *Network) Cut(from, to int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[direction{from, to}]++
}

// Heal takes back one Cut of the direction from one dispatcher to another.
func (n *Network) Heal(from, to int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[direction{from, to}]--
}

// Run relays datagrams until ctx ends.
func (n *Network) Run(ctx context.Context) error {
	relays, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, n.close)()
	for to := range n.listenAddrs {
		for from := range n.listenAddrs {
			if to != from {
				relays.Go(func() error { return n.relay(ctx, from, to) })
			}
		}
	}
	return relays.Wait()
}

// relay receives what dispatcher from sends to the address that represents dispatcher to. It forwards that from the
// address that represents the sender to the receiver.
func (n *Network) relay(ctx context.Context, from, to int) error {
	b := make([]byte, n.maxBytes+1) // one more, to recognize datagrams that are too long
	for {
		size, err := n.sockets[to][from].Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // an ICMP refusal by a dispatcher that is down
			continue
		}
		drawn := n.draw(size, from, to)
		if !drawn.arrives {
			continue
		}
		datagram := append([]byte(nil), b[:size]...)
		send := func() { _, _ = n.sockets[from][to].WriteToUDPAddrPort(datagram, n.listenAddrs[to]) }
		if drawn.duplicateDelay > 0 {
			time.AfterFunc(drawn.duplicateDelay, send)
		}
		if drawn.delay == 0 {
			send()
			continue
		}
		time.AfterFunc(drawn.delay, send)
	}
}

// fate is what happens to a datagram.
type fate struct {
	arrives        bool
	delay          time.Duration
	duplicateDelay time.Duration // 0: there is no duplicate
}

// draw draws what happens to a datagram from one dispatcher to another, and counts it.
func (n *Network) draw(size, from, to int) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	lossDraw, jitterDraw := n.rng.Float64(), n.rng.Float64()
	isCut := n.conditions.Partitioned || n.partitions[direction{from, to}] > 0
	if isCut || lossDraw < n.conditions.Loss || size > n.maxBytes {
		n.Discarded++
		return fate{}
	}
	n.Forwarded++
	delay := n.conditions.Delay + time.Duration(jitterDraw*float64(n.conditions.Jitter))
	duplicateDelay := time.Duration(0)
	if n.conditions.DuplicateShare > 0 && n.rng.Float64() < n.conditions.DuplicateShare {
		duplicateDelay = time.Nanosecond + time.Duration(n.rng.Float64()*maxDuplicateDelay*float64(delay))
	}
	return fate{arrives: true, delay: delay, duplicateDelay: duplicateDelay}
}

// close closes all sockets.
func (n *Network) close() {
	for _, row := range n.sockets {
		for _, socket := range row {
			if socket != nil {
				socket.Close()
			}
		}
	}
}
