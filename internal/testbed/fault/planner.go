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
	rng      *rand.Rand // of this fault
	spec     Spec
	index    int // of the spec, among all faults
	timeline *Timeline
}

// faultKind is a kind of fault that experiment files can name.
type faultKind struct {
	requiredKeys []string
	plan         func(*planner) (description string) // adds the actions, and describes the fault for reports
}

// KindPowerLoss is the kind of a fault for which experiments measure the recovery.
const KindPowerLoss = "power-loss"

// kinds are the kinds of faults by name.
var kinds = map[string]faultKind{
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
	KindPowerLoss:       {[]string{"restore-after", "disk", "never-restored"}, (*planner).powerLoss},
}

func (p *planner) start() time.Duration { return p.spec.At.Std() }
func (p *planner) end() time.Duration   { return p.spec.At.Std() + p.spec.For.Std() }

// add adds an action. The value's meaning depends on the kind; 0 means that the kind has none.
func (p *planner) add(at time.Duration, kind ActionKind, targets []int, value float64) {
	p.timeline.Actions = append(p.timeline.Actions, Action{
		At:       at,
		Kind:     kind,
		Targets:  targets,
		Value:    value,
		Duration: p.spec.Lag.Std(), // of a ListLag; other kinds that are added here have none
		Fault:    p.index,
	})
}

// addDuring adds a state of targets that begins and ends with the fault.
func (p *planner) addDuring(targets []int, beginKind, endKind ActionKind) {
	p.add(p.start(), beginKind, targets, 0)
	p.add(p.end(), endKind, targets, 0)
}

// pickRandom draws count of the numbers below total, and returns them in ascending order.
func (p *planner) pickRandom(count, total int) []int {
	picked := p.rng.Perm(total)[:count]
	slices.Sort(picked)
	return picked
}

// pickWorkers draws as many workers as the fault affects.
func (p *planner) pickWorkers() []int { return p.pickRandom(p.spec.Workers, p.topology.Workers) }

// pickDispatchers draws as many dispatchers as the fault affects.
func (p *planner) pickDispatchers() []int {
	return p.pickRandom(p.spec.Dispatchers, p.topology.Dispatchers)
}

// crash plans workers that crash. With a duration they restart at its end.
func (p *planner) crash() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerCrash, targets, 0)
	if p.spec.For > 0 {
		p.add(p.end(), WorkerRestart, targets, 0)
	}
	return fmt.Sprintf("%d workers crash", p.spec.Workers)
}

// slow plans workers that take the fault's factor longer for their work.
func (p *planner) slow() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerSpeed, targets, 1/p.spec.Factor)
	p.add(p.end(), WorkerSpeed, targets, 1)
	return fmt.Sprintf("%d workers %v times slower", p.spec.Workers, p.spec.Factor)
}

// neighbour plans workers whose machines run other programs periodically, each time for the fault's width.
func (p *planner) neighbour() string {
	targets := p.pickWorkers()
	for at := p.start(); at < p.end(); at += p.spec.Every.Std() {
		p.add(at, WorkerSpeed, targets, 1-p.spec.Share)
		p.add(min(at+p.spec.Width.Std(), p.end()), WorkerSpeed, targets, 1)
	}
	return fmt.Sprintf("%d workers share their machines", p.spec.Workers)
}

// zoneCut plans a network partition of all workers of a zone.
func (p *planner) zoneCut() string {
	var targets []int
	partitioned := slices.Index(p.topology.Zones, p.spec.Zone)
	for worker, zone := range p.topology.WorkerZones {
		if zone == partitioned {
			targets = append(targets, worker)
		}
	}
	p.addDuring(targets, WorkerCut, WorkerHeal)
	return "zone " + p.spec.Zone + " cut off"
}

// drain plans workers that drain and stop. With a gap they restart that much later.
func (p *planner) drain() string {
	targets := p.pickWorkers()
	p.addDuring(targets, WorkerDrain, WorkerStop)
	if p.spec.Gap > 0 {
		p.add(p.end()+p.spec.Gap.Std(), WorkerRestart, targets, 0)
	}
	return fmt.Sprintf("%d workers drain", p.spec.Workers)
}

// grow plans additional workers.
func (p *planner) grow() string {
	p.add(p.start(), WorkerAdd, nil, float64(p.spec.Workers))
	return fmt.Sprintf("%d workers added", p.spec.Workers)
}

// burst plans extra load of all tenants.
func (p *planner) burst() string {
	p.addLoad(workload.AllTenants)
	return fmt.Sprintf("burst: %v times the load", p.spec.Factor)
}

// flood plans extra load of one tenant.
func (p *planner) flood() string {
	p.addLoad(slices.Index(p.topology.Tenants, p.spec.Tenant))
	return fmt.Sprintf("%s sends %v times its share", p.spec.Tenant, p.spec.Factor)
}

// addLoad multiplies the load of a tenant, or of workload.AllTenants, by the fault's factor.
func (p *planner) addLoad(tenant int) {
	p.timeline.ExtraLoads = append(p.timeline.ExtraLoads, workload.ExtraLoad{
		Start: p.start(), End: p.end(), Factor: p.spec.Factor - 1, Tenant: tenant,
	})
}

// lag plans a list that shows what was true some time ago.
func (p *planner) lag() string {
	p.addDuring(nil, ListLag, ListLagEnd)
	return fmt.Sprintf("list %v behind", p.spec.Lag.Std())
}

// reconfigure plans new settings at all dispatchers. With a duration the experiment's own settings apply again at its
// end.
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
	targets := p.pickDispatchers()
	cut := Action{At: p.start(), Kind: LinkCut, Targets: targets, Mode: p.spec.Direction, Fault: p.index}
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
		for dispatcher := range p.topology.Dispatchers {
			p.add(p.start()+time.Duration(dispatcher)*gap, kind, []int{dispatcher}, 0)
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
		p.addDuring(p.pickWorkers(), beginKind, endKind)
		return fmt.Sprintf(description, p.spec.Workers)
	}
}

// dispatchersDuring returns a plan of a state of some dispatchers. Without a duration it lasts to the end.
func dispatchersDuring(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		targets := p.pickDispatchers()
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
