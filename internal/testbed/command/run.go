package command

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/report"
)

// demoExperiment is the experiment file that the demo command runs.
//
//go:embed demo.toml
var demoExperiment []byte

// runFlags holds the flags of the commands that run experiments.
type runFlags struct {
	folder     string // for the result, "" for the default
	dispatcher string // path of the dispatcher program, "" for the default
	policy     string // "" for the policy of the file
	seeds      []uint // empty for the seed of the file
	quiet      bool   // no progress
}

// register adds the flags that demo and run have in common to a command.
func (f *runFlags) register(command *cobra.Command) {
	command.Flags().StringVarP(&f.folder, "out", "o", "", "folder for the result (default testbed-results/NAME-TIME)")
	command.Flags().StringVar(&f.dispatcher, "dispatcher", "",
		"dispatcher program (default: canvasroute beside this one)")
	command.Flags().BoolVarP(&f.quiet, "quiet", "q", false, "no progress")
}

// demoCommand returns the command that runs or prints the embedded experiment.
func demoCommand(out, status io.Writer) *cobra.Command {
	flags, printOnly := &runFlags{}, false
	command := &cobra.Command{
		Use:   "demo",
		Short: "Three dispatchers, ten workers, a crash in the middle: half a minute",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if printOnly {
				_, err := out.Write(demoExperiment)
				return err
			}
			plan, err := experiment.Parse("demo.toml", demoExperiment, renamedKeyWarner(status))
			if err != nil {
				return err
			}
			return flags.run(command.Context(), plan, out, status)
		},
	}
	flags.register(command)
	command.Flags().BoolVar(&printOnly, "show", false, "print the experiment file instead, as a start for one of your own")
	return command
}

// runCommand returns the command that runs an experiment file.
func runCommand(out, status io.Writer) *cobra.Command {
	flags := &runFlags{}
	command := &cobra.Command{
		Use:   "run FILE",
		Short: "Run the experiment that a TOML file names",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := experiment.Read(args[0], renamedKeyWarner(status))
			if err != nil {
				return usageError{err}
			}
			if flags.policy != "" {
				if plan, err = plan.WithPolicy(flags.policy); err != nil {
					return usageError{err}
				}
			}
			return flags.run(command.Context(), plan, out, status)
		},
	}
	flags.register(command)
	command.Flags().StringVar(&flags.policy, "policy", "", "dispatchers' policy instead of the file's: canvasroute, "+
		strings.Join(baseline.Policies, ", "))
	command.Flags().UintSliceVar(&flags.seeds, "seeds", nil, "seeds to run one after the other, instead of the file's")
	return command
}

// renamedKeyWarner returns a callback that writes a warning about a former key of an experiment file to status.
func renamedKeyWarner(status io.Writer) func(experiment.RenamedKey) {
	return func(key experiment.RenamedKey) { fmt.Fprintln(status, "testbed: warning:", key) }
}

// run runs a plan with each seed. With several seeds, each result is written to its own subfolder. It returns
// errExperimentFailed if any run failed, and errInterrupted if a run was interrupted.
func (f *runFlags) run(ctx context.Context, plan *experiment.Plan, out, status io.Writer) error {
	programs, err := experiment.FindPrograms(f.dispatcher)
	if err != nil {
		return usageError{err}
	}
	folder := f.folder
	if folder == "" {
		folder = filepath.Join("testbed-results", folderName(plan.Name)+"-"+time.Now().Format("20060102-150405"))
	}
	seeds := f.seeds
	if len(seeds) == 0 {
		seeds = []uint{uint(plan.Seed)}
	}
	failed := false
	for _, seed := range seeds {
		options := experiment.Options{Folder: folder, Programs: programs}
		if len(seeds) > 1 {
			options.Folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
		}
		result, err := f.runSeed(ctx, plan, uint64(seed), options, out, status)
		if err != nil {
			return err
		}
		failed = failed || result.Failed()
		if result.Partial {
			return errInterrupted
		}
	}
	if failed {
		return errExperimentFailed
	}
	return nil
}

// runSeed runs a plan with one seed, writes its report and prints a summary to out.
func (f *runFlags) runSeed(ctx context.Context, plan *experiment.Plan, seed uint64, options experiment.Options,
	out, status io.Writer,
) (*experiment.Result, error) {
	finish := func() {}
	if !f.quiet {
		options.Progress, finish = newProgressBar(status, plan.Duration())
	}
	result, err := plan.Run(ctx, seed, options)
	finish()
	if err != nil {
		return nil, err
	}
	page, err := report.Write(result, options.Folder)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "%s, seed %d, %s\n%s  %-28s %s\n\n", result.Name, result.Seed, result.Policy, report.Text(result), "report",
		page)
	return result, nil
}

// Appearance of the progress bar.
const (
	progressWidth    = 24                     // characters
	progressInterval = 200 * time.Millisecond // minimum time between updates
)

// newProgressBar returns functions that update a progress bar and remove it.
func newProgressBar(status io.Writer, duration time.Duration) (update func(experiment.Progress), finish func()) {
	bar := progressbar.NewOptions64(duration.Milliseconds(), progressbar.OptionSetWriter(status),
		progressbar.OptionSetWidth(progressWidth), progressbar.OptionThrottle(progressInterval),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	update = func(progress experiment.Progress) {
		bar.Describe(fmt.Sprintf("%d calls: %d succeeded, %d throttled, %d other, %d open", progress.Calls.Total,
			progress.Calls.Succeeded, progress.Calls.Throttled, progress.Calls.Other, progress.OpenCalls))
		_ = bar.Set64(min(progress.At, progress.LoadDuration).Milliseconds())
	}
	return update, func() { _ = bar.Finish() }
}

// maxFolderWords limits the words of an experiment's name in the name of its folder.
const maxFolderWords = 4

// folderName returns a folder name for the results of an experiment: the first words of its name in lower case, joined
// with hyphens.
func folderName(name string) string {
	words := strings.FieldsFunc(strings.ToLower(name), func(r rune) bool { return !isFolderRune(r) })
	return strings.Join(words[:min(len(words), maxFolderWords)], "-")
}

// isFolderRune reports whether a character is allowed in a folder name.
func isFolderRune(r rune) bool {
	isLetter := r >= 'a' && r <= 'z'
	isDigit := r >= '0' && r <= '9'
	return isLetter || isDigit
}
