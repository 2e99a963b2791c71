package balancer

import (
	"iter"
	"slices"
)

const (
	// maxGossipShare is the share of a request's billed value that is spent on telling peers of it.
	maxGossipShare = 0.0125

	initialResendInterval = 2 * Second
	minResendInterval     = Second / 2
	meanRunsPerResend     = 3
	retellInFlight        = -1 // as workerGossip.sentLoad: peers have to be told again
)

// gossip owns what peers said of their age, and when they have to be told what is in flight here. What they said of
// workers is in workerGossip.
type gossip struct {
	seniorPeers      []bool // by PeerID: peers that have run for longer than this dispatcher
	juniorPeers      []bool // by PeerID: peers that started after it
	changedLoads     []WorkerID
	sendLoadsAt      Time
	resendAt         Time
	resendInterval   Duration // between messages that repeat what was said
	unheardNotBefore Time     // no attempt before it to workers that no peer tells of
}

func newGossip() gossip {
	return gossip{sendLoadsAt: never, resendInterval: initialResendInterval}
}

// setResendInterval spaces repeated messages by some mean runs, from the total of a number of sizes.
func (g *gossip) setResendInterval(total Work, count int) {
	g.resendInterval = max(minResendInterval, meanRunsPerResend*Duration(total)/Duration(count))
}

// recordPeerAge takes notice of a message from a peer: that it has just started, or any other one.
func (g *gossip) recordPeerAge(from PeerID, started bool) {
	if missing := int(from) + 1 - len(g.seniorPeers); missing > 0 {
		g.seniorPeers = append(g.seniorPeers, make([]bool, missing)...)
		g.juniorPeers = append(g.juniorPeers, make([]bool, missing)...)
	}
	g.juniorPeers[from] = g.juniorPeers[from] || started
	g.seniorPeers[from] = !g.juniorPeers[from]
}

// hearsSenior tells whether a peer that has run for longer than this dispatcher was heard.
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

// forgetBefore drops what peers said before a moment: they have ended, or are cut off.
func (w *workerGossip) forgetBefore(oldest Time) {
	w.peerLoads = slices.DeleteFunc(w.peerLoads, func(known peerLoad) bool { return known.receivedAt < oldest })
	w.peerInFlight = 0
	for _, known := range w.peerLoads {
		w.peerInFlight += known.inFlight
	}
}

// ReceiveLoad takes what a peer has in flight at a worker.
func (b *Balancer) ReceiveLoad(from PeerID, load WorkerLoad) {
	b.gossip.recordPeerAge(from, false)
	worker := &b.workers[load.Worker]
	loadBefore := b.load(load.Worker)
	if before := worker.receive(from, load.InFlight, b.now); load.InFlight < before {
		b.due.capacityChanged = true
		if b.warmupFactor(load.Worker) < 1 && float64(loadBefore) >= b.maxObservedSlots(load.Worker) {
			b.staggerAccess(load.Worker)
		}
	}
	b.subsetting.markMaybeFree(load.Worker)
}

// staggerAccess lets the dispatchers that hear of room at a worker that was full and is warming up try it one after the
// other, each once it would know of the one before: else all would send there at once, and what is sent counts against
// its budget even if it is refused. The dispatcher whose attempt ended knows first, and so goes first.
func (b *Balancer) staggerAccess(id WorkerID) {
	worker := &b.workers[id]
	sharers := max(worker.subsetPeerRange[1]-worker.subsetPeerRange[0], 1)
	turn := (Duration(b.config.position) + Duration(b.now/Second)) % Duration(sharers)
	worker.notBefore = b.now.Add(turn * b.config.patience / 2)
	b.due.reviewBy(worker.notBefore)
}

// subsetPeers goes through the other dispatchers that have a worker in their subset.
func (b *Balancer) subsetPeers(id WorkerID) iter.Seq[PeerID] {
	sharers := b.workers[id].subsetPeerRange
	return func(yield func(PeerID) bool) {
		for n := sharers[0]; n < sharers[1]; n++ {
			if peer := n % b.config.dispatchers; peer != b.config.position && !yield(PeerID(peer)) {
				return
			}
		}
	}
}

// gossipPeers are the dispatchers that tell this one of a worker, or are told; all while there is no endpoint list.
func (b *Balancer) gossipPeers() (peers []PeerID) {
	workers := b.subsetting.subsets[bothIntervals].workers
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

// markLoadChanged has peers told of a worker once a refusal would have come back: then there is nothing to tell.
func (b *Balancer) markLoadChanged(id WorkerID) {
	if b.config.gossip {
		b.gossip.changedLoads = append(b.gossip.changedLoads, id)
		b.gossip.sendLoadsAt = min(b.gossip.sendLoadsAt, b.now.Add(b.config.margin))
	}
}

// sendChangedLoads tells peers what has changed since they were last told.
func (b *Balancer) sendChangedLoads() {
	for _, id := range b.gossip.changedLoads {
		worker := &b.workers[id]
		if worker.inFlight != worker.sentLoad {
			for peer := range b.subsetPeers(id) {
				b.effects.SendLoad(peer, WorkerLoad{Worker: id, InFlight: worker.inFlight})
			}
		}
		worker.sentLoad = worker.inFlight
	}
	b.gossip.changedLoads = b.gossip.changedLoads[:0]
	b.gossip.sendLoadsAt = never
}

// resendLoads has peers told again of all that is in flight here, as messages get lost, and forgets silent peers.
func (b *Balancer) resendLoads() {
	b.gossip.resendAt = b.now.Add(b.gossip.resendInterval)
	for _, id := range b.subsetting.ring {
		b.workers[id].forgetBefore(b.now.Add(-2 * b.gossip.resendInterval))
		b.subsetting.markMaybeFree(id)
		b.retellLoad(id)
	}
}

// retellLoad has peers told again of a worker at which something is in flight.
func (b *Balancer) retellLoad(id WorkerID) {
	if b.workers[id].inFlight > 0 {
		b.workers[id].sentLoad = retellInFlight
		b.markLoadChanged(id)
	}
}

// receivePeerStarted takes notice that a peer has just started: it has nothing in flight, and is told what is in
// flight here. Else it would learn of that only as it changes.
func (b *Balancer) receivePeerStarted(from PeerID) {
	b.gossip.recordPeerAge(from, true)
	for _, id := range b.subsetting.ring {
		b.ReceiveLoad(from, WorkerLoad{Worker: id})
		b.retellLoad(id)
	}
}
