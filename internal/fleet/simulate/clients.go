package simulate

import (
	"time"

	"canvasroute/internal/fleet/messaging"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/fleet/store"
)

const (
	meanRequestInterval = 60 * time.Millisecond // mean interval for at most baseFleetSize dispatchers
	baseFleetSize       = 6                     // dispatchers; a larger fleet receives proportionally more requests
	requestSize         = 200 * time.Millisecond
	minRequestTime      = 50 * time.Millisecond // duration of a request
	maxRequestTime      = 400 * time.Millisecond
	repeatShare         = 0.3 // of the requests
	keyedShare          = 0.3 // of the requests
	recentKeyCount      = 120 // number of most recent keys from which repeats are drawn
	zoneCount           = 3
)

// sendRequests sends a request to a random dispatcher, with a new key, as a repeat of an earlier key or without a key,
// and schedules the next request.
func (w *world) sendRequests() {
	interval := meanRequestInterval * baseFleetSize / time.Duration(max(w.plan.Dispatchers, baseFleetSize))
	shortest := interval / 2
	longest := interval + interval/2
	w.after(w.drawDuration(shortest, longest), w.sendRequests)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || !n.machine.Phase().AdmitsRequests() {
		return
	}
	switch draw := w.rng.Float64(); {
	case draw < repeatShare && len(w.keys) > 0:
		n.checkRepeat(w.keys[max(0, len(w.keys)-1-w.rng.IntN(recentKeyCount))])
	case draw < repeatShare+keyedShare:
		zone := string(rune('a' + w.rng.IntN(zoneCount)))
		key := sentKey{sum: uint64(len(w.keys) + 1), zone: zone, sentAt: w.now, sender: n.position}
		if n.persistKey(key) {
			w.keys = append(w.keys, key)
		}
	}
	n.admitRequest()
}

// admitRequest admits a request if the phase allows it, and schedules its end.
func (n *node) admitRequest() {
	if !n.machine.Admit(n.uptime(), requestSize).Admitted {
		return
	}
	runNumber := n.runNumber
	succeeds := n.world.workers.up
	n.world.after(n.world.drawDuration(minRequestTime, maxRequestTime), func() {
		if !n.isRunning(runNumber) {
			return
		}
		if succeeds {
			n.machine.RequestSucceeded(n.uptime())
		} else {
			n.machine.RequestFailed(n.uptime())
		}
		n.executeActions()
	})
}

// persistKey writes a key to disk, and reports whether that succeeded, so that the request may be sent.
func (n *node) persistKey(key sentKey) bool {
	record := store.Key{
		Sum:       key.sum,
		Worker:    "w",
		Zone:      key.zone,
		SentAt:    n.wallClock(),
		ExpiresAt: n.wallClock() + dedupWindow.Milliseconds(),
	}
	if n.store.AppendKeys([]store.Key{record}, n.wallClock()) != nil {
		return false
	}
	n.keys.AddSent(messaging.Key(record))
	return true
}

// The outcomes of a marked retry of a request with a key.
const (
	repeatToAnyGroup = "anywhere" // it may run again, in another dedup group
	repeatFailed     = "error"
	repeatToGroup    = "group"
)

// checkRepeat checks the dedup group to which a dispatcher would send a marked retry of a request. If the request was
// sent before this dispatcher started, its repeat must be sent to the same dedup group or fail, for one dedup window.
func (n *node) checkRepeat(key sentKey) {
	found, err := n.keys.Find(recovery.KeyLookup{
		Sum:            key.sum,
		MarkedRetry:    true,
		KeysIncomplete: n.machine.MayLackKeys(n.uptime()),
		UnixMillis:     n.wallClock(),
		Uptime:         n.uptime(),
	})
	outcome := repeatToAnyGroup
	switch {
	case err != nil:
		outcome = repeatFailed
	case found != nil:
		outcome = repeatToGroup
	}
	sentBeforeStart := key.sentAt < n.startedAt
	inDedupWindow := n.world.now < key.sentAt+dedupWindow
	isProtected := sentBeforeStart && inDedupWindow && !key.unknownToPeers
	if isProtected {
		n.world.result.Repeats[outcome]++
	}
	switch {
	case isProtected && outcome == repeatToAnyGroup:
		n.world.reportViolation("%d: a repeat of key %d, sent at %v, may go to any dedup group", n.position, key.sum, key.sentAt)
	case found != nil && found.Zone != key.zone:
		n.world.reportViolation("%d: a repeat of key %d goes to %s, but the request was sent to %s", n.position, key.sum, found.Zone, key.zone)
	}
}
