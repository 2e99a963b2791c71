// Package experiment runs experiments from experiment files. It starts real dispatcher processes with a simulated
// platform (workers, discovery service and peer network), applies an open-loop load and a timeline of faults, and
// writes the result to a folder.
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

// Plan is a decoded experiment file. Its TOML keys are a public interface.
type Plan struct {
	Name        string               `toml:"name"`
	Seed        uint64               `toml:"seed"`
	Slack       unit.Duration        `toml:"slack"` // tolerance added to the time limits of the rules
	Dispatchers Dispatchers          `toml:"dispatchers"`
	Fleet       Fleet                `toml:"fleet"`
	Operations  []workload.Operation `toml:"operation"`
	Tenants     []workload.Tenant    `toml:"tenants"`
	Load        Load                 `toml:"load"`
	Faults      []fault.Spec         `toml:"fault"`

	workloadPlan *workload.Plan     // input of the random schedule
	timeline     *fault.Timeline    // of faults, for Seed
	trace        []workload.Arrival // arrivals of the trace, nil without a trace
	directory    string             // of the experiment file, which the trace's path is relative to
}

// Dispatchers configures the processes under test. Keys that correspond to a dispatcher setting have the meaning of
// that setting.
type Dispatchers struct {
	Count          int           `toml:"count"`        // number of processes
	Policy         string        `toml:"policy"`       // canvasroute or one of the baselines
	Fault          string        `toml:"fault"`        // injected into a baseline, one of baseline.Faults; "": none
	Cores          float64       `toml:"cores"`        // limit in the dispatcher's configuration; not enforced by the testbed
	MemoryMB       int           `toml:"memory-mb"`    // limit like Cores
	Sockets        int           `toml:"sockets"`      // limit like Cores
	Peers          bool          `toml:"peers"`        // dispatchers may send each other datagrams
	PeerLoss       float64       `toml:"peer-loss"`    // share of datagrams lost
	PeerDelay      unit.Duration `toml:"peer-delay"`   // one way
	PeerJitter     unit.Duration `toml:"peer-jitter"`  // maximum additional delay
	MaxAttempts    int           `toml:"max-attempts"` // per request
	Cancellation   bool          `toml:"cancellation"`
	Hedging        bool          `toml:"hedging"`
	MaxRetryAfter  unit.Duration `toml:"max-retry-after"` // longest Retry-After; 0: not allowed
	FailureTimeout unit.Duration `toml:"failure-timeout"` // until the front tier removes a dispatcher that has failed
	DrainGrace     unit.Duration `toml:"drain-grace"`     // time within which a dispatcher must stop sending to a draining worker
	Granularity    unit.Duration `toml:"granularity"`     // of the times that decisions may depend on
	PollInterval   unit.Duration `toml:"poll-interval"`   // maximum time between two polls of the endpoint list
	DialTimeout    unit.Duration `toml:"dial-timeout"`
	OverQuotaValue float64       `toml:"over-quota-value"` // share of their value that requests over a tenant's quota earn
	ValueByCount   bool          `toml:"value-by-count"`

	Recovery       bool          `toml:"recovery"`        // dispatchers persist state and exchange messages over the link
	StateInterval  unit.Duration `toml:"state-interval"`  // time between two writes of the state
	LinkLoss       float64       `toml:"link-loss"`       // share of messages lost
	LinkDelay      unit.Duration `toml:"link-delay"`      // one way
	LinkJitter     unit.Duration `toml:"link-jitter"`     // maximum additional delay
	LinkDuplicates float64       `toml:"link-duplicates"` // share of messages delivered twice
}

// Fleet configures the simulated workers.
type Fleet struct {
	Zones              []string      `toml:"zones"`
	CellSize           int           `toml:"cell-size"` // number of workers in a cell, all of one zone
	Kinds              []worker.Kind `toml:"kind"`
	InitialShare       float64       `toml:"warmup-initial-share"` // share of its capacity that a worker has when it starts
	WarmupDuration     unit.Duration `toml:"warmup-duration"`      // time from the start of a worker to its full capacity
	OverloadMultiple   float64       `toml:"overload-multiple"`    // see worker.Warmup; 0: no warm-up budget
	OverloadSpan       unit.Duration `toml:"overload-span"`        // see worker.Warmup
	ConnIdleTimeout    unit.Duration `toml:"idle"`                 // after which a worker closes an idle connection
	StartNotes         bool          `toml:"start-notes"`          // workers report when a job starts
	AnnounceStartNotes bool          `toml:"announce-start-notes"` // dispatcher settings announce StartNotes
	Progress           bool          `toml:"progress"`             // workers report when half of a job is done
	Probes             bool          `toml:"probes"`               // workers respond to health checks and load requests
	ListLag            unit.Duration `toml:"list-lag"`             // time until a change is visible in the endpoint list
	Instant            bool          `toml:"instant"`              // jobs complete immediately
}

// Load configures the load generator.
type Load struct {
	Phases    []workload.Phase `toml:"phase"`
	Trace     string           `toml:"trace"`      // file with recorded arrivals, instead of phases
	Retries   int              `toml:"retries"`    // by the client, per call
	RetryWait unit.Duration    `toml:"retry-wait"` // before a retry, if the response has no Retry-After
	MaxOpen   int              `toml:"max-open"`   // concurrent calls
}

// defaults returns a plan with the default values of the keys.
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
		ConnIdleTimeout:    unit.Duration(10 * time.Second),
		StartNotes:         true,
		AnnounceStartNotes: true,
		ListLag:            unit.Duration(time.Second),
	}
}

// Canvasroute is the policy that selects the dispatcher under test. Package baseline defines the other policies.
const Canvasroute = "canvasroute"

// Read reads and validates an experiment file. An error about its content includes the file, and the line or the key.
// Read calls onRenamedKey for each former key that the file uses, also if the file is invalid otherwise.
func Read(path string, onRenamedKey func(RenamedKey)) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, onRenamedKey)
}

// Parse is like Read, with the text of the experiment file given. The path is used in errors and to locate a trace.
func Parse(path string, text []byte, onRenamedKey func(RenamedKey)) (*Plan, error) {
	current, err := replaceFormerKeys(path, text)
	if err != nil {
		return nil, err
	}
	for _, key := range current.renamed {
		onRenamedKey(key)
	}
	p := defaults()
	p.directory = filepath.Dir(path)
	if err := tomlconfig.Decode(path, current.text, &p); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// readTrace reads the file that Load.Trace specifies.
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
	return p.workloadPlan.ReadTrace(path, file, p.Seed)
}

// Duration returns the duration of the load: the total of its phases, or the time until the last arrival of its trace.
func (p *Plan) Duration() time.Duration {
	if count := len(p.trace); count > 0 {
		return p.trace[count-1].At + time.Millisecond // so that the duration includes the last arrival
	}
	return workload.TotalDuration(p.workloadPlan.Segments)
}

// Schedule returns the arrivals for a seed. If the plan has a trace, it returns the trace for every seed.
func (p *Plan) Schedule(seed uint64) []workload.Arrival {
	if p.trace != nil {
		return p.trace
	}
	withFaults := *p.workloadPlan
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

// WithPolicy returns a copy of the plan with another policy, and an error if the copy is invalid. A baseline's fault is
// dropped for the policy Canvasroute.
func (p *Plan) WithPolicy(policy string) (*Plan, error) {
	changed := *p
	changed.Dispatchers.Policy = policy
	if policy == Canvasroute {
		changed.Dispatchers.Fault = ""
	}
	return &changed, changed.validate()
}
