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
	Folder   string // for the result; must not hold one yet
	Programs Programs
	Progress func(Progress) // called now and then; nil: not called
}

// Programs are the paths of the programs that a run starts.
type Programs struct {
	Dispatcher string // the program under test
	Self       string // this program, which also runs the baselines
}

// Progress is the state of a run.
type Progress struct {
	At    time.Duration // since the start
	Of    time.Duration // length of the load
	Calls metrics.CallCounts
	Open  int // calls
}

// maxSlots is the most time slots that a run is divided into.
const maxSlots = 120

// Run runs the plan once with a seed, and writes the result to the folder. If ctx ends early, the result is partial. No
// process is left running.
func (p *Plan) Run(ctx context.Context, seed uint64, options Options) (*Result, error) {
	if err := os.MkdirAll(options.Folder, resultFolderMode); err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(options.Folder, resultName)); err == nil {
		return nil, fmt.Errorf("%s: holds a result already", options.Folder)
	}
	timeline, err := fault.Plan(p.Faults, p.topology(), seed)
	if err != nil {
		return nil, err
	}
	schedule := p.Schedule(seed)
	startedAt := time.Now()
	env, err := openEnvironment(ctx, p, seed, options.Folder, p.dispatcherCommand(options.Programs))
	if err != nil {
		return nil, errors.Join(err, env.close())
	}
	recorder := metrics.NewRecorder(max(time.Second, p.Duration()/maxSlots), len(p.Operations), len(p.Tenants))
	p.applyLoad(ctx, env, recorder, timeline, schedule, options.Progress)
	closeError := env.close()
	result := p.result(env, recorder, timeline, schedule)
	result.StartedAt = startedAt.UTC().Format(time.RFC3339)
	result.Partial = ctx.Err() != nil
	if closeError != nil {
		result.Failures = append(result.Failures, closeError.Error())
	}
	return result, result.write(options.Folder)
}

// errLoadOver is why the context of the timeline ends, unless the experiment is interrupted.
var errLoadOver = errors.New("all calls are over")

// applyLoad sends the schedule and applies the timeline meanwhile. It returns when all calls are over. Actions that are
// still running end with the environment.
func (p *Plan) applyLoad(ctx context.Context, env *environment, recorder *metrics.Recorder, timeline *fault.Timeline,
	schedule []workload.Arrival, progress func(Progress),
) {
	generator := &loadgen.Generator{
		Operations: p.Operations,
		Tenants:    p.Tenants,
		Seed:       env.seed,
		Retries:    p.Load.Retries,
		RetryWait:  p.Load.RetryWait.Std(),
		MaxOpen:    p.Load.MaxOpen,
		FrontTier:  env.frontTier,
		History:    env.history,
		Recorder:   recorder,
		Clock:      env.clock,
	}
	loading, stop := context.WithCancelCause(ctx)
	defer stop(errLoadOver)
	env.actions.Go(func() { env.applyTimeline(loading, timeline.Actions) })
	env.actions.Go(func() { p.reportProgress(loading, generator, recorder, progress) })
	generator.Run(ctx, schedule)
}

// dispatcherCommand returns the command line of a dispatcher.
func (p *Plan) dispatcherCommand(programs Programs) []string {
	d := &p.Dispatchers
	if d.Policy == Canvasroute {
		return []string{programs.Dispatcher}
	}
	command := []string{programs.Self, "stand-in", "--policy", d.Policy}
	if d.Fault != "" {
		command = append(command, "--fault", d.Fault)
	}
	return command
}

// ErrNoDispatcher means that there is no dispatcher program to start.
var ErrNoDispatcher = errors.New("no dispatcher to start")

// FindPrograms returns the paths of the dispatcher program and of this program. The dispatcher is the one named, or for
// "" the one beside this program.
func FindPrograms(dispatcher string) (programs Programs, err error) {
	if programs.Self, err = os.Executable(); err != nil {
		return Programs{}, err
	}
	if dispatcher == "" {
		dispatcher = filepath.Join(filepath.Dir(programs.Self), "canvasroute")
	}
	if dispatcher, err = exec.LookPath(dispatcher); err != nil {
		return Programs{}, fmt.Errorf("%w: %w; build it beside this program with "+
			"go build -o bin/ ./cmd/..., or name it with --dispatcher", ErrNoDispatcher, err)
	}
	if programs.Dispatcher, err = filepath.Abs(dispatcher); err != nil {
		return Programs{}, err
	}
	return programs, nil
}

// progressInterval is how often progress is reported.
const progressInterval = 200 * time.Millisecond

// reportProgress reports progress until ctx ends. Without a function to report to it does nothing.
func (p *Plan) reportProgress(ctx context.Context, generator *loadgen.Generator, recorder *metrics.Recorder, report func(Progress)) {
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
		report(Progress{At: generator.Clock(), Of: p.Duration(), Calls: recorder.Counts(), Open: generator.Open()})
	}
}

// ruleConfig returns what the rules depend on, for the workers of the environment.
func (p *Plan) ruleConfig(env *environment) history.RuleConfig {
	config := history.RuleConfig{
		DrainGrace:    p.Dispatchers.DrainGrace.Std(),
		Slack:         p.Slack.Std(),
		KeysPersisted: p.Dispatchers.Recovery,
	}
	for _, operation := range p.Operations {
		config.Operations = append(config.Operations, history.Operation{
			Name:        operation.Name,
			Idempotency: operation.Idempotency,
			DedupScope:  dedupScope(operation),
			DedupWindow: operation.DedupWindow.Std(),
		})
	}
	for _, server := range env.servers {
		identity := server.Identity()
		config.Workers = append(config.Workers, history.Location{Zone: identity.Zone, Cell: identity.Cell})
	}
	return config
}

// fingerprintBytes is the length of a fingerprint before its encoding.
const fingerprintBytes = 8

// fingerprint returns a short hash of a schedule.
func fingerprint(schedule []workload.Arrival) string {
	sum := sha256.Sum256(workload.Encode(schedule))
	return hex.EncodeToString(sum[:fingerprintBytes])
}
