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
	Kind        string    `toml:"kind"`
	At          unit.Span `toml:"at"`
	For         unit.Span `toml:"for"`         // how long it lasts
	Workers     int       `toml:"workers"`     // how many it meets
	Dispatchers int       `toml:"dispatchers"` // how many it meets
	Zone        string    `toml:"zone"`
	Customer    string    `toml:"customer"`
	Factor      float64   `toml:"factor"`      // slow: times slower; burst, flood: times the usual load
	Share       float64   `toml:"share"`       // neighbour: of the machine; peer-loss: of datagrams
	Every       unit.Span `toml:"every"`       // neighbour: from one spell to the next
	Width       unit.Span `toml:"width"`       // neighbour: how long a spell is
	Lag         unit.Span `toml:"lag"`         // list-lag: how far behind the list runs
	Gap         unit.Span `toml:"gap"`         // rolling-restart, upgrade: between two; drain: until it is back
	Forwards    int       `toml:"forwards"`    // new-settings: for one invocation at the most
	Connections int       `toml:"connections"` // silent-clients, piecemeal-clients: of them

	// power-loss: when what lost power is back, counted from the loss; each dispatcher and worker at a time of its
	// own, drawn from what is named here and spread more.
	Back        unit.Span  `toml:"back"`         // dispatchers
	WorkersBack unit.Span  `toml:"workers-back"` // 0: workers keep their power
	ListBack    unit.Span  `toml:"list-back"`    // 0: the list service keeps its power
	PeersBack   unit.Span  `toml:"peers-back"`   // 0: the network between dispatchers does
	Spread      unit.Span  `toml:"spread"`
	Never       int        `toml:"never"` // of the dispatchers, how many never come back
	Times       int        `toml:"times"` // how often power fails, every so long
	Disk        string     `toml:"disk"`  // what became of the dispatchers' disks
	Clock       unit.Shift `toml:"clock"` // by which the clock of one dispatcher has jumped, either way

	Way string `toml:"way"` // link-cut: hear, heard or both, as those that are cut off do no longer
}

// World is what troubles can meet.
type World struct {
	Workers     int
	Zones       []string
	ZoneOf      []int // by worker
	Dispatchers int
	Customers   []string
}

// Do is what is done.
type Do uint8

// The values of Do.
const (
	WorkerCrash Do = iota + 1
	WorkerReturn
	WorkerPace // to Figure, as this trouble's part of it
	WorkerPause
	WorkerResume
	WorkerSilent
	WorkerSpeaks
	WorkerCut
	WorkerHeal
	WorkerDrain
	WorkerEnd // a drained one ends
	WorkerAdd // Figure of them
	ListLag   // to Span
	ListLagEnds
	ListAway
	ListRefuses
	ListFine
	DispatcherKill
	DispatcherStart
	DispatcherStall
	DispatcherGoOn
	DispatcherRestart // planned: asked to end, then started again
	DispatcherLeave   // told to empty
	DispatcherJoin
	DispatcherUpgrade // by a second process beside it
	DispatcherRetune  // to Figure forwards, 0 for the usual number
	ClientsSilent     // Figure of them for Span
	ClientsPieces
	PeersCut
	PeersLose // Figure of the datagrams
	PeersFine
	LinkCut // some dispatchers from all others, as Word says
	LinkHeals
	LinkLoses // Figure of the messages
	LinkFine
	PowerFails   // at dispatchers, all at once
	PowerReturns // at one of them: its disk as Word says, its clock off by Span
)

// Action is one step of a trouble.
type Action struct {
	At      time.Duration
	Do      Do
	Targets []int // workers or dispatchers
	Figure  float64
	Span    time.Duration
	Word    string
	Trouble int // which one it belongs to
}

// Mark is a trouble as reports show it.
type Mark struct {
	From time.Duration `json:"from_ns"`
	To   time.Duration `json:"to_ns"`
	What string        `json:"what"`
}

// Timeline is what all troubles come to.
type Timeline struct {
	Actions []Action
	Extras  []workload.Extra
	Marks   []Mark
}

type planner struct {
	world World
	rng   *rand.Rand
	spec  Spec
	n     int
	out   *Timeline
}

// kinds are what each trouble needs, and how it is planned.
var kinds = map[string]struct {
	needs []string
	plan  func(*planner) string
}{
	"crash":       {[]string{"workers"}, (*planner).crash},
	"slow":        {[]string{"workers", "factor", "for"}, (*planner).slow},
	"pause":       {[]string{"workers", "for"}, span("%d workers stand still", WorkerPause, WorkerResume)},
	"silence":     {[]string{"workers", "for"}, span("%d workers go silent", WorkerSilent, WorkerSpeaks)},
	"neighbour":   {[]string{"workers", "share", "every", "width", "for"}, (*planner).neighbour},
	"zone-cut":    {[]string{"zone", "for"}, (*planner).zoneCut},
	"drain":       {[]string{"workers", "for"}, (*planner).drain},
	"grow":        {[]string{"workers"}, (*planner).grow},
	"burst":       {[]string{"factor", "for"}, (*planner).burst},
	"flood":       {[]string{"customer", "factor", "for"}, (*planner).flood},
	"list-lag":    {[]string{"lag", "for"}, (*planner).lag},
	"list-outage": {[]string{"for"}, service("list service away", ListAway, ListFine)},
	"list-503":    {[]string{"for"}, service("list service refuses", ListRefuses, ListFine)},
	"peer-cut":    {[]string{"for"}, service("peers cut off", PeersCut, PeersFine)},
	"peer-loss":   {[]string{"share", "for"}, service("peers lose datagrams", PeersLose, PeersFine)},
	"dispatcher-kill": {
		[]string{"dispatchers"},
		some("%d dispatchers killed", DispatcherKill, DispatcherStart),
	},
	"dispatcher-stall": {
		[]string{"dispatchers", "for"},
		some("%d dispatchers stand still", DispatcherStall, DispatcherGoOn),
	},
	"rolling-restart": {nil, turn("dispatchers restarted in turn", DispatcherRestart)},
	"upgrade":         {nil, turn("dispatchers upgraded in turn", DispatcherUpgrade)},
	"leave": {
		[]string{"dispatchers", "for"},
		some("%d dispatchers emptied", DispatcherLeave, DispatcherJoin),
	},
	"new-settings":      {[]string{"forwards"}, (*planner).retune},
	"silent-clients":    {[]string{"connections", "for"}, crowd("%d silent clients", ClientsSilent)},
	"piecemeal-clients": {[]string{"connections", "for"}, crowd("%d clients byte by byte", ClientsPieces)},
	"link-cut":          {[]string{"dispatchers", "for", "way"}, (*planner).linkCut},
	"link-loss":         {[]string{"share", "for"}, service("the link loses messages", LinkLoses, LinkFine)},
	"power-loss":        {[]string{"back", "disk", "never"}, (*planner).powerLoss},
}

// Plan makes the timeline. The error names the trouble and the key.
func Plan(specs []Spec, w World, seed uint64) (*Timeline, error) {
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
			if err := s.needs(key, w); err != nil {
				return nil, fmt.Errorf("trouble[%d].%w", n, err)
			}
		}
		p := &planner{world: w, rng: unit.Chance(seed, fmt.Sprint("trouble ", n)), spec: s, n: n, out: out}
		what := k.plan(p)
		out.Marks = append(out.Marks, Mark{s.At.D(), s.At.D() + s.For.D(), what})
	}
	slices.SortStableFunc(out.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return out, nil
}

func (s Spec) needs(key string, w World) error {
	wrong := func(format string, args ...any) error { return fmt.Errorf(key+": "+format, args...) }
	switch key {
	case "for", "every", "width", "lag", "back":
		span := map[string]unit.Span{
			"for": s.For, "every": s.Every, "width": s.Width, "lag": s.Lag,
			"back": s.Back,
		}[key]
		if span <= 0 {
			return wrong("must be more than nothing for %s", s.Kind)
		}
		if key == "every" && s.Every <= s.Width {
			return wrong("must be longer than width")
		}
	case "workers":
		if most := w.Workers; s.Workers < 1 || s.Workers > most && s.Kind != "grow" {
			return wrong("%d, must be from 1 to %d", s.Workers, most)
		}
	case "dispatchers":
		if s.Dispatchers < 1 || s.Dispatchers > w.Dispatchers {
			return wrong("%d, must be from 1 to %d", s.Dispatchers, w.Dispatchers)
		}
	case "factor":
		if !(s.Factor > 1) {
			return wrong("%v, must be more than 1", s.Factor)
		}
	case "forwards", "connections":
		if n := map[string]int{"forwards": s.Forwards, "connections": s.Connections}[key]; n < 1 || n > 10_000 {
			return wrong("%d, must be from 1 to 10000", n)
		}
	case "share":
		if !(s.Share > 0 && s.Share < 1) {
			return wrong("%v, must be between 0 and 1", s.Share)
		}
	case "disk":
		if s.Disk != "" && s.Disk != DiskDrawn && !slices.Contains(Disks, s.Disk) {
			return wrong("%q is none of %s, %s", s.Disk, strings.Join(Disks, ", "), DiskDrawn)
		}
	case "way":
		if !slices.Contains([]string{"", "hear", "heard", "both"}, s.Way) {
			return wrong("%q is none of hear, heard, both", s.Way)
		}
	case "never":
		if s.Never < 0 || s.Never >= w.Dispatchers {
			return wrong("%d, must be from 0 to %d", s.Never, w.Dispatchers-1)
		}
	case "zone":
		if !slices.Contains(w.Zones, s.Zone) {
			return wrong("%q is none of %s", s.Zone, strings.Join(w.Zones, ", "))
		}
	case "customer":
		if !slices.Contains(w.Customers, s.Customer) {
			return wrong("%q is none of the experiment's", s.Customer)
		}
	}
	return nil
}

func (p *planner) do(at time.Duration, do Do, targets []int, figure float64) {
	p.out.Actions = append(p.out.Actions,
		Action{At: at, Do: do, Targets: targets, Figure: figure, Trouble: p.n, Span: p.spec.Lag.D()})
}

func (p *planner) from() time.Duration { return p.spec.At.D() }
func (p *planner) to() time.Duration   { return p.spec.At.D() + p.spec.For.D() }

// drawn picks some of a number.
func (p *planner) drawn(some, of int) []int {
	picked := p.rng.Perm(of)[:some]
	slices.Sort(picked)
	return picked
}

func (p *planner) workers() []int { return p.drawn(p.spec.Workers, p.world.Workers) }

func (p *planner) crash() string {
	targets := p.workers()
	p.do(p.from(), WorkerCrash, targets, 0)
	if p.spec.For > 0 {
		p.do(p.to(), WorkerReturn, targets, 0)
	}
	return fmt.Sprintf("%d workers crash", p.spec.Workers)
}

func (p *planner) slow() string {
	targets := p.workers()
	p.do(p.from(), WorkerPace, targets, 1/p.spec.Factor)
	p.do(p.to(), WorkerPace, targets, 1)
	return fmt.Sprintf("%d workers %v times slower", p.spec.Workers, p.spec.Factor)
}

func (p *planner) neighbour() string {
	targets := p.workers()
	for at := p.from(); at < p.to(); at += p.spec.Every.D() {
		p.do(at, WorkerPace, targets, 1-p.spec.Share)
		p.do(min(at+p.spec.Width.D(), p.to()), WorkerPace, targets, 1)
	}
	return fmt.Sprintf("%d workers share their machines", p.spec.Workers)
}

func (p *planner) zoneCut() string {
	var targets []int
	zone := slices.Index(p.world.Zones, p.spec.Zone)
	for w, z := range p.world.ZoneOf {
		if z == zone {
			targets = append(targets, w)
		}
	}
	p.do(p.from(), WorkerCut, targets, 0)
	p.do(p.to(), WorkerHeal, targets, 0)
	return "zone " + p.spec.Zone + " cut off"
}

func (p *planner) drain() string {
	targets := p.workers()
	p.do(p.from(), WorkerDrain, targets, 0)
	p.do(p.to(), WorkerEnd, targets, 0)
	if p.spec.Gap > 0 {
		p.do(p.to()+p.spec.Gap.D(), WorkerReturn, targets, 0)
	}
	return fmt.Sprintf("%d workers drain", p.spec.Workers)
}

func (p *planner) grow() string {
	p.do(p.from(), WorkerAdd, nil, float64(p.spec.Workers))
	return fmt.Sprintf("%d workers more", p.spec.Workers)
}

func (p *planner) burst() string {
	p.out.Extras = append(p.out.Extras, workload.Extra{
		From: p.from(), To: p.to(), Factor: p.spec.Factor - 1,
		Customer: -1,
	})
	return fmt.Sprintf("burst: %v times the load", p.spec.Factor)
}

func (p *planner) flood() string {
	p.out.Extras = append(p.out.Extras, workload.Extra{
		From: p.from(), To: p.to(), Factor: p.spec.Factor - 1,
		Customer: slices.Index(p.world.Customers, p.spec.Customer),
	})
	return fmt.Sprintf("%s sends %v times its share", p.spec.Customer, p.spec.Factor)
}

func (p *planner) lag() string {
	p.do(p.from(), ListLag, nil, 0)
	p.do(p.to(), ListLagEnds, nil, 0)
	return fmt.Sprintf("list %v behind", p.spec.Lag.D())
}

// usualGap is between the restarts of two dispatchers.
const usualGap = 2 * time.Second

// turn plans what meets one dispatcher after the other.
func turn(what string, do Do) func(*planner) string {
	return func(p *planner) string {
		gap := p.spec.Gap.D()
		if gap <= 0 {
			gap = usualGap
		}
		for d := range p.world.Dispatchers {
			p.do(p.from()+time.Duration(d)*gap, do, []int{d}, 0)
		}
		return what
	}
}

// retune plans new settings at all dispatchers; with an end the usual ones come back.
func (p *planner) retune() string {
	targets := p.drawn(p.world.Dispatchers, p.world.Dispatchers)
	p.do(p.from(), DispatcherRetune, targets, float64(p.spec.Forwards))
	if p.spec.For > 0 {
		p.do(p.to(), DispatcherRetune, targets, 0)
	}
	return fmt.Sprintf("new settings: %d forwards", p.spec.Forwards)
}

// crowd plans clients that keep connections and bring nothing whole.
func crowd(what string, do Do) func(*planner) string {
	return func(p *planner) string {
		p.out.Actions = append(p.out.Actions, Action{
			At: p.from(), Do: do, Figure: float64(p.spec.Connections),
			Span: p.spec.For.D(), Trouble: p.n,
		})
		return fmt.Sprintf(what, p.spec.Connections)
	}
}

// span plans a state of some workers that begins and ends.
func span(what string, begin, end Do) func(*planner) string {
	return func(p *planner) string {
		targets := p.workers()
		p.do(p.from(), begin, targets, 0)
		p.do(p.to(), end, targets, 0)
		return fmt.Sprintf(what, p.spec.Workers)
	}
}

// some plans a state of some dispatchers; one without an end lasts.
func some(what string, begin, end Do) func(*planner) string {
	return func(p *planner) string {
		targets := p.drawn(p.spec.Dispatchers, p.world.Dispatchers)
		p.do(p.from(), begin, targets, 0)
		if p.spec.For > 0 {
			p.do(p.to(), end, targets, 0)
		}
		return fmt.Sprintf(what, p.spec.Dispatchers)
	}
}

// service plans a state of what all share.
func service(what string, begin, end Do) func(*planner) string {
	return func(p *planner) string {
		p.do(p.from(), begin, nil, p.spec.Share)
		p.do(p.to(), end, nil, 0)
		return what
	}
}
