package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/experiment"
)

// Defaults of the search for the highest sustained rate.
const (
	defaultObjective     = 50 * time.Millisecond
	defaultTrialDuration = 4 * time.Second
	defaultWorkers       = 16
	defaultFirstRate     = 3000   // per second
	defaultMaxRate       = 100000 // per second
	saturationSteps      = 4
	saturationSeed       = 1
)

// saturateCommand returns the command that searches for the highest sustained rate.
func saturateCommand(out, status io.Writer) *cobra.Command {
	dispatcher := ""
	saturation := experiment.Saturation{Seed: saturationSeed, Steps: saturationSteps}
	withoutComparison, nullServer := false, false
	command := &cobra.Command{
		Use:   "saturate",
		Short: "Find the highest rate at which the objective holds",
		Long: "saturate looks for the highest rate at which p99, counted from the intended time, keeps the\n" +
			"objective and nothing fails, on one core with workers that take no time, and compares it with that of the\n" +
			"standard library's ReverseProxy.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			policies := []string{experiment.Canvasroute, baseline.ReverseProxy}
			switch {
			case nullServer:
				policies = []string{baseline.NullServer}
			case withoutComparison:
				policies = []string{experiment.Canvasroute}
			}
			return saturate(command.Context(), saturation, policies, dispatcher, out, status)
		},
	}
	command.Flags().StringVar(&dispatcher, "dispatcher", "",
		"dispatcher program (default: canvasroute beside this one)")
	command.Flags().DurationVar(&saturation.Objective, "objective", defaultObjective, "for p99")
	command.Flags().DurationVar(&saturation.TrialDuration, "for", defaultTrialDuration, "length of a trial")
	command.Flags().Float64Var(&saturation.Cores, "cores", 1, "of the dispatcher")
	command.Flags().IntVar(&saturation.Workers, "workers", defaultWorkers, "in the stand-in fleet")
	command.Flags().Float64Var(&saturation.FirstRate, "from", defaultFirstRate, "first rate, a second")
	command.Flags().Float64Var(&saturation.MaxRate, "to", defaultMaxRate, "highest rate that is tried")
	command.Flags().BoolVar(&withoutComparison, "alone", false, "without ReverseProxy for comparison")
	command.Flags().BoolVar(&nullServer, "null", false,
		"a server that answers at once instead: measures the load generator")
	return command
}

// saturate searches for the highest sustained rate of each policy. It prints each trial to status and a table of the
// best trials to out.
func saturate(ctx context.Context, saturation experiment.Saturation, policies []string, dispatcher string,
	out, status io.Writer,
) error {
	programs, err := experiment.FindPrograms(dispatcher)
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
		saturation.Policy = policy
		options := experiment.Options{Folder: folder, Programs: programs}
		best[policy], err = experiment.Saturate(ctx, saturation, options, func(trial experiment.Trial) {
			verdict := "holds"
			if !trial.Sustained {
				verdict = trial.Reason
			}
			fmt.Fprintf(status, "  %-14s %8.0f per second  p99 %9.2f ms  %s\n", policy, trial.Rate, trial.P99, verdict)
		})
		if err != nil {
			return err
		}
	}
	printSaturation(out, policies, best)
	return nil
}

// printSaturation prints the best trial of each policy, and the ratios of the values of canvasroute to those of the
// reverse proxy.
func printSaturation(out io.Writer, policies []string, best map[string]experiment.Trial) {
	fmt.Fprintf(out, "%-14s %10s %10s %10s %12s %12s %12s\n", "", "per second", "p50 ms", "p99 ms", "CPU us/call",
		"allocs/call", "bytes/call")
	for _, policy := range policies {
		trial := best[policy]
		fmt.Fprintf(out, "%-14s %10.0f %10.2f %10.2f %12.1f %12.1f %12.0f\n", policy, trial.Rate, trial.P50, trial.P99,
			trial.CPU, trial.Mallocs, trial.Bytes)
	}
	if proxy := best[baseline.ReverseProxy]; proxy.Rate > 0 {
		own := best[experiment.Canvasroute]
		fmt.Fprintf(out, "%-14s %9.2fx %21.2fx %11.2fx %11.2fx %11.2fx\n", "ratio", own.Rate/proxy.Rate, own.P99/proxy.P99,
			own.CPU/proxy.CPU, own.Mallocs/proxy.Mallocs, own.Bytes/proxy.Bytes)
	}
}
