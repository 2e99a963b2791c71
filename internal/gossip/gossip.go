// Package gossip exchanges load between dispatchers over datagrams: how many attempts each has in flight at a worker.
//
// A datagram without loads is a hello: its sender has just started. Datagrams may get lost, and one that a later one
// has overtaken is dropped by its timestamp. Whom to send what is up to the balancer, which also receives what peers
// send. The package knows workers only by their tags.
package gossip

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

const (
	// maxReorderMillis is how much older a datagram may be than the last one and count as reordered. One
	// that is older still comes from a sender that has restarted or was silent: timestamps have 16 bits.
	maxReorderMillis = 4000
	// helloReplyInterval is the least time between two replies to hellos of one peer.
	helloReplyInterval = time.Second
)

// Endpoints translates between the numbers of workers here and their tags in datagrams.
type Endpoints interface {
	Tag(worker balancer.WorkerID) uint16
	ByTag(tag uint16) (worker balancer.WorkerID, known bool)
}

// Config configures an Exchange.
type Config struct {
	Peers     []netip.AddrPort // all dispatchers by their positions, with this one
	Position  int              // of this dispatcher in Peers
	Successor bool             // this process continues a predecessor, which peers know: it sends no hello
}

// Counters count datagrams since the start.
type Counters struct {
	Sent, Failed atomic.Int64
	Received     atomic.Int64 // and taken
	Malformed    atomic.Int64
	Strangers    atomic.Int64 // from addresses that are no peer's
	Reordered    atomic.Int64 // dropped, as a later one had come
}

// timestamp is that of the latest datagram from a shard of a peer, in milliseconds modulo 2^16.
type timestamp struct {
	millis uint16
	known  bool
}

// Exchange sends and receives load.
type Exchange struct {
	Counters Counters

	config    Config
	balancer  *balancer.Shards
	endpoints Endpoints
	datagrams *transport.Datagrams // nil where dispatchers do not talk to each other

	// These belong to the goroutine that receives.
	latest       []timestamp // by peer and shard
	helloReplies []time.Time // by peer: the last reply to a hello
}

// New returns an Exchange. datagrams is nil where only the shards of this process exchange load.
func New(c Config, b *balancer.Shards, endpoints Endpoints, datagrams *transport.Datagrams) *Exchange {
	return &Exchange{
		config: c, balancer: b, endpoints: endpoints, datagrams: datagrams,
		latest: make([]timestamp, len(c.Peers)*b.Count()), helloReplies: make([]time.Time, len(c.Peers)),
	}
}

// Run sends and receives until ctx ends. It returns at once where there is nobody to exchange load with.
func (e *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if e.datagrams != nil || e.balancer.Count() > 1 {
		for shard := range e.balancer.Count() {
			g.Go(func() error {
				e.sendUpdates(ctx, shard)
				return nil
			})
		}
	}
	if e.datagrams != nil {
		g.Go(func() error { return e.datagrams.Run(ctx, e.receive) })
	}
	return g.Wait()
}

// Yield leaves sending and receiving to the sibling process during a hot restart.
func (e *Exchange) Yield() {
	if e.datagrams != nil {
		e.datagrams.Yield()
	}
}

// Reclaim takes sending and receiving back from the sibling process.
func (e *Exchange) Reclaim() {
	if e.datagrams != nil {
		e.datagrams.Reclaim()
	}
}

// sendUpdates sends what the balancer has for the peers of one shard until ctx ends.
func (e *Exchange) sendUpdates(ctx context.Context, shard int) {
	if shard == 0 {
		e.sendHellos()
	}
	from := protocol.NoInstance
	if e.balancer.Count() > 1 {
		from = shard
	}
	var datagram []byte
	for {
		updates, err := e.balancer.NextLoadUpdates(ctx, shard)
		if err != nil { // ctx has ended
			return
		}
		millis := millisOf(time.Now())
		for process, all := range e.byProcess(updates) {
			for loads := range slices.Chunk(all, protocol.MaxLoads) {
				datagram = protocol.AppendLoads(datagram[:0], millis, from, loads)
				e.send(process, datagram)
			}
		}
	}
}

// sendHellos notifies peers that this process has just started. Only those that share workers with it are notified: in
// a fleet that restarts as one, all would otherwise send to all.
func (e *Exchange) sendHellos() {
	if e.datagrams == nil || e.config.Successor {
		return
	}
	hello := protocol.AppendLoads(nil, millisOf(time.Now()), protocol.NoInstance, nil)
	for _, process := range e.balancer.GossipPeers() {
		if process < len(e.config.Peers) {
			e.send(process, hello)
		}
	}
}

// replyToHello sends a hello back as long as this process has met no peer that is older than itself and has no list.
// Otherwise the peer would take load from here for that of a dispatcher that knows what was before.
func (e *Exchange) replyToHello(process int) {
	now := time.Now()
	if e.datagrams == nil || !e.balancer.Isolated() || now.Sub(e.helloReplies[process]) < helloReplyInterval {
		return
	}
	e.helloReplies[process] = now
	e.send(process, protocol.AppendLoads(nil, millisOf(now), protocol.NoInstance, nil))
}

// byProcess groups updates for shards by the process of the shard, each worker once: all shards of a process receive
// each datagram.
func (e *Exchange) byProcess(updates []balancer.LoadUpdate) map[int][]protocol.Load {
	grouped := map[int][]protocol.Load{}
	for _, update := range updates {
		process := int(update.To) / e.balancer.Count()
		for _, l := range update.Loads {
			load := protocol.Load{Tag: e.endpoints.Tag(l.Worker), InFlight: l.InFlight}
			if e.balancer.Count() == 1 || !slices.Contains(grouped[process], load) {
				grouped[process] = append(grouped[process], load)
			}
		}
	}
	return grouped
}

func (e *Exchange) send(process int, datagram []byte) {
	if err := e.datagrams.Send(e.config.Peers[process], datagram); err != nil {
		e.Counters.Failed.Add(1)
		return
	}
	e.Counters.Sent.Add(1)
}

// receive takes a datagram. One that is malformed, reordered or from a stranger is counted and dropped.
func (e *Exchange) receive(from netip.AddrPort, datagram []byte) {
	process := slices.Index(e.config.Peers, from)
	message, err := protocol.ParseLoads(datagram)
	switch {
	case process < 0 || process == e.config.Position:
		e.Counters.Strangers.Add(1)
		return
	case err != nil, message.Instance >= e.balancer.Count(): // peers have as many shards as this process
		e.Counters.Malformed.Add(1)
		return
	}
	peer := process*e.balancer.Count() + message.Instance
	if len(message.Loads) > 0 && e.latest[peer].overtook(message.Timestamp) {
		e.Counters.Reordered.Add(1)
		return
	}
	e.latest[peer] = timestamp{millis: message.Timestamp, known: true}
	e.Counters.Received.Add(1)
	if len(message.Loads) == 0 {
		e.balancer.ReceivePeerStarted(process)
		e.replyToHello(process)
	}
	for _, load := range message.Loads {
		if worker, known := e.endpoints.ByTag(load.Tag); known {
			e.balancer.ReceiveLoad(balancer.PeerID(peer), balancer.WorkerLoad{Worker: worker, InFlight: load.InFlight})
		}
	}
}

// overtook reports whether a datagram sent at millis is older than the latest one, by no more than reordering explains.
func (t timestamp) overtook(millis uint16) bool {
	age := t.millis - millis // modulo 2^16
	return t.known && age > 0 && age < maxReorderMillis
}

func millisOf(t time.Time) uint16 { return uint16(t.UnixMilli()) }
