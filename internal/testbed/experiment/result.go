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

// resultName is the file in a result's folder that holds its figures.
const resultName = "result.json"

// formatVersion tells results of unlike forms apart.
const formatVersion = 1

// Result is what a run came to. All servers in it are stand-ins.
type Result struct {
	Format          int                 `json:"format"`
	Name            string              `json:"name"`
	Seed            uint64              `json:"seed"`
	Policy          string              `json:"policy"`
	Fault           string              `json:"fault,omitempty"`
	StartedAt       string              `json:"began"`
	Partial         bool                `json:"partial"` // it was interrupted
	DurationSeconds float64             `json:"long_s"`
	Cores           int                 `json:"machine_cores"`
	Schedule        string              `json:"schedule"` // its fingerprint
	Planned         int                 `json:"planned_arrivals"`
	Calls           metrics.Summary     `json:"calls"`
	Rules           map[string]int      `json:"rules"` // breaches of each
	Violations      []history.Violation `json:"breaches"`
	Workers         []WorkerResult      `json:"workers"`
	Dispatchers     []ProcessResult     `json:"dispatchers"`
	Faults          []fault.Mark        `json:"troubles"`
	Recoveries      []metrics.Recovery  `json:"backs,omitempty"`  // from losses of power
	Phases          []PhaseResult       `json:"phases,omitempty"` // of the return of each dispatcher
	Peers           map[string]int      `json:"peer_datagrams,omitempty"`
	Failures        []string            `json:"failures"` // of processes and stand-ins
	Attempts        map[string]int64    `json:"forwards"` // by how they ended at their workers
}

// WorkerResult is what one worker did.
type WorkerResult struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone"`
	Kind          string    `json:"kind"`
	Attempts      int64     `json:"forwards"`
	Done          int64     `json:"done"`
	BySlot        []float64 `json:"done_by_slot"` // a second
	MaxWarmupLoad float64   `json:"cold_nearest"` // most sent within the span while cold, over what it bears: above 1 it fell
}

// ProcessResult is what one dispatcher's processes came to.
type ProcessResult struct {
	Name         string          `json:"name"`
	Incarnations int             `json:"lives"`
	CPU          float64         `json:"cpu_s"`
	Tries        int64           `json:"tries"`
	Counters     json.RawMessage `json:"counters,omitempty"` // its own, as it last printed them
}

// endNames are the names of ends in results.
var endNames = [...]string{
	history.Running: "running", history.Done: "done", history.Failed: "failed",
	history.Returned: "returned", history.Abandoned: "abandoned", history.Crashed: "crashed",
	history.NeverReported: "swallowed", history.Deduplicated: "repeat_dropped",
}

// maxViolations is how many of them a result holds one by one.
const maxViolations = 200

func (p *Plan) result(w *environment, recorder *metrics.Recorder, t *fault.Timeline, schedule []workload.Arrival,
	seed uint64,
) *Result {
	r := &Result{
		Format: formatVersion, Name: p.Name, Seed: seed, Policy: p.Dispatchers.Policy,
		Fault: p.Dispatchers.Fault, DurationSeconds: p.Duration().Seconds(), Cores: runtime.NumCPU(),
		Schedule: fingerprint(schedule), Planned: len(schedule),
		Calls: recorder.Summary(p.operationNames(), p.tenantNames()),
		Rules: map[string]int{}, Violations: []history.Violation{}, Faults: t.Marks,
		Failures: append([]string{}, w.failures...), Attempts: map[string]int64{},
	}
	breaches := w.history.Check(p.ruleConfig(w))
	for _, rule := range history.Rules {
		r.Rules[string(rule)] = 0
	}
	if p.Dispatchers.Recovery {
		r.Rules[string(history.RuleKeysPersisted)] = 0
	}
	for _, b := range breaches {
		r.Rules[string(b.Rule)]++
	}
	r.Violations = append(r.Violations, breaches[:min(len(breaches), maxViolations)]...)
	r.workers(p, w)
	for _, process := range w.processes {
		r.Failures = append(r.Failures, process.unexpectedExits...)
		r.Dispatchers = append(r.Dispatchers, ProcessResult{
			Name: process.name, Incarnations: process.incarnations,
			CPU: process.cpu.Seconds(), Counters: lastCounters(process.log.Name()),
		})
	}
	for _, try := range w.history.Requests() {
		r.Dispatchers[try.Dispatcher].Tries++
	}
	r.Recoveries = p.recoveries(r, t, schedule)
	r.Phases = readPhases(w)
	if w.peers != nil {
		r.Peers = map[string]int{"carried": w.peers.Carried, "discarded": w.peers.Discarded}
	}
	return r
}

func (r *Result) workers(p *Plan, w *environment) {
	for _, s := range w.servers {
		name, kind, zone, _ := s.Location()
		r.Workers = append(r.Workers, WorkerResult{
			Name: name, Kind: kind, Zone: p.Fleet.Zones[zone],
			BySlot: make([]float64, len(r.Calls.Slots)), MaxWarmupLoad: s.MaxWarmupLoad(),
		})
	}
	every := time.Duration(r.Calls.SlotSeconds * float64(time.Second))
	for _, try := range w.history.Requests() {
		for _, f := range try.Attempts {
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

// lastCounters finds the counters that a dispatcher printed last in its log.
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

// write leaves the result in a folder, whole or not at all.
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

// ReadResult reads a result back from its folder.
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

// ReadResults reads the results of all seeds under a folder, or the one in it.
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

// CPU is the time in seconds that all dispatchers used.
func (r *Result) CPU() (s float64) {
	for _, d := range r.Dispatchers {
		s += d.CPU
	}
	return s
}

// Broken tells whether a rule was broken or a process failed.
func (r *Result) Broken() bool { return len(r.Violations) > 0 || len(r.Failures) > 0 }
