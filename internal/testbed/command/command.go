// Package command implements the command line of testbed.
package command

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/report"
)

//go:embed demo.toml
var demo []byte

// Exit codes, which docs/testbed-guide.md documents.
const (
	exitOK     = 0
	exitFailed = 1 // a rule was violated, or something failed
	exitUsage  = 2 // an argument or a file is invalid
	exitSignal = 130
)

// errExperimentFailed means that a run was complete, but a rule was violated or a process failed.
var errExperimentFailed = errors.New("a rule was broken or a process failed")

// errInterrupted means that a run was interrupted. Its partial result has been written.
var errInterrupted = errors.New("interrupted: the result is partial")

// usageError is an error in the arguments or a file.
type usageError struct{ error }

func (b usageError) Unwrap() error { return b.error }

// Main runs testbed with its arguments, and returns the exit code of the process.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := New(os.Stdout, os.Stderr)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var code exitCode
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, errInterrupted):
		fmt.Fprintln(os.Stderr, "testbed:", err)
		return exitSignal
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "testbed:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "testbed:", err)
	return exitFailed
}

// exitCode is the exit code of a baseline other than 0.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

// New returns the root command. Tables are written to out, progress to status.
func New(out, status io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "testbed", Short: "Run experiments with canvasroute and stand-ins",
		Long: "testbed starts real canvasroute processes with a stand-in fleet, list service and peer network on\n" +
			"loopback, sends an open-loop load, injects faults, and checks the four rules against its own record.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(status)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(demoCommand(out, status), runCommand(out, status), checkCommand(out, status), compareCommand(out),
		saturateCommand(out, status), standInCommand())
	return root
}

// runFlags are the flags of all commands that run experiments.
type runFlags struct {
	folder, dispatcher, policy string
	seeds                      []uint
	quiet                      bool
}

func (f *runFlags) add(command *cobra.Command) {
	command.Flags().StringVarP(&f.folder, "out", "o", "", "folder for the result (default testbed-results/NAME-TIME)")
	command.Flags().StringVar(&f.dispatcher, "dispatcher", "",
		"dispatcher program (default: canvasroute beside this one)")
	command.Flags().BoolVarP(&f.quiet, "quiet", "q", false, "no progress")
}

func demoCommand(out, status io.Writer) *cobra.Command {
	f, show := &runFlags{}, false
	command := &cobra.Command{
		Use:   "demo",
		Short: "Three dispatchers, ten workers, a crash in the middle: half a minute",
		Args:  cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
			if show {
				_, err := out.Write(demo)
				return err
			}
			p, err := experiment.Parse("demo.toml", demo, warnTo(status))
			if err != nil {
				return err
			}
			return f.run(command.Context(), p, out, status)
		},
	}
	f.add(command)
	command.Flags().BoolVar(&show, "show", false, "print the experiment file instead, as a start for one of your own")
	return command
}

func runCommand(out, status io.Writer) *cobra.Command {
	f := &runFlags{}
	command := &cobra.Command{
		Use: "run FILE", Short: "Run the experiment that a TOML file names",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			p, err := experiment.Read(args[0], warnTo(status))
			if err != nil {
				return usageError{err}
			}
			if f.policy != "" {
				if p, err = p.WithPolicy(f.policy); err != nil {
					return usageError{err}
				}
			}
			return f.run(command.Context(), p, out, status)
		},
	}
	f.add(command)
	command.Flags().StringVar(&f.policy, "policy", "", "dispatchers' policy instead of the file's: canvasroute, "+
		strings.Join(baseline.Policies, ", "))
	command.Flags().UintSliceVar(&f.seeds, "seeds", nil, "seeds to run one after the other, instead of the file's")
	return command
}

// warnTo returns a function that writes a warning about a former key of an experiment file to status.
func warnTo(status io.Writer) func(experiment.RenamedKey) {
	return func(key experiment.RenamedKey) { fmt.Fprintln(status, "testbed: warning:", key) }
}

// run runs a plan with each seed. With several seeds each result gets a folder of its own.
func (f *runFlags) run(ctx context.Context, p *experiment.Plan, out, status io.Writer) error {
	programs, err := experiment.FindPrograms(f.dispatcher)
	if err != nil {
		return usageError{err}
	}
	folder := f.folder
	if folder == "" {
		folder = filepath.Join("testbed-results", folderName(p.Name)+"-"+time.Now().Format("20060102-150405"))
	}
	seeds := f.seeds
	if len(seeds) == 0 {
		seeds = []uint{uint(p.Seed)}
	}
	failed := false
	for _, seed := range seeds {
		into := folder
		if len(seeds) > 1 {
			into = filepath.Join(folder, fmt.Sprint("seed-", seed))
		}
		o := experiment.Options{Folder: into, Programs: programs}
		finish := func() {}
		if !f.quiet {
			o.Progress, finish = progress(status, p.Duration())
		}
		r, err := p.Run(ctx, uint64(seed), o)
		finish()
		if err != nil {
			return err
		}
		page, err := report.Write(r, into)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s, seed %d, %s\n%s  %-28s %s\n\n", r.Name, r.Seed, r.Policy, report.Text(r), "report",
			page)
		failed = failed || r.Failed()
		if r.Partial {
			return errInterrupted
		}
	}
	if failed {
		return errExperimentFailed
	}
	return nil
}

// progress draws a progress bar. The second result ends it.
func progress(status io.Writer, duration time.Duration) (func(experiment.Progress), func()) {
	bar := progressbar.NewOptions64(duration.Milliseconds(), progressbar.OptionSetWriter(status),
		progressbar.OptionSetWidth(24), progressbar.OptionThrottle(200*time.Millisecond),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	update := func(g experiment.Progress) {
		bar.Describe(fmt.Sprintf("%d calls: %d succeeded, %d throttled, %d other, %d open", g.Calls.Total,
			g.Calls.Succeeded, g.Calls.Throttled, g.Calls.Other, g.Open))
		_ = bar.Set64(min(g.At, g.Of).Milliseconds())
	}
	return update, func() { _ = bar.Finish() }
}

func folderName(name string) string {
	words := strings.FieldsFunc(strings.ToLower(name), func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9')
	})
	return strings.Join(words[:min(len(words), 4)], "-")
}

func checkCommand(out, status io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check experiment files without running them",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var invalid []error
			for _, path := range args {
				p, err := experiment.Read(path, warnTo(status))
				if err != nil {
					invalid = append(invalid, err)
					continue
				}
				fmt.Fprintf(out, "%s: good; %d arrivals in %v\n", path, len(p.Schedule(p.Seed)), p.Duration())
			}
			if len(invalid) > 0 {
				return usageError{errors.Join(invalid...)}
			}
			return nil
		},
	}
}

func compareCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Compare two runs, or two folders of runs with several seeds",
		Args:  cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
			a, err := experiment.ReadResults(args[0])
			if err != nil {
				return usageError{err}
			}
			b, err := experiment.ReadResults(args[1])
			if err != nil {
				return usageError{err}
			}
			fmt.Fprint(out, report.Compare(args[0], args[1], a, b))
			return nil
		},
	}
}

func saturateCommand(out, status io.Writer) *cobra.Command {
	f := &runFlags{}
	saturation := experiment.Saturation{Seed: 1, Steps: 4}
	alone, null := false, false
	command := &cobra.Command{
		Use: "saturate", Short: "Find the highest rate at which the objective holds",
		Long: "saturate looks for the highest rate at which p99, counted from the intended time, keeps the\n" +
			"objective and nothing fails, on one core with workers that take no time, and compares it with that of the\n" +
			"standard library's ReverseProxy.",
		Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
			policies := []string{experiment.Canvasroute, "reverse-proxy"}
			switch {
			case null:
				policies = []string{"null-server"}
			case alone:
				policies = policies[:1]
			}
			return f.saturate(command.Context(), saturation, policies, out, status)
		},
	}
	command.Flags().StringVar(&f.dispatcher, "dispatcher", "",
		"dispatcher program (default: canvasroute beside this one)")
	command.Flags().DurationVar(&saturation.Objective, "objective", 50*time.Millisecond, "for p99")
	command.Flags().DurationVar(&saturation.TrialDuration, "for", 4*time.Second, "length of a trial")
	command.Flags().Float64Var(&saturation.Cores, "cores", 1, "of the dispatcher")
	command.Flags().IntVar(&saturation.Workers, "workers", 16, "in the stand-in fleet")
	command.Flags().Float64Var(&saturation.FirstRate, "from", 3000, "first rate, a second")
	command.Flags().Float64Var(&saturation.MaxRate, "to", 100000, "highest rate that is tried")
	command.Flags().BoolVar(&alone, "alone", false, "without ReverseProxy for comparison")
	command.Flags().BoolVar(&null, "null", false,
		"a server that answers at once instead: measures the load generator")
	return command
}

func (f *runFlags) saturate(ctx context.Context, s experiment.Saturation, policies []string,
	out, status io.Writer,
) error {
	programs, err := experiment.FindPrograms(f.dispatcher)
	if err != nil {
		return usageError{err}
	}
	folder, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	best := map[string]experiment.Trial{}
	for _, policy := range policies {
		s.Policy = policy
		o := experiment.Options{Folder: folder, Programs: programs}
		best[policy], err = experiment.Saturate(ctx, s, o, func(t experiment.Trial) {
			verdict := "holds"
			if !t.Holds {
				verdict = t.Reason
			}
			fmt.Fprintf(status, "  %-14s %8.0f per second  p99 %9.2f ms  %s\n", policy, t.Rate, t.P99, verdict)
		})
		if err != nil {
			return err
		}
	}
	printSaturation(out, policies, best)
	return nil
}

// printSaturation prints the best trial of each policy, and the ratio of canvasroute's to the reverse proxy's.
func printSaturation(out io.Writer, policies []string, best map[string]experiment.Trial) {
	fmt.Fprintf(out, "%-14s %10s %10s %10s %12s %12s %12s\n", "", "per second", "p50 ms", "p99 ms", "CPU us/call",
		"allocs/call", "bytes/call")
	for _, policy := range policies {
		b := best[policy]
		fmt.Fprintf(out, "%-14s %10.0f %10.2f %10.2f %12.1f %12.1f %12.0f\n", policy, b.Rate, b.P50, b.P99, b.CPU,
			b.Mallocs, b.Bytes)
	}
	if p := best["reverse-proxy"]; p.Rate > 0 {
		c := best[experiment.Canvasroute]
		fmt.Fprintf(out, "%-14s %9.2fx %21.2fx %11.2fx %11.2fx %11.2fx\n", "ratio", c.Rate/p.Rate, c.P99/p.P99,
			c.CPU/p.CPU, c.Mallocs/p.Mallocs, c.Bytes/p.Bytes)
	}
}

// standInCommand is the hidden command by which the testbed starts a baseline in a process of its own.
func standInCommand() *cobra.Command {
	config := baseline.Config{}
	command := &cobra.Command{
		Use: "stand-in", Hidden: true, Args: cobra.NoArgs,
		Short: "Serve as a baseline dispatcher, as LB_CONFIG says",
		RunE: func(*cobra.Command, []string) error {
			if code := baseline.Main(config); code != 0 {
				return exitCode(code)
			}
			return nil
		},
	}
	command.Flags().StringVar(&config.Policy, "policy", "round-robin", "one of "+strings.Join(baseline.Policies, ", "))
	command.Flags().StringVar(&config.Fault, "fault", "", "one of "+strings.Join(baseline.Faults, ", "))
	return command
}
