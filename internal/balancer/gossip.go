package balancer

import (
	"iter"
	"slices"
)

const (
	// maxGossipShare is the maximum share of a request's billed value that is spent on gossip messages about it.
	maxGossipShare = 0.0125
	// messagesPerAttempt is the number of messages to each peer per attempt: one at its start and one at its end.
	messagesPerAttempt = 2

	// Loads are resent at an interval of meanSizesPerResend mean request sizes, because messages can be lost. A peer
	// that sends no message for resendsUntilExpiry intervals has exited or is disconnected.
	initialResendInterval = Duration(2 * Second)
	minResendInterval     = Duration(Second / 2)
	meanSizesPerResend    = 3
	resendsUntilExpiry    = 2

	// forceResend is the value of workerGossip.lastSentLoad that forces the load to be sent even if it is unchanged.
	forceResend = -1
)

// gossip holds the relative ages of peers, and the times at which they are sent the loads of this dispatcher. The loads
// that they report are in workerGossip.
type gossip struct {
	seniorPeers         []bool     // by PeerID: peers that started before this dispatcher
	juniorPeers         []bool     // by PeerID: peers that started after this dispatcher
	changedLoads        []WorkerID // workers whose loads are to be sent at sendLoadsAt
	sendLoadsAt         Time
	resendAt            Time
	resendInterval      Duration // interval at which unchanged loads are resent
	unreportedNotBefore Time     // earliest time for attempts to workers whose load no peer reports
}

// workerGossip holds the loads of a worker that peers reported, and the load that was last sent to them.
type workerGossip struct {
	peerInFlight      int // sum of peerLoads
	peerLoads         []peerLoad
	lastSentLoad      int             // number in flight as last sent to peers, or forceResend
	subsetDispatchers dispatcherRange // dispatchers that have the worker in their subset
}

// peerLoad is the last load of a worker that a peer reported.
type peerLoad struct {
	from       PeerID
	inFlight   int
	receivedAt Time
}

func newGossip() gossip {
	return gossip{sendLoadsAt: never, resendInterval: initialResendInterval}
}

// setResendInterval sets the resend interval to a multiple of the mean size, given the sum and number of sizes.
func (g *gossip) setResendInterval(total Work, count int) {
	g.resendInterval = max(minResendInterval, meanSizesPerResend*Duration(total)/Duration(count))
}

// recordJuniorPeer records that a peer has just started.
func (g *gossip) recordJuniorPeer(from PeerID) {
	g.ensurePeer(from)
	g.juniorPeers[from] = true
	g.seniorPeers[from] = false
}

// recordPeer records that a peer is running. It marks the peer as senior unless recordJuniorPeer has recorded that the
// peer started later than this dispatcher.
func (g *gossip) recordPeer(from PeerID) {
	g.ensurePeer(from)
	g.seniorPeers[from] = !g.juniorPeers[from]
}

func (g *gossip) ensurePeer(from PeerID) {
	if missing := int(from) + 1 - len(g.seniorPeers); missing > 0 {
		g.seniorPeers = append(g.seniorPeers, make([]bool, missing)...)
		g.juniorPeers = append(g.juniorPeers, make([]bool, missing)...)
	}
}

// hasSeniorPeer reports whether a message was received from a peer that has run for longer than this dispatcher.
func (g *gossip) hasSeniorPeer() bool { return slices.Contains(g.seniorPeers, true) }

// recordLoad records the number of attempts that a peer has in flight at the worker, and returns its previous number.
func (w *workerGossip) recordLoad(from PeerID, inFlight int, now Time) (previous int) {
	n := slices.IndexFunc(w.peerLoads, func(entry peerLoad) bool { return entry.from == from })
	if n < 0 {
		n = len(w.peerLoads)
		w.peerLoads = append(w.peerLoads, peerLoad{from: from})
	}
	entry := &w.peerLoads[n]
	previous = entry.inFlight
	w.peerInFlight += inFlight - previous
	entry.inFlight = inFlight
	entry.receivedAt = now
	return previous
}

// expireLoads removes the loads that were received before the given time.
func (w *workerGossip) expireLoads(oldest Time) {
	w.peerLoads = slices.DeleteFunc(w.peerLoads, func(entry peerLoad) bool { return entry.receivedAt < oldest })
	w.peerInFlight = 0
	for _, entry := range w.peerLoads {
		w.peerInFlight += entry.inFlight
	}
}

// receivesLoadOf reports whether peers send this dispatcher their loads at a worker.
func (b *Balancer) receivesLoadOf(id WorkerID) bool {
	return b.config.gossip && b.subsetting.inSubset(allIntervals, id)
}

// ReceiveLoad records the number of attempts that a peer has in flight at a worker.
func (b *Balancer) ReceiveLoad(from PeerID, load WorkerLoad) {
	b.gossip.recordPeer(from)
	previousLoad := b.load(load.Worker)
	previous := b.workers[load.Worker].gossip.recordLoad(from, load.InFlight, b.now)
	if load.InFlight < previous {
		b.due.capacityChanged = true
		wasFull := float64(previousLoad) >= b.maxObservedSlots(load.Worker)
		if b.warmupFactor(load.Worker) < 1 && wasFull {
			b.staggerAccess(load.Worker)
		}
	}
	b.subsetting.markMaybeFree(load.Worker)
}

// staggerAccess is called when a slot becomes free at a full worker that is warming up. The dispatchers that are
// informed of it try the worker one after the other, each delayed until it would have received the load of the one
// before. If all of them sent at once, the attempts that the worker rejects would still count against its budget. The
// dispatcher whose attempt ended observes the free slot first, and is therefore the first to send.
func (b *Balancer) staggerAccess(id WorkerID) {
	w := &b.workers[id]
	subsetDispatcherCount := max(w.gossip.subsetDispatchers.count(), 1)
	rotation := int(b.now / Second) // so that the last dispatcher changes over time
	rank := (b.config.position + rotation) % subsetDispatcherCount
	// A peer receives the load of the preceding dispatcher within half of the start timeout.
	w.notBefore = b.now.Add(Duration(rank) * b.config.startTimeout / 2)
	b.due.scheduleReview(w.notBefore)
}

// subsetPeers yields the other dispatchers that have a worker in their subset.
func (b *Balancer) subsetPeers(id WorkerID) iter.Seq[PeerID] {
	positions := b.workers[id].gossip.subsetDispatchers
	return func(yield func(PeerID) bool) {
		for n := positions.from; n < positions.to; n++ {
			if peer := n % b.config.dispatchers; peer != b.config.position && !yield(PeerID(peer)) {
				return
			}
		}
	}
}

// gossipPeers returns the dispatchers with which this one exchanges the load of at least one worker. Without an
// endpoint list, it returns all other dispatchers.
func (b *Balancer) gossipPeers() (peers []PeerID) {
	workers := b.subsetting.subsets[allIntervals].workers
	sharesWorker := make([]bool, b.config.dispatchers)
	for _, id := range workers {
		for peer := range b.subsetPeers(id) {
			sharesWorker[peer] = true
		}
	}
	for peer := range sharesWorker {
		if peer != b.config.position && (sharesWorker[peer] || len(workers) == 0) {
			peers = append(peers, PeerID(peer))
		}
	}
	return peers
}

// markLoadChanged schedules sending the load of a worker to its peers. The delay is the timing margin: if a rejection
// arrives within it, there may be no change to send.
func (b *Balancer) markLoadChanged(id WorkerID) {
	if b.config.gossip {
		b.gossip.changedLoads = append(b.gossip.changedLoads, id)
		b.gossip.sendLoadsAt = min(b.gossip.sendLoadsAt, b.now.Add(b.config.timingMargin))
	}
}

// sendChangedLoads sends peers the loads that have changed since they were last sent.
func (b *Balancer) sendChangedLoads() {
	for _, id := range b.gossip.changedLoads {
		w := &b.workers[id]
		if w.inFlight != w.gossip.lastSentLoad {
			for peer := range b.subsetPeers(id) {
				b.effects.SendLoad(peer, WorkerLoad{Worker: id, InFlight: w.inFlight})
			}
		}
		w.gossip.lastSentLoad = w.inFlight
	}
	b.gossip.changedLoads = b.gossip.changedLoads[:0]
	b.gossip.sendLoadsAt = never
}

// resendLoads schedules resending the loads of all workers with attempts in flight, because messages can be lost, and
// removes the loads of silent peers.
func (b *Balancer) resendLoads() {
	b.gossip.resendAt = b.now.Add(b.gossip.resendInterval)
	oldest := b.now.Add(-resendsUntilExpiry * b.gossip.resendInterval)
	for _, id := range b.subsetting.ring {
		b.workers[id].gossip.expireLoads(oldest)
		b.subsetting.markMaybeFree(id)
		b.resendLoad(id)
	}
}

// resendLoad schedules resending the load of a worker if it has attempts in flight.
func (b *Balancer) resendLoad(id WorkerID) {
	if b.workers[id].inFlight > 0 {
		b.workers[id].gossip.lastSentLoad = forceResend
		b.markLoadChanged(id)
	}
}

// receivePeerStarted records that a peer has just started and so has no attempts in flight. The peer is sent the loads
// of this dispatcher, which it would otherwise receive only when they change.
func (b *Balancer) receivePeerStarted(from PeerID) {
	b.gossip.recordJuniorPeer(from)
	for _, id := range b.subsetting.ring {
		b.ReceiveLoad(from, WorkerLoad{Worker: id})
		b.resendLoad(id)
	}
}
