package fault

import (
	"fmt"
	"slices"
	"time"
)

// The states of a dispatcher's disk after a power loss.
const (
	DiskIntact   = "kept"
	DiskMissing  = "gone"
	DiskLostSync = "lost-sync" // the most recent data that was reported as synced is missing
	DiskTorn     = "torn"      // a file is truncated
	DiskOld      = "old"       // an earlier copy of the disk is restored
	DiskSwapped  = "swapped"   // replaced by a copy of another dispatcher's disk
	DiskFull     = "full"
	DiskReadOnly = "read-only"
	DiskRandom   = "drawn" // drawn at random from DiskStates for each dispatcher
)

// DiskStates lists the states from which DiskRandom draws.
var DiskStates = []string{DiskIntact, DiskMissing, DiskLostSync, DiskTorn, DiskOld, DiskSwapped, DiskFull, DiskReadOnly}

// planPowerLoss plans one or more power losses. They affect all dispatchers and workers, those of a zone, or a random
// subset. Power is restored to each dispatcher and worker after an individual delay, except to as many dispatchers as
// Spec.NeverRestored specifies, which are drawn at random.
func (p *planner) planPowerLoss() string {
	dispatchers, workers := p.powerLossTargets()
	neverRestored := p.rng.Perm(len(dispatchers))[:min(p.spec.NeverRestored, len(dispatchers))]
	clockJumps := make([]bool, len(dispatchers))
	if p.spec.Clock != 0 && len(dispatchers) > 0 {
		clockJumps[p.rng.IntN(len(dispatchers))] = true
	}
	for n := range max(p.spec.Times, 1) {
		lostAt := p.start() + time.Duration(n)*p.spec.Every.Std()
		p.add(lostAt, PowerLoss, dispatchers, 0)
		p.addServiceOutage(lostAt, p.spec.ListRestoreAfter.Std(), ListDown, ListRecover)
		p.addServiceOutage(lostAt, p.spec.PeersRestoreAfter.Std(), PeersCut, PeersRecover)
		for index, dispatcher := range dispatchers {
			if !slices.Contains(neverRestored, index) {
				p.addPowerRestore(lostAt, dispatcher, clockJumps[index])
			}
		}
		p.addWorkerOutage(lostAt, workers)
	}
	return fmt.Sprintf("power lost: %d dispatchers, %d workers", len(dispatchers), len(workers))
}

// addWorkerOutage plans an outage of the workers that lose power at lostAt. It plans nothing if the fault does not
// affect the power of workers.
func (p *planner) addWorkerOutage(lostAt time.Duration, workers []int) {
	if p.spec.WorkersRestoreAfter <= 0 {
		return
	}
	p.add(lostAt, WorkerCrash, workers, 0)
	for _, worker := range workers {
		restartAt := lostAt + p.spec.WorkersRestoreAfter.Std() + p.randomDelay()
		p.add(restartAt, WorkerRestart, []int{worker}, 0)
	}
}

// addPowerRestore plans the restart of one dispatcher after the power loss at lostAt.
func (p *planner) addPowerRestore(lostAt time.Duration, dispatcher int, clockJumps bool) {
	disk := p.spec.Disk
	switch disk {
	case "":
		disk = DiskIntact
	case DiskRandom:
		disk = DiskStates[p.rng.IntN(len(DiskStates))]
	}
	action := Action{
		At:      lostAt + p.spec.RestoreAfter.Std() + p.randomDelay(),
		Kind:    PowerRestore,
		Targets: []int{dispatcher},
		Mode:    disk,
		Fault:   p.index,
	}
	if clockJumps {
		action.Duration = p.spec.Clock.Std()
	}
	p.timeline.Actions = append(p.timeline.Actions, action)
}

// addServiceOutage plans an outage of a service that loses power at lostAt. It plans nothing if the duration is 0.
func (p *planner) addServiceOutage(lostAt, duration time.Duration, beginKind, endKind ActionKind) {
	if duration > 0 {
		p.add(lostAt, beginKind, nil, 0)
		p.add(lostAt+duration, endKind, nil, 0)
	}
}

// randomDelay draws a random delay of up to the fault's spread.
func (p *planner) randomDelay() time.Duration {
	return time.Duration(p.rng.Float64() * float64(p.spec.Spread.Std()))
}

// powerLossTargets returns the dispatchers and workers that lose power: all, or those of the fault's zone. If the fault
// limits their number, it draws that many at random.
func (p *planner) powerLossTargets() (dispatchers, workers []int) {
	zone := slices.Index(p.topology.Zones, p.spec.Zone)
	everywhere := zone < 0
	for dispatcher := range p.topology.Dispatchers {
		if everywhere || dispatcher%len(p.topology.Zones) == zone {
			dispatchers = append(dispatchers, dispatcher)
		}
	}
	for worker, workerZone := range p.topology.WorkerZones {
		if everywhere || workerZone == zone {
			workers = append(workers, worker)
		}
	}
	return p.pickUpTo(dispatchers, p.spec.Dispatchers), p.pickUpTo(workers, p.spec.Workers)
}

// pickUpTo draws up to limit of the given numbers, and returns them in ascending order. A limit of 0 means all. It may
// reorder the slice that it is given.
func (p *planner) pickUpTo(all []int, limit int) []int {
	if limit <= 0 || limit >= len(all) {
		return all
	}
	p.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	all = all[:limit]
	slices.Sort(all)
	return all
}
