package proxy

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// overtaken is how far back, in milliseconds, a datagram may have been sent and count as passed by a later
// one; further back its sender has rather started again or been silent.
const overtaken = 4000

// stamp is the time of the latest datagram from a peer.
type stamp struct {
	at  uint16
	any bool
}

// tell sends peers what the decisions of one instance want told.
func (r *Proxy) tell(ctx context.Context, instance int) error {
	if instance == 0 {
		r.greet()
	}
	from := protocol.NoInstance
	if r.facade.Count() > 1 {
		from = instance
	}
	var b []byte
	for {
		news, err := r.facade.NextLoadUpdates(ctx, instance)
		if err != nil {
			return nil
		}
		at := uint16(time.Now().UnixMilli())
		for process, all := range r.byProcess(news) {
			for loads := range slices.Chunk(all, protocol.MaxLoads) {
				b = protocol.AppendLoads(b[:0], at, from, loads)
				r.send(r.terms.Peers[process], b)
			}
		}
	}
}

// greet tells that this process has just started, to those that share workers with it: the others are told
// nothing of it and tell it nothing. It guards against a fleet that restarts at once, each greeting each.
func (r *Proxy) greet() {
	if r.datagrams == nil || r.heir {
		return
	}
	b := protocol.AppendLoads(nil, uint16(time.Now().UnixMilli()), protocol.NoInstance, nil)
	for _, n := range r.facade.GossipPeers() {
		if n < len(r.terms.Peers) {
			r.send(r.terms.Peers[n], b)
		}
	}
}

// greetAgain is the least time between two greetings in answer to one peer's.
const greetAgain = time.Second

// greetBack answers a greeting by one, as long as this process has met nobody who has lived longer and has no
// list: its peer would else take the news from here for that of one who knows what was before.
func (r *Proxy) greetBack(process int) {
	if now := time.Now(); r.datagrams != nil && r.facade.Isolated() && now.Sub(r.greeted[process]) >= greetAgain {
		r.greeted[process] = now
		r.send(r.terms.Peers[process], protocol.AppendLoads(nil, uint16(now.UnixMilli()), protocol.NoInstance, nil))
	}
}

// byProcess gathers news for instances by the process that they are of, each worker once: all instances there
// hear what comes.
func (r *Proxy) byProcess(news []balancer.LoadUpdate) map[int][]protocol.Load {
	out := map[int][]protocol.Load{}
	for _, n := range news {
		process := int(n.To) / r.facade.Count()
		for _, l := range n.Loads {
			told := protocol.Load{Tag: r.fleet.tag(l.Worker), InFlight: l.InFlight}
			if r.facade.Count() == 1 || !slices.Contains(out[process], told) {
				out[process] = append(out[process], told)
			}
		}
	}
	return out
}

func (r *Proxy) send(to netip.AddrPort, b []byte) {
	if err := r.datagrams.Send(to, b); err != nil {
		r.counts.DatagramsFailed.Add(1)
		return
	}
	r.counts.DatagramsSent.Add(1)
}

// hear takes a datagram. What is malformed, comes from strangers or was overtaken is dropped and counted.
func (r *Proxy) hear(from netip.AddrPort, b []byte) {
	n := slices.Index(r.terms.Peers, from)
	at, instance, loads, err := protocol.ParseLoads(b)
	switch {
	case n < 0 || n == r.terms.Position:
		r.counts.Strangers.Add(1)
		return
	case err != nil, instance >= r.facade.Count(): // of a process with more instances: that must not be
		r.counts.DatagramsBroken.Add(1)
		return
	}
	peer := n*r.facade.Count() + instance
	if back := r.heard[peer].at - at; r.heard[peer].any && len(loads) > 0 && back > 0 && back < overtaken {
		r.counts.Overtaken.Add(1)
		return
	}
	r.heard[peer] = stamp{at, true}
	r.counts.DatagramsHeard.Add(1)
	if len(loads) == 0 {
		r.facade.ReceivePeerStarted(n)
		r.greetBack(n)
	}
	for _, l := range loads {
		if w, known := r.fleet.byTag(l.Tag); known {
			r.facade.ReceiveLoad(balancer.PeerID(peer), balancer.Load{Worker: w, InFlight: l.InFlight})
		}
	}
}
