// Package command implements the command line of the testbed program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/report"
)

// Exit codes, which docs/testbed-guide.md documents.
const (
	exitOK     = 0
	exitFailed = 1   // a rule was violated, or the command failed
	exitUsage  = 2   // an argument or an experiment file is invalid
	exitSignal = 130 // interrupted
)

// errExperimentFailed is returned if a run has completed, but a rule was violated or a process failed.
var errExperimentFailed = errors.New("a rule was broken or a process failed")

// errInterrupted is returned if a run was interrupted, after its partial result has been written.
var errInterrupted = errors.New("interrupted: the result is partial")

// usageError is an error in the arguments or an experiment file.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// Main runs the testbed program with its arguments, and returns the exit code of the process.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := New(os.Stdout, os.Stderr)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var baselineCode baselineExitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &baselineCode):
		return int(baselineCode)
	}
	fmt.Fprintln(os.Stderr, "testbed:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage usageError
	switch {
	case errors.Is(err, errInterrupted):
		return exitSignal
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

// baselineExitError holds the non-zero exit code of a baseline, which has already logged the error.
type baselineExitError int

func (c baselineExitError) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

// New returns the root command. Its commands write tables to out, and progress and warnings to status.
func New(out, status io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:   "testbed",
		Short: "Run experiments with canvasroute and stand-ins",
		Long: "testbed starts real canvasroute processes with a stand-in fleet, list service and peer network on\n" +
			"loopback, sends an open-loop load, injects faults, and checks the four rules against its own record.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(status)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(demoCommand(out, status), runCommand(out, status), checkCommand(out, status), compareCommand(out),
		saturateCommand(out, status), standInCommand())
	return root
}

// checkCommand returns the command that validates experiment files.
func checkCommand(out, status io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check experiment files without running them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var invalid []error
			for _, path := range args {
				plan, err := experiment.Read(path, renamedKeyWarner(status))
				if err != nil {
					invalid = append(invalid, err)
					continue
				}
				fmt.Fprintf(out, "%s: good; %d arrivals in %v\n", path, len(plan.Schedule(plan.Seed)), plan.Duration())
			}
			if len(invalid) > 0 {
				return usageError{errors.Join(invalid...)}
			}
			return nil
		},
	}
}

// compareCommand returns the command that compares two sets of results.
func compareCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Compare two runs, or two folders of runs with several seeds",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
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

// standInCommand returns the hidden command with which the testbed starts a baseline in a separate process.
func standInCommand() *cobra.Command {
	config := baseline.Config{}
	command := &cobra.Command{
		Use:    "stand-in",
		Hidden: true,
		Args:   cobra.NoArgs,
		Short:  "Serve as a baseline dispatcher, as LB_CONFIG says",
		RunE: func(*cobra.Command, []string) error {
			if code := baseline.Main(config); code != 0 {
				return baselineExitError(code)
			}
			return nil
		},
	}
	command.Flags().StringVar(&config.Policy, "policy", baseline.RoundRobin, "one of "+strings.Join(baseline.Policies, ", "))
	command.Flags().StringVar(&config.Fault, "fault", "", "one of "+strings.Join(baseline.Faults, ", "))
	return command
}
