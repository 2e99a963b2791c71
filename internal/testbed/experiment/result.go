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

// resultName is the name of the file in a result folder that ReadResult reads.
const resultName = "result.json"

// formatVersion is the version of the format of result.json.
const formatVersion = 1

// Permissions of results, which are readable by other users.
const (
	resultMode       = 0o644
	resultFolderMode = 0o755
)

// Result is the result of a run, as stored in result.json.
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
	Schedule        string              `json:"schedule"` // hash of the schedule
	Planned         int                 `json:"planned_arrivals"`
	Calls           metrics.Summary     `json:"calls"`
	Rules           map[string]int      `json:"rules"` // number of violations, by rule
	Violations      []history.Violation `json:"breaches"`
	Workers         []WorkerResult      `json:"workers"`
	Dispatchers     []ProcessResult     `json:"dispatchers"`
	Faults          []fault.Interval    `json:"troubles"`
	Recoveries      []metrics.Recovery  `json:"backs,omitempty"`  // one for each power loss
	Phases          []PhaseResult       `json:"phases,omitempty"` // recovery phases of all dispatchers
	Peers           map[string]int      `json:"peer_datagrams,omitempty"`
	Failures        []string            `json:"failures"` // errors of processes and of the simulated platform
	Attempts        map[string]int64    `json:"forwards"` // number of attempts, by name of AttemptEnd
}

// WorkerResult is the result of one worker.
type WorkerResult struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone"`
	Kind          string    `json:"kind"`
	Attempts      int64     `json:"forwards"`
	Done          int64     `json:"done"`
	BySlot        []float64 `json:"done_by_slot"` // jobs done per second, by time slot
	MaxWarmupLoad float64   `json:"cold_nearest"` // see worker.Server.MaxWarmupLoad
}

// ProcessResult is the result of one dispatcher.
type ProcessResult struct {
	Name         string          `json:"name"`
	Incarnations int             `json:"lives"`
	CPU          float64         `json:"cpu_s"`              // seconds
	Tries        int64           `json:"tries"`              // number of requests that clients sent to the dispatcher
	Counters     json.RawMessage `json:"counters,omitempty"` // last counters in the dispatcher's log
}

// attemptEndNames maps each AttemptEnd to its name in results.
var attemptEndNames = [...]string{
	history.Running:       "running",
	history.Done:          "done",
	history.Failed:        "failed",
	history.Returned:      "returned",
	history.Abandoned:     "abandoned",
	history.Crashed:       "crashed",
	history.NeverReported: "swallowed",
	history.Deduplicated:  "repeat_dropped",
}

// maxViolations limits the violations that a result lists.
const maxViolations = 200

// result assembles the result of a run from a closed environment.
func (p *Plan) result(env *environment, recorder *metrics.Recorder, timeline *fault.Timeline, schedule []workload.Arrival) *Result {
	result := &Result{
		Format:          formatVersion,
		Name:            p.Name,
		Seed:            env.seed,
		Policy:          p.Dispatchers.Policy,
		Fault:           p.Dispatchers.Fault,
		DurationSeconds: p.Duration().Seconds(),
		Cores:           runtime.NumCPU(),
		Schedule:        fingerprint(schedule),
		Planned:         len(schedule),
		Calls:           recorder.Summary(p.operationNames(), p.tenantNames()),
		Rules:           map[string]int{},
		Violations:      []history.Violation{},
		Faults:          timeline.Intervals,
		Failures:        append([]string{}, env.failures...),
		Attempts:        map[string]int64{},
	}
	result.addViolations(env.history.Check(p.ruleConfig(env)), p.Dispatchers.Recovery)
	result.addWorkers(p, env)
	result.addDispatchers(env)
	result.Recoveries = p.recoveries(result, timeline, schedule)
	result.Phases = readPhases(env)
	if env.peers != nil {
		result.Peers = map[string]int{"carried": env.peers.Forwarded, "discarded": env.peers.Discarded}
	}
	return result
}

// addViolations adds the number of violations of each checked rule, and the first maxViolations violations.
func (r *Result) addViolations(violations []history.Violation, keysPersisted bool) {
	for _, rule := range history.Rules {
		r.Rules[string(rule)] = 0
	}
	if keysPersisted {
		r.Rules[string(history.RuleKeysPersisted)] = 0
	}
	for _, violation := range violations {
		r.Rules[string(violation.Rule)]++
	}
	r.Violations = append(r.Violations, violations[:min(len(violations), maxViolations)]...)
}

// addWorkers adds the results of the workers, and the number of attempts by AttemptEnd.
func (r *Result) addWorkers(p *Plan, env *environment) {
	for _, server := range env.servers {
		identity := server.Identity()
		r.Workers = append(r.Workers, WorkerResult{
			Name:          identity.Name,
			Kind:          identity.Kind,
			Zone:          p.Fleet.Zones[identity.Zone],
			BySlot:        make([]float64, len(r.Calls.Slots)),
			MaxWarmupLoad: server.MaxWarmupLoad(),
		})
	}
	slotLength := time.Duration(r.Calls.SlotSeconds * float64(time.Second))
	for _, request := range env.history.Requests() {
		for _, attempt := range request.Attempts {
			r.Attempts[attemptEndNames[attempt.End]]++
			worker := &r.Workers[attempt.Worker]
			worker.Attempts++
			if attempt.End != history.Done {
				continue
			}
			worker.Done++
			if slot := int(attempt.EndedAt / slotLength); slot < len(worker.BySlot) {
				worker.BySlot[slot] += 1 / r.Calls.SlotSeconds
			}
		}
	}
}

// addDispatchers adds the results of the dispatchers, and reports unexpected exits of their processes as failures.
func (r *Result) addDispatchers(env *environment) {
	for _, dispatcher := range env.processes {
		r.Failures = append(r.Failures, dispatcher.unexpectedExits...)
		r.Dispatchers = append(r.Dispatchers, ProcessResult{
			Name:         dispatcher.name,
			Incarnations: dispatcher.incarnations,
			CPU:          dispatcher.cpu.Seconds(),
			Counters:     lastCounters(dispatcher.log.Name()),
		})
	}
	for _, request := range env.history.Requests() {
		r.Dispatchers[request.Dispatcher].Tries++
	}
}

// lastCounters returns the last counters in a dispatcher's log, or nil if there are none.
func lastCounters(path string) (last json.RawMessage) {
	scanLog(path, func(line []byte) {
		if bytes.Contains(line, []byte(`"message":"counters"`)) && json.Valid(line) {
			last = slices.Clone(line)
		}
	})
	return last
}

// maxLogLineBytes limits the length of a line that scanLog reads.
const maxLogLineBytes = 1 << 20

// scanLog calls handle for each line of a dispatcher's log, and stops before the first line longer than
// maxLogLineBytes. If the log cannot be opened, scanLog does not call handle.
func scanLog(path string, handle func(line []byte)) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		handle(lines.Bytes())
	}
}

// write atomically writes the result to resultName in a folder.
func (r *Result) write(folder string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(folder, resultName)
	if err := os.WriteFile(path+".part", text, resultMode); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}

// ReadResult reads a result from its folder. It rejects a result of another format version.
func ReadResult(folder string) (*Result, error) {
	path := filepath.Join(folder, resultName)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	if err := json.Unmarshal(text, result); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if result.Format != formatVersion {
		return nil, fmt.Errorf("%s: format %d, this program reads %d", path, result.Format, formatVersion)
	}
	return result, nil
}

// ReadResults reads the result in a folder. If there is none, it reads the results in the subfolders, one for each
// seed.
func ReadResults(folder string) (results []*Result, err error) {
	if result, err := ReadResult(folder); err == nil {
		return []*Result{result}, nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*", resultName))
	if err != nil {
		return nil, err
	}
	sort.Strings(paths)
	for _, path := range paths {
		result, err := ReadResult(filepath.Dir(path))
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("%s: holds no result", folder)
	}
	return results, nil
}

// CPU returns the CPU time of all dispatchers, in seconds.
func (r *Result) CPU() (seconds float64) {
	for _, dispatcher := range r.Dispatchers {
		seconds += dispatcher.CPU
	}
	return seconds
}

// Failed reports whether a rule was violated or a process failed.
func (r *Result) Failed() bool { return len(r.Violations) > 0 || len(r.Failures) > 0 }
