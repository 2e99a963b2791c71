// Package experiment runs what an experiment file names: real dispatcher processes before a stand-in fleet,
// list service and peer network, under an open-loop load and troubles on a timeline. It leaves a folder with
// results.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/worker"
	"canvasroute/internal/testbed/workload"
	"canvasroute/internal/tomlconfig"
)

// Plan is an experiment file.
type Plan struct {
	Name        string               `toml:"name"`
	Seed        uint64               `toml:"seed"`
	Slack       unit.Span            `toml:"slack"` // that the ledger grants each time limit of the rules
	Dispatchers Dispatchers          `toml:"dispatchers"`
	Fleet       Fleet                `toml:"fleet"`
	Operations  []workload.Operation `toml:"operation"`
	Customers   []workload.Customer  `toml:"customer"`
	Load        Load                 `toml:"load"`
	Troubles    []fault.Spec         `toml:"trouble"`
	schedule    *workload.Plan       // what the schedule follows from
	timeline    *fault.Timeline      // of the plan's own seed
	trace       []workload.Arrival
	place       string // the file's folder, which a trace's name counts from
}

// Dispatchers are the processes under test.
type Dispatchers struct {
	Count         int       `toml:"count"`
	Policy        string    `toml:"policy"` // canvasroute or one of the baselines
	Fault         string    `toml:"fault"`  // of a baseline that is broken on purpose
	Cores         float64   `toml:"cores"`
	MemoryMB      int       `toml:"memory-mb"`
	Sockets       int       `toml:"sockets"`
	Peers         bool      `toml:"peers"` // whether they may send one another datagrams
	PeerLoss      float64   `toml:"peer-loss"`
	PeerDelay     unit.Span `toml:"peer-delay"`
	PeerJitter    unit.Span `toml:"peer-jitter"`
	Forwards      int       `toml:"forwards"` // for one invocation at the most
	MayCancel     bool      `toml:"may-cancel"`
	SecondCopies  bool      `toml:"second-copies"`
	ComeBackMost  unit.Span `toml:"come-back-most"` // longest Retry-After; 0: none may be given
	NoticeAfter   unit.Span `toml:"notice-after"`   // until the front notices that one has died
	DrainGrace    unit.Span `toml:"drain-grace"`
	Granularity   unit.Span `toml:"granularity"` // of what the decisions may rely on in time
	AskWithin     unit.Span `toml:"ask-within"`  // the longest time without asking the list
	DialWithin    unit.Span `toml:"dial-within"`
	SurplusShare  float64   `toml:"surplus-value"` // of what is beyond a customer's quota
	ValueByNumber bool      `toml:"value-by-number"`

	Recovery   bool      `toml:"recovery"` // each has a state folder and a link to the others
	StateEvery unit.Span `toml:"state-every"`
	LinkLoss   float64   `toml:"link-loss"`
	LinkDelay  unit.Span `toml:"link-delay"`
	LinkJitter unit.Span `toml:"link-jitter"`
	LinkDouble float64   `toml:"link-doubled"` // the share of messages that come twice
}

// Fleet is the stand-in workers.
type Fleet struct {
	Zones        []string      `toml:"zones"`
	CellSize     int           `toml:"cell-size"`
	Kinds        []worker.Kind `toml:"kind"`
	ColdFrom     float64       `toml:"cold-from"`
	ColdRamp     unit.Span     `toml:"cold-ramp"`
	ColdMultiple float64       `toml:"cold-multiple"` // 0: none is ever pushed over
	ColdSpan     unit.Span     `toml:"cold-span"`
	Idle         unit.Span     `toml:"idle"`
	StartNotes   bool          `toml:"start-notes"`
	TellsStart   bool          `toml:"tells-start"` // whether the settings announce the notes
	Progress     bool          `toml:"progress"`
	Probes       bool          `toml:"probes"`
	ListLag      unit.Span     `toml:"list-lag"`
	Instant      bool          `toml:"instant"` // nothing runs: each job is done as it comes
}

// Load is what the generator sends.
type Load struct {
	Phases  []workload.Phase `toml:"phase"`
	Trace   string           `toml:"trace"` // a file, in place of phases
	Retries int              `toml:"retries"`
	Wait    unit.Span        `toml:"retry-wait"`
	Open    int              `toml:"open-most"`
}

// usual is what holds where a file says nothing.
func usual() Plan {
	return Plan{
		Seed: 1, Slack: unit.Span(150 * time.Millisecond),
		Dispatchers: Dispatchers{
			Count: 1, Policy: Canvasroute, Cores: 1, MemoryMB: 192, Sockets: 1024, Peers: true,
			PeerDelay: unit.Span(2 * time.Millisecond), Forwards: 4, MayCancel: true, SecondCopies: true,
			ComeBackMost: unit.Span(2 * time.Second), NoticeAfter: unit.Span(2 * time.Second),
			DrainGrace:  unit.Span(500 * time.Millisecond),
			Granularity: unit.Span(5 * time.Millisecond), AskWithin: unit.Span(10 * time.Second),
			DialWithin: unit.Span(250 * time.Millisecond), SurplusShare: 0.2,
			StateEvery: unit.Span(time.Second), LinkDelay: unit.Span(2 * time.Millisecond),
		},
		Fleet: Fleet{
			Zones: []string{"north"}, CellSize: 3, ColdFrom: 0.2, ColdRamp: unit.Span(10 * time.Second),
			ColdMultiple: 4, ColdSpan: unit.Span(2 * time.Second), Idle: unit.Span(10 * time.Second),
			StartNotes: true, TellsStart: true, ListLag: unit.Span(time.Second),
		},
		Load: Load{Retries: 2, Wait: unit.Span(500 * time.Millisecond), Open: 15000},
	}
}

// Canvasroute is the policy under test, as against the baselines.
const Canvasroute = "canvasroute"

// Read reads and checks an experiment file. The error names the file, and the line or the key.
func Read(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is Read for a text that is at hand; a trace is looked for beside the file of that name.
func Parse(path string, text []byte) (*Plan, error) {
	p := usual()
	p.place = filepath.Dir(path)
	if err := tomlconfig.Decode(path, text, &p); err != nil {
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// Bounds on what one machine can play.
const (
	mostDispatchers = 32
	mostWorkers     = 1024
	mostListeners   = 8192
	mostLong        = 6 * time.Hour
)

func (p *Plan) check() error {
	d, f := &p.Dispatchers, &p.Fleet
	policies := append([]string{Canvasroute}, baseline.Policies...)
	switch {
	case d.Count < 1 || d.Count > mostDispatchers:
		return fmt.Errorf("dispatchers.count: %d, must be from 1 to %d", d.Count, mostDispatchers)
	case !slices.Contains(policies, d.Policy):
		return fmt.Errorf("dispatchers.policy: %q, must be one of %q", d.Policy, policies)
	case d.Fault != "" && (d.Policy == Canvasroute || !slices.Contains(baseline.Faults, d.Fault)):
		return fmt.Errorf("dispatchers.fault: %q, must be one of %q, with a baseline's policy", d.Fault,
			baseline.Faults)
	case !(d.Cores > 0 && d.Cores <= 64):
		return fmt.Errorf("dispatchers.cores: %v, must be above 0 and at most 64", d.Cores)
	case d.MemoryMB < 16 || d.Sockets < 64:
		return errors.New("dispatchers.memory-mb: must be at least 16, and sockets at least 64")
	case !(d.PeerLoss >= 0 && d.PeerLoss <= 1):
		return fmt.Errorf("dispatchers.peer-loss: %v, must be from 0 to 1", d.PeerLoss)
	case d.Forwards < 1 || d.Forwards > 64:
		return fmt.Errorf("dispatchers.forwards: %d, must be from 1 to 64", d.Forwards)
	case len(f.Zones) == 0:
		return errors.New("fleet.zones: must name at least one")
	case f.CellSize < 1:
		return fmt.Errorf("fleet.cell-size: %d, must be at least 1", f.CellSize)
	case !(f.ColdFrom > 0 && f.ColdFrom <= 1) || !(f.ColdMultiple >= 0):
		return errors.New("fleet.cold-from: must be above 0 and at most 1, and cold-multiple not negative")
	case p.Load.Retries < 0 || p.Load.Open < 1:
		return errors.New("load.retries: must not be negative, and open-most at least 1")
	}
	workers := 0
	for n, k := range f.Kinds {
		if k.Name == "" || k.Cores < 1 || k.Queue < 0 || k.Count < 1 {
			return fmt.Errorf("fleet.kind[%d]: must have a name, cores and a count from 1, and a queue from 0", n)
		}
		workers += k.Count
	}
	if workers < 1 || workers > mostWorkers || workers*d.Count > mostListeners {
		return fmt.Errorf("fleet.kind: %d workers for %d dispatchers, must be from 1 to %d, and times the "+
			"dispatchers at most %d", workers, d.Count, mostWorkers, mostListeners)
	}
	return p.checkLoad()
}

func (p *Plan) checkLoad() (err error) {
	if len(p.Operations) == 0 {
		return errors.New("operation: there must be at least one")
	}
	for n := range p.Operations {
		if err := p.Operations[n].Check(); err != nil {
			return fmt.Errorf("operation[%d].%w", n, err)
		}
		same := func(o workload.Operation) bool { return o.Name == p.Operations[n].Name }
		if slices.IndexFunc(p.Operations, same) < n {
			return fmt.Errorf("operation[%d].name: %q is there already", n, p.Operations[n].Name)
		}
	}
	for n, c := range p.Customers {
		if c.Name == "" || !(c.Share > 0) || !(c.Quota >= 0) {
			return fmt.Errorf("customer[%d]: must have a name, a share above 0 and a quota from 0", n)
		}
	}
	p.schedule = &workload.Plan{Operations: p.Operations, Customers: p.Customers}
	switch {
	case p.Load.Trace != "" && len(p.Load.Phases) > 0:
		return errors.New("load.trace: there are phases as well")
	case p.Load.Trace != "":
		if p.trace, err = p.readTrace(); err != nil {
			return err
		}
	case len(p.Load.Phases) == 0:
		return errors.New("load.phase: there must be at least one, or a trace")
	default:
		if p.schedule.Segments, err = workload.Segments(p.Load.Phases); err != nil {
			return err
		}
	}
	if long := p.Long(); long > mostLong {
		return fmt.Errorf("load: lasts %v, must be at most %v", long, mostLong)
	}
	p.timeline, err = fault.Plan(p.Troubles, p.world(), p.Seed)
	if err == nil && p.trace != nil && len(p.timeline.Extras) > 0 {
		return errors.New("trouble: burst and flood need phases, a trace has no rate")
	}
	return err
}

func (p *Plan) readTrace() ([]workload.Arrival, error) {
	path := p.Load.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(p.place, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("load.trace: %w", err)
	}
	defer file.Close()
	return p.schedule.Trace(path, file, p.Seed)
}

// Long is how long arrivals go on.
func (p *Plan) Long() time.Duration {
	if n := len(p.trace); n > 0 {
		return p.trace[n-1].At + time.Millisecond
	}
	return workload.Long(p.schedule.Segments)
}

// Schedule is the arrivals for a seed; a trace is the same for all.
func (p *Plan) Schedule(seed uint64) []workload.Arrival {
	if p.trace != nil {
		return p.trace
	}
	s := *p.schedule
	s.Extras = p.timeline.Extras
	return s.Make(seed)
}

// sites are the kinds of worker by number, dealt over the zones in turn.
func (p *Plan) sites() (kinds, zones, cells []int) {
	for k, kind := range p.Fleet.Kinds {
		for range kind.Count {
			n := len(kinds)
			kinds, zones = append(kinds, k), append(zones, n%len(p.Fleet.Zones))
			cells = append(cells, n/len(p.Fleet.Zones)/p.Fleet.CellSize*len(p.Fleet.Zones)+zones[n])
		}
	}
	return kinds, zones, cells
}

func (p *Plan) world() fault.World {
	kinds, zones, _ := p.sites()
	w := fault.World{
		Workers: len(kinds), Zones: p.Fleet.Zones, ZoneOf: zones,
		Dispatchers: p.Dispatchers.Count,
	}
	for _, c := range p.Customers {
		w.Customers = append(w.Customers, c.Name)
	}
	return w
}

func (p *Plan) operationNames() (names []string) {
	for _, o := range p.Operations {
		names = append(names, o.Name)
	}
	return names
}

func (p *Plan) customerNames() (names []string) {
	for _, c := range p.Customers {
		names = append(names, c.Name)
	}
	return names
}

// With is the plan with another policy, checked anew.
func (p *Plan) With(policy string) (*Plan, error) {
	q := *p
	q.Dispatchers.Policy = policy
	if policy == Canvasroute {
		q.Dispatchers.Fault = ""
	}
	return &q, q.check()
}
