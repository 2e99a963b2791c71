package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"canvasroute/internal/testbed/workload"
)

// defaultRollingGap is the default interval between two dispatchers of a rolling restart or upgrade.
const defaultRollingGap = 2 * time.Second

// planner plans one fault by adding its actions to the timeline.
type planner struct {
	topology Topology
	rng      *rand.Rand // random stream of this fault
	spec     Spec
	index    int // index of the spec in the experiment file
	timeline *Timeline
}

// faultKind describes a kind of fault that an experiment file can specify.
type faultKind struct {
	requiredKeys []string
	plan         func(*planner) (description string) // adds the actions, and returns a description for reports
}

// KindPowerLoss is the kind of fault for which experiments measure the recovery time.
const KindPowerLoss = "power-loss"

// kinds maps the names of the kinds of faults to their descriptions.
var kinds = map[string]faultKind{
	"crash":       {[]string{"workers"}, (*planner).planCrash},
	"slow":        {[]string{"workers", "factor", "for"}, (*planner).planSlowdown},
	"pause":       {[]string{"workers", "for"}, planWorkerState("%d workers paused", WorkerPause, WorkerResume)},
	"silence":     {[]string{"workers", "for"}, planWorkerState("%d workers unresponsive", WorkerMute, WorkerUnmute)},
	"neighbour":   {[]string{"workers", "share", "every", "width", "for"}, (*planner).planNoisyNeighbour},
	"zone-cut":    {[]string{"zone", "for"}, (*planner).planZoneCut},
	"drain":       {[]string{"workers", "for"}, (*planner).planDrain},
	"grow":        {[]string{"workers"}, (*planner).planGrowth},
	"burst":       {[]string{"factor", "for"}, (*planner).planBurst},
	"flood":       {[]string{"tenant", "factor", "for"}, (*planner).planFlood},
	"list-lag":    {[]string{"lag", "for"}, (*planner).planListLag},
	"list-outage": {[]string{"for"}, planServiceState("list service down", ListDown, ListRecover)},
	"list-503":    {[]string{"for"}, planServiceState("list service answers 503", ListUnavailable, ListRecover)},
	"peer-cut":    {[]string{"for"}, planServiceState("peer network down", PeersCut, PeersRecover)},
	"peer-loss":   {[]string{"share", "for"}, planServiceState("peer network loses datagrams", PeersLoss, PeersRecover)},
	"dispatcher-kill": {
		[]string{"dispatchers"},
		planDispatcherState("%d dispatchers killed", DispatcherKill, DispatcherStart),
	},
	"dispatcher-stall": {
		[]string{"dispatchers", "for"},
		planDispatcherState("%d dispatchers paused", DispatcherPause, DispatcherResume),
	},
	"rolling-restart": {nil, planRollingAction("rolling restart of dispatchers", DispatcherRestart)},
	"upgrade":         {nil, planRollingAction("rolling upgrade of dispatchers", DispatcherUpgrade)},
	"leave": {
		[]string{"dispatchers", "for"},
		planDispatcherState("%d dispatchers drained", DispatcherLeave, DispatcherJoin),
	},
	"new-settings":      {[]string{"max-attempts"}, (*planner).planReconfiguration},
	"silent-clients":    {[]string{"connections", "for"}, planMisbehavingClients("%d idle clients", ClientsIdle)},
	"piecemeal-clients": {[]string{"connections", "for"}, planMisbehavingClients("%d slow clients", ClientsTrickle)},
	"link-cut":          {[]string{"dispatchers", "for", "way"}, (*planner).planLinkCut},
	"link-loss":         {[]string{"share", "for"}, planServiceState("link loses messages", LinkLoss, LinkRecover)},
	KindPowerLoss:       {[]string{"restore-after", "disk", "never-restored"}, (*planner).planPowerLoss},
}

func (p *planner) start() time.Duration { return p.spec.At.Std() }
func (p *planner) end() time.Duration   { return p.spec.At.Std() + p.spec.For.Std() }

// add adds an action to the timeline. The meaning of value depends on the kind; it is 0 for kinds that do not use it.
func (p *planner) add(at time.Duration, kind ActionKind, targets []int, value float64) {
	p.timeline.Actions = append(p.timeline.Actions, Action{
		At:       at,
		Kind:     kind,
		Targets:  targets,
		Value:    value,
		Duration: p.spec.Lag.Std(), // used only by ListLag; the other kinds that are added by this method ignore it
		Fault:    p.index,
	})
}

// addBeginAndEnd adds two actions: beginKind at the start of the fault, and endKind at its end.
func (p *planner) addBeginAndEnd(targets []int, beginKind, endKind ActionKind) {
	p.add(p.start(), beginKind, targets, 0)
	p.add(p.end(), endKind, targets, 0)
}

// pickRandom draws count different numbers from [0, total), and returns them in ascending order.
func (p *planner) pickRandom(count, total int) []int {
	picked := p.rng.Perm(total)[:count]
	slices.Sort(picked)
	return picked
}

// pickWorkers draws the workers that the fault affects.
func (p *planner) pickWorkers() []int { return p.pickRandom(p.spec.Workers, p.topology.Workers) }

// pickDispatchers draws the dispatchers that the fault affects.
func (p *planner) pickDispatchers() []int {
	return p.pickRandom(p.spec.Dispatchers, p.topology.Dispatchers)
}

// planCrash plans a crash of some workers. If the fault has a duration, the workers restart at its end.
func (p *planner) planCrash() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerCrash, targets, 0)
	if p.spec.For > 0 {
		p.add(p.end(), WorkerRestart, targets, 0)
	}
	return fmt.Sprintf("%d workers crash", p.spec.Workers)
}

// planSlowdown plans a slowdown of some workers by the fault's factor.
func (p *planner) planSlowdown() string {
	targets := p.pickWorkers()
	p.add(p.start(), WorkerSpeed, targets, 1/p.spec.Factor)
	p.add(p.end(), WorkerSpeed, targets, 1)
	return fmt.Sprintf("%d workers %v times slower", p.spec.Workers, p.spec.Factor)
}

// planNoisyNeighbour plans noisy neighbours: at intervals of Spec.Every, other programs use a share of the
// machines of some workers for the duration Spec.Width.
func (p *planner) planNoisyNeighbour() string {
	targets := p.pickWorkers()
	for at := p.start(); at < p.end(); at += p.spec.Every.Std() {
		p.add(at, WorkerSpeed, targets, 1-p.spec.Share)
		p.add(min(at+p.spec.Width.Std(), p.end()), WorkerSpeed, targets, 1)
	}
	return fmt.Sprintf("%d workers share their machines", p.spec.Workers)
}

// planZoneCut plans a network partition that isolates all workers of a zone.
func (p *planner) planZoneCut() string {
	var targets []int
	partitionedZone := slices.Index(p.topology.Zones, p.spec.Zone)
	for worker, zone := range p.topology.WorkerZones {
		if zone == partitionedZone {
			targets = append(targets, worker)
		}
	}
	p.addBeginAndEnd(targets, WorkerCut, WorkerHeal)
	return "zone " + p.spec.Zone + " cut off"
}

// planDrain plans a drain of some workers, which stop at the end of the fault. If the fault has a gap, they restart
// that long after the stop.
func (p *planner) planDrain() string {
	targets := p.pickWorkers()
	p.addBeginAndEnd(targets, WorkerDrain, WorkerStop)
	if p.spec.Gap > 0 {
		p.add(p.end()+p.spec.Gap.Std(), WorkerRestart, targets, 0)
	}
	return fmt.Sprintf("%d workers drain", p.spec.Workers)
}

// planGrowth plans the addition of workers.
func (p *planner) planGrowth() string {
	p.add(p.start(), WorkerAdd, nil, float64(p.spec.Workers))
	return fmt.Sprintf("%d workers added", p.spec.Workers)
}

// planBurst plans extra load from all tenants.
func (p *planner) planBurst() string {
	p.addLoad(workload.AllTenants)
	return fmt.Sprintf("burst: %v times the load", p.spec.Factor)
}

// planFlood plans extra load from one tenant.
func (p *planner) planFlood() string {
	p.addLoad(slices.Index(p.topology.Tenants, p.spec.Tenant))
	return fmt.Sprintf("%s sends %v times its share", p.spec.Tenant, p.spec.Factor)
}

// addLoad multiplies the load of a tenant, or of all tenants for workload.AllTenants, by the fault's factor for the
// duration of the fault.
func (p *planner) addLoad(tenant int) {
	p.timeline.ExtraLoads = append(p.timeline.ExtraLoads, workload.ExtraLoad{
		Start: p.start(), End: p.end(), Factor: p.spec.Factor - 1, Tenant: tenant,
	})
}

// planListLag plans an endpoint list whose changes become visible with a delay.
func (p *planner) planListLag() string {
	p.addBeginAndEnd(nil, ListLag, ListLagEnd)
	return fmt.Sprintf("list %v behind", p.spec.Lag.Std())
}

// planReconfiguration plans new settings for all dispatchers. If the fault has a duration, the original settings of the
// experiment are restored at its end.
func (p *planner) planReconfiguration() string {
	targets := p.pickRandom(p.topology.Dispatchers, p.topology.Dispatchers)
	p.add(p.start(), DispatcherReconfigure, targets, float64(p.spec.MaxAttempts))
	if p.spec.For > 0 {
		p.add(p.end(), DispatcherReconfigure, targets, 0)
	}
	return fmt.Sprintf("new settings: %d attempts", p.spec.MaxAttempts)
}

// planLinkCut plans a partition of the link between some dispatchers and all others, in one direction or both.
func (p *planner) planLinkCut() string {
	targets := p.pickDispatchers()
	cut := Action{At: p.start(), Kind: LinkCut, Targets: targets, Mode: p.spec.Direction, Fault: p.index}
	heal := cut
	heal.At = p.end()
	heal.Kind = LinkHeal
	p.timeline.Actions = append(p.timeline.Actions, cut, heal)
	return fmt.Sprintf("link of %d dispatchers cut", len(targets))
}

// planRollingAction returns a plan function that applies an action to each dispatcher in turn, at intervals of the
// fault's gap, or of defaultRollingGap if it has none.
func planRollingAction(description string, kind ActionKind) func(*planner) string {
	return func(p *planner) string {
		gap := p.spec.Gap.Std()
		if gap <= 0 {
			gap = defaultRollingGap
		}
		for dispatcher := range p.topology.Dispatchers {
			p.add(p.start()+time.Duration(dispatcher)*gap, kind, []int{dispatcher}, 0)
		}
		return description
	}
}

// planMisbehavingClients returns a plan function for clients that hold connections open without completing a request.
func planMisbehavingClients(description string, kind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.timeline.Actions = append(p.timeline.Actions, Action{
			At: p.start(), Kind: kind, Value: float64(p.spec.Connections), Duration: p.spec.For.Std(), Fault: p.index,
		})
		return fmt.Sprintf(description, p.spec.Connections)
	}
}

// planWorkerState returns a plan function for a state of some workers that lasts as long as the fault.
func planWorkerState(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.addBeginAndEnd(p.pickWorkers(), beginKind, endKind)
		return fmt.Sprintf(description, p.spec.Workers)
	}
}

// planDispatcherState returns a plan function for a state of some dispatchers that lasts as long as the fault. If the
// fault has no duration, the state lasts until the end of the experiment.
func planDispatcherState(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		targets := p.pickDispatchers()
		p.add(p.start(), beginKind, targets, 0)
		if p.spec.For > 0 {
			p.add(p.end(), endKind, targets, 0)
		}
		return fmt.Sprintf(description, p.spec.Dispatchers)
	}
}

// planServiceState returns a plan function for a state of a service that all dispatchers share. The state lasts as long
// as the fault.
func planServiceState(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.add(p.start(), beginKind, nil, p.spec.Share)
		p.add(p.end(), endKind, nil, 0)
		return description
	}
}
