// Package network is a stand-in for the network between dispatchers: datagrams go through it, each pair of
// dispatchers over addresses of its own, and are lost, delayed or held back as it is told.
package network

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"canvasroute/internal/testbed/unit"
)

// Conditions is how the network treats datagrams.
type Conditions struct {
	Loss           float64       // the share that never arrives
	Delay          time.Duration // one way
	Jitter         time.Duration // and up to so much more
	Partitioned    bool          // nothing arrives
	DuplicateShare float64       // the share that arrives twice, the second time up to tenfold as late
}

// Network carries datagrams between a number of dispatchers.
type Network struct {
	listenAddrs []netip.AddrPort   // where each dispatcher listens
	sockets     [][]*net.UDPConn   // [of][as seen by]: what of sends to by goes through here
	views       [][]netip.AddrPort // [by][of]

	maxBytes int // bytes of one datagram

	mu                 sync.Mutex
	partitions         map[[2]int]int // by from and to: troubles that cut this way off
	rng                *rand.Rand
	conditions         Conditions
	Carried, Discarded int // counts
}

// PlatformDatagramBytes is how long a datagram the platform lets through; a longer one is discarded.
const PlatformDatagramBytes = 256

// New opens the sockets of a net between dispatchers that listen at these addresses, for datagrams of up to most
// bytes.
func New(listenAddrs []netip.AddrPort, m Conditions, maxBytes int, seed uint64) (*Network, error) {
	stream := "peers"
	if maxBytes != PlatformDatagramBytes {
		stream = "link"
	}
	n := &Network{
		listenAddrs: listenAddrs, conditions: m, maxBytes: maxBytes, partitions: map[[2]int]int{},
		rng: unit.RandomStream(seed, stream),
	}
	for of := range listenAddrs {
		n.sockets = append(n.sockets, make([]*net.UDPConn, len(listenAddrs)))
		for by := range listenAddrs {
			if by == of {
				continue
			}
			pc, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				n.close()
				return nil, fmt.Errorf("peer network: %w", err)
			}
			n.sockets[of][by] = pc
		}
	}
	for by := range listenAddrs {
		view := make([]netip.AddrPort, len(listenAddrs))
		for of := range listenAddrs {
			if view[of] = listenAddrs[of]; of != by {
				view[of] = n.sockets[of][by].LocalAddr().(*net.UDPAddr).AddrPort()
			}
		}
		n.views = append(n.views, view)
	}
	return n, nil
}

// View is the dispatchers' addresses as one of them sees them, its own among them.
func (n *Network) View(by int) []netip.AddrPort { return n.views[by] }

// SetConditions changes how datagrams are treated from now on.
func (n *Network) SetConditions(m Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = m
}

// SetPartition cuts the way from one dispatcher to another, or heals it. A way that is cut twice has to be healed twice.
func (n *Network) SetPartition(from, to int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.partitions[[2]int{from, to}]++
	} else {
		n.partitions[[2]int{from, to}]--
	}
}

// Run carries datagrams until ctx ends.
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

// relay takes what one dispatcher sends to the address that stands for another, and hands it on from the
// address that stands for the first one there.
func (n *Network) relay(ctx context.Context, from, to int) error {
	b := make([]byte, n.maxBytes+1)
	for {
		got, err := n.sockets[to][from].Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // a refusal by a dispatcher that is down is no fault of the net
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

// draw draws what becomes of a datagram: how late it is, and its second copy if there is one.
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
