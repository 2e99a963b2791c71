// Package network is a stand-in for the network between dispatchers. It relays datagrams, for each pair of dispatchers
// over addresses of its own, and loses, delays, duplicates or blocks them as configured.
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
	DuplicateShare float64       // share delivered twice, the second time with up to ten times the delay
}

// Network relays datagrams between dispatchers.
type Network struct {
	listenAddrs []netip.AddrPort   // by dispatcher
	sockets     [][]*net.UDPConn   // [of][by]: the socket that represents dispatcher of to dispatcher by
	views       [][]netip.AddrPort // [by][of]: the address of dispatcher of as dispatcher by sees it

	maxBytes int // largest datagram that is relayed

	mu                 sync.Mutex
	partitions         map[[2]int]int // by sender and receiver: number of faults that cut this direction
	rng                *rand.Rand
	conditions         Conditions
	Carried, Discarded int // datagrams; to be read once Run has returned
}

// PlatformDatagramBytes is the largest datagram that the platform's network delivers.
const PlatformDatagramBytes = 256

// New opens the sockets of a network between dispatchers that listen at these addresses, for datagrams of up to
// maxBytes.
func New(listenAddrs []netip.AddrPort, conditions Conditions, maxBytes int, seed uint64) (*Network, error) {
	stream := "peers"
	if maxBytes != PlatformDatagramBytes {
		stream = "link"
	}
	n := &Network{
		listenAddrs: listenAddrs, conditions: conditions, maxBytes: maxBytes, partitions: map[[2]int]int{},
		rng: unit.RandomStream(seed, stream),
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
func (n *Network) SetConditions(m Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = m
}

// SetPartition cuts the direction from one dispatcher to another, or heals it. Cuts count: a direction that was cut
// twice has to be healed twice.
func (n *Network) SetPartition(from, to int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.partitions[[2]int{from, to}]++
	} else {
		n.partitions[[2]int{from, to}]--
	}
}

// Run relays datagrams until ctx ends.
func (n *Network) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, n.close)()
	for to := range n.listenAddrs {
		for from := range n.listenAddrs {
			if to != from {
				g.Go(func() error { return n.relay(ctx, from, to) })
			}
		}
	}
	return g.Wait()
}

// relay receives what dispatcher from sends to the address that represents dispatcher to, and sends it on from the
// address that represents the sender to the receiver.
func (n *Network) relay(ctx context.Context, from, to int) error {
	b := make([]byte, n.maxBytes+1)
	for {
		got, err := n.sockets[to][from].Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // an ICMP refusal by a dispatcher that is down
			continue
		}
		delay, duplicateDelay, ok := n.draw(got, from, to)
		if !ok {
			continue
		}
		text := append([]byte(nil), b[:got]...)
		send := func() { _, _ = n.sockets[from][to].WriteToUDPAddrPort(text, n.listenAddrs[to]) }
		if duplicateDelay > 0 {
			time.AfterFunc(duplicateDelay, send)
		}
		if delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delay, send)
	}
}

// draw decides what happens to a datagram: its delay, and that of a duplicate or 0 for none.
func (n *Network) draw(size, from, to int) (delay, duplicateDelay time.Duration, arrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost, jitter := n.rng.Float64(), n.rng.Float64()
	if n.conditions.Partitioned || n.partitions[[2]int{from, to}] > 0 || lost < n.conditions.Loss || size > n.maxBytes {
		n.Discarded++
		return 0, 0, false
	}
	n.Carried++
	delay = n.conditions.Delay + time.Duration(jitter*float64(n.conditions.Jitter))
	if n.conditions.DuplicateShare > 0 && n.rng.Float64() < n.conditions.DuplicateShare {
		duplicateDelay = 1 + time.Duration(n.rng.Float64()*10*float64(delay))
	}
	return delay, duplicateDelay, true
}

func (n *Network) close() {
	for _, row := range n.sockets {
		for _, pc := range row {
			if pc != nil {
				pc.Close()
			}
		}
	}
}
