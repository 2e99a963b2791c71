// Package peernet is a stand-in for the network between dispatchers: datagrams go through it, each pair of
// dispatchers over addresses of its own, and are lost, delayed or held back as it is told.
package peernet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"canvasroute/internal/lab/unit"
)

// Manner is how the network treats datagrams.
type Manner struct {
	Loss   float64       // the share that never arrives
	Delay  time.Duration // one way
	Jitter time.Duration // and up to so much more
	Cut    bool          // nothing arrives
}

// Net carries datagrams between a number of dispatchers.
type Net struct {
	own   []netip.AddrPort   // where each dispatcher listens
	socks [][]*net.UDPConn   // [of][as seen by]: what of sends to by goes through here
	views [][]netip.AddrPort // [by][of]

	mu                 sync.Mutex
	rng                *rand.Rand
	manner             Manner
	Carried, Discarded int // counts
}

// mostDatagram is what the platform lets through; a longer one is discarded.
const mostDatagram = 256

// New opens the sockets of a net between dispatchers that listen at these addresses.
func New(own []netip.AddrPort, m Manner, seed uint64) (*Net, error) {
	n := &Net{own: own, manner: m, rng: unit.Chance(seed, "peers")}
	for of := range own {
		n.socks = append(n.socks, make([]*net.UDPConn, len(own)))
		for by := range own {
			if by == of {
				continue
			}
			pc, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				n.close()
				return nil, fmt.Errorf("peer network: %w", err)
			}
			n.socks[of][by] = pc
		}
	}
	for by := range own {
		view := make([]netip.AddrPort, len(own))
		for of := range own {
			if view[of] = own[of]; of != by {
				view[of] = n.socks[of][by].LocalAddr().(*net.UDPAddr).AddrPort()
			}
		}
		n.views = append(n.views, view)
	}
	return n, nil
}

// View is the dispatchers' addresses as one of them sees them, its own among them.
func (n *Net) View(by int) []netip.AddrPort { return n.views[by] }

// Set changes how datagrams are treated from now on.
func (n *Net) Set(m Manner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.manner = m
}

// Run carries datagrams until ctx ends.
func (n *Net) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, n.close)()
	for to := range n.own {
		for from := range n.own {
			if to != from {
				g.Go(func() error { return n.carry(ctx, from, to) })
			}
		}
	}
	return g.Wait()
}

// carry takes what one dispatcher sends to the address that stands for another, and hands it on from the
// address that stands for the first one there.
func (n *Net) carry(ctx context.Context, from, to int) error {
	b := make([]byte, mostDatagram+1)
	for {
		got, err := n.socks[to][from].Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // a refusal by a dispatcher that is down is no fault of the net
			continue
		}
		late, ok := n.fate(got)
		if !ok {
			continue
		}
		text := append([]byte(nil), b[:got]...)
		send := func() { n.socks[from][to].WriteToUDPAddrPort(text, n.own[to]) }
		if late == 0 {
			send()
			continue
		}
		time.AfterFunc(late, send)
	}
}

// fate draws what becomes of a datagram.
func (n *Net) fate(size int) (late time.Duration, arrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost, more := n.rng.Float64(), n.rng.Float64()
	if n.manner.Cut || lost < n.manner.Loss || size > mostDatagram {
		n.Discarded++
		return 0, false
	}
	n.Carried++
	return n.manner.Delay + time.Duration(more*float64(n.manner.Jitter)), true
}

func (n *Net) close() {
	for _, row := range n.socks {
		for _, pc := range row {
			if pc != nil {
				pc.Close()
			}
		}
	}
}
