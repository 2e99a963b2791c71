package simulate

import (
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

const (
	requestInterval = 60 * time.Millisecond // on average, of a fleet of six or fewer
	requestSize     = 200 * time.Millisecond
	// Shares of the requests.
	repeatShare = 0.3
	keyedShare  = 0.3
	// repeatRange is how many of the last keys are repeated.
	repeatRange = 120
)

// sendRequests sends a request to one dispatcher, again and again: some under a new key, some as a repeat.
func (w *world) sendRequests() {
	interval := requestInterval * 6 / time.Duration(max(w.plan.Dispatchers, 6))
	w.after(w.between(interval/2, interval*3/2), w.sendRequests)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || !n.machine.Phase().Admits() {
		return
	}
	switch draw := w.rng.Float64(); {
	case draw < repeatShare && len(w.keys) > 0:
		n.sendRepeat(w.keys[max(0, len(w.keys)-1-w.rng.IntN(repeatRange))])
	case draw < repeatShare+keyedShare:
		zone := string(rune('a' + w.rng.IntN(3)))
		key := sentKey{sum: uint64(len(w.keys) + 1), zone: zone, at: w.now, sender: n.position}
		if n.persistKey(key) {
			w.keys = append(w.keys, key)
		}
	}
	n.admitRequest()
}

// admitRequest admits a request if the phase allows it, and ends it a while later.
func (n *node) admitRequest() {
	if !n.machine.Admit(n.uptime(), requestSize).Admitted {
		return
	}
	run := n.run
	succeeds := n.world.workers.up
	n.world.after(n.world.between(50*time.Millisecond, 400*time.Millisecond), func() {
		if !n.running(run) {
			return
		}
		if succeeds {
			n.machine.RequestSucceeded(n.uptime())
		} else {
			n.machine.RequestFailed(n.uptime())
		}
		n.carryOut()
	})
}

// persistKey writes a key to disk, and returns whether the request may be sent.
func (n *node) persistKey(key sentKey) bool {
	k := store.Key{
		Sum: key.sum, Worker: "w", Zone: key.zone,
		SentAt: n.wallClock(), ExpiresAt: n.wallClock() + dedupWindow.Milliseconds(),
	}
	if n.store.AppendKeys([]store.Key{k}, n.wallClock()) != nil {
		return false
	}
	n.keys.AddSent(messaging.Key(k))
	return true
}

// What becomes of a marked repeat.
const (
	repeatAnywhere = "anywhere" // it may run again in another dedup group
	repeatFailed   = "error"
	repeatToGroup  = "group"
)

// sendRepeat sends a marked repeat of a request, and checks where it goes: if the request was sent before this dispatcher
// started, the repeat has to go to the same dedup group or fail for as long as the dedup window lasts.
func (n *node) sendRepeat(key sentKey) {
	found, err := n.keys.Find(recovery.KeyLookup{
		Sum: key.sum, MarkedRepeat: true, KeysPending: n.machine.PeerKeysPending(n.uptime()),
		Now: n.wallClock(), Uptime: n.uptime(),
	})
	outcome := repeatAnywhere
	switch {
	case err != nil:
		outcome = repeatFailed
	case found != nil:
		outcome = repeatToGroup
	}
	fromBefore := key.at < n.startedAt && n.world.now < key.at+dedupWindow && !key.unknownToPeers
	if fromBefore {
		n.world.result.Repeats[outcome]++
	}
	switch {
	case fromBefore && outcome == repeatAnywhere:
		n.world.violation("%d: a repeat of key %d, sent at %v, goes anywhere", n.position, key.sum, key.at)
	case found != nil && found.Zone != key.zone:
		n.world.violation("%d: a repeat of key %d goes to %s, the request went to %s", n.position, key.sum, found.Zone, key.zone)
	}
}
