package fault

import (
	"fmt"
	"slices"
	"time"
)

// The states of a dispatcher's disk after a loss of power.
const (
	DiskIntact   = "kept"
	DiskMissing  = "gone"
	DiskLostSync = "lost-sync" // the newest data that was reported as written is missing
	DiskTorn     = "torn"      // a file ends early
	DiskOld      = "old"       // an earlier copy
	DiskSwapped  = "swapped"   // that of another dispatcher
	DiskFull     = "full"
	DiskReadOnly = "read-only"
	DiskRandom   = "drawn" // drawn from DiskStates for each dispatcher
)

// DiskStates are the states that DiskRandom draws from.
var DiskStates = []string{DiskIntact, DiskMissing, DiskLostSync, DiskTorn, DiskOld, DiskSwapped, DiskFull, DiskReadOnly}

// powerLoss plans one or several losses of power. They affect everything, a zone, or dispatchers and workers drawn at
// random. Power is restored to each of them at a time of its own.
func (p *planner) powerLoss() string {
	dispatchers, workers := p.powerLossTargets()
	neverRestored := p.rng.Perm(len(dispatchers))[:min(p.spec.NeverRestored, len(dispatchers))]
	clockJumps := make([]bool, len(dispatchers))
	if p.spec.Clock != 0 && len(dispatchers) > 0 {
		clockJumps[p.rng.IntN(len(dispatchers))] = true
	}
	for n := range max(p.spec.Times, 1) {
		lostAt := p.start() + time.Duration(n)*p.spec.Every.Std()
		p.add(lostAt, PowerLoss, dispatchers, 0)
		p.addOutage(lostAt, p.spec.ListRestoreAfter.Std(), ListDown, ListRecover)
		p.addOutage(lostAt, p.spec.PeersRestoreAfter.Std(), PeersCut, PeersRecover)
		for index, dispatcher := range dispatchers {
			if !slices.Contains(neverRestored, index) {
				p.addReturn(lostAt, dispatcher, clockJumps[index])
			}
		}
		p.addWorkerOutage(lostAt, workers)
	}
	return fmt.Sprintf("power lost: %d dispatchers, %d workers", len(dispatchers), len(workers))
}

// addWorkerOutage plans the outage of workers that lose power at a time, unless workers keep their power.
func (p *planner) addWorkerOutage(lostAt time.Duration, workers []int) {
	if p.spec.WorkersRestoreAfter <= 0 {
		return
	}
	p.add(lostAt, WorkerCrash, workers, 0)
	for _, worker := range workers {
		restartAt := lostAt + p.spec.WorkersRestoreAfter.Std() + p.randomSpread()
		p.add(restartAt, WorkerRestart, []int{worker}, 0)
	}
}

// addReturn plans the return of one dispatcher after a loss of power at a time.
func (p *planner) addReturn(lostAt time.Duration, dispatcher int, clockJumps bool) {
	disk := p.spec.Disk
	switch disk {
	case "":
		disk = DiskIntact
	case DiskRandom:
		disk = DiskStates[p.rng.IntN(len(DiskStates))]
	}
	action := Action{
		At:      lostAt + p.spec.RestoreAfter.Std() + p.randomSpread(),
		Kind:    PowerReturn,
		Targets: []int{dispatcher},
		Mode:    disk,
		Fault:   p.index,
	}
	if clockJumps {
		action.Duration = p.spec.Clock.Std()
	}
	p.timeline.Actions = append(p.timeline.Actions, action)
}

// addOutage plans an outage of a service that loses power at a time. A duration of 0 means that it keeps its power.
func (p *planner) addOutage(lostAt, duration time.Duration, beginKind, endKind ActionKind) {
	if duration > 0 {
		p.add(lostAt, beginKind, nil, 0)
		p.add(lostAt+duration, endKind, nil, 0)
	}
}

// randomSpread draws a delay of up to the fault's spread.
func (p *planner) randomSpread() time.Duration {
	return time.Duration(p.rng.Float64() * float64(p.spec.Spread.Std()))
}

// powerLossTargets returns the dispatchers and workers that lose power: all, or those of the fault's zone. If the fault
// gives a number of them, only as many, drawn at random.
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
	return p.pickAmong(dispatchers, p.spec.Dispatchers), p.pickAmong(workers, p.spec.Workers)
}

// pickAmong draws up to limit of the numbers, and returns them in ascending order. A limit of 0 means all.
func (p *planner) pickAmong(all []int, limit int) []int {
	if limit <= 0 || limit >= len(all) {
		return all
	}
	p.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	all = all[:limit]
	slices.Sort(all)
	return all
}
