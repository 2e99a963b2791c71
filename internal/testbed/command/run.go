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

// demo is the experiment file of the command demo.
//
//go:embed demo.toml
var demo []byte

// runFlags are the flags of all commands that run experiments.
type runFlags struct {
	folder     string // for the result, "" for the default
	dispatcher string // path of the program, "" for the default
	policy     string // "" for the file's
	seeds      []uint // none: the file's
	quiet      bool   // no progress
}

// add adds the flags that a command has.
func (f *runFlags) add(command *cobra.Command) {
	command.Flags().StringVarP(&f.folder, "out", "o", "", "folder for the result (default testbed-results/NAME-TIME)")
	command.Flags().StringVar(&f.dispatcher, "dispatcher", "",
		"dispatcher program (default: canvasroute beside this one)")
	command.Flags().BoolVarP(&f.quiet, "quiet", "q", false, "no progress")
}

// demoCommand returns the command that runs, or prints, the experiment that the program contains.
func demoCommand(out, status io.Writer) *cobra.Command {
	flags, show := &runFlags{}, false
	command := &cobra.Command{
		Use:   "demo",
		Short: "Three dispatchers, ten workers, a crash in the middle: half a minute",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if show {
				_, err := out.Write(demo)
				return err
			}
			plan, err := experiment.Parse("demo.toml", demo, warnTo(status))
			if err != nil {
				return err
			}
			return flags.run(command.Context(), plan, out, status)
		},
	}
	flags.add(command)
	command.Flags().BoolVar(&show, "show", false, "print the experiment file instead, as a start for one of your own")
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
			plan, err := experiment.Read(args[0], warnTo(status))
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
	flags.add(command)
	command.Flags().StringVar(&flags.policy, "policy", "", "dispatchers' policy instead of the file's: canvasroute, "+
		strings.Join(baseline.Policies, ", "))
	command.Flags().UintSliceVar(&flags.seeds, "seeds", nil, "seeds to run one after the other, instead of the file's")
	return command
}

// warnTo returns a function that writes a warning about a former key of an experiment file to status.
func warnTo(status io.Writer) func(experiment.RenamedKey) {
	return func(key experiment.RenamedKey) { fmt.Fprintln(status, "testbed: warning:", key) }
}

// run runs a plan with each seed. With several seeds each result gets a folder of its own. It returns
// errExperimentFailed or errInterrupted if a result says so.
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

// runSeed runs a plan with one seed, writes its report and prints its figures.
func (f *runFlags) runSeed(ctx context.Context, plan *experiment.Plan, seed uint64, options experiment.Options,
	out, status io.Writer,
) (*experiment.Result, error) {
	finish := func() {}
	if !f.quiet {
		options.Progress, finish = progress(status, plan.Duration())
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
	progressInterval = 200 * time.Millisecond // at most as often it is drawn
)

// progress returns functions that draw a progress bar, and end it.
func progress(status io.Writer, duration time.Duration) (update func(experiment.Progress), finish func()) {
	bar := progressbar.NewOptions64(duration.Milliseconds(), progressbar.OptionSetWriter(status),
		progressbar.OptionSetWidth(progressWidth), progressbar.OptionThrottle(progressInterval),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	update = func(g experiment.Progress) {
		bar.Describe(fmt.Sprintf("%d calls: %d succeeded, %d throttled, %d other, %d open", g.Calls.Total,
			g.Calls.Succeeded, g.Calls.Throttled, g.Calls.Other, g.Open))
		_ = bar.Set64(min(g.At, g.Of).Milliseconds())
	}
	return update, func() { _ = bar.Finish() }
}

// maxFolderWords is how many words of an experiment's name its folder has.
const maxFolderWords = 4

// folderName returns the name of a folder for the results of a named experiment: its first words, with hyphens.
func folderName(name string) string {
	words := strings.FieldsFunc(strings.ToLower(name), func(r rune) bool { return !isFolderRune(r) })
	return strings.Join(words[:min(len(words), maxFolderWords)], "-")
}

// isFolderRune reports whether a character may stand in the name of a folder.
func isFolderRune(r rune) bool {
	isLetter := r >= 'a' && r <= 'z'
	isDigit := r >= '0' && r <= '9'
	return isLetter || isDigit
}
