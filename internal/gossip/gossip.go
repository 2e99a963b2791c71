// Package gossip exchanges load between dispatchers over datagrams: how many attempts each has in flight at a worker.
//
// A datagram without loads is a hello: its sender has just started, or still knows nothing
// of the time before. Datagrams may get lost, and one that a later one
// has overtaken is dropped by its timestamp. The balancer decides which loads to send to which peer, and receives those
// of the peers. The package knows workers only by their tags.
//
// A peer is a shard of a process; a process with one shard is one peer.
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
	// maxReorderMillis is the age, relative to the latest datagram, from which a datagram no longer counts as
	// reordered. It then comes from a sender that has restarted or was silent, as timestamps have 16 bits.
	maxReorderMillis = 4000
	// helloReplyInterval is the least time between two replies to hellos of one peer.
	helloReplyInterval = time.Second
)

// Endpoints translates between the numbers of workers here and their tags in datagrams.
type Endpoints interface {
	// Tag returns the tag of a worker.
	Tag(worker balancer.WorkerID) uint16
	// ByTag returns the worker with a tag, and whether there is one.
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
	Sent      atomic.Int64
	Failed    atomic.Int64 // could not be sent
	Received  atomic.Int64 // and applied
	Malformed atomic.Int64 // dropped
	Strangers atomic.Int64 // dropped, as they came from no peer's address
	Reordered atomic.Int64 // dropped, as a later one had come
}

// timestamp is that of the latest datagram from a peer.
type timestamp struct {
	millis uint16 // Unix time in milliseconds, modulo 2^16
	known  bool   // false before the first datagram
}

// Exchange sends and receives load.
type Exchange struct {
	Counters Counters

	config    Config
	balancer  *balancer.Shards
	endpoints Endpoints
	datagrams *transport.Datagrams // nil where only the shards of this process exchange load

	// The goroutine that receives owns these.
	latest       []timestamp // by balancer.PeerID
	helloReplies []time.Time // the last reply to a hello, by process
}

// New returns an Exchange. datagrams is nil where only the shards of this process exchange load.
func New(c Config, b *balancer.Shards, endpoints Endpoints, datagrams *transport.Datagrams) *Exchange {
	return &Exchange{
		config:       c,
		balancer:     b,
		endpoints:    endpoints,
		datagrams:    datagrams,
		latest:       make([]timestamp, len(c.Peers)*b.Count()),
		helloReplies: make([]time.Time, len(c.Peers)),
	}
}

// Run sends and receives until ctx ends. It returns at once where there is no peer to exchange load with.
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

// sendUpdates sends the load updates of one shard to its peers until ctx ends. The first shard sends the hellos before.
func (e *Exchange) sendUpdates(ctx context.Context, shard int) {
	if shard == 0 {
		e.sendHellos()
	}
	sender := protocol.NoInstance
	if e.balancer.Count() > 1 {
		sender = shard
	}
	var datagram []byte // reused
	for {
		updates, err := e.balancer.NextLoadUpdates(ctx, shard)
		if err != nil { // ctx has ended
			return
		}
		millis := millisOf(time.Now())
		for process, all := range e.byProcess(updates) {
			for loads := range slices.Chunk(all, protocol.MaxLoads) {
				datagram = protocol.AppendLoadDatagram(datagram[:0], millis, sender, loads)
				e.send(process, datagram)
			}
		}
	}
}

// sendHellos notifies peers that this process has just started. Only those that share workers with it are notified.
// Otherwise all processes of a fleet that restarts at once would send to all.
func (e *Exchange) sendHellos() {
	if e.datagrams == nil || e.config.Successor {
		return
	}
	hello := helloAt(time.Now())
	for _, process := range e.balancer.GossipPeers() {
		if process < len(e.config.Peers) {
			e.send(process, hello)
		}
	}
}

// helloAt returns the datagram of a hello.
func helloAt(now time.Time) []byte {
	return protocol.AppendLoadDatagram(nil, millisOf(now), protocol.NoInstance, nil)
}

// replyToHello sends a hello back while this process is isolated: it has heard from no older peer, and no poll of the
// endpoint list was answered. Otherwise the peer would take this process for an older one, whose load covers the time
// before both started.
func (e *Exchange) replyToHello(process int) {
	now := time.Now()
	if e.datagrams == nil || !e.balancer.Isolated() || now.Sub(e.helloReplies[process]) < helloReplyInterval {
		return
	}
	e.helloReplies[process] = now
	e.send(process, helloAt(now))
}

// byProcess groups the loads of updates, which are for shards, by the process of the shard. A datagram reaches all
// shards of a process, so a load that is for several of them stands in the group once.
func (e *Exchange) byProcess(updates []balancer.LoadUpdate) map[int][]protocol.Load {
	grouped := map[int][]protocol.Load{}
	for _, update := range updates {
		process := e.processOf(update.To)
		for _, workerLoad := range update.Loads {
			load := protocol.Load{Tag: e.endpoints.Tag(workerLoad.Worker), InFlight: workerLoad.InFlight}
			if e.balancer.Count() == 1 || !slices.Contains(grouped[process], load) {
				grouped[process] = append(grouped[process], load)
			}
		}
	}
	return grouped
}

// processOf returns the position of the process that a peer is a shard of.
func (e *Exchange) processOf(peer balancer.PeerID) int { return int(peer) / e.balancer.Count() }

// peerOf returns the peer that is a shard of a process. All processes have the same number of shards.
func (e *Exchange) peerOf(process, shard int) balancer.PeerID {
	return balancer.PeerID(process*e.balancer.Count() + shard)
}

// send sends a datagram to a process and counts it. A failure is not retried, as the next update replaces this one.
func (e *Exchange) send(process int, datagram []byte) {
	if err := e.datagrams.Send(e.config.Peers[process], datagram); err != nil {
		e.Counters.Failed.Add(1)
		return
	}
	e.Counters.Sent.Add(1)
}

// receive applies a datagram. One that is malformed, reordered or from a stranger is counted and dropped.
func (e *Exchange) receive(from netip.AddrPort, datagram []byte) {
	process := slices.Index(e.config.Peers, from)
	message, err := protocol.ParseLoadDatagram(datagram)
	switch {
	case process < 0 || process == e.config.Position:
		e.Counters.Strangers.Add(1)
		return
	case err != nil, message.Instance >= e.balancer.Count():
		e.Counters.Malformed.Add(1)
		return
	}
	peer := e.peerOf(process, message.Instance)
	isHello := len(message.Loads) == 0
	if !isHello && e.latest[peer].overtook(message.Timestamp) {
		e.Counters.Reordered.Add(1)
		return
	}
	e.latest[peer] = timestamp{millis: message.Timestamp, known: true}
	e.Counters.Received.Add(1)
	if isHello {
		e.balancer.ReceivePeerStarted(process)
		e.replyToHello(process)
		return
	}
	e.applyLoads(peer, message.Loads)
}

// applyLoads passes a peer's loads on to the balancer, except those of workers that are not listed here.
func (e *Exchange) applyLoads(peer balancer.PeerID, loads []protocol.Load) {
	for _, load := range loads {
		if worker, known := e.endpoints.ByTag(load.Tag); known {
			e.balancer.ReceiveLoad(peer, balancer.WorkerLoad{Worker: worker, InFlight: load.InFlight})
		}
	}
}

// overtook reports whether a datagram sent at millis is older than the latest one t, by less than maxReorderMillis.
func (t timestamp) overtook(millis uint16) bool {
	age := t.millis - millis // modulo 2^16
	return t.known && age > 0 && age < maxReorderMillis
}

// millisOf returns the timestamp of a datagram that is sent at t: Unix time in milliseconds, modulo 2^16.
func millisOf(t time.Time) uint16 { return uint16(t.UnixMilli()) }
