// Package experiment runs an experiment file. It starts real dispatcher processes with a stand-in fleet, discovery
// service and peer network. It applies an open-loop load and a timeline of faults, and writes the result to a folder.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

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

	schedule  *workload.Plan     // what the schedule is drawn from
	timeline  *fault.Timeline    // for the plan's own seed
	trace     []workload.Arrival // instead of a schedule; nil without a trace
	directory string             // of the file; a trace's path is relative to it
}

// Dispatchers are the processes under test. Those of the keys that are settings of a dispatcher mean what they mean
// there.
type Dispatchers struct {
	Count          int           `toml:"count"`        // number of processes
	Policy         string        `toml:"policy"`       // canvasroute or one of the baselines
	Fault          string        `toml:"fault"`        // of a baseline, one of baseline.Faults
	Cores          float64       `toml:"cores"`        // limit in the configuration, which the testbed does not enforce
	MemoryMB       int           `toml:"memory-mb"`    // likewise
	Sockets        int           `toml:"sockets"`      // likewise
	Peers          bool          `toml:"peers"`        // whether they may send each other datagrams
	PeerLoss       float64       `toml:"peer-loss"`    // share of datagrams
	PeerDelay      unit.Duration `toml:"peer-delay"`   // one way
	PeerJitter     unit.Duration `toml:"peer-jitter"`  // up to this much more delay
	MaxAttempts    int           `toml:"max-attempts"` // per request
	Cancellation   bool          `toml:"cancellation"`
	Hedging        bool          `toml:"hedging"`
	MaxRetryAfter  unit.Duration `toml:"max-retry-after"` // longest Retry-After; 0: not allowed
	FailureTimeout unit.Duration `toml:"failure-timeout"` // until the front tier removes a dispatcher that has died
	DrainGrace     unit.Duration `toml:"drain-grace"`     // until a dispatcher must have stopped sending to a draining worker
	Granularity    unit.Duration `toml:"granularity"`     // of times that decisions may rely on
	PollInterval   unit.Duration `toml:"poll-interval"`   // longest time between two polls of the list
	DialTimeout    unit.Duration `toml:"dial-timeout"`
	OverQuotaValue float64       `toml:"over-quota-value"` // share of the value of requests over a tenant's quota
	ValueByCount   bool          `toml:"value-by-count"`

	Recovery       bool          `toml:"recovery"`        // each persists state and has a link to the others
	StateInterval  unit.Duration `toml:"state-interval"`  // between two writes of the state
	LinkLoss       float64       `toml:"link-loss"`       // share of messages
	LinkDelay      unit.Duration `toml:"link-delay"`      // one way
	LinkJitter     unit.Duration `toml:"link-jitter"`     // up to this much more delay
	LinkDuplicates float64       `toml:"link-duplicates"` // share of messages delivered twice
}

// Fleet configures the stand-in workers.
type Fleet struct {
	Zones              []string      `toml:"zones"`
	CellSize           int           `toml:"cell-size"` // workers of one zone in a cell
	Kinds              []worker.Kind `toml:"kind"`
	InitialShare       float64       `toml:"warmup-initial-share"` // share of its capacity that a worker has at its start
	WarmupDuration     unit.Duration `toml:"warmup-duration"`      // until a worker has its full capacity
	OverloadMultiple   float64       `toml:"overload-multiple"`    // see worker.Warmup; 0: no budget
	OverloadSpan       unit.Duration `toml:"overload-span"`        // see worker.Warmup
	Idle               unit.Duration `toml:"idle"`                 // after which a worker closes a connection without a message
	StartNotes         bool          `toml:"start-notes"`          // workers report when a job starts
	AnnounceStartNotes bool          `toml:"announce-start-notes"` // whether the settings announce StartNotes
	Progress           bool          `toml:"progress"`             // workers report when half of a job is done
	Probes             bool          `toml:"probes"`               // workers answer health checks and requests for their load
	ListLag            unit.Duration `toml:"list-lag"`             // until a change is visible in the endpoint list
	Instant            bool          `toml:"instant"`              // jobs take no time
}

// Load configures the load generator.
type Load struct {
	Phases    []workload.Phase `toml:"phase"`
	Trace     string           `toml:"trace"`      // file with recorded arrivals, instead of phases
	Retries   int              `toml:"retries"`    // per call, by the client
	RetryWait unit.Duration    `toml:"retry-wait"` // before a retry, if the answer has no Retry-After
	MaxOpen   int              `toml:"max-open"`   // concurrent calls
}

// defaults returns a plan with the values of the keys that a file leaves out.
func defaults() Plan {
	return Plan{
		Seed:        1,
		Slack:       unit.Duration(150 * time.Millisecond),
		Dispatchers: defaultDispatchers(),
		Fleet:       defaultFleet(),
		Load: Load{
			Retries:   2,
			RetryWait: unit.Duration(500 * time.Millisecond),
			MaxOpen:   15000,
		},
	}
}

func defaultDispatchers() Dispatchers {
	return Dispatchers{
		Count:          1,
		Policy:         Canvasroute,
		Cores:          1,
		MemoryMB:       192,
		Sockets:        1024,
		Peers:          true,
		PeerDelay:      unit.Duration(2 * time.Millisecond),
		MaxAttempts:    4,
		Cancellation:   true,
		Hedging:        true,
		MaxRetryAfter:  unit.Duration(2 * time.Second),
		FailureTimeout: unit.Duration(2 * time.Second),
		DrainGrace:     unit.Duration(500 * time.Millisecond),
		Granularity:    unit.Duration(5 * time.Millisecond),
		PollInterval:   unit.Duration(10 * time.Second),
		DialTimeout:    unit.Duration(250 * time.Millisecond),
		OverQuotaValue: 0.2,
		StateInterval:  unit.Duration(time.Second),
		LinkDelay:      unit.Duration(2 * time.Millisecond),
	}
}

func defaultFleet() Fleet {
	return Fleet{
		Zones:              []string{"north"},
		CellSize:           3,
		InitialShare:       0.2,
		WarmupDuration:     unit.Duration(10 * time.Second),
		OverloadMultiple:   4,
		OverloadSpan:       unit.Duration(2 * time.Second),
		Idle:               unit.Duration(10 * time.Second),
		StartNotes:         true,
		AnnounceStartNotes: true,
		ListLag:            unit.Duration(time.Second),
	}
}

// Canvasroute is the policy of the dispatcher under test. The others are those of package baseline.
const Canvasroute = "canvasroute"

// Read reads and validates an experiment file. The error names the file, and the line or the key. onRenamedKey is
// called for each former key that the file uses, also if the file turns out to be invalid.
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

// readTrace reads the trace that the file names.
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

// Duration returns the length of the load: that of its phases, or the time to the last arrival of its trace.
func (p *Plan) Duration() time.Duration {
	if count := len(p.trace); count > 0 {
		return p.trace[count-1].At + time.Millisecond // so that the last arrival is within it
	}
	return workload.TotalDuration(p.schedule.Segments)
}

// Schedule returns the arrivals for a seed. A trace is the same for all seeds.
func (p *Plan) Schedule(seed uint64) []workload.Arrival {
	if p.trace != nil {
		return p.trace
	}
	withFaults := *p.schedule
	withFaults.ExtraLoads = p.timeline.ExtraLoads
	return withFaults.Schedule(seed)
}

// operationNames returns the names of the operations, by index.
func (p *Plan) operationNames() (names []string) {
	for _, operation := range p.Operations {
		names = append(names, operation.Name)
	}
	return names
}

// tenantNames returns the names of the tenants, by index.
func (p *Plan) tenantNames() (names []string) {
	for _, tenant := range p.Tenants {
		names = append(names, tenant.Name)
	}
	return names
}

// WithPolicy returns the plan with another policy, validated again.
func (p *Plan) WithPolicy(policy string) (*Plan, error) {
	changed := *p
	changed.Dispatchers.Policy = policy
	if policy == Canvasroute {
		changed.Dispatchers.Fault = ""
	}
	return &changed, changed.validate()
}
