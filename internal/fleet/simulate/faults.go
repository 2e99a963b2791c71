package simulate

import (
	"errors"
	"slices"
	"time"

	"canvasroute/internal/fleet/store"
)

// errDiskFull is returned by writes to a full disk.
var errDiskFull = errors.New("no space left on the disk")

// diskFault is the effect of a power loss on a disk.
type diskFault string

const (
	diskIntact  diskFault = "intact"
	diskLost    diskFault = "lost"    // replaced by an empty disk
	diskTorn    diskFault = "torn"    // a file is truncated
	diskReset   diskFault = "reset"   // restored to an earlier snapshot
	diskSwapped diskFault = "swapped" // replaced by a copy of another dispatcher's disk
	diskFull    diskFault = "full"    // all writes fail
)

// diskFaults lists all kinds of disk faults, in the order in which they are drawn.
var diskFaults = []diskFault{diskIntact, diskLost, diskTorn, diskReset, diskSwapped, diskFull}

// unreportedKeyTime is the duration before a power loss in which the sender may have sent keys that no peer has stored.
// The sender's last heartbeat and the last saved state of its peers are each up to a second old. The rest is slack.
const unreportedKeyTime = 2200 * time.Millisecond

// The probabilities of the kinds of faults in a history.
const (
	diskFaultProbability       = 0.5 // of each diskFault
	clockJumpProbability       = 0.3
	permanentOutageProbability = 0.2
	unreliableDiskProbability  = 0.2
	// dispatchersPerResetDisk is the number of dispatchers for each dispatcher whose disk may be reset.
	dispatchersPerResetDisk = 3
)

// The probabilities of the kinds of faults in one power loss, for the kinds that the history has.
const (
	partialOutageProbability   = 0.4 // only some dispatchers lose power
	workerOutageProbability    = 0.8 // if all dispatchers lose power, the workers lose it too
	discoveryOutageProbability = 0.5 // the discovery service fails too
	staysDownProbability       = 0.2 // of each dispatcher
	jumpedClockProbability     = 0.3 // of each dispatcher
)

// The times of faults.
const (
	maxPowerLosses      = 3
	snapshotTime        = dedupWindow + 2*time.Second // time of the disk snapshots that diskReset restores
	minFirstPowerLoss   = 4 * time.Second             // after the first dedup window
	maxFirstPowerLoss   = 7 * time.Second
	minPowerLossGap     = 200 * time.Millisecond // from the end of one power loss to the next
	maxPowerLossGap     = 9 * time.Second
	minDowntime         = 50 * time.Millisecond // of a dispatcher
	smallestMaxDowntime = 100 * time.Millisecond
	largestMaxDowntime  = 5 * time.Second
	minWorkerOutage     = 100 * time.Millisecond
	maxWorkerOutage     = 4 * time.Second
	maxDiscoveryOutage  = 6 * time.Second
	maxClockJump        = 2 * time.Hour // in either direction
)

// faultPlan is the set of fault kinds that a history has. Some histories have few kinds, because many kinds together
// could hide a defect of the software.
type faultPlan struct {
	powerLosses      int
	diskFaultKinds   []diskFault     // the kinds to draw from; if empty, only diskIntact
	clockJumps       bool            // wall clocks may jump when a dispatcher restarts
	permanentOutages bool            // some dispatchers may never restart
	snapshots        []*store.Memory // by position: the disk that diskReset restores
}

// scheduleFaults draws and schedules the faults of a history, and returns the time at which the last one ends.
func (w *world) scheduleFaults() time.Duration {
	plan := w.drawFaultPlan()
	plan.snapshots = make([]*store.Memory, len(w.nodes))
	// The first power loss occurs after a dedup window, because until then the keys of a new fleet are suspect anyway.
	w.at(snapshotTime, func() {
		for position, n := range w.nodes {
			plan.snapshots[position] = n.disk.AfterPowerLoss(0)
		}
	})
	at := dedupWindow + w.drawDuration(minFirstPowerLoss, maxFirstPowerLoss)
	for range plan.powerLosses {
		at = w.schedulePowerLoss(at, &plan)
		at += w.drawDuration(minPowerLossGap, maxPowerLossGap)
	}
	return w.lastFaultAt
}

// drawFaultPlan draws the fault kinds of a history, schedules the faults of the network, and selects whether disks are
// unreliable.
func (w *world) drawFaultPlan() faultPlan {
	if w.plan.FleetOutageOnly {
		return faultPlan{powerLosses: 1}
	}
	plan := faultPlan{powerLosses: 1 + w.rng.IntN(maxPowerLosses)}
	for _, fault := range diskFaults {
		if w.drawBool(diskFaultProbability) {
			plan.diskFaultKinds = append(plan.diskFaultKinds, fault)
		}
	}
	plan.clockJumps = w.drawBool(clockJumpProbability)
	plan.permanentOutages = w.drawBool(permanentOutageProbability)
	if slices.Contains(plan.diskFaultKinds, diskReset) {
		// A reset is detected only if at least one of the two receivers of the dispatcher's heartbeats still has its
		// disk and its reply arrives. Therefore only some disks are reset, no other disk loses data, and no message is
		// lost.
		plan.diskFaultKinds = []diskFault{diskIntact, diskReset, diskFull}
	} else {
		w.drawNetworkFaults()
	}
	if w.drawBool(unreliableDiskProbability) {
		for _, n := range w.nodes {
			n.disk.DropSyncs = true
			n.unreliableDisk = true
		}
	}
	return plan
}

// schedulePowerLoss schedules a power loss of some or all dispatchers, possibly with an outage of the workers or the
// discovery service. It returns the time at which the last of these outages ends.
func (w *world) schedulePowerLoss(at time.Duration, plan *faultPlan) time.Duration {
	share := 1.0 // of the dispatchers
	if !w.plan.FleetOutageOnly && w.drawBool(partialOutageProbability) {
		share = w.rng.Float64()
	}
	var down []*node
	for _, n := range w.nodes {
		if w.drawBool(share) {
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
	lastEndAt := at
	if share == 1 && w.drawBool(workerOutageProbability) {
		lastEndAt = max(lastEndAt, w.scheduleWorkerOutage(at))
	}
	if w.drawBool(discoveryOutageProbability) {
		lastEndAt = max(lastEndAt, w.scheduleDiscoveryOutage(at))
	}
	maxDowntime := w.drawDuration(smallestMaxDowntime, largestMaxDowntime)
	for _, n := range down {
		if plan.permanentOutages && w.drawBool(staysDownProbability) {
			continue
		}
		lastEndAt = max(lastEndAt, w.scheduleRestart(n, at, maxDowntime, plan))
	}
	w.lastFaultAt = max(w.lastFaultAt, lastEndAt)
	return lastEndAt
}

// scheduleWorkerOutage schedules a power loss of all workers, and returns the time at which they restart.
func (w *world) scheduleWorkerOutage(at time.Duration) time.Duration {
	endsAt := at + w.drawDuration(minWorkerOutage, maxWorkerOutage)
	w.at(at, func() { w.workers.up = false })
	w.at(endsAt, func() { w.workers = workerPool{up: true, restarted: true, restartedAt: w.now} })
	return endsAt
}

// scheduleDiscoveryOutage schedules an outage of the discovery service, and returns the time at which it ends.
func (w *world) scheduleDiscoveryOutage(at time.Duration) time.Duration {
	endsAt := at + w.drawDuration(0, maxDiscoveryOutage)
	w.at(at, func() { w.discoveryUp = false })
	w.at(endsAt, func() { w.discoveryUp = true })
	return endsAt
}

// scheduleRestart schedules the restart of a dispatcher after a power loss, possibly with a disk fault and a clock
// jump. It returns the time at which the dispatcher starts.
func (w *world) scheduleRestart(n *node, at, maxDowntime time.Duration, plan *faultPlan) time.Duration {
	restartAt := at + w.drawDuration(minDowntime, maxDowntime)
	fault := diskIntact
	if len(plan.diskFaultKinds) > 0 {
		fault = plan.diskFaultKinds[w.rng.IntN(len(plan.diskFaultKinds))]
	}
	if fault == diskReset && n.position%dispatchersPerResetDisk != 0 {
		fault = diskIntact
	}
	other := w.nodes[w.rng.IntN(len(w.nodes))]
	clockJump := time.Duration(0)
	if plan.clockJumps && w.drawBool(jumpedClockProbability) {
		clockJump = w.drawDuration(-maxClockJump, maxClockJump)
	}
	w.at(restartAt, func() {
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
	return restartAt
}

// injectDiskFault replaces the disk by its durable contents after a power loss, and applies a fault to it.
func (n *node) injectDiskFault(fault diskFault, snapshot, other *store.Memory) {
	n.disk = n.disk.AfterPowerLoss(0)
	switch fault {
	case diskLost:
		n.disk = store.NewMemory()
	case diskTorn:
		n.disk.TearFile(n.world.rng.Uint64())
	case diskReset:
		if snapshot != nil {
			n.disk = snapshot.AfterPowerLoss(0)
			n.markKeysUnknownToPeers()
		}
	case diskSwapped:
		n.disk = other.AfterPowerLoss(0)
	case diskFull:
		n.disk.WriteError = errDiskFull
	}
}

// markKeysUnknownToPeers marks the keys that a disk reset loses and that were sent too shortly before a power loss for
// a peer to have stored them.
func (n *node) markKeysUnknownToPeers() {
	for number := range n.world.keys {
		key := &n.world.keys[number]
		sentJustBefore := func(loss time.Duration) bool { return key.sentAt <= loss && key.sentAt > loss-unreportedKeyTime }
		if key.sender == n.position && slices.ContainsFunc(n.powerLosses, sentJustBefore) {
			key.unknownToPeers = true
		}
	}
}
