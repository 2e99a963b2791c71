package fault

import (
	"fmt"
	"slices"
	"time"
)

// What became of a dispatcher's disk in a power loss.
const (
	DiskIntact   = "kept"
	DiskMissing  = "gone"
	DiskLostSync = "lost-sync" // the last of what it had said to be written is not there
	DiskTorn     = "torn"      // cut off at some byte
	DiskOld      = "old"       // as it was a while before
	DiskSwapped  = "swapped"   // that of another dispatcher
	DiskFull     = "full"
	DiskReadOnly = "read-only"
	DiskRandom   = "drawn" // each dispatcher's is drawn from the others
)

// DiskStates are all that a disk may have become.
var DiskStates = []string{DiskIntact, DiskMissing, DiskLostSync, DiskTorn, DiskOld, DiskSwapped, DiskFull, DiskReadOnly}

// powerLoss plans that all, a zone, or some that are drawn lose power at once, once or more often, and come back
// each at its own time.
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
			if slices.Contains(never, d) {
				continue
			}
			disk := p.spec.Disk
			switch disk {
			case "":
				disk = DiskIntact
			case DiskRandom:
				disk = DiskStates[p.rng.IntN(len(DiskStates))]
			}
			a := Action{
				At: at + p.spec.Back.Std() + p.randomSpread(), Kind: PowerReturn, Targets: []int{dispatcher},
				Mode: disk, Fault: p.index,
			}
			if d == clockTarget {
				a.Duration = p.spec.Clock.Std()
			}
			p.timeline.Actions = append(p.timeline.Actions, a)
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

// addOutage plans that a service is away for a time, where there is one.
func (p *planner) addOutage(at, back time.Duration, beginKind, endKind ActionKind) {
	if back > 0 {
		p.add(at, beginKind, nil, 0)
		p.add(at+back, endKind, nil, 0)
	}
}

func (p *planner) randomSpread() time.Duration {
	return time.Duration(p.rng.Float64() * float64(p.spec.Spread.Std()))
}

// powerLossTargets are those that lose power: as many as are named, or those of the zone, or all.
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
	some := func(all []int, limit int) []int {
		if limit <= 0 || limit >= len(all) {
			return all
		}
		p.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		all = all[:limit]
		slices.Sort(all)
		return all
	}
	return some(dispatchers, p.spec.Dispatchers), some(workers, p.spec.Workers)
}

// linkCut plans that some dispatchers no longer hear the others, or are no longer heard.
func (p *planner) linkCut() string {
	targets := p.pickRandom(p.spec.Dispatchers, p.topology.Dispatchers)
	for _, step := range []struct {
		at time.Duration
		do ActionKind
	}{{p.start(), LinkCut}, {p.end(), LinkHeal}} {
		p.timeline.Actions = append(p.timeline.Actions, Action{
			At: step.at, Kind: step.do, Targets: targets, Mode: p.spec.Way,
			Fault: p.index,
		})
	}
	return fmt.Sprintf("link of %d dispatchers cut", len(targets))
}
