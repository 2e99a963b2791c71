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
	Format      int              `json:"format"`
	Name        string           `json:"name"`
	Seed        uint64           `json:"seed"`
	Policy      string           `json:"policy"`
	Fault       string           `json:"fault,omitempty"`
	Began       string           `json:"began"`
	Partial     bool             `json:"partial"` // it was interrupted
	Long        float64          `json:"long_s"`
	Cores       int              `json:"machine_cores"`
	Schedule    string           `json:"schedule"` // its fingerprint
	Planned     int              `json:"planned_arrivals"`
	Calls       metrics.Summary  `json:"calls"`
	Rules       map[string]int   `json:"rules"` // breaches of each
	Breaches    []history.Breach `json:"breaches"`
	Workers     []WorkerResult   `json:"workers"`
	Dispatchers []ProcessResult  `json:"dispatchers"`
	Troubles    []fault.Mark     `json:"troubles"`
	Backs       []metrics.Back   `json:"backs,omitempty"`  // from losses of power
	Phases      []PhaseResult    `json:"phases,omitempty"` // of the return of each dispatcher
	Peers       map[string]int   `json:"peer_datagrams,omitempty"`
	Failures    []string         `json:"failures"` // of processes and stand-ins
	Forwards    map[string]int64 `json:"forwards"` // by how they ended at their workers
}

// WorkerResult is what one worker did.
type WorkerResult struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Kind     string    `json:"kind"`
	Forwards int64     `json:"forwards"`
	Done     int64     `json:"done"`
	BySlot   []float64 `json:"done_by_slot"` // a second
	Nearest  float64   `json:"cold_nearest"` // most sent within the span while cold, over what it bears: above 1 it fell
}

// ProcessResult is what one dispatcher's processes came to.
type ProcessResult struct {
	Name     string          `json:"name"`
	Lives    int             `json:"lives"`
	CPU      float64         `json:"cpu_s"`
	Tries    int64           `json:"tries"`
	Counters json.RawMessage `json:"counters,omitempty"` // its own, as it last printed them
}

// endNames are the names of ends in results.
var endNames = [...]string{
	history.Running: "running", history.Done: "done", history.Failed: "failed",
	history.Returned: "returned", history.Abandoned: "abandoned", history.Crashed: "crashed",
	history.Swallowed: "swallowed", history.Suppressed: "repeat_dropped",
}

// mostBreaches is how many of them a result holds one by one.
const mostBreaches = 200

func (p *Plan) result(w *world, recorder *metrics.Recorder, t *fault.Timeline, schedule []workload.Arrival,
	seed uint64,
) *Result {
	r := &Result{
		Format: formatVersion, Name: p.Name, Seed: seed, Policy: p.Dispatchers.Policy,
		Fault: p.Dispatchers.Fault, Long: p.Long().Seconds(), Cores: runtime.NumCPU(),
		Schedule: fingerprint(schedule), Planned: len(schedule),
		Calls: recorder.Summary(p.operationNames(), p.customerNames()),
		Rules: map[string]int{}, Breaches: []history.Breach{}, Troubles: t.Marks,
		Failures: append([]string{}, w.failures...), Forwards: map[string]int64{},
	}
	breaches := w.ledger.Judge(p.terms(w))
	for _, rule := range history.Rules {
		r.Rules[string(rule)] = 0
	}
	if p.Dispatchers.Recovery {
		r.Rules[string(history.RuleKeys)] = 0
	}
	for _, b := range breaches {
		r.Rules[string(b.Rule)]++
	}
	r.Breaches = append(r.Breaches, breaches[:min(len(breaches), mostBreaches)]...)
	r.workers(p, w)
	for _, process := range w.processes {
		r.Failures = append(r.Failures, process.faults...)
		r.Dispatchers = append(r.Dispatchers, ProcessResult{
			Name: process.name, Lives: process.lives,
			CPU: process.cpu.Seconds(), Counters: lastCounters(process.log.Name()),
		})
	}
	for _, try := range w.ledger.Tries() {
		r.Dispatchers[try.Dispatcher].Tries++
	}
	r.Backs = p.backs(r, t, schedule)
	r.Phases = phases(w)
	if w.peers != nil {
		r.Peers = map[string]int{"carried": w.peers.Carried, "discarded": w.peers.Discarded}
	}
	return r
}

func (r *Result) workers(p *Plan, w *world) {
	for _, s := range w.servers {
		name, kind, zone, _ := s.Site()
		r.Workers = append(r.Workers, WorkerResult{
			Name: name, Kind: kind, Zone: p.Fleet.Zones[zone],
			BySlot: make([]float64, len(r.Calls.Slots)), Nearest: s.Nearest(),
		})
	}
	every := time.Duration(r.Calls.Every * float64(time.Second))
	for _, try := range w.ledger.Tries() {
		for _, f := range try.Forwards {
			out := &r.Workers[f.Worker]
			out.Forwards++
			r.Forwards[endNames[f.End]]++
			if f.End != history.Done {
				continue
			}
			out.Done++
			if at := int(f.Ended / every); at < len(out.BySlot) {
				out.BySlot[at] += 1 / r.Calls.Every
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
func (r *Result) Broken() bool { return len(r.Breaches) > 0 || len(r.Failures) > 0 }
