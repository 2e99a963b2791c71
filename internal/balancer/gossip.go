package balancer

import (
	"iter"
	"slices"
)

const (
	// maxGossipShare is the share of a request's billed value that is spent on messages to peers about it.
	maxGossipShare = 0.0125
	// messagesPerAttempt is how many messages to each peer an attempt takes: at its start and at its end.
	messagesPerAttempt = 2

	// Loads are repeated after some mean sizes of requests, as messages get lost. A peer that is silent for some
	// intervals between repetitions has ended, or is cut off.
	initialResendInterval = Duration(2 * Second)
	minResendInterval     = Duration(Second / 2)
	meanSizesPerResend    = 3
	resendsUntilForgotten = 2

	// notSent is workerGossip.sentLoad where peers have to be sent the load whatever it is.
	notSent = -1
)

// gossip owns what peers said of their age, and when they are sent what is in flight here. What they said of workers is
// in workerGossip.
type gossip struct {
	seniorPeers      []bool // by PeerID: peers that have run for longer than this dispatcher
	juniorPeers      []bool // by PeerID: peers that started after it
	changedLoads     []WorkerID
	sendLoadsAt      Time
	resendAt         Time
	resendInterval   Duration // between messages that repeat loads
	unheardNotBefore Time     // no attempt before it to workers whose load no peer reports
}

// workerGossip is what peers have said of a worker, and what they have been sent.
type workerGossip struct {
	peerInFlight int // sum of peerLoads
	peerLoads    []peerLoad
	sentLoad     int       // in flight here as peers were last sent it, or notSent
	peers        peerRange // dispatchers that have the worker in their subset
}

// peerLoad is what a peer last said of a worker.
type peerLoad struct {
	from       PeerID
	inFlight   int
	receivedAt Time
}

func newGossip() gossip {
	return gossip{sendLoadsAt: never, resendInterval: initialResendInterval}
}

// setResendInterval spaces repeated messages by some mean sizes, from the total of a number of sizes.
func (g *gossip) setResendInterval(total Work, count int) {
	g.resendInterval = max(minResendInterval, meanSizesPerResend*Duration(total)/Duration(count))
}

// recordJuniorPeer notes that a peer has just started.
func (g *gossip) recordJuniorPeer(from PeerID) {
	g.growTo(from)
	g.juniorPeers[from] = true
	g.seniorPeers[from] = false
}

// recordPeer notes any other message from a peer. It has run for longer unless it is known to have started later.
func (g *gossip) recordPeer(from PeerID) {
	g.growTo(from)
	g.seniorPeers[from] = !g.juniorPeers[from]
}

func (g *gossip) growTo(from PeerID) {
	if missing := int(from) + 1 - len(g.seniorPeers); missing > 0 {
		g.seniorPeers = append(g.seniorPeers, make([]bool, missing)...)
		g.juniorPeers = append(g.juniorPeers, make([]bool, missing)...)
	}
}

// hearsSenior reports whether a peer that has run for longer than this dispatcher was heard.
func (g *gossip) hearsSenior() bool { return slices.Contains(g.seniorPeers, true) }

// receive stores what a peer has in flight at the worker, and returns what it said before.
func (w *workerGossip) receive(from PeerID, inFlight int, now Time) (before int) {
	n := slices.IndexFunc(w.peerLoads, func(known peerLoad) bool { return known.from == from })
	if n < 0 {
		n = len(w.peerLoads)
		w.peerLoads = append(w.peerLoads, peerLoad{from: from})
	}
	known := &w.peerLoads[n]
	before = known.inFlight
	w.peerInFlight += inFlight - before
	known.inFlight = inFlight
	known.receivedAt = now
	return before
}

// forgetBefore drops what peers said before a moment.
func (w *workerGossip) forgetBefore(oldest Time) {
	w.peerLoads = slices.DeleteFunc(w.peerLoads, func(known peerLoad) bool { return known.receivedAt < oldest })
	w.peerInFlight = 0
	for _, known := range w.peerLoads {
		w.peerInFlight += known.inFlight
	}
}

// hearsLoadOf reports whether peers report to this dispatcher what they have in flight at a worker.
func (b *Balancer) hearsLoadOf(id WorkerID) bool {
	return b.config.gossip && b.subsetting.inSubset(allIntervals, id)
}

// ReceiveLoad takes what a peer has in flight at a worker.
func (b *Balancer) ReceiveLoad(from PeerID, load WorkerLoad) {
	b.gossip.recordPeer(from)
	loadBefore := b.load(load.Worker)
	before := b.workers[load.Worker].gossip.receive(from, load.InFlight, b.now)
	if load.InFlight < before {
		b.due.capacityChanged = true
		wasFull := float64(loadBefore) >= b.maxObservedSlots(load.Worker)
		if b.warmupFactor(load.Worker) < 1 && wasFull {
			b.staggerAccess(load.Worker)
		}
	}
	b.subsetting.markMaybeFree(load.Worker)
}

// staggerAccess is called as a slot comes free at a worker that warms up and was full. The dispatchers that hear of it
// try the worker one after the other, each once it would have heard of the one before. If all sent at once, what the
// worker rejects would still count against its budget. The dispatcher whose attempt ended knows first, and so goes first.
func (b *Balancer) staggerAccess(id WorkerID) {
	w := &b.workers[id]
	sharers := max(w.gossip.peers.count(), 1)
	rotation := int(b.now / Second) // so that it is not always the same dispatcher that comes last
	rank := (b.config.position + rotation) % sharers
	// A peer has heard of the attempt before its own within half of the start timeout.
	w.notBefore = b.now.Add(Duration(rank) * b.config.startTimeout / 2)
	b.due.reviewBy(w.notBefore)
}

// subsetPeers yields the other dispatchers that have a worker in their subset.
func (b *Balancer) subsetPeers(id WorkerID) iter.Seq[PeerID] {
	sharers := b.workers[id].gossip.peers
	return func(yield func(PeerID) bool) {
		for n := sharers.from; n < sharers.to; n++ {
			if peer := n % b.config.dispatchers; peer != b.config.position && !yield(PeerID(peer)) {
				return
			}
		}
	}
}

// gossipPeers returns the dispatchers with which this one exchanges the load of some worker; all of them while there is
// no endpoint list.
func (b *Balancer) gossipPeers() (peers []PeerID) {
	workers := b.subsetting.subsets[allIntervals].workers
	shares := make([]bool, b.config.dispatchers)
	for _, id := range workers {
		for peer := range b.subsetPeers(id) {
			shares[peer] = true
		}
	}
	for peer := range shares {
		if peer != b.config.position && (shares[peer] || len(workers) == 0) {
			peers = append(peers, PeerID(peer))
		}
	}
	return peers
}

// markLoadChanged schedules sending the load of a worker to its peers. It waits for the margin, in which a rejection may
// come back and leave nothing to send.
func (b *Balancer) markLoadChanged(id WorkerID) {
	if b.config.gossip {
		b.gossip.changedLoads = append(b.gossip.changedLoads, id)
		b.gossip.sendLoadsAt = min(b.gossip.sendLoadsAt, b.now.Add(b.config.margin))
	}
}

// sendChangedLoads sends peers the loads that have changed since they were last sent.
func (b *Balancer) sendChangedLoads() {
	for _, id := range b.gossip.changedLoads {
		w := &b.workers[id]
		if w.inFlight != w.gossip.sentLoad {
			for peer := range b.subsetPeers(id) {
				b.effects.SendLoad(peer, WorkerLoad{Worker: id, InFlight: w.inFlight})
			}
		}
		w.gossip.sentLoad = w.inFlight
	}
	b.gossip.changedLoads = b.gossip.changedLoads[:0]
	b.gossip.sendLoadsAt = never
}

// resendLoads schedules sending all that is in flight here again, as messages get lost, and forgets silent peers.
func (b *Balancer) resendLoads() {
	b.gossip.resendAt = b.now.Add(b.gossip.resendInterval)
	oldest := b.now.Add(-resendsUntilForgotten * b.gossip.resendInterval)
	for _, id := range b.subsetting.ring {
		b.workers[id].gossip.forgetBefore(oldest)
		b.subsetting.markMaybeFree(id)
		b.resendLoad(id)
	}
}

// resendLoad schedules sending the load of a worker again, if anything is in flight there.
func (b *Balancer) resendLoad(id WorkerID) {
	if b.workers[id].inFlight > 0 {
		b.workers[id].gossip.sentLoad = notSent
		b.markLoadChanged(id)
	}
}

// receivePeerStarted notes that a peer has just started: it has nothing in flight. It is sent what is in flight here,
// which it would otherwise learn only as that changes.
func (b *Balancer) receivePeerStarted(from PeerID) {
	b.gossip.recordJuniorPeer(from)
	for _, id := range b.subsetting.ring {
		b.ReceiveLoad(from, WorkerLoad{Worker: id})
		b.resendLoad(id)
	}
}
