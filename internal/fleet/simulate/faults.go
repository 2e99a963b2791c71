package simulate

import (
	"errors"
	"slices"
	"time"

	"canvasroute/internal/fleet/store"
)

// errDiskFull is the error of a disk without space.
var errDiskFull = errors.New("no space left on the disk")

// diskFault is what a loss of power does to a disk.
type diskFault string

const (
	diskIntact  diskFault = "intact"
	diskLost    diskFault = "lost"    // an empty disk in its place
	diskTorn    diskFault = "torn"    // a file is cut off
	diskReset   diskFault = "reset"   // put back to an earlier state
	diskSwapped diskFault = "swapped" // another dispatcher's disk
	diskFull    diskFault = "full"    // nothing can be written any more
)

// diskFaults are all kinds, in the order in which they are drawn.
var diskFaults = []diskFault{diskIntact, diskLost, diskTorn, diskReset, diskSwapped, diskFull}

// unreportedKeyTime is how long before a loss of power the last keys of a dispatcher may have been sent without a
// peer that knows them and has stored that: its last heartbeat and the last state of its peers are up to a second old each.
const unreportedKeyTime = 2200 * time.Millisecond

// faultPlan is which kinds of faults a history has at all. So some histories have few kinds, and meet what many kinds
// together would hide.
type faultPlan struct {
	powerLosses int
	disks       []diskFault
	clockJumps  bool
	neverBack   bool            // some dispatchers stay down
	snapshots   []*store.Memory // by position: the disk that diskReset puts back
}

// scheduleFaults draws and schedules the faults of a history, and returns when the last one is over.
func (w *world) scheduleFaults() time.Duration {
	plan := w.drawFaultPlan()
	plan.snapshots = make([]*store.Memory, len(w.nodes))
	// A dedup window passes before anything fails: the keys of a fleet that has just begun are suspect anyway.
	w.at(dedupWindow+2*time.Second, func() {
		for position, n := range w.nodes {
			plan.snapshots[position] = n.disk.Restart(0)
		}
	})
	at := dedupWindow + w.between(4*time.Second, 7*time.Second)
	for range plan.powerLosses {
		at = w.schedulePowerLoss(at, &plan)
		at += w.between(200*time.Millisecond, 9*time.Second)
	}
	return w.lastFaultAt
}

// drawFaultPlan draws the kinds of faults, and the faults of the network and of unreliable disks.
func (w *world) drawFaultPlan() faultPlan {
	if w.plan.FleetOutageOnly {
		return faultPlan{powerLosses: 1}
	}
	plan := faultPlan{powerLosses: 1 + w.rng.IntN(3)}
	for _, fault := range diskFaults {
		if w.happens(0.5) {
			plan.disks = append(plan.disks, fault)
		}
	}
	plan.clockJumps = w.happens(0.3)
	plan.neverBack = w.happens(0.2)
	if slices.Contains(plan.disks, diskReset) {
		// A reset is detected as long as one of the two peers that receive heartbeats has its disk and is received: so only
		// every third disk is reset, no other one loses anything, and all messages arrive.
		plan.disks = []diskFault{diskIntact, diskReset, diskFull}
	} else {
		w.drawNetworkFaults()
	}
	if w.happens(0.2) {
		for _, n := range w.nodes {
			n.disk.DropSyncs = true
			n.unreliableDisk = true
		}
	}
	return plan
}

// schedulePowerLoss schedules one loss of power of some dispatchers, perhaps with the workers or the list service, and
// returns when the last of them is back.
func (w *world) schedulePowerLoss(at time.Duration, plan *faultPlan) time.Duration {
	share := 1.0
	if !w.plan.FleetOutageOnly && w.happens(0.4) {
		share = w.rng.Float64()
	}
	var down []*node
	for _, n := range w.nodes {
		if w.happens(share) {
			down = append(down, n)
		}
	}
	w.at(at, func() {
		for _, n := range down {
			if n.up {
				n.losePower()
			}
		}
	})
	last := at
	if share == 1 && w.happens(0.8) {
		last = max(last, w.scheduleWorkerOutage(at))
	}
	if w.happens(0.5) {
		last = max(last, w.scheduleListServiceOutage(at))
	}
	maxDowntime := w.between(100*time.Millisecond, 5*time.Second)
	for _, n := range down {
		if plan.neverBack && w.happens(0.2) {
			continue
		}
		last = max(last, w.scheduleRestart(n, at, maxDowntime, plan))
	}
	w.lastFaultAt = max(w.lastFaultAt, last)
	return last
}

// scheduleWorkerOutage schedules a loss of power of all workers, and returns when they are back.
func (w *world) scheduleWorkerOutage(at time.Duration) time.Duration {
	back := at + w.between(100*time.Millisecond, 4*time.Second)
	w.at(at, func() { w.workers.up = false })
	w.at(back, func() { w.workers = workers{up: true, restarted: true, restartAt: w.now} })
	return back
}

// scheduleListServiceOutage schedules an outage of the list service, and returns when it is back.
func (w *world) scheduleListServiceOutage(at time.Duration) time.Duration {
	back := at + w.between(0, 6*time.Second)
	w.at(at, func() { w.listServiceUp = false })
	w.at(back, func() { w.listServiceUp = true })
	return back
}

// scheduleRestart schedules the restart of a dispatcher after a loss of power, with what that did to its disk and clock, and
// returns when it starts.
func (w *world) scheduleRestart(n *node, at, maxDowntime time.Duration, plan *faultPlan) time.Duration {
	back := at + w.between(50*time.Millisecond, maxDowntime)
	fault := diskIntact
	if len(plan.disks) > 0 {
		fault = plan.disks[w.rng.IntN(len(plan.disks))]
	}
	if fault == diskReset && n.position%3 != 0 {
		fault = diskIntact
	}
	other := w.nodes[w.rng.IntN(len(w.nodes))]
	clockJump := time.Duration(0)
	if plan.clockJumps && w.happens(0.3) {
		clockJump = w.between(-2*time.Hour, 2*time.Hour)
	}
	w.at(back, func() {
		if n.up {
			return
		}
		if clockJump != 0 {
			n.clockOffset = clockJump
		}
		dropsSyncs := n.disk.DropSyncs
		n.injectDiskFault(fault, plan.snapshots[n.position], other.disk)
		n.disk.DropSyncs = dropsSyncs
		n.start()
	})
	return back
}

// injectDiskFault replaces the disk by what a loss of power left of it.
func (n *node) injectDiskFault(fault diskFault, snapshot, other *store.Memory) {
	n.disk = n.disk.Restart(0)
	switch fault {
	case diskLost:
		n.disk = store.NewMemory()
	case diskTorn:
		n.disk.Tear(n.world.rng.Uint64())
	case diskReset:
		if snapshot != nil {
			n.disk = snapshot.Restart(0)
			n.markKeysUnknownToPeers()
		}
	case diskSwapped:
		n.disk = other.Restart(0)
	case diskFull:
		n.disk.WriteError = errDiskFull
	}
}

// markKeysUnknownToPeers marks the keys that are lost with a disk that was reset, since no peer can know them.
func (n *node) markKeysUnknownToPeers() {
	for k := range n.world.keys {
		key := &n.world.keys[k]
		sentJustBefore := func(loss time.Duration) bool { return key.at <= loss && key.at > loss-unreportedKeyTime }
		if key.sender == n.position && slices.ContainsFunc(n.powerLosses, sentJustBefore) {
			key.unknownToPeers = true
		}
	}
}
