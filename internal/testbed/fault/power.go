package fault

import (
	"fmt"
	"slices"
	"time"
)

// What became of a dispatcher's disk in a power loss.
const (
	DiskKept     = "kept"
	DiskGone     = "gone"
	DiskLostSync = "lost-sync" // the last of what it had said to be written is not there
	DiskTorn     = "torn"      // cut off at some byte
	DiskOld      = "old"       // as it was a while before
	DiskSwapped  = "swapped"   // that of another dispatcher
	DiskFull     = "full"
	DiskReadOnly = "read-only"
	DiskDrawn    = "drawn" // each dispatcher's is drawn from the others
)

// Disks are all that a disk may have become.
var Disks = []string{DiskKept, DiskGone, DiskLostSync, DiskTorn, DiskOld, DiskSwapped, DiskFull, DiskReadOnly}

// powerLoss plans that all, a zone, or some that are drawn lose power at once, once or more often, and come back
// each at its own time.
func (p *planner) powerLoss() string {
	dispatchers, workers := p.powered()
	never := p.rng.Perm(len(dispatchers))[:min(p.spec.Never, len(dispatchers))]
	jumps := -1
	if p.spec.Clock != 0 && len(dispatchers) > 0 {
		jumps = p.rng.IntN(len(dispatchers))
	}
	for n := range max(p.spec.Times, 1) {
		at := p.from() + time.Duration(n)*p.spec.Every.D()
		p.do(at, PowerFails, dispatchers, 0)
		p.away(at, p.spec.ListBack.D(), ListAway, ListFine)
		p.away(at, p.spec.PeersBack.D(), PeersCut, PeersFine)
		for d, dispatcher := range dispatchers {
			if slices.Contains(never, d) {
				continue
			}
			disk := p.spec.Disk
			switch disk {
			case "":
				disk = DiskKept
			case DiskDrawn:
				disk = Disks[p.rng.IntN(len(Disks))]
			}
			a := Action{
				At: at + p.spec.Back.D() + p.drawnSpread(), Do: PowerReturns, Targets: []int{dispatcher},
				Word: disk, Trouble: p.n,
			}
			if d == jumps {
				a.Span = p.spec.Clock.D()
			}
			p.out.Actions = append(p.out.Actions, a)
		}
		if p.spec.WorkersBack <= 0 {
			continue
		}
		p.do(at, WorkerCrash, workers, 0)
		for _, w := range workers {
			p.do(at+p.spec.WorkersBack.D()+p.drawnSpread(), WorkerReturn, []int{w}, 0)
		}
	}
	return fmt.Sprintf("power lost: %d dispatchers, %d workers", len(dispatchers), len(workers))
}

// away plans that a service is away for a time, where there is one.
func (p *planner) away(at, back time.Duration, begin, end Do) {
	if back > 0 {
		p.do(at, begin, nil, 0)
		p.do(at+back, end, nil, 0)
	}
}

func (p *planner) drawnSpread() time.Duration {
	return time.Duration(p.rng.Float64() * float64(p.spec.Spread.D()))
}

// powered are those that lose power: as many as are named, or those of the zone, or all.
func (p *planner) powered() (dispatchers, workers []int) {
	zone := slices.Index(p.world.Zones, p.spec.Zone)
	for d := range p.world.Dispatchers {
		if zone < 0 || d%len(p.world.Zones) == zone {
			dispatchers = append(dispatchers, d)
		}
	}
	for w, z := range p.world.ZoneOf {
		if zone < 0 || z == zone {
			workers = append(workers, w)
		}
	}
	some := func(all []int, most int) []int {
		if most <= 0 || most >= len(all) {
			return all
		}
		p.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		all = all[:most]
		slices.Sort(all)
		return all
	}
	return some(dispatchers, p.spec.Dispatchers), some(workers, p.spec.Workers)
}

// linkCut plans that some dispatchers no longer hear the others, or are no longer heard.
func (p *planner) linkCut() string {
	targets := p.drawn(p.spec.Dispatchers, p.world.Dispatchers)
	for _, step := range []struct {
		at time.Duration
		do Do
	}{{p.from(), LinkCut}, {p.to(), LinkHeals}} {
		p.out.Actions = append(p.out.Actions, Action{
			At: step.at, Do: step.do, Targets: targets, Word: p.spec.Way,
			Trouble: p.n,
		})
	}
	return fmt.Sprintf("link of %d dispatchers cut", len(targets))
}
