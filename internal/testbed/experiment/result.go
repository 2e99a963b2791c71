package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"time"

	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/metrics"
	"canvasroute/internal/testbed/workload"
)

// resultName is the file in a result's folder that ReadResult reads.
const resultName = "result.json"

// formatVersion is the version of the format of result.json.
const formatVersion = 1

// Result is the result of a run. Its JSON keys are those of result.json.
type Result struct {
	Format          int                 `json:"format"`
	Name            string              `json:"name"`
	Seed            uint64              `json:"seed"`
	Policy          string              `json:"policy"`
	Fault           string              `json:"fault,omitempty"`
	StartedAt       string              `json:"began"`
	Partial         bool                `json:"partial"` // the run was interrupted
	DurationSeconds float64             `json:"long_s"`
	Cores           int                 `json:"machine_cores"`
	Schedule        string              `json:"schedule"` // fingerprint of the schedule
	Planned         int                 `json:"planned_arrivals"`
	Calls           metrics.Summary     `json:"calls"`
	Rules           map[string]int      `json:"rules"` // number of violations by rule
	Violations      []history.Violation `json:"breaches"`
	Workers         []WorkerResult      `json:"workers"`
	Dispatchers     []ProcessResult     `json:"dispatchers"`
	Faults          []fault.Mark        `json:"troubles"`
	Recoveries      []metrics.Recovery  `json:"backs,omitempty"`  // from each loss of power
	Phases          []PhaseResult       `json:"phases,omitempty"` // of each dispatcher's recovery
	Peers           map[string]int      `json:"peer_datagrams,omitempty"`
	Failures        []string            `json:"failures"` // errors of processes and stand-ins
	Attempts        map[string]int64    `json:"forwards"` // by AttemptEnd
}

// WorkerResult is the result of one worker.
type WorkerResult struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone"`
	Kind          string    `json:"kind"`
	Attempts      int64     `json:"forwards"`
	Done          int64     `json:"done"`
	BySlot        []float64 `json:"done_by_slot"` // per second
	MaxWarmupLoad float64   `json:"cold_nearest"` // see worker.Server.MaxWarmupLoad
}

// ProcessResult is the result of one dispatcher.
type ProcessResult struct {
	Name         string          `json:"name"`
	Incarnations int             `json:"lives"`
	CPU          float64         `json:"cpu_s"`
	Tries        int64           `json:"tries"`
	Counters     json.RawMessage `json:"counters,omitempty"` // the counters that it logged last
}

// endNames are the names of attempt ends in results.
var endNames = [...]string{
	history.Running: "running", history.Done: "done", history.Failed: "failed",
	history.Returned: "returned", history.Abandoned: "abandoned", history.Crashed: "crashed",
	history.NeverReported: "swallowed", history.Deduplicated: "repeat_dropped",
}

// maxViolations is how many violations a result lists.
const maxViolations = 200

// result collects the result of a run from a closed environment.
func (p *Plan) result(env *environment, recorder *metrics.Recorder, t *fault.Timeline, schedule []workload.Arrival,
	seed uint64,
) *Result {
	result := &Result{
		Format: formatVersion, Name: p.Name, Seed: seed, Policy: p.Dispatchers.Policy,
		Fault: p.Dispatchers.Fault, DurationSeconds: p.Duration().Seconds(), Cores: runtime.NumCPU(),
		Schedule: fingerprint(schedule), Planned: len(schedule),
		Calls: recorder.Summary(p.operationNames(), p.tenantNames()),
		Rules: map[string]int{}, Violations: []history.Violation{}, Faults: t.Marks,
		Failures: append([]string{}, env.failures...), Attempts: map[string]int64{},
	}
	violations := env.history.Check(p.ruleConfig(env))
	for _, rule := range history.Rules {
		result.Rules[string(rule)] = 0
	}
	if p.Dispatchers.Recovery {
		result.Rules[string(history.RuleKeysPersisted)] = 0
	}
	for _, v := range violations {
		result.Rules[string(v.Rule)]++
	}
	result.Violations = append(result.Violations, violations[:min(len(violations), maxViolations)]...)
	result.addWorkers(p, env)
	for _, process := range env.processes {
		result.Failures = append(result.Failures, process.unexpectedExits...)
		result.Dispatchers = append(result.Dispatchers, ProcessResult{
			Name: process.name, Incarnations: process.incarnations,
			CPU: process.cpu.Seconds(), Counters: lastCounters(process.log.Name()),
		})
	}
	for _, request := range env.history.Requests() {
		result.Dispatchers[request.Dispatcher].Tries++
	}
	result.Recoveries = p.recoveries(result, t, schedule)
	result.Phases = readPhases(env)
	if env.peers != nil {
		result.Peers = map[string]int{"carried": env.peers.Carried, "discarded": env.peers.Discarded}
	}
	return result
}

// addWorkers adds the results of the workers, and the number of attempts by end.
func (r *Result) addWorkers(p *Plan, env *environment) {
	for _, s := range env.servers {
		name, kind, zone, _ := s.Location()
		r.Workers = append(r.Workers, WorkerResult{
			Name: name, Kind: kind, Zone: p.Fleet.Zones[zone],
			BySlot: make([]float64, len(r.Calls.Slots)), MaxWarmupLoad: s.MaxWarmupLoad(),
		})
	}
	every := time.Duration(r.Calls.SlotSeconds * float64(time.Second))
	for _, request := range env.history.Requests() {
		for _, f := range request.Attempts {
			out := &r.Workers[f.Worker]
			out.Attempts++
			r.Attempts[endNames[f.End]]++
			if f.End != history.Done {
				continue
			}
			out.Done++
			if at := int(f.EndedAt / every); at < len(out.BySlot) {
				out.BySlot[at] += 1 / r.Calls.SlotSeconds
			}
		}
	}
}

// lastCounters returns the last counters in a dispatcher's log.
func lastCounters(path string) (last json.RawMessage) {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if line := lines.Bytes(); bytes.Contains(line, []byte(`"message":"counters"`)) && json.Valid(line) {
			last = slices.Clone(line)
		}
	}
	return last
}

// write writes the result to a folder atomically.
func (r *Result) write(folder string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(folder, resultName)
	if err := os.WriteFile(path+".part", b, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}

// ReadResult reads a result from its folder.
func ReadResult(folder string) (*Result, error) {
	path := filepath.Join(folder, resultName)
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Format != formatVersion {
		return nil, fmt.Errorf("%s: format %d, this program reads %d", path, r.Format, formatVersion)
	}
	return r, nil
}

// ReadResults reads the result in a folder, or those in its subfolders, one for each seed.
func ReadResults(folder string) (results []*Result, err error) {
	if r, err := ReadResult(folder); err == nil {
		return []*Result{r}, nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*", resultName))
	if err != nil {
		return nil, err
	}
	sort.Strings(paths)
	for _, path := range paths {
		r, err := ReadResult(filepath.Dir(path))
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("%s: holds no result", folder)
	}
	return results, nil
}

// CPU is the CPU time of all dispatchers, in seconds.
func (r *Result) CPU() (s float64) {
	for _, d := range r.Dispatchers {
		s += d.CPU
	}
	return s
}

// Failed reports whether a rule was violated or a process failed.
func (r *Result) Failed() bool { return len(r.Violations) > 0 || len(r.Failures) > 0 }
