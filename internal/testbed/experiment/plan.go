// Package experiment runs an experiment file: real dispatcher processes with a stand-in fleet, list service and peer
// network, under an open-loop load and a timeline of faults. It writes the result to a folder.
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

// Plan is an experiment file. The keys are the operators' interface.
type Plan struct {
	Name        string               `toml:"name"`
	Seed        uint64               `toml:"seed"`
	Slack       unit.Duration        `toml:"slack"` // added to the time limits of the rules
	Dispatchers Dispatchers          `toml:"dispatchers"`
	Fleet       Fleet                `toml:"fleet"`
	Operations  []workload.Operation `toml:"operation"`
	Tenants     []workload.Tenant    `toml:"tenants"`
	Load        Load                 `toml:"load"`
	Faults      []fault.Spec         `toml:"fault"`
	schedule    *workload.Plan       // what the schedule is drawn from
	timeline    *fault.Timeline      // for the plan's own seed
	trace       []workload.Arrival
	directory   string // of the file; a trace's path is relative to it
}

// Dispatchers are the processes under test.
type Dispatchers struct {
	Count          int           `toml:"count"`
	Policy         string        `toml:"policy"` // canvasroute or one of the baselines
	Fault          string        `toml:"fault"`  // of a baseline, one of baseline.Faults
	Cores          float64       `toml:"cores"`
	MemoryMB       int           `toml:"memory-mb"`
	Sockets        int           `toml:"sockets"`
	Peers          bool          `toml:"peers"` // whether they may send each other datagrams
	PeerLoss       float64       `toml:"peer-loss"`
	PeerDelay      unit.Duration `toml:"peer-delay"`
	PeerJitter     unit.Duration `toml:"peer-jitter"`
	MaxAttempts    int           `toml:"max-attempts"` // per request
	Cancellation   bool          `toml:"cancellation"`
	Hedging        bool          `toml:"hedging"`
	MaxRetryAfter  unit.Duration `toml:"max-retry-after"` // longest Retry-After; 0: not allowed
	FailureTimeout unit.Duration `toml:"failure-timeout"` // until the front tier removes a dispatcher that has died
	DrainGrace     unit.Duration `toml:"drain-grace"`
	Granularity    unit.Duration `toml:"granularity"`   // of times that decisions may rely on
	PollInterval   unit.Duration `toml:"poll-interval"` // longest time between two polls of the list
	DialTimeout    unit.Duration `toml:"dial-timeout"`
	OverQuotaValue float64       `toml:"over-quota-value"` // share of the value of requests over a tenant's quota
	ValueByCount   bool          `toml:"value-by-count"`

	Recovery       bool          `toml:"recovery"` // each persists state and has a link to the others
	StateInterval  unit.Duration `toml:"state-interval"`
	LinkLoss       float64       `toml:"link-loss"`
	LinkDelay      unit.Duration `toml:"link-delay"`
	LinkJitter     unit.Duration `toml:"link-jitter"`
	LinkDuplicates float64       `toml:"link-duplicates"` // share of messages delivered twice
}

// Fleet configures the stand-in workers.
type Fleet struct {
	Zones              []string      `toml:"zones"`
	CellSize           int           `toml:"cell-size"`
	Kinds              []worker.Kind `toml:"kind"`
	InitialShare       float64       `toml:"warmup-initial-share"`
	WarmupDuration     unit.Duration `toml:"warmup-duration"`
	OverloadMultiple   float64       `toml:"overload-multiple"` // see worker.Warmup; 0: no budget
	OverloadSpan       unit.Duration `toml:"overload-span"`
	Idle               unit.Duration `toml:"idle"`
	StartNotes         bool          `toml:"start-notes"`
	AnnounceStartNotes bool          `toml:"announce-start-notes"` // whether the settings announce StartNotes
	Progress           bool          `toml:"progress"`
	Probes             bool          `toml:"probes"`
	ListLag            unit.Duration `toml:"list-lag"`
	Instant            bool          `toml:"instant"` // jobs take no time
}

// Load configures the load generator.
type Load struct {
	Phases    []workload.Phase `toml:"phase"`
	Trace     string           `toml:"trace"` // file with recorded arrivals, instead of phases
	Retries   int              `toml:"retries"`
	RetryWait unit.Duration    `toml:"retry-wait"`
	MaxOpen   int              `toml:"max-open"`
}

// defaults are the values of keys that a file leaves out.
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

// Canvasroute is the policy of the dispatcher under test. The others are those of package baseline.
const Canvasroute = "canvasroute"

// Read reads and validates an experiment file. The error names the file, and the line or the key. onRenamedKey is called for
// each former key that the file uses, also if the file turns out to be invalid.
func Read(path string, onRenamedKey func(RenamedKey)) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, onRenamedKey)
}

// Parse does what Read does, with the text of an experiment file. The path is used for errors and to find a trace.
func Parse(path string, text []byte, onRenamedKey func(RenamedKey)) (*Plan, error) {
	present, err := usePresentNames(path, text)
	if err != nil {
		return nil, err
	}
	for _, key := range present.renamed {
		onRenamedKey(key)
	}
	p := defaults()
	p.directory = filepath.Dir(path)
	if err := tomlconfig.Decode(path, present.text, &p); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// Limits of an experiment on one machine.
const (
	maxDispatchers = 32
	maxWorkers     = 1024
	maxListeners   = 8192
	maxDuration    = 6 * time.Hour

	maxCores         = 64
	minMemoryMB      = 16
	minSockets       = 64
	maxAttemptsLimit = 64
)

// validate checks the keys that the decoder cannot. The error begins with the key.
func (p *Plan) validate() error {
	for _, check := range []func() error{
		p.validateDispatchers, p.validateFleet, p.validateOperations, p.validateTenants, p.validateLoad, p.validateFaults,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) validateDispatchers() error {
	d := &p.Dispatchers
	policies := append([]string{Canvasroute}, baseline.Policies...)
	switch {
	case d.Count < 1 || d.Count > maxDispatchers:
		return fmt.Errorf("dispatchers.count: %d, must be from 1 to %d", d.Count, maxDispatchers)
	case !slices.Contains(policies, d.Policy):
		return fmt.Errorf("dispatchers.policy: %q, must be one of %q", d.Policy, policies)
	case d.Fault != "" && (d.Policy == Canvasroute || !slices.Contains(baseline.Faults, d.Fault)):
		return fmt.Errorf("dispatchers.fault: %q, must be one of %q, with a baseline's policy", d.Fault,
			baseline.Faults)
	case !(d.Cores > 0 && d.Cores <= maxCores):
		return fmt.Errorf("dispatchers.cores: %v, must be above 0 and at most %d", d.Cores, maxCores)
	case d.MemoryMB < minMemoryMB || d.Sockets < minSockets:
		return fmt.Errorf("dispatchers.memory-mb: must be at least %d, and sockets at least %d", minMemoryMB, minSockets)
	case !(d.PeerLoss >= 0 && d.PeerLoss <= 1):
		return fmt.Errorf("dispatchers.peer-loss: %v, must be from 0 to 1", d.PeerLoss)
	case d.MaxAttempts < 1 || d.MaxAttempts > maxAttemptsLimit:
		return fmt.Errorf("dispatchers.max-attempts: %d, must be from 1 to %d", d.MaxAttempts, maxAttemptsLimit)
	}
	return nil
}

func (p *Plan) validateFleet() error {
	f := &p.Fleet
	switch {
	case len(f.Zones) == 0:
		return errors.New("fleet.zones: must name at least one")
	case f.CellSize < 1:
		return fmt.Errorf("fleet.cell-size: %d, must be at least 1", f.CellSize)
	case !(f.InitialShare > 0 && f.InitialShare <= 1) || !(f.OverloadMultiple >= 0):
		return errors.New("fleet.warmup-initial-share: must be above 0 and at most 1, and overload-multiple not negative")
	}
	workers := 0
	for n, k := range f.Kinds {
		if k.Name == "" || k.Cores < 1 || k.Queue < 0 || k.Count < 1 {
			return fmt.Errorf("fleet.kind[%d]: must have a name, cores and a count from 1, and a queue from 0", n)
		}
		workers += k.Count
	}
	if workers < 1 || workers > maxWorkers || workers*p.Dispatchers.Count > maxListeners {
		return fmt.Errorf("fleet.kind: %d workers for %d dispatchers, must be from 1 to %d, and times the "+
			"dispatchers at most %d", workers, p.Dispatchers.Count, maxWorkers, maxListeners)
	}
	return nil
}

func (p *Plan) validateOperations() error {
	if len(p.Operations) == 0 {
		return errors.New("operation: there must be at least one")
	}
	names := map[string]bool{}
	for n := range p.Operations {
		o := &p.Operations[n]
		if err := o.Validate(); err != nil {
			return fmt.Errorf("operation[%d].%w", n, err)
		}
		if names[o.Name] {
			return fmt.Errorf("operation[%d].name: %q is defined twice", n, o.Name)
		}
		names[o.Name] = true
	}
	return nil
}

func (p *Plan) validateTenants() error {
	for n, c := range p.Tenants {
		if c.Name == "" || !(c.Share > 0) || !(c.Quota >= 0) {
			return fmt.Errorf("tenants[%d]: must have a name, a share above 0 and a quota from 0", n)
		}
	}
	return nil
}

// validateLoad checks the load, and prepares what the schedule is drawn from.
func (p *Plan) validateLoad() (err error) {
	p.schedule = &workload.Plan{Operations: p.Operations, Tenants: p.Tenants}
	switch {
	case p.Load.Retries < 0 || p.Load.MaxOpen < 1:
		return errors.New("load.retries: must not be negative, and max-open at least 1")
	case p.Load.Trace != "" && len(p.Load.Phases) > 0:
		return errors.New("load.trace: cannot be combined with phases")
	case p.Load.Trace != "":
		p.trace, err = p.readTrace()
	case len(p.Load.Phases) == 0:
		return errors.New("load.phase: there must be at least one, or a trace")
	default:
		p.schedule.Segments, err = workload.Segments(p.Load.Phases)
	}
	if err != nil {
		return err
	}
	if duration := p.Duration(); duration > maxDuration {
		return fmt.Errorf("load: lasts %v, must be at most %v", duration, maxDuration)
	}
	return nil
}

// validateFaults checks the faults by planning them for the plan's own seed.
func (p *Plan) validateFaults() (err error) {
	if p.timeline, err = fault.Plan(p.Faults, p.topology(), p.Seed); err != nil {
		return err
	}
	if p.trace != nil && len(p.timeline.ExtraLoads) > 0 {
		return errors.New("fault: burst and flood need phases, as a trace has no rate")
	}
	return nil
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

// Duration is the time from the start to the last arrival.
func (p *Plan) Duration() time.Duration {
	if n := len(p.trace); n > 0 {
		return p.trace[n-1].At + time.Millisecond
	}
	return workload.TotalDuration(p.schedule.Segments)
}

// Schedule returns the arrivals for a seed. A trace is the same for all seeds.
func (p *Plan) Schedule(seed uint64) []workload.Arrival {
	if p.trace != nil {
		return p.trace
	}
	s := *p.schedule
	s.ExtraLoads = p.timeline.ExtraLoads
	return s.Schedule(seed)
}

// placeWorkers returns the index of the kind, zone and cell of each worker.
func (p *Plan) placeWorkers() (kinds, zones, cells []int) {
	for k, kind := range p.Fleet.Kinds {
		for range kind.Count {
			zone, cell := p.placement(len(kinds))
			kinds = append(kinds, k)
			zones = append(zones, zone)
			cells = append(cells, cell)
		}
	}
	return kinds, zones, cells
}

// placement is the zone and the cell of a worker. Workers are distributed over the zones in turn, and a cell holds
// CellSize workers of one zone.
func (p *Plan) placement(worker int) (zone, cell int) {
	zones := len(p.Fleet.Zones)
	zone = worker % zones
	return zone, worker/zones/p.Fleet.CellSize*zones + zone
}

func (p *Plan) topology() fault.Topology {
	kinds, zones, _ := p.placeWorkers()
	topology := fault.Topology{
		Workers: len(kinds), Zones: p.Fleet.Zones, WorkerZones: zones,
		Dispatchers: p.Dispatchers.Count,
	}
	for _, c := range p.Tenants {
		topology.Tenants = append(topology.Tenants, c.Name)
	}
	return topology
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

// WithPolicy returns the plan with another policy, validated again.
func (p *Plan) WithPolicy(policy string) (*Plan, error) {
	q := *p
	q.Dispatchers.Policy = policy
	if policy == Canvasroute {
		q.Dispatchers.Fault = ""
	}
	return &q, q.validate()
}
