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

// unreportedKeyTime is how long before a loss of power keys may have been sent that no peer has stored. The sender's last
// heartbeat and the last state of its peers are up to a second old each; the rest is slack.
const unreportedKeyTime = 2200 * time.Millisecond

// The probability of each kind of fault in a history.
const (
	diskFaultProbability      = 0.5 // of each diskFault
	clockJumpProbability      = 0.3
	neverBackProbability      = 0.2
	unreliableDiskProbability = 0.2
	// resetDiskEvery is how many dispatchers there are for each whose disk may be reset.
	resetDiskEvery = 3
)

// The probability of each kind of fault in one loss of power, if the history has it.
const (
	partialOutageProbability   = 0.4 // only some dispatchers lose power
	workerOutageProbability    = 0.8 // the workers too, if all dispatchers do
	discoveryOutageProbability = 0.5 // the discovery service too
	staysDownProbability       = 0.2 // of each dispatcher
	jumpedClockProbability     = 0.3 // of each dispatcher
)

// The times of faults.
const (
	maxPowerLosses      = 3
	snapshotAt          = dedupWindow + 2*time.Second // when the disks are copied that diskReset puts back
	minFirstPowerLoss   = 4 * time.Second             // after the first dedup window
	maxFirstPowerLoss   = 7 * time.Second
	minPowerLossGap     = 200 * time.Millisecond // from the end of one loss of power to the next
	maxPowerLossGap     = 9 * time.Second
	minDowntime         = 50 * time.Millisecond // of a dispatcher
	leastMaxDowntime    = 100 * time.Millisecond
	greatestMaxDowntime = 5 * time.Second
	minWorkerOutage     = 100 * time.Millisecond
	maxWorkerOutage     = 4 * time.Second
	maxDiscoveryOutage  = 6 * time.Second
	maxClockJump        = 2 * time.Hour // in either direction
)

// faultPlan is which kinds of faults a history has at all. So some histories have few kinds, and show faults of the
// software that many kinds together would hide.
type faultPlan struct {
	powerLosses int
	disks       []diskFault     // the kinds that are drawn from; none for diskIntact alone
	clockJumps  bool            // wall clocks may jump
	neverBack   bool            // some dispatchers stay down
	snapshots   []*store.Memory // by position: the disk that diskReset puts back
}

// scheduleFaults draws and schedules the faults of a history, and returns when the last one is over.
func (w *world) scheduleFaults() time.Duration {
	plan := w.drawFaultPlan()
	plan.snapshots = make([]*store.Memory, len(w.nodes))
	// A dedup window passes before anything fails: the keys of a fleet that has just begun are suspect anyway.
	w.at(snapshotAt, func() {
		for position, n := range w.nodes {
			plan.snapshots[position] = n.disk.Restart(0)
		}
	})
	at := dedupWindow + w.between(minFirstPowerLoss, maxFirstPowerLoss)
	for range plan.powerLosses {
		at = w.schedulePowerLoss(at, &plan)
		at += w.between(minPowerLossGap, maxPowerLossGap)
	}
	return w.lastFaultAt
}

// drawFaultPlan draws the kinds of faults, and the faults of the network and of unreliable disks.
func (w *world) drawFaultPlan() faultPlan {
	if w.plan.FleetOutageOnly {
		return faultPlan{powerLosses: 1}
	}
	plan := faultPlan{powerLosses: 1 + w.rng.IntN(maxPowerLosses)}
	for _, fault := range diskFaults {
		if w.happens(diskFaultProbability) {
			plan.disks = append(plan.disks, fault)
		}
	}
	plan.clockJumps = w.happens(clockJumpProbability)
	plan.neverBack = w.happens(neverBackProbability)
	if slices.Contains(plan.disks, diskReset) {
		// A reset is detected as long as one of the two receivers of heartbeats has its disk, and its reply arrives. So
		// only some disks are reset, no other one loses anything, and all messages arrive.
		plan.disks = []diskFault{diskIntact, diskReset, diskFull}
	} else {
		w.drawNetworkFaults()
	}
	if w.happens(unreliableDiskProbability) {
		for _, n := range w.nodes {
			n.disk.DropSyncs = true
			n.unreliableDisk = true
		}
	}
	return plan
}

// schedulePowerLoss schedules one loss of power of some dispatchers, perhaps with the workers or the discovery service.
// It returns when the last of them is back.
func (w *world) schedulePowerLoss(at time.Duration, plan *faultPlan) time.Duration {
	share := 1.0 // of the dispatchers
	if !w.plan.FleetOutageOnly && w.happens(partialOutageProbability) {
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
	if share == 1 && w.happens(workerOutageProbability) {
		last = max(last, w.scheduleWorkerOutage(at))
	}
	if w.happens(discoveryOutageProbability) {
		last = max(last, w.scheduleDiscoveryOutage(at))
	}
	maxDowntime := w.between(leastMaxDowntime, greatestMaxDowntime)
	for _, n := range down {
		if plan.neverBack && w.happens(staysDownProbability) {
			continue
		}
		last = max(last, w.scheduleRestart(n, at, maxDowntime, plan))
	}
	w.lastFaultAt = max(w.lastFaultAt, last)
	return last
}

// scheduleWorkerOutage schedules a loss of power of all workers, and returns when they are back.
func (w *world) scheduleWorkerOutage(at time.Duration) time.Duration {
	back := at + w.between(minWorkerOutage, maxWorkerOutage)
	w.at(at, func() { w.workers.up = false })
	w.at(back, func() { w.workers = workerPool{up: true, restarted: true, restartedAt: w.now} })
	return back
}

// scheduleDiscoveryOutage schedules an outage of the discovery service, and returns when it is back.
func (w *world) scheduleDiscoveryOutage(at time.Duration) time.Duration {
	back := at + w.between(0, maxDiscoveryOutage)
	w.at(at, func() { w.discoveryUp = false })
	w.at(back, func() { w.discoveryUp = true })
	return back
}

// scheduleRestart schedules the restart of a dispatcher after a loss of power, which may change its disk and its clock.
// It returns when the dispatcher starts.
func (w *world) scheduleRestart(n *node, at, maxDowntime time.Duration, plan *faultPlan) time.Duration {
	back := at + w.between(minDowntime, maxDowntime)
	fault := diskIntact
	if len(plan.disks) > 0 {
		fault = plan.disks[w.rng.IntN(len(plan.disks))]
	}
	if fault == diskReset && n.position%resetDiskEvery != 0 {
		fault = diskIntact
	}
	other := w.nodes[w.rng.IntN(len(w.nodes))]
	clockJump := time.Duration(0)
	if plan.clockJumps && w.happens(jumpedClockProbability) {
		clockJump = w.between(-maxClockJump, maxClockJump)
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
	for number := range n.world.keys {
		key := &n.world.keys[number]
		sentJustBefore := func(loss time.Duration) bool { return key.at <= loss && key.at > loss-unreportedKeyTime }
		if key.sender == n.position && slices.ContainsFunc(n.powerLosses, sentJustBefore) {
			key.unknownToPeers = true
		}
	}
}
