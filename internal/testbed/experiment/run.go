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

// Options configures a run.
type Options struct {
	Folder   string // for the result; must not contain a result yet
	Programs Programs
	Progress func(Progress) // called every progressInterval; nil: no progress reports
}

// Programs holds the paths of the programs that a run starts.
type Programs struct {
	Dispatcher string // program under test
	Self       string // testbed itself, which also runs the baselines
}

// Progress describes the state of a run.
type Progress struct {
	At           time.Duration // since the start
	LoadDuration time.Duration // duration of the load
	Calls        metrics.CallCounts
	OpenCalls    int // number of open calls
}

// maxTimeSlots limits the time slots that a run is divided into.
const maxTimeSlots = 120

// Run runs the plan once with a seed, and writes the result to the folder of the options. If ctx ends early, the result
// is partial. All processes have exited when Run returns.
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
	recorder := metrics.NewRecorder(max(time.Second, p.Duration()/maxTimeSlots), len(p.Operations), len(p.Tenants))
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

// errLoadEnded is the cancellation cause of the timeline's context, unless the experiment is interrupted.
var errLoadEnded = errors.New("all calls have ended")

// applyLoad sends the calls of the schedule while it applies the timeline in the background. It returns when all calls
// have ended. The environment's close method waits for actions that are still running.
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
	loadCtx, stop := context.WithCancelCause(ctx)
	defer stop(errLoadEnded)
	env.actions.Go(func() { env.applyTimeline(loadCtx, timeline.Actions) })
	env.actions.Go(func() { p.reportProgress(loadCtx, generator, recorder, progress) })
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

// ErrNoDispatcher is returned if the dispatcher program cannot be found.
var ErrNoDispatcher = errors.New("no dispatcher to start")

// FindPrograms returns the paths of the dispatcher program and of the testbed itself. dispatcher is a path or a name in
// PATH; for "" it is the file canvasroute in the testbed's folder. The error wraps ErrNoDispatcher if there is none.
func FindPrograms(dispatcher string) (programs Programs, err error) {
	if programs.Self, err = os.Executable(); err != nil {
		return Programs{}, err
	}
	if dispatcher == "" {
		dispatcher = filepath.Join(filepath.Dir(programs.Self), "canvasroute")
	}
	if dispatcher, err = exec.LookPath(dispatcher); err != nil {
		return Programs{}, fmt.Errorf("%w: %w; build it into the testbed's folder with "+
			"go build -o bin/ ./cmd/..., or give its path with --dispatcher", ErrNoDispatcher, err)
	}
	if programs.Dispatcher, err = filepath.Abs(dispatcher); err != nil {
		return Programs{}, err
	}
	return programs, nil
}

// progressInterval is the interval between progress reports.
const progressInterval = 200 * time.Millisecond

// reportProgress calls report every progressInterval until ctx ends. It does nothing if report is nil.
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
		report(Progress{At: generator.Clock(), LoadDuration: p.Duration(), Calls: recorder.Counts(), OpenCalls: generator.OpenCalls()})
	}
}

// ruleConfig returns the configuration of the rules for the plan and the workers of the environment.
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

// fingerprintBytes is the length of a fingerprint before hexadecimal encoding.
const fingerprintBytes = 8

// fingerprint returns a short hash of a schedule in hexadecimal.
func fingerprint(schedule []workload.Arrival) string {
	sum := sha256.Sum256(workload.Encode(schedule))
	return hex.EncodeToString(sum[:fingerprintBytes])
}
