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

// Manner is how the network treats datagrams.
type Manner struct {
	Loss   float64       // the share that never arrives
	Delay  time.Duration // one way
	Jitter time.Duration // and up to so much more
	Cut    bool          // nothing arrives
	Double float64       // the share that arrives twice, the second time up to tenfold as late
}

// Net carries datagrams between a number of dispatchers.
type Net struct {
	own   []netip.AddrPort   // where each dispatcher listens
	socks [][]*net.UDPConn   // [of][as seen by]: what of sends to by goes through here
	views [][]netip.AddrPort // [by][of]

	most int // bytes of one datagram

	mu                 sync.Mutex
	cut                map[[2]int]int // by from and to: troubles that cut this way off
	rng                *rand.Rand
	manner             Manner
	Carried, Discarded int // counts
}

// Platform is how long a datagram the platform lets through; a longer one is discarded.
const Platform = 256

// New opens the sockets of a net between dispatchers that listen at these addresses, for datagrams of up to most
// bytes.
func New(own []netip.AddrPort, m Manner, most int, seed uint64) (*Net, error) {
	stream := "peers"
	if most != Platform {
		stream = "link"
	}
	n := &Net{
		own: own, manner: m, most: most, cut: map[[2]int]int{},
		rng: unit.Chance(seed, stream),
	}
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

// Sever cuts the way from one dispatcher to another, or heals it. A way that is cut twice has to be healed twice.
func (n *Net) Sever(from, to int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[[2]int{from, to}]++
	} else {
		n.cut[[2]int{from, to}]--
	}
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
	b := make([]byte, n.most+1)
	for {
		got, err := n.socks[to][from].Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // a refusal by a dispatcher that is down is no fault of the net
			continue
		}
		late, again, ok := n.fate(got, from, to)
		if !ok {
			continue
		}
		text := append([]byte(nil), b[:got]...)
		send := func() { _, _ = n.socks[from][to].WriteToUDPAddrPort(text, n.own[to]) }
		if again > 0 {
			time.AfterFunc(again, send)
		}
		if late == 0 {
			send()
			continue
		}
		time.AfterFunc(late, send)
	}
}

// fate draws what becomes of a datagram: how late it is, and its second copy if there is one.
func (n *Net) fate(size, from, to int) (late, again time.Duration, arrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost, more := n.rng.Float64(), n.rng.Float64()
	if n.manner.Cut || n.cut[[2]int{from, to}] > 0 || lost < n.manner.Loss || size > n.most {
		n.Discarded++
		return 0, 0, false
	}
	n.Carried++
	late = n.manner.Delay + time.Duration(more*float64(n.manner.Jitter))
	if n.manner.Double > 0 && n.rng.Float64() < n.manner.Double {
		again = 1 + time.Duration(n.rng.Float64()*10*float64(late))
	}
	return late, again, true
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
