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

// powerLoss plans one or several losses of power of everything, a zone, or randomly picked dispatchers and workers,
// each of which comes back at a time of its own.
func (p *planner) powerLoss() string {
	dispatchers, workers := p.powerLossTargets()
	never := p.rng.Perm(len(dispatchers))[:min(p.spec.Never, len(dispatchers))]
	clockTarget := -1
	if p.spec.Clock != 0 && len(dispatchers) > 0 {
		clockTarget = p.rng.IntN(len(dispatchers))
	}
	for n := range max(p.spec.Times, 1) {
		at := p.start() + time.Duration(n)*p.spec.Every.Std()
		p.add(at, PowerLoss, dispatchers, 0)
		p.addOutage(at, p.spec.ListBack.Std(), ListDown, ListRecover)
		p.addOutage(at, p.spec.PeersBack.Std(), PeersCut, PeersRecover)
		for d, dispatcher := range dispatchers {
			if !slices.Contains(never, d) {
				p.addReturn(at, dispatcher, d == clockTarget)
			}
		}
		if p.spec.WorkersBack <= 0 {
			continue
		}
		p.add(at, WorkerCrash, workers, 0)
		for _, w := range workers {
			p.add(at+p.spec.WorkersBack.Std()+p.randomSpread(), WorkerRestart, []int{w}, 0)
		}
	}
	return fmt.Sprintf("power lost: %d dispatchers, %d workers", len(dispatchers), len(workers))
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
		At: lostAt + p.spec.Back.Std() + p.randomSpread(), Kind: PowerReturn, Targets: []int{dispatcher},
		Mode: disk, Fault: p.index,
	}
	if clockJumps {
		action.Duration = p.spec.Clock.Std()
	}
	p.timeline.Actions = append(p.timeline.Actions, action)
}

// addOutage plans an outage of a service that loses power; 0 means that it keeps its power.
func (p *planner) addOutage(at, back time.Duration, beginKind, endKind ActionKind) {
	if back > 0 {
		p.add(at, beginKind, nil, 0)
		p.add(at+back, endKind, nil, 0)
	}
}

func (p *planner) randomSpread() time.Duration {
	return time.Duration(p.rng.Float64() * float64(p.spec.Spread.Std()))
}

// powerLossTargets are those that lose power: all, or those of the named zone, and of these as many as are named.
func (p *planner) powerLossTargets() (dispatchers, workers []int) {
	zone := slices.Index(p.topology.Zones, p.spec.Zone)
	for d := range p.topology.Dispatchers {
		if zone < 0 || d%len(p.topology.Zones) == zone {
			dispatchers = append(dispatchers, d)
		}
	}
	for w, z := range p.topology.WorkerZones {
		if zone < 0 || z == zone {
			workers = append(workers, w)
		}
	}
	return p.pickAmong(dispatchers, p.spec.Dispatchers), p.pickAmong(workers, p.spec.Workers)
}

// pickAmong draws up to limit of the numbers given; 0 means all.
func (p *planner) pickAmong(all []int, limit int) []int {
	if limit <= 0 || limit >= len(all) {
		return all
	}
	p.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	all = all[:limit]
	slices.Sort(all)
	return all
}
