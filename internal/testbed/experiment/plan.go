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
	Slack       unit.Duration        `toml:"slack"` // that the ledger grants each time limit of the rules
	Dispatchers Dispatchers          `toml:"dispatchers"`
	Fleet       Fleet                `toml:"fleet"`
	Operations  []workload.Operation `toml:"operation"`
	Tenants     []workload.Tenant    `toml:"customer"`
	Load        Load                 `toml:"load"`
	Faults      []fault.Spec         `toml:"trouble"`
	schedule    *workload.Plan       // what the schedule follows from
	timeline    *fault.Timeline      // of the plan's own seed
	trace       []workload.Arrival
	directory   string // the file's folder, which a trace's name counts from
}

// Dispatchers are the processes under test.
type Dispatchers struct {
	Count          int           `toml:"count"`
	Policy         string        `toml:"policy"` // canvasroute or one of the baselines
	Fault          string        `toml:"fault"`  // of a baseline that is broken on purpose
	Cores          float64       `toml:"cores"`
	MemoryMB       int           `toml:"memory-mb"`
	Sockets        int           `toml:"sockets"`
	Peers          bool          `toml:"peers"` // whether they may send one another datagrams
	PeerLoss       float64       `toml:"peer-loss"`
	PeerDelay      unit.Duration `toml:"peer-delay"`
	PeerJitter     unit.Duration `toml:"peer-jitter"`
	MaxAttempts    int           `toml:"forwards"` // for one invocation at the most
	Cancellation   bool          `toml:"may-cancel"`
	Hedging        bool          `toml:"second-copies"`
	MaxRetryAfter  unit.Duration `toml:"come-back-most"` // longest Retry-After; 0: none may be given
	FailureTimeout unit.Duration `toml:"notice-after"`   // until the front notices that one has died
	DrainGrace     unit.Duration `toml:"drain-grace"`
	Granularity    unit.Duration `toml:"granularity"` // of what the decisions may rely on in time
	PollInterval   unit.Duration `toml:"ask-within"`  // the longest time without asking the list
	DialTimeout    unit.Duration `toml:"dial-within"`
	OverQuotaValue float64       `toml:"surplus-value"` // of what is beyond a customer's quota
	ValueByCount   bool          `toml:"value-by-number"`

	Recovery       bool          `toml:"recovery"` // each has a state folder and a link to the others
	StateInterval  unit.Duration `toml:"state-every"`
	LinkLoss       float64       `toml:"link-loss"`
	LinkDelay      unit.Duration `toml:"link-delay"`
	LinkJitter     unit.Duration `toml:"link-jitter"`
	LinkDuplicates float64       `toml:"link-doubled"` // the share of messages that come twice
}

// Fleet is the stand-in workers.
type Fleet struct {
	Zones              []string      `toml:"zones"`
	CellSize           int           `toml:"cell-size"`
	Kinds              []worker.Kind `toml:"kind"`
	InitialShare       float64       `toml:"cold-from"`
	WarmupDuration     unit.Duration `toml:"cold-ramp"`
	OverloadMultiple   float64       `toml:"cold-multiple"` // 0: none is ever pushed over
	OverloadSpan       unit.Duration `toml:"cold-span"`
	Idle               unit.Duration `toml:"idle"`
	StartNotes         bool          `toml:"start-notes"`
	AnnounceStartNotes bool          `toml:"tells-start"` // whether the settings announce the notes
	Progress           bool          `toml:"progress"`
	Probes             bool          `toml:"probes"`
	ListLag            unit.Duration `toml:"list-lag"`
	Instant            bool          `toml:"instant"` // nothing runs: each job is done as it comes
}

// Load is what the generator sends.
type Load struct {
	Phases    []workload.Phase `toml:"phase"`
	Trace     string           `toml:"trace"` // a file, in place of phases
	Retries   int              `toml:"retries"`
	RetryWait unit.Duration    `toml:"retry-wait"`
	MaxOpen   int              `toml:"open-most"`
}

// defaults is what holds where a file says nothing.
func defaults() Plan {
	return Plan{
		Seed: 1, Slack: unit.Duration(150 * time.Millisecond),
		Dispatchers: Dispatchers{
			Count: 1, Policy: Canvasroute, Cores: 1, MemoryMB: 192, Sockets: 1024, Peers: true,
			PeerDelay: unit.Duration(2 * time.Millisecond), MaxAttempts: 4, Cancellation: true, Hedging: true,
			MaxRetryAfter: unit.Duration(2 * time.Second), FailureTimeout: unit.Duration(2 * time.Second),
			DrainGrace:  unit.Duration(500 * time.Millisecond),
			Granularity: unit.Duration(5 * time.Millisecond), PollInterval: unit.Duration(10 * time.Second),
			DialTimeout: unit.Duration(250 * time.Millisecond), OverQuotaValue: 0.2,
			StateInterval: unit.Duration(time.Second), LinkDelay: unit.Duration(2 * time.Millisecond),
		},
		Fleet: Fleet{
			Zones: []string{"north"}, CellSize: 3, InitialShare: 0.2, WarmupDuration: unit.Duration(10 * time.Second),
			OverloadMultiple: 4, OverloadSpan: unit.Duration(2 * time.Second), Idle: unit.Duration(10 * time.Second),
			StartNotes: true, AnnounceStartNotes: true, ListLag: unit.Duration(time.Second),
		},
		Load: Load{Retries: 2, RetryWait: unit.Duration(500 * time.Millisecond), MaxOpen: 15000},
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
	p := defaults()
	p.directory = filepath.Dir(path)
	if err := tomlconfig.Decode(path, text, &p); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// Bounds on what one machine can play.
const (
	maxDispatchers = 32
	maxWorkers     = 1024
	maxListeners   = 8192
	maxDuration    = 6 * time.Hour
)

func (p *Plan) validate() error {
	d, f := &p.Dispatchers, &p.Fleet
	policies := append([]string{Canvasroute}, baseline.Policies...)
	switch {
	case d.Count < 1 || d.Count > maxDispatchers:
		return fmt.Errorf("dispatchers.count: %d, must be from 1 to %d", d.Count, maxDispatchers)
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
	case d.MaxAttempts < 1 || d.MaxAttempts > 64:
		return fmt.Errorf("dispatchers.forwards: %d, must be from 1 to 64", d.MaxAttempts)
	case len(f.Zones) == 0:
		return errors.New("fleet.zones: must name at least one")
	case f.CellSize < 1:
		return fmt.Errorf("fleet.cell-size: %d, must be at least 1", f.CellSize)
	case !(f.InitialShare > 0 && f.InitialShare <= 1) || !(f.OverloadMultiple >= 0):
		return errors.New("fleet.cold-from: must be above 0 and at most 1, and cold-multiple not negative")
	case p.Load.Retries < 0 || p.Load.MaxOpen < 1:
		return errors.New("load.retries: must not be negative, and open-most at least 1")
	}
	workers := 0
	for n, k := range f.Kinds {
		if k.Name == "" || k.Cores < 1 || k.Queue < 0 || k.Count < 1 {
			return fmt.Errorf("fleet.kind[%d]: must have a name, cores and a count from 1, and a queue from 0", n)
		}
		workers += k.Count
	}
	if workers < 1 || workers > maxWorkers || workers*d.Count > maxListeners {
		return fmt.Errorf("fleet.kind: %d workers for %d dispatchers, must be from 1 to %d, and times the "+
			"dispatchers at most %d", workers, d.Count, maxWorkers, maxListeners)
	}
	return p.validateLoad()
}

func (p *Plan) validateLoad() (err error) {
	if len(p.Operations) == 0 {
		return errors.New("operation: there must be at least one")
	}
	for n := range p.Operations {
		if err := p.Operations[n].Validate(); err != nil {
			return fmt.Errorf("operation[%d].%w", n, err)
		}
		same := func(o workload.Operation) bool { return o.Name == p.Operations[n].Name }
		if slices.IndexFunc(p.Operations, same) < n {
			return fmt.Errorf("operation[%d].name: %q is there already", n, p.Operations[n].Name)
		}
	}
	for n, c := range p.Tenants {
		if c.Name == "" || !(c.Share > 0) || !(c.Quota >= 0) {
			return fmt.Errorf("customer[%d]: must have a name, a share above 0 and a quota from 0", n)
		}
	}
	p.schedule = &workload.Plan{Operations: p.Operations, Tenants: p.Tenants}
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
	if duration := p.Duration(); duration > maxDuration {
		return fmt.Errorf("load: lasts %v, must be at most %v", duration, maxDuration)
	}
	p.timeline, err = fault.Plan(p.Faults, p.topology(), p.Seed)
	if err == nil && p.trace != nil && len(p.timeline.ExtraLoads) > 0 {
		return errors.New("trouble: burst and flood need phases, a trace has no rate")
	}
	return err
}

func (p *Plan) readTrace() ([]workload.Arrival, error) {
	path := p.Load.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(p.directory, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("load.trace: %w", err)
	}
	defer file.Close()
	return p.schedule.ReadTrace(path, file, p.Seed)
}

// Duration is how long arrivals go on.
func (p *Plan) Duration() time.Duration {
	if n := len(p.trace); n > 0 {
		return p.trace[n-1].At + time.Millisecond
	}
	return workload.TotalDuration(p.schedule.Segments)
}

// Schedule is the arrivals for a seed; a trace is the same for all.
func (p *Plan) Schedule(seed uint64) []workload.Arrival {
	if p.trace != nil {
		return p.trace
	}
	s := *p.schedule
	s.ExtraLoads = p.timeline.ExtraLoads
	return s.Schedule(seed)
}

// placeWorkers are the kinds of worker by number, dealt over the zones in turn.
func (p *Plan) placeWorkers() (kinds, zones, cells []int) {
	for k, kind := range p.Fleet.Kinds {
		for range kind.Count {
			n := len(kinds)
			kinds, zones = append(kinds, k), append(zones, n%len(p.Fleet.Zones))
			cells = append(cells, n/len(p.Fleet.Zones)/p.Fleet.CellSize*len(p.Fleet.Zones)+zones[n])
		}
	}
	return kinds, zones, cells
}

func (p *Plan) topology() fault.Topology {
	kinds, zones, _ := p.placeWorkers()
	w := fault.Topology{
		Workers: len(kinds), Zones: p.Fleet.Zones, WorkerZones: zones,
		Dispatchers: p.Dispatchers.Count,
	}
	for _, c := range p.Tenants {
		w.Tenants = append(w.Tenants, c.Name)
	}
	return w
}

func (p *Plan) operationNames() (names []string) {
	for _, o := range p.Operations {
		names = append(names, o.Name)
	}
	return names
}

func (p *Plan) tenantNames() (names []string) {
	for _, c := range p.Tenants {
		names = append(names, c.Name)
	}
	return names
}

// WithPolicy is the plan with another policy, checked anew.
func (p *Plan) WithPolicy(policy string) (*Plan, error) {
	q := *p
	q.Dispatchers.Policy = policy
	if policy == Canvasroute {
		q.Dispatchers.Fault = ""
	}
	return &q, q.validate()
}
