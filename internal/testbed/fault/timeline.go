// Package fault turns the troubles of an experiment file into a timeline of single actions. It does no I/O:
// the workers and dispatchers that a trouble meets are drawn from the seed, and the testbed carries the actions
// out.
package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

// Spec is one trouble, in the words of an experiment file.
type Spec struct {
	Kind        string        `toml:"kind"`
	At          unit.Duration `toml:"at"`
	For         unit.Duration `toml:"for"`         // how long it lasts
	Workers     int           `toml:"workers"`     // how many it meets
	Dispatchers int           `toml:"dispatchers"` // how many it meets
	Zone        string        `toml:"zone"`
	Tenant      string        `toml:"customer"`
	Factor      float64       `toml:"factor"`      // slow: times slower; burst, flood: times the usual load
	Share       float64       `toml:"share"`       // neighbour: of the machine; peer-loss: of datagrams
	Every       unit.Duration `toml:"every"`       // neighbour: from one spell to the next
	Width       unit.Duration `toml:"width"`       // neighbour: how long a spell is
	Lag         unit.Duration `toml:"lag"`         // list-lag: how far behind the list runs
	Gap         unit.Duration `toml:"gap"`         // rolling-restart, upgrade: between two; drain: until it is back
	MaxAttempts int           `toml:"forwards"`    // new-settings: for one invocation at the most
	Connections int           `toml:"connections"` // silent-clients, piecemeal-clients: of them

	// power-loss: when what lost power is back, counted from the loss; each dispatcher and worker at a time of its
	// own, drawn from what is named here and spread more.
	Back        unit.Duration       `toml:"back"`         // dispatchers
	WorkersBack unit.Duration       `toml:"workers-back"` // 0: workers keep their power
	ListBack    unit.Duration       `toml:"list-back"`    // 0: the list service keeps its power
	PeersBack   unit.Duration       `toml:"peers-back"`   // 0: the network between dispatchers does
	Spread      unit.Duration       `toml:"spread"`
	Never       int                 `toml:"never"` // of the dispatchers, how many never come back
	Times       int                 `toml:"times"` // how often power fails, every so long
	Disk        string              `toml:"disk"`  // what became of the dispatchers' disks
	Clock       unit.SignedDuration `toml:"clock"` // by which the clock of one dispatcher has jumped, either way

	Way string `toml:"way"` // link-cut: hear, heard or both, as those that are cut off do no longer
}

// Topology is what troubles can meet.
type Topology struct {
	Workers     int
	Zones       []string
	WorkerZones []int // by worker
	Dispatchers int
	Tenants     []string
}

// ActionKind is what is done.
type ActionKind uint8

// The values of Do.
const (
	WorkerCrash ActionKind = iota + 1
	WorkerRestart
	WorkerSpeed // to Figure, as this trouble's part of it
	WorkerPause
	WorkerResume
	WorkerMute
	WorkerUnmute
	WorkerCut
	WorkerHeal
	WorkerDrain
	WorkerStop // a drained one ends
	WorkerAdd  // Figure of them
	ListLag    // to Span
	ListLagEnd
	ListDown
	ListUnavailable
	ListRecover
	DispatcherKill
	DispatcherStart
	DispatcherPause
	DispatcherResume
	DispatcherRestart // planned: asked to end, then started again
	DispatcherLeave   // told to empty
	DispatcherJoin
	DispatcherUpgrade     // by a second process beside it
	DispatcherReconfigure // to Figure forwards, 0 for the usual number
	ClientsIdle           // Figure of them for Span
	ClientsTrickle
	PeersCut
	PeersLoss // Figure of the datagrams
	PeersRecover
	LinkCut // some dispatchers from all others, as Word says
	LinkHeal
	LinkLoss // Figure of the messages
	LinkRecover
	PowerLoss   // at dispatchers, all at once
	PowerReturn // at one of them: its disk as Word says, its clock off by Span
)

// Action is one step of a trouble.
type Action struct {
	At       time.Duration
	Kind     ActionKind
	Targets  []int // workers or dispatchers
	Value    float64
	Duration time.Duration
	Mode     string
	Fault    int // which one it belongs to
}

// Mark is a trouble as reports show it.
type Mark struct {
	From        time.Duration `json:"from_ns"`
	To          time.Duration `json:"to_ns"`
	Description string        `json:"what"`
}

// Timeline is what all troubles come to.
type Timeline struct {
	Actions    []Action
	ExtraLoads []workload.ExtraLoad
	Marks      []Mark
}

type planner struct {
	topology Topology
	rng      *rand.Rand
	spec     Spec
	index    int
	timeline *Timeline
}

// kinds are what each trouble needs, and how it is planned.
var kinds = map[string]struct {
	needs []string
	plan  func(*planner) string
}{
	"crash":       {[]string{"workers"}, (*planner).crash},
	"slow":        {[]string{"workers", "factor", "for"}, (*planner).slow},
	"pause":       {[]string{"workers", "for"}, workersDuring("%d workers stand still", WorkerPause, WorkerResume)},
	"silence":     {[]string{"workers", "for"}, workersDuring("%d workers go silent", WorkerMute, WorkerUnmute)},
	"neighbour":   {[]string{"workers", "share", "every", "width", "for"}, (*planner).neighbour},
	"zone-cut":    {[]string{"zone", "for"}, (*planner).zoneCut},
	"drain":       {[]string{"workers", "for"}, (*planner).drain},
	"grow":        {[]string{"workers"}, (*planner).grow},
	"burst":       {[]string{"factor", "for"}, (*planner).burst},
	"flood":       {[]string{"customer", "factor", "for"}, (*planner).flood},
	"list-lag":    {[]string{"lag", "for"}, (*planner).lag},
	"list-outage": {[]string{"for"}, serviceDuring("list service away", ListDown, ListRecover)},
	"list-503":    {[]string{"for"}, serviceDuring("list service refuses", ListUnavailable, ListRecover)},
	"peer-cut":    {[]string{"for"}, serviceDuring("peers cut off", PeersCut, PeersRecover)},
	"peer-loss":   {[]string{"share", "for"}, serviceDuring("peers lose datagrams", PeersLoss, PeersRecover)},
	"dispatcher-kill": {
		[]string{"dispatchers"},
		dispatchersDuring("%d dispatchers killed", DispatcherKill, DispatcherStart),
	},
	"dispatcher-stall": {
		[]string{"dispatchers", "for"},
		dispatchersDuring("%d dispatchers stand still", DispatcherPause, DispatcherResume),
	},
	"rolling-restart": {nil, oneAfterAnother("dispatchers restarted in turn", DispatcherRestart)},
	"upgrade":         {nil, oneAfterAnother("dispatchers upgraded in turn", DispatcherUpgrade)},
	"leave": {
		[]string{"dispatchers", "for"},
		dispatchersDuring("%d dispatchers emptied", DispatcherLeave, DispatcherJoin),
	},
	"new-settings":      {[]string{"forwards"}, (*planner).reconfigure},
	"silent-clients":    {[]string{"connections", "for"}, misbehavingClients("%d silent clients", ClientsIdle)},
	"piecemeal-clients": {[]string{"connections", "for"}, misbehavingClients("%d clients byte by byte", ClientsTrickle)},
	"link-cut":          {[]string{"dispatchers", "for", "way"}, (*planner).linkCut},
	"link-loss":         {[]string{"share", "for"}, serviceDuring("the link loses messages", LinkLoss, LinkRecover)},
	"power-loss":        {[]string{"back", "disk", "never"}, (*planner).powerLoss},
}

// Plan makes the timeline. The error names the trouble and the key.
func Plan(specs []Spec, w Topology, seed uint64) (*Timeline, error) {
	out := &Timeline{}
	for n, s := range specs {
		k, known := kinds[s.Kind]
		if !known {
			names := make([]string, 0, len(kinds))
			for name := range kinds {
				names = append(names, name)
			}
			sort.Strings(names)
			return nil, fmt.Errorf("trouble[%d].kind: %q, must be one of %s", n, s.Kind, strings.Join(names, ", "))
		}
		for _, key := range k.needs {
			if err := s.validate(key, w); err != nil {
				return nil, fmt.Errorf("trouble[%d].%w", n, err)
			}
		}
		p := &planner{topology: w, rng: unit.RandomStream(seed, fmt.Sprint("trouble ", n)), spec: s, index: n, timeline: out}
		description := k.plan(p)
		out.Marks = append(out.Marks, Mark{s.At.Std(), s.At.Std() + s.For.Std(), description})
	}
	slices.SortStableFunc(out.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return out, nil
}

func (s Spec) validate(key string, w Topology) error {
	fail := func(format string, args ...any) error { return fmt.Errorf(key+": "+format, args...) }
	switch key {
	case "for", "every", "width", "lag", "back":
		span := map[string]unit.Duration{
			"for": s.For, "every": s.Every, "width": s.Width, "lag": s.Lag,
			"back": s.Back,
		}[key]
		if span <= 0 {
			return fail("must be more than nothing for %s", s.Kind)
		}
		if key == "every" && s.Every <= s.Width {
			return fail("must be longer than width")
		}
	case "workers":
		if limit := w.Workers; s.Workers < 1 || s.Workers > limit && s.Kind != "grow" {
			return fail("%d, must be from 1 to %d", s.Workers, limit)
		}
	case "dispatchers":
		if s.Dispatchers < 1 || s.Dispatchers > w.Dispatchers {
			return fail("%d, must be from 1 to %d", s.Dispatchers, w.Dispatchers)
		}
	case "factor":
		if !(s.Factor > 1) {
			return fail("%v, must be more than 1", s.Factor)
		}
	case "forwards", "connections":
		if n := map[string]int{"forwards": s.MaxAttempts, "connections": s.Connections}[key]; n < 1 || n > 10_000 {
			return fail("%d, must be from 1 to 10000", n)
		}
	case "share":
		if !(s.Share > 0 && s.Share < 1) {
			return fail("%v, must be between 0 and 1", s.Share)
		}
	case "disk":
		if s.Disk != "" && s.Disk != DiskRandom && !slices.Contains(DiskStates, s.Disk) {
			return fail("%q is none of %s, %s", s.Disk, strings.Join(DiskStates, ", "), DiskRandom)
		}
	case "way":
		if !slices.Contains([]string{"", "hear", "heard", "both"}, s.Way) {
			return fail("%q is none of hear, heard, both", s.Way)
		}
	case "never":
		if s.Never < 0 || s.Never >= w.Dispatchers {
			return fail("%d, must be from 0 to %d", s.Never, w.Dispatchers-1)
		}
	case "zone":
		if !slices.Contains(w.Zones, s.Zone) {
			return fail("%q is none of %s", s.Zone, strings.Join(w.Zones, ", "))
		}
	case "customer":
		if !slices.Contains(w.Tenants, s.Tenant) {
			return fail("%q is none of the experiment's", s.Tenant)
		}
	}
	return nil
}

func (p *planner) add(at time.Duration, kind ActionKind, targets []int, value float64) {
	p.timeline.Actions = append(p.timeline.Actions,
		Action{At: at, Kind: kind, Targets: targets, Value: value, Fault: p.index, Duration: p.spec.Lag.Std()})
}

func (p *planner) start() time.Duration { return p.spec.At.Std() }
func (p *planner) end() time.Duration   { return p.spec.At.Std() + p.spec.For.Std() }

// pickRandom picks some of a number.
func (p *planner) pickRandom(some, of int) []int {
	picked := p.rng.Perm(of)[:some]
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
	zone := slices.Index(p.topology.Zones, p.spec.Zone)
	for w, z := range p.topology.WorkerZones {
		if z == zone {
			targets = append(targets, w)
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
	return fmt.Sprintf("%d workers more", p.spec.Workers)
}

func (p *planner) burst() string {
	p.timeline.ExtraLoads = append(p.timeline.ExtraLoads, workload.ExtraLoad{
		From: p.start(), To: p.end(), Factor: p.spec.Factor - 1,
		Tenant: -1,
	})
	return fmt.Sprintf("burst: %v times the load", p.spec.Factor)
}

func (p *planner) flood() string {
	p.timeline.ExtraLoads = append(p.timeline.ExtraLoads, workload.ExtraLoad{
		From: p.start(), To: p.end(), Factor: p.spec.Factor - 1,
		Tenant: slices.Index(p.topology.Tenants, p.spec.Tenant),
	})
	return fmt.Sprintf("%s sends %v times its share", p.spec.Tenant, p.spec.Factor)
}

func (p *planner) lag() string {
	p.add(p.start(), ListLag, nil, 0)
	p.add(p.end(), ListLagEnd, nil, 0)
	return fmt.Sprintf("list %v behind", p.spec.Lag.Std())
}

// defaultGap is between the restarts of two dispatchers.
const defaultGap = 2 * time.Second

// oneAfterAnother plans what meets one dispatcher after the other.
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

// reconfigure plans new settings at all dispatchers; with an end the usual ones come back.
func (p *planner) reconfigure() string {
	targets := p.pickRandom(p.topology.Dispatchers, p.topology.Dispatchers)
	p.add(p.start(), DispatcherReconfigure, targets, float64(p.spec.MaxAttempts))
	if p.spec.For > 0 {
		p.add(p.end(), DispatcherReconfigure, targets, 0)
	}
	return fmt.Sprintf("new settings: %d forwards", p.spec.MaxAttempts)
}

// misbehavingClients plans clients that keep connections and bring nothing whole.
func misbehavingClients(description string, kind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.timeline.Actions = append(p.timeline.Actions, Action{
			At: p.start(), Kind: kind, Value: float64(p.spec.Connections),
			Duration: p.spec.For.Std(), Fault: p.index,
		})
		return fmt.Sprintf(description, p.spec.Connections)
	}
}

// workersDuring plans a state of some workers that begins and ends.
func workersDuring(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		targets := p.pickWorkers()
		p.add(p.start(), beginKind, targets, 0)
		p.add(p.end(), endKind, targets, 0)
		return fmt.Sprintf(description, p.spec.Workers)
	}
}

// dispatchersDuring plans a state of some dispatchers; one without an end lasts.
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

// serviceDuring plans a state of what all share.
func serviceDuring(description string, beginKind, endKind ActionKind) func(*planner) string {
	return func(p *planner) string {
		p.add(p.start(), beginKind, nil, p.spec.Share)
		p.add(p.end(), endKind, nil, 0)
		return description
	}
}
