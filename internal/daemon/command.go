package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"canvasroute/internal/fleet/store"
	"canvasroute/internal/proxy"
)

// errStateRejected is returned if a state folder contains records that cannot be used. Its text is shown to operators.
var errStateRejected = errors.New("some of it is not believed")

// RunCommand runs a subcommand of the program (any command other than serving) and returns the exit code: 0 on success,
// 1 on failure. It fails if the command line is invalid, if the folder cannot be read, or if some records in it cannot
// be used.
func RunCommand(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:          "canvasroute",
		Short:        "Dispatcher; without a command it serves from LB_CONFIG",
		SilenceUsage: true,
	}
	state := &cobra.Command{Use: "state", Short: "What a dispatcher keeps on disk"}
	state.AddCommand(newStateShowCommand(stdout))
	root.AddCommand(state)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		return exitFailure
	}
	return exitOK
}

// newStateShowCommand returns the "state show" command.
func newStateShowCommand(stdout io.Writer) *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "show FOLDER",
		Short: "Show what a folder holds, and what of it is not believed",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			write := writeText
			if asJSON {
				write = writeJSON
			}
			return showState(args[0], func(summary stateSummary) error { return write(stdout, summary) })
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return command
}

// showState passes a summary of the state folder to write. If some records cannot be used, it returns errStateRejected
// after writing the summary of the others.
func showState(folder string, write func(stateSummary) error) error {
	disk, err := store.ReadFolder(folder)
	if err != nil {
		return err
	}
	summary := summarizeState(disk)
	if err := write(summary); err != nil {
		return err
	}
	if len(summary.Rejected) > 0 {
		return errStateRejected
	}
	return nil
}

// stateSummary is the content of a state folder as shown to operators. The JSON keys and the lines of writeText are a
// stable interface that operators' scripts parse. They keep older terms than the field names, see docs/glossary.md.
type stateSummary struct {
	Name            string    `json:"name"`                   // name of the dispatcher
	Incarnation     uint64    `json:"life"`                   // number of the last incarnation
	Nonce           string    `json:"token"`                  // nonce of the incarnation, 16 hexadecimal digits
	StartedAt       time.Time `json:"began"`                  // start time of the incarnation, in UTC
	Drained         bool      `json:"left_by_hand"`           // an operator drained the dispatcher
	CleanShutdown   bool      `json:"ended_in_order"`         // the incarnation shut down gracefully
	SavedAt         time.Time `json:"facts_written,omitzero"` // last save of the learned state, in UTC; zero if none
	SettingsHash    string    `json:"settings,omitempty"`     // hash of the settings under which the state was learned
	EndpointVersion int64     `json:"list_version"`           // version of the endpoint list
	Workers         int       `json:"workers"`                // number of workers in the endpoint list
	Capacities      []string  `json:"bears,omitempty"`        // concurrent requests per worker, by kind
	Keys            int       `json:"keys"`                   // number of idempotency keys whose attempts may have run
	KeysSuspect     bool      `json:"keys_may_be_missing"`    // the disk may have lost keys that were already synced
	Rejected        []string  `json:"not_believed,omitempty"` // one reason for each record that cannot be used
}

// summarizeState returns a summary of the state that a dispatcher would recover from the folder.
func summarizeState(disk store.Disk) stateSummary {
	// Opening the folder under another name rejects its records as foreign, but still returns the name that they
	// contain.
	_, foreignRecovered := store.Open(disk, "")
	_, recovered := store.Open(disk, foreignRecovered.Incarnation.Name)
	incarnation := recovered.Incarnation
	summary := stateSummary{
		Name:          incarnation.Name,
		Incarnation:   incarnation.Number,
		Nonce:         fmt.Sprintf("%016x", incarnation.Nonce),
		StartedAt:     time.UnixMilli(incarnation.StartedAt).UTC(),
		Drained:       incarnation.Drained,
		CleanShutdown: incarnation.CleanShutdown,
		Keys:          len(recovered.Keys),
		KeysSuspect:   recovered.KeysSuspect,
	}
	for _, err := range recovered.Errors {
		summary.Rejected = append(summary.Rejected, err.Error())
	}
	if recovered.State != nil {
		summary.addLearnedState(recovered.State)
	}
	return summary
}

// addLearnedState adds the learned state of workers and endpoints to the summary.
func (s *stateSummary) addLearnedState(state *store.State) {
	s.SavedAt = time.UnixMilli(state.WrittenAt).UTC()
	s.SettingsHash = state.SettingsHash
	var snapshot proxy.Snapshot
	if err := json.Unmarshal(state.Learned, &snapshot); err != nil {
		s.Rejected = append(s.Rejected, fmt.Sprintf("facts: %v", err))
		return
	}
	s.EndpointVersion = snapshot.Version
	s.Workers = len(snapshot.Endpoints)
	if len(snapshot.Learned) == 0 {
		return
	}
	firstShard := snapshot.Learned[0] // all shards learn the same capacities
	for kind, capacity := range firstShard.Kinds {
		if kind < len(snapshot.Kinds) {
			s.Capacities = append(s.Capacities, fmt.Sprintf("%s: %v at once", snapshot.Kinds[kind], capacity.MaxObserved))
		}
	}
}

// writeJSON writes the summary as indented JSON.
func writeJSON(out io.Writer, summary stateSummary) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(summary)
}

// writeText writes the summary as lines of text.
func writeText(out io.Writer, summary stateSummary) error {
	lines := &lineWriter{out: out}
	lines.writeLine("dispatcher %q, life %d (token %s), began %s", summary.Name, summary.Incarnation, summary.Nonce,
		summary.StartedAt.Format(time.RFC3339))
	if summary.Drained {
		lines.writeLine("told to leave by hand: it takes no clients until JOIN")
	}
	if summary.CleanShutdown {
		lines.writeLine("ended in order")
	}
	if summary.SavedAt.IsZero() {
		lines.writeLine("facts: none")
	} else {
		lines.writeLine("facts of %s, settings %s: list %d, %d workers", summary.SavedAt.Format(time.RFC3339),
			summary.SettingsHash, summary.EndpointVersion, summary.Workers)
	}
	for _, capacity := range summary.Capacities {
		lines.writeLine("  bears %s", capacity)
	}
	lines.writeLine("keys that may have run: %d", summary.Keys)
	if summary.KeysSuspect {
		lines.writeLine("  some that had been acknowledged may be missing: marked repeats of unknown keys would be errors")
	}
	for _, reason := range summary.Rejected {
		lines.writeLine("not believed: %s", reason)
	}
	return lines.err
}

// lineWriter writes formatted lines to out. After the first write error it writes no more and keeps the error in err.
type lineWriter struct {
	out io.Writer
	err error
}

func (w *lineWriter) writeLine(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}
