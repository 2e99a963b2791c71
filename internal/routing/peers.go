package routing

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"canvasroute/decide"
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

// tell sends peers what the decisions want told.
func (r *Router) tell(ctx context.Context) error {
	b := protocol.AppendNews(nil, uint16(time.Now().UnixMilli()), nil)
	for n, peer := range r.terms.Peers { // a greeting
		if n != r.terms.Position {
			r.send(peer, b)
		}
	}
	for {
		news, err := r.facade.PickNews(ctx)
		if err != nil {
			return nil
		}
		at := uint16(time.Now().UnixMilli())
		for _, n := range news {
			for loads := range slices.Chunk(n.Loads, protocol.MostNews) {
				told := make([]protocol.Load, len(loads))
				for k, l := range loads {
					told[k] = protocol.Load{Tag: r.fleet.tag(l.Tgt), InFlight: l.InFlight}
				}
				b = protocol.AppendNews(b[:0], at, told)
				r.send(r.terms.Peers[n.To], b)
			}
		}
	}
}

func (r *Router) send(to netip.AddrPort, b []byte) {
	if err := r.datagrams.Send(to, b); err != nil {
		r.counts.DatagramsFailed.Add(1)
		return
	}
	r.counts.DatagramsSent.Add(1)
}

// hear takes a datagram. What is malformed, comes from strangers or was overtaken is dropped and counted.
func (r *Router) hear(from netip.AddrPort, b []byte) {
	n := slices.Index(r.terms.Peers, from)
	at, loads, err := protocol.ParseNews(b)
	switch {
	case n < 0 || n == r.terms.Position:
		r.counts.Strangers.Add(1)
		return
	case err != nil:
		r.counts.DatagramsBroken.Add(1)
		return
	}
	if back := r.heard[n].at - at; r.heard[n].any && len(loads) > 0 && back > 0 && back < overtaken {
		r.counts.Overtaken.Add(1)
		return
	}
	r.heard[n] = stamp{at, true}
	r.counts.DatagramsHeard.Add(1)
	if len(loads) == 0 {
		r.facade.ReportPeerStarted(decide.Peer(n))
	}
	for _, l := range loads {
		if w, known := r.fleet.byTag(l.Tag); known {
			r.facade.ReportPeer(decide.Peer(n), decide.Load{Tgt: w, InFlight: l.InFlight})
		}
	}
}
