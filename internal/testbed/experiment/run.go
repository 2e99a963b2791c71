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

// Options configure a run.
type Options struct {
	Folder     string // for the result; must not hold one yet
	Dispatcher string // the program under test
	Self       string // this program, which also runs the baselines
	Progress   func(Progress)
}

// Progress is the state of a run.
type Progress struct {
	At, Of                             time.Duration
	Calls, Succeeded, Throttled, Other int64
	Open                               int
}

// maxSlots is the most time slots that a run is divided into.
const maxSlots = 120

// Run runs the plan once with a seed, and writes the result to the folder. If ctx ends early, the result is partial. No
// process is left running.
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
	startedAt := time.Now()
	env, err := openEnvironment(ctx, p, seed, o.Folder, p.dispatcherCommand(o))
	if err != nil {
		return nil, errors.Join(err, env.close())
	}
	recorder := metrics.NewRecorder(max(time.Second, p.Duration()/maxSlots), len(p.Operations), len(p.Tenants))
	generator := &loadgen.Generator{
		Operations: p.Operations, Tenants: p.Tenants, Seed: seed, Retries: p.Load.Retries,
		RetryWait: p.Load.RetryWait.Std(), MaxOpen: p.Load.MaxOpen, FrontTier: env.frontTier, History: env.history,
		Recorder: recorder, Clock: env.clock,
	}
	playing, stop := context.WithCancel(ctx)
	env.actions.Go(func() { env.play(playing, timeline.Actions) })
	env.actions.Go(func() { p.reportProgress(playing, generator, recorder, o.Progress) })
	generator.Run(ctx, schedule)
	stop()
	closing := env.close()
	r := p.result(env, recorder, timeline, schedule, seed)
	r.StartedAt = startedAt.UTC().Format(time.RFC3339)
	r.Partial = ctx.Err() != nil
	if closing != nil {
		r.Failures = append(r.Failures, closing.Error())
	}
	return r, r.write(o.Folder)
}

// dispatcherCommand is the command line of a dispatcher.
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

// Find returns the paths of the dispatcher program, by default the one beside this program, and of this program.
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

// progressInterval is how often progress is reported.
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

// ruleConfig is what the rules depend on, for the workers of the environment.
func (p *Plan) ruleConfig(env *environment) history.RuleConfig {
	t := history.RuleConfig{DrainGrace: p.Dispatchers.DrainGrace.Std(), Slack: p.Slack.Std(), KeysPersisted: p.Dispatchers.Recovery}
	for _, o := range p.Operations {
		t.Operations = append(t.Operations, history.Operation{
			Name:        o.Name,
			Idempotency: o.Idempotency,
			DedupScope:  dedupScope(o),
			DedupWindow: o.DedupWindow.Std(),
		})
	}
	for _, s := range env.servers {
		_, _, zone, cell := s.Location()
		t.Workers = append(t.Workers, history.Location{Zone: zone, Cell: cell})
	}
	return t
}

// fingerprint is a short hash of a schedule.
func fingerprint(schedule []workload.Arrival) string {
	sum := sha256.Sum256(workload.Encode(schedule))
	return hex.EncodeToString(sum[:8])
}
