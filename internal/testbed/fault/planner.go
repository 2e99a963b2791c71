package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"canvasroute/internal/testbed/workload"
)

// defaultGap is the time between two dispatchers of a rolling restart or upgrade.
const defaultGap = 2 * time.Second

// planner adds the actions of one fault to the timeline.
type planner struct {
	topology Topology
	rng      *rand.Rand
	spec     Spec
	index    int
	timeline *Timeline
}

// kinds are the faults by name: the keys that each requires, and the function that plans it and describes it for
// reports.
var kinds = map[string]struct {
	requiredKeys []string
	plan         func(*planner) string
}{
	"crash":       {[]string{"workers"}, (*planner).crash},
	"slow":        {[]string{"workers", "factor", "for"}, (*planner).slow},
	"pause":       {[]string{"workers", "for"}, workersDuring("%d workers paused", WorkerPause, WorkerResume)},
	"silence":     {[]string{"workers", "for"}, workersDuring("%d workers unresponsive", WorkerMute, WorkerUnmute)},
	"neighbour":   {[]string{"workers", "share", "every", "width", "for"}, (*planner).neighbour},
	"zone-cut":    {[]string{"zone", "for"}, (*planner).zoneCut},
	"drain":       {[]string{"workers", "for"}, (*planner).drain},
	"grow":        {[]string{"workers"}, (*planner).grow},
	"burst":       {[]string{"factor", "for"}, (*planner).burst},
	"flood":       {[]string{"tenant", "factor", "for"}, (*planner).flood},
	"list-lag":    {[]string{"lag", "for"}, (*planner).lag},
	"list-outage": {[]string{"for"}, serviceDuring("list service down", ListDown, ListRecover)},
	"list-503":    {[]string{"for"}, serviceDuring("list service answers 503", ListUnavailable, ListRecover)},
	"peer-cut":    {[]string{"for"}, serviceDuring("peer network down", PeersCut, PeersRecover)},
	"peer-loss":   {[]string{"share", "for"}, serviceDuring("peer network loses datagrams", PeersLoss, PeersRecover)},
	"dispatcher-kill": {
		[]string{"dispatchers"},
		dispatchersDuring("%d dispatchers killed", DispatcherKill, DispatcherStart),
	},
	"dispatcher-stall": {
		[]string{"dispatchers", "for"},
		dispatchersDuring("%d dispatchers paused", DispatcherPause, DispatcherResume),
	},
	"rolling-restart": {nil, oneAfterAnother("rolling restart of dispatchers", DispatcherRestart)},
	"upgrade":         {nil, oneAfterAnother("rolling upgrade of dispatchers", DispatcherUpgrade)},
	"leave": {
		[]string{"dispatchers", "for"},
		dispatchersDuring("%d dispatchers drained", DispatcherLeave, DispatcherJoin),
	},
	"new-settings":      {[]string{"max-attempts"}, (*planner).reconfigure},
	"silent-clients":    {[]string{"connections", "for"}, misbehavingClients("%d idle clients", ClientsIdle)},
	"piecemeal-clients": {[]string{"connections", "for"}, misbehavingClients("%d slow clients", ClientsTrickle)},
	"link-cut":          {[]string{"dispatchers", "for", "way"}, (*planner).linkCut},
	"link-loss":         {[]string{"share", "for"}, serviceDuring("link loses messages", LinkLoss, LinkRecover)},
	"power-loss":        {[]string{"restore-after", "disk", "never-restored"}, (*planner).powerLoss},
}

func (p *planner) start() time.Duration { return p.spec.At.Std() }
func (p *planner) end() time.Duration   { return p.spec.At.Std() + p.spec.For.Std() }

func (p *planner) add(at time.Duration, kind ActionKind, targets []int, value float64) {
	p.timeline.Actions = append(p.timeline.Actions, Action{
		At: at, Kind: kind, Targets: targets, Value: value, Fault: p.index, Duration: p.spec.Lag.Std(),
	})
}

// pickRandom draws some of the numbers below total, and returns them in ascending order.
func (p *planner) pickRandom(some, total int) []int {
	picked := p.rng.Perm(total)[:some]
	slices.Sort(picked)
	return picked
}

func (p *planner) pickWorkers() []int { return p.pickRandom(p.spec.Workers, p.topology.Workers) }

func (p *planner) crash() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerCrash, targets, 0)
	if p.spec.For > 0 {
		p.add(p.end(), WorkerRestart, targets, 0)
	}
	return fmt.Sprintf("%d workers crash", p.spec.Workers)
}

func (p *planner) slow() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerSpeed, targets, 1/p.spec.Factor)
	p.add(p.end(), WorkerSpeed, targets, 1)
	return fmt.Sprintf("%d workers %v times slower", p.spec.Workers, p.spec.Factor)
}

// neighbour plans workers whose machines run other programs periodically.
func (p *planner) neighbour() string {
	targets := p.pickWorkers()
	for at := p.start(); at < p.end(); at += p.spec.Every.Std() {
		p.add(at, WorkerSpeed, targets, 1-p.spec.Share)
		p.add(min(at+p.spec.Width.Std(), p.end()), WorkerSpeed, targets, 1)
	}
	return fmt.Sprintf("%d workers share their machines", p.spec.Workers)
}

func (p *planner) zoneCut() string {
	var targets []int
	cut := slices.Index(p.topology.Zones, p.spec.Zone)
	for worker, zone := range p.topology.WorkerZones {
		if zone == cut {
			targets = append(targets, worker)
		}
	}
	p.add(p.start(), WorkerCut, targets, 0)
	p.add(p.end(), WorkerHeal, targets, 0)
	return "zone " + p.spec.Zone + " cut off"
}

func (p *planner) drain() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerDrain, targets, 0)
	p.add(p.end(), WorkerStop, targets, 0)
	if p.spec.Gap > 0 {
		p.add(p.end()+p.spec.Gap.Std(), WorkerRestart, targets, 0)
	}
	return fmt.Sprintf("%d workers drain", p.spec.Workers)
}

func (p *planner) grow() string {
	p.add(p.start(), WorkerAdd, nil, float64(p.spec.Workers))
	return fmt.Sprintf("%d workers added", p.spec.Workers)
}

func (p *planner) burst() string {
	p.addLoad(-1)
	return fmt.Sprintf("burst: %v times the load", p.spec.Factor)
}

func (p *planner) flood() string {
	p.addLoad(slices.Index(p.topology.Tenants, p.spec.Tenant))
	return fmt.Sprintf("%s sends %v times its share", p.spec.Tenant, p.spec.Factor)
}

// addLoad multiplies the load of a tenant, or of all for -1, by the fault's factor.
func (p *planner) addLoad(tenant int) {
	p.timeline.ExtraLoads = append(p.timeline.ExtraLoads, workload.ExtraLoad{
		From: p.start(), To: p.end(), Factor: p.spec.Factor - 1, Tenant: tenant,
	})
}

func (p *planner) lag() string {
	p.add(p.start(), ListLag, nil, 0)
	p.add(p.end(), ListLagEnd, nil, 0)
	return fmt.Sprintf("list %v behind", p.spec.Lag.Std())
}

// reconfigure plans new settings at all dispatchers. With a duration the experiment's own come back at its end.
func (p *planner) reconfigure() string {
	targets := p.pickRandom(p.topology.Dispatchers, p.topology.Dispatchers)
	p.add(p.start(), DispatcherReconfigure, targets, float64(p.spec.MaxAttempts))
	if p.spec.For > 0 {
		p.add(p.end(), DispatcherReconfigure, targets, 0)
	}
	return fmt.Sprintf("new settings: %d attempts", p.spec.MaxAttempts)
}

// linkCut plans a cut of the link between some dispatchers and the others, in one direction or both.
func (p *planner) linkCut() string {
	targets := p.pickRandom(p.spec.Dispatchers, p.topology.Dispatchers)
	cut := Action{At: p.start(), Kind: LinkCut, Targets: targets, Mode: p.spec.Way, Fault: p.index}
	heal := cut
	heal.At = p.end()
	heal.Kind = LinkHeal
	p.timeline.Actions = append(p.timeline.Actions, cut, heal)
	return fmt.Sprintf("link of %d dispatchers cut", len(targets))
}

// oneAfterAnother returns a plan that applies an action to each dispatcher in turn.
func oneAfterAnother(description string, kind ActionKind) func(*planner) string {
	return func(p *planner) string {
		gap := p.spec.Gap.Std()
		if gap <= 0 {
			gap = defaultGap
		}
		for d := range p.topology.Dispatchers {
			p.add(p.start()+time.Duration(d)*gap, kind, []int{d}, 0)
		}
		return description
	}
}

// misbehavingClients returns a plan of clients that hold connections without completing a request.
func misbehavingClients(description string, kind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.timeline.Actions = append(p.timeline.Actions, Action{
			At: p.start(), Kind: kind, Value: float64(p.spec.Connections), Duration: p.spec.For.Std(), Fault: p.index,
		})
		return fmt.Sprintf(description, p.spec.Connections)
	}
}

// workersDuring returns a plan of a state of some workers that begins and ends.
func workersDuring(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		targets := p.pickWorkers()
		p.add(p.start(), beginKind, targets, 0)
		p.add(p.end(), endKind, targets, 0)
		return fmt.Sprintf(description, p.spec.Workers)
	}
}

// dispatchersDuring returns a plan of a state of some dispatchers. Without a duration it lasts to the end.
func dispatchersDuring(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		targets := p.pickRandom(p.spec.Dispatchers, p.topology.Dispatchers)
		p.add(p.start(), beginKind, targets, 0)
		if p.spec.For > 0 {
			p.add(p.end(), endKind, targets, 0)
		}
		return fmt.Sprintf(description, p.spec.Dispatchers)
	}
}

// serviceDuring returns a plan of a state of a service that all dispatchers share.
func serviceDuring(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.add(p.start(), beginKind, nil, p.spec.Share)
		p.add(p.end(), endKind, nil, 0)
		return description
	}
}
