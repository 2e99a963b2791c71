package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/loadgen"
	"canvasroute/internal/testbed/metrics"
	"canvasroute/internal/testbed/workload"
)

// Options are how an experiment is run.
type Options struct {
	Folder     string // of the result; it must not hold one yet
	Dispatcher string // the program under test
	Self       string // this program, which stands in for baselines
	Progress   func(Progress)
}

// Progress is how a run stands.
type Progress struct {
	At, Of                             time.Duration
	Calls, Succeeded, Throttled, Other int64
	Open                               int
}

// slots is into how many stretches a run's figures are cut at the most.
const maxSlots = 120

// Run runs the plan once under a seed, and leaves the result in the folder. When ctx ends before, what has
// been measured is left as a partial result, and no process remains.
func (p *Plan) Run(ctx context.Context, seed uint64, o Options) (*Result, error) {
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(o.Folder, resultName)); err == nil {
		return nil, fmt.Errorf("%s: holds a result already", o.Folder)
	}
	timeline, err := fault.Plan(p.Faults, p.topology(), seed)
	if err != nil {
		return nil, err
	}
	schedule := p.Schedule(seed)
	began := time.Now()
	w, err := openEnvironment(ctx, p, seed, o.Folder, p.dispatcherCommand(o))
	if err != nil {
		return nil, errors.Join(err, w.close())
	}
	recorder := metrics.NewRecorder(max(time.Second, p.Duration()/maxSlots), len(p.Operations), len(p.Tenants))
	s := &loadgen.Generator{
		Operations: p.Operations, Tenants: p.Tenants, Seed: seed, Retries: p.Load.Retries,
		RetryWait: p.Load.RetryWait.Std(), MaxOpen: p.Load.MaxOpen, FrontTier: w.frontTier, History: w.history, Recorder: recorder,
		Clock: w.clock,
	}
	playing, stop := context.WithCancel(ctx)
	w.actions.Go(func() { w.play(playing, timeline.Actions) })
	w.actions.Go(func() { p.reportProgress(playing, s, recorder, o.Progress) })
	s.Run(ctx, schedule)
	stop()
	closing := w.close()
	r := p.result(w, recorder, timeline, schedule, seed)
	r.StartedAt, r.Partial = began.UTC().Format(time.RFC3339), ctx.Err() != nil
	if closing != nil {
		r.Failures = append(r.Failures, closing.Error())
	}
	return r, r.write(o.Folder)
}

// dispatcherCommand is the program of a dispatcher and its arguments.
func (p *Plan) dispatcherCommand(o Options) []string {
	d := &p.Dispatchers
	if d.Policy == Canvasroute {
		return []string{o.Dispatcher}
	}
	command := []string{o.Self, "stand-in", "--policy", d.Policy}
	if d.Fault != "" {
		command = append(command, "--fault", d.Fault)
	}
	return command
}

// Find looks for the program under test: as it is named, or beside this one.
func Find(named string) (dispatcher, self string, err error) {
	if self, err = os.Executable(); err != nil {
		return "", "", err
	}
	if named == "" {
		named = filepath.Join(filepath.Dir(self), "canvasroute")
	}
	if dispatcher, err = exec.LookPath(named); err != nil {
		return "", "", fmt.Errorf("no dispatcher to start: %w; build it beside this program with "+
			"go build -o bin/ ./cmd/..., or name it with --dispatcher", err)
	}
	if dispatcher, err = filepath.Abs(dispatcher); err != nil {
		return "", "", err
	}
	return dispatcher, self, nil
}

// progressInterval is how often progress is told.
const progressInterval = 200 * time.Millisecond

func (p *Plan) reportProgress(ctx context.Context, s *loadgen.Generator, r *metrics.Recorder, report func(Progress)) {
	if report == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g := Progress{At: s.Clock(), Of: p.Duration(), Open: s.Open()}
		g.Calls, g.Succeeded, g.Throttled, g.Other = r.Snapshot()
		report(g)
	}
}

// ruleConfig are what the ledger judges by.
func (p *Plan) ruleConfig(w *environment) history.RuleConfig {
	t := history.RuleConfig{DrainGrace: p.Dispatchers.DrainGrace.Std(), Slack: p.Slack.Std(), KeysPersisted: p.Dispatchers.Recovery}
	for _, o := range p.Operations {
		scope := dedupScope(o)
		t.Operations = append(t.Operations, history.Operation{
			Name: o.Name, Idempotent: o.Idempotency == workload.Idempotent,
			NonIdempotent: o.Idempotency == workload.NonIdempotent, ScopeAll: scope == "all", ScopeZone: scope == "zone",
			ScopeCell: scope == "cell", DedupWindow: o.DedupWindow.Std(),
		})
	}
	for _, s := range w.servers {
		_, _, zone, cell := s.Location()
		t.Workers = append(t.Workers, history.Location{Zone: zone, Cell: cell})
	}
	return t
}

// fingerprint tells two schedules apart.
func fingerprint(schedule []workload.Arrival) string {
	sum := sha256.Sum256(workload.Encode(schedule))
	return hex.EncodeToString(sum[:8])
}
