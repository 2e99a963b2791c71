// Package network simulates the network between dispatchers for the testbed. It relays datagrams, and drops, delays,
// duplicates or blocks them as configured. Each ordered pair of dispatchers has its own relay address.
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

// Conditions configure the loss, delay and duplication of datagrams.
type Conditions struct {
	Loss           float64       // share of datagrams lost
	Delay          time.Duration // one way
	Jitter         time.Duration // maximum additional delay, uniformly distributed
	Partitioned    bool          // nothing is delivered
	DuplicateShare float64       // share of datagrams delivered twice; for the second delivery, see maxDuplicateDelay
}

// maxDuplicateDelay is the maximum delay of a duplicate, as a multiple of the delay of the original datagram.
const maxDuplicateDelay = 10

// direction identifies the path from one dispatcher to another by their indexes.
type direction struct {
	from int
	to   int
}

// Network relays datagrams between dispatchers.
type Network struct {
	listenAddrs  []netip.AddrPort   // by dispatcher
	relaySockets [][]*net.UDPConn   // [target][viewer]: represents the target to the viewer
	views        [][]netip.AddrPort // [viewer][target]: the target's address for the viewer

	maxBytes int // maximum size of a datagram that is relayed

	mu         sync.Mutex
	cutCounts  map[direction]int // number of faults that currently cut each direction
	rng        *rand.Rand
	conditions Conditions
	Forwarded  int // number of datagrams; may be read after Run has returned
	Discarded  int // number of datagrams; may be read after Run has returned
}

// Kind is the purpose of a network. It is also the name of the network's random stream.
type Kind string

// The values of Kind. Changing a text would change which datagrams are lost for the same seed.
const (
	Peers Kind = "peers" // the platform's network between dispatchers
	Link  Kind = "link"  // messages between the members of a fleet that persists its state
)

// PlatformDatagramBytes is the maximum size of a datagram that the platform's network delivers.
const PlatformDatagramBytes = 256

// New opens the sockets of a network between dispatchers that listen at listenAddrs. The network discards datagrams
// that are larger than maxBytes.
func New(kind Kind, listenAddrs []netip.AddrPort, conditions Conditions, maxBytes int, seed uint64) (*Network, error) {
	n := &Network{
		listenAddrs: listenAddrs,
		conditions:  conditions,
		maxBytes:    maxBytes,
		cutCounts:   map[direction]int{},
		rng:         unit.RandomStream(seed, string(kind)),
	}
	if err := n.openSockets(); err != nil {
		n.close()
		return nil, fmt.Errorf("network between dispatchers: %w", err)
	}
	for viewer := range listenAddrs {
		view := slices.Clone(listenAddrs)
		for target := range listenAddrs {
			if target != viewer {
				view[target] = n.relaySockets[target][viewer].LocalAddr().(*net.UDPAddr).AddrPort()
			}
		}
		n.views = append(n.views, view)
	}
	return n, nil
}

// openSockets opens a socket for each ordered pair of dispatchers.
func (n *Network) openSockets() (err error) {
	for target := range n.listenAddrs {
		n.relaySockets = append(n.relaySockets, make([]*net.UDPConn, len(n.listenAddrs)))
		for viewer := range n.listenAddrs {
			if viewer == target {
				continue
			}
			if n.relaySockets[target][viewer], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				return err
			}
		}
	}
	return nil
}

// View returns the addresses that a dispatcher has to use for all dispatchers: relay addresses for the others, and the
// real address for itself.
func (n *Network) View(viewer int) []netip.AddrPort { return n.views[viewer] }

// SetConditions sets the conditions for all datagrams that arrive after the call.
func (n *Network) SetConditions(conditions Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = conditions
}

// Cut blocks datagrams from one dispatcher to another. Each call of Cut requires a call of Heal.
func (n *Network) Cut(from, to int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutCounts[direction{from, to}]++
}

// Heal reverts one call of Cut for the same direction.
func (n *Network) Heal(from, to int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutCounts[direction{from, to}]--
}

// Run relays datagrams until ctx is done, and then closes the sockets.
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

// relay receives the datagrams that dispatcher from sends to the socket that represents dispatcher to, and forwards
// them to the real address of dispatcher to. The receiver gets them from the address that represents the sender.
func (n *Network) relay(ctx context.Context, from, to int) error {
	b := make([]byte, n.maxBytes+1) // one byte more, to detect datagrams that are too long
	for {
		size, err := n.relaySockets[to][from].Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // an ICMP error, because a dispatcher is down
			continue
		}
		delivery := n.drawDelivery(size, from, to)
		if !delivery.isDelivered {
			continue
		}
		datagram := append([]byte(nil), b[:size]...)
		send := func() { _, _ = n.relaySockets[from][to].WriteToUDPAddrPort(datagram, n.listenAddrs[to]) }
		if delivery.duplicateDelay > 0 {
			time.AfterFunc(delivery.duplicateDelay, send)
		}
		if delivery.delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delivery.delay, send)
	}
}

// delivery specifies whether and when a datagram is delivered.
type delivery struct {
	isDelivered    bool
	delay          time.Duration
	duplicateDelay time.Duration // 0: no duplicate
}

// drawDelivery decides at random how a datagram is delivered, and counts it.
func (n *Network) drawDelivery(size, from, to int) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	lossDraw, jitterDraw := n.rng.Float64(), n.rng.Float64()
	isCut := n.conditions.Partitioned || n.cutCounts[direction{from, to}] > 0
	if isCut || lossDraw < n.conditions.Loss || size > n.maxBytes {
		n.Discarded++
		return delivery{}
	}
	n.Forwarded++
	delay := n.conditions.Delay + time.Duration(jitterDraw*float64(n.conditions.Jitter))
	duplicateDelay := time.Duration(0)
	if n.conditions.DuplicateShare > 0 && n.rng.Float64() < n.conditions.DuplicateShare {
		duplicateDelay = time.Nanosecond + time.Duration(n.rng.Float64()*maxDuplicateDelay*float64(delay))
	}
	return delivery{isDelivered: true, delay: delay, duplicateDelay: duplicateDelay}
}

// close closes all sockets.
func (n *Network) close() {
	for _, row := range n.relaySockets {
		for _, socket := range row {
			if socket != nil {
				socket.Close()
			}
		}
	}
}
