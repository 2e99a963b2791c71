// Package gossip exchanges load between dispatchers in datagrams: the number of attempts that each dispatcher has in
// flight at each worker.
//
// A datagram without loads is a hello. A process sends hellos when it starts, unless it replaces a predecessor. It also
// replies to a hello with a hello while it is isolated, which means that since its start it has received no load from
// an older peer and no answer to a poll of the endpoint list. Datagrams may be lost. Loads that arrive after a datagram
// with a later timestamp are dropped. The balancer decides which loads are sent to which peer, and receives the loads
// of the peers. The package identifies workers only by their tags.
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
	// maxReorderMillis is the age, relative to the latest datagram, below which loads are dropped as reordered. Loads
	// that appear to be older are accepted: timestamps have 16 bits and wrap around, so a greater age means that the
	// sender restarted or was silent.
	maxReorderMillis = 4000
	// helloReplyInterval is the minimum interval between two replies to hellos from the same process.
	helloReplyInterval = time.Second
)

// Endpoints converts between the worker numbers of this process and the tags in datagrams.
type Endpoints interface {
	// Tag returns the tag of a worker.
	Tag(worker balancer.WorkerID) uint16
	// WorkerByTag returns the number of the worker with a tag, and whether there is one.
	WorkerByTag(tag uint16) (worker balancer.WorkerID, found bool)
}

// Config configures an Exchange.
type Config struct {
	Peers       []netip.AddrPort // addresses of all dispatchers, including this one
	Position    int              // index of this dispatcher in Peers
	IsSuccessor bool             // this process replaces a predecessor known to the peers, and sends no hello
}

// Counters count datagrams since the process started.
type Counters struct {
	Sent           atomic.Int64
	Failed         atomic.Int64 // failed to send
	Received       atomic.Int64 // received and applied
	Malformed      atomic.Int64 // dropped as malformed
	UnknownSenders atomic.Int64 // dropped, because the source address is not a peer's
	Reordered      atomic.Int64 // dropped, because a later one had been received
}

// timestamp is the timestamp of the latest datagram from a peer.
type timestamp struct {
	millis uint16 // Unix time in milliseconds, modulo 2^16
	isSet  bool   // false before the first datagram
}

// Exchange sends and receives load updates.
type Exchange struct {
	Counters Counters

	config    Config
	balancer  *balancer.Shards
	endpoints Endpoints
	datagrams *transport.DatagramSocket // nil if only the shards of this process exchange load

	// The fields below are used only by the receiving goroutine.
	latestTimestamps []timestamp // by balancer.PeerID
	helloRepliedAt   []time.Time // time of the last reply to a hello, by process
}

// New returns an Exchange. datagrams is nil if only the shards of this process exchange load.
func New(c Config, b *balancer.Shards, endpoints Endpoints, datagrams *transport.DatagramSocket) *Exchange {
	return &Exchange{
		config:           c,
		balancer:         b,
		endpoints:        endpoints,
		datagrams:        datagrams,
		latestTimestamps: make([]timestamp, len(c.Peers)*b.Count()),
		helloRepliedAt:   make([]time.Time, len(c.Peers)),
	}
}

// Run sends and receives load until ctx is canceled. It returns immediately if there is no peer to exchange load with.
func (e *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if e.datagrams != nil || e.balancer.Count() > 1 {
		for shard := range e.balancer.Count() {
			g.Go(func() error {
				e.sendLoadUpdates(ctx, shard)
				return nil
			})
		}
	}
	if e.datagrams != nil {
		g.Go(func() error { return e.datagrams.Run(ctx, e.receive) })
	}
	return g.Wait()
}

// Yield hands sending and receiving over to the sibling process during a hot restart.
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

// sendLoadUpdates sends the load updates of one shard to its peers until ctx is canceled. Shard 0 first sends the
// hellos.
func (e *Exchange) sendLoadUpdates(ctx context.Context, shard int) {
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
		if err != nil { // ctx was canceled
			return
		}
		millis := datagramTimestamp(time.Now())
		for process, processLoads := range e.groupByProcess(updates) {
			for loads := range slices.Chunk(processLoads, protocol.MaxLoads) {
				datagram = protocol.AppendLoadDatagram(datagram[:0], millis, sender, loads)
				e.send(process, datagram)
			}
		}
	}
}

// sendHellos notifies the peers that share workers with this process that it has just started. If it notified all
// peers, every process would send to every other one when a whole fleet restarts at once.
func (e *Exchange) sendHellos() {
	if e.datagrams == nil || e.config.IsSuccessor {
		return
	}
	hello := newHello(time.Now())
	for _, process := range e.balancer.GossipPeers() {
		if process < len(e.config.Peers) {
			e.send(process, hello)
		}
	}
}

// newHello returns a hello datagram with the timestamp of now.
func newHello(now time.Time) []byte {
	return protocol.AppendLoadDatagram(nil, datagramTimestamp(now), protocol.NoInstance, nil)
}

// replyToHello sends a hello back while this process is isolated: it has received load from no older peer, and no poll
// of the endpoint list has been answered. Without the reply, the peer would treat this process as an older one, whose
// load covers the time before both started.
func (e *Exchange) replyToHello(process int) {
	now := time.Now()
	if e.datagrams == nil || !e.balancer.Isolated() || now.Sub(e.helloRepliedAt[process]) < helloReplyInterval {
		return
	}
	e.helloRepliedAt[process] = now
	e.send(process, newHello(now))
}

// groupByProcess groups the loads of updates, which are addressed to shards, by the process of the shard. A datagram
// reaches all shards of a process, so a load for several of them is included only once.
func (e *Exchange) groupByProcess(updates []balancer.LoadUpdate) map[int][]protocol.Load {
	grouped := map[int][]protocol.Load{}
	for _, update := range updates {
		process := e.processIndex(update.To)
		for _, workerLoad := range update.Loads {
			load := protocol.Load{Tag: e.endpoints.Tag(workerLoad.Worker), InFlight: workerLoad.InFlight}
			if e.balancer.Count() == 1 || !slices.Contains(grouped[process], load) {
				grouped[process] = append(grouped[process], load)
			}
		}
	}
	return grouped
}

// processIndex returns the index in Peers of the process that a peer is a shard of.
func (e *Exchange) processIndex(peer balancer.PeerID) int { return int(peer) / e.balancer.Count() }

// peerID returns the ID of the peer that is a shard of a process. All processes have the same number of shards.
func (e *Exchange) peerID(process, shard int) balancer.PeerID {
	return balancer.PeerID(process*e.balancer.Count() + shard)
}

// send sends a datagram to a process and counts it. It does not retry failures, because the next update replaces this
// one.
func (e *Exchange) send(process int, datagram []byte) {
	if err := e.datagrams.Send(e.config.Peers[process], datagram); err != nil {
		e.Counters.Failed.Add(1)
		return
	}
	e.Counters.Sent.Add(1)
}

// receive applies a datagram. It counts and drops datagrams that are malformed, reordered or from unknown senders.
func (e *Exchange) receive(sender netip.AddrPort, datagram []byte) {
	process := slices.Index(e.config.Peers, sender)
	message, err := protocol.ParseLoadDatagram(datagram)
	switch {
	case process < 0 || process == e.config.Position:
		e.Counters.UnknownSenders.Add(1)
		return
	case err != nil, message.Instance >= e.balancer.Count():
		e.Counters.Malformed.Add(1)
		return
	}
	peer := e.peerID(process, message.Instance)
	isHello := len(message.Loads) == 0
	if !isHello && e.latestTimestamps[peer].isAfter(message.Timestamp) {
		e.Counters.Reordered.Add(1)
		return
	}
	e.latestTimestamps[peer] = timestamp{millis: message.Timestamp, isSet: true}
	e.Counters.Received.Add(1)
	if isHello {
		e.balancer.ReceivePeerStarted(process)
		e.replyToHello(process)
		return
	}
	e.applyLoads(peer, message.Loads)
}

// applyLoads passes a peer's loads to the balancer, except those of workers that are not in the endpoint table.
func (e *Exchange) applyLoads(peer balancer.PeerID, loads []protocol.Load) {
	for _, load := range loads {
		if worker, found := e.endpoints.WorkerByTag(load.Tag); found {
			e.balancer.ReceiveLoad(peer, balancer.WorkerLoad{Worker: worker, InFlight: load.InFlight})
		}
	}
}

// isAfter reports whether t is later than the timestamp millis of another datagram, by less than maxReorderMillis.
func (t timestamp) isAfter(millis uint16) bool {
	age := t.millis - millis // modulo 2^16
	return t.isSet && age > 0 && age < maxReorderMillis
}

// datagramTimestamp returns the timestamp of a datagram sent at t: Unix time in milliseconds, modulo 2^16.
func datagramTimestamp(t time.Time) uint16 { return uint16(t.UnixMilli()) }
