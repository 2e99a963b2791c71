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

// errStateRejected is returned for a folder with records that are not usable. Operators read its text.
var errStateRejected = errors.New("some of it is not believed")

// RunCommand runs a command of the program other than serving, and returns the exit code: 0, or 1 for a failure. Failures
// are a wrong command line, a folder that cannot be read, and a folder with records that are not usable.
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

// newStateShowCommand returns the command "state show".
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

// showState writes what a folder holds. Where some records are not usable it fails with errStateRejected, after it has
// written the rest.
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

// stateSummary is what operators are shown of a folder. The JSON keys and the lines of writeText are an interface:
// operators' scripts read them. Both keep older words than the fields, see docs/glossary.md.
type stateSummary struct {
	Name            string    `json:"name"`                   // of the dispatcher
	Incarnation     uint64    `json:"life"`                   // number of the last start
	Nonce           string    `json:"token"`                  // of the incarnation, 16 hexadecimal digits
	StartedAt       time.Time `json:"began"`                  // of the incarnation, in UTC
	Drained         bool      `json:"left_by_hand"`           // an operator has drained the dispatcher
	CleanShutdown   bool      `json:"ended_in_order"`         // the incarnation has ended by itself
	SavedAt         time.Time `json:"facts_written,omitzero"` // of the learnt state, in UTC; zero without
	SettingsHash    string    `json:"settings,omitempty"`     // of the settings that the state was learnt under
	EndpointVersion int64     `json:"list_version"`           // of the endpoint list
	Workers         int       `json:"workers"`                // in the endpoint list
	Capacities      []string  `json:"bears,omitempty"`        // by kind of worker, in requests at once
	Keys            int       `json:"keys"`                   // idempotency keys whose attempts may have run
	KeysSuspect     bool      `json:"keys_may_be_missing"`    // the disk may have lost keys that it had synced
	Rejected        []string  `json:"not_believed,omitempty"` // why records are not usable
}

// summarizeState returns what the dispatcher whose folder it is would recover from it.
func summarizeState(disk store.Disk) stateSummary {
	// Opening a folder under another name rejects its records as foreign, but returns the name in them.
	_, foreign := store.Open(disk, "")
	_, recovered := store.Open(disk, foreign.Incarnation.Name)
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

// addLearnedState adds what the dispatcher has learnt of workers and endpoints.
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
	oneShard := snapshot.Learned[0] // the shards learn the same
	for kind, capacity := range oneShard.Kinds {
		if kind < len(snapshot.Kinds) {
			s.Capacities = append(s.Capacities, fmt.Sprintf("%s: %v at once", snapshot.Kinds[kind], capacity.MaxObserved))
		}
	}
}

// writeJSON writes a summary for scripts.
func writeJSON(out io.Writer, summary stateSummary) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(summary)
}

// writeText writes a summary in lines for people.
func writeText(out io.Writer, summary stateSummary) error {
	lines := &lineWriter{out: out}
	lines.line("dispatcher %q, life %d (token %s), began %s", summary.Name, summary.Incarnation, summary.Nonce,
		summary.StartedAt.Format(time.RFC3339))
	if summary.Drained {
		lines.line("told to leave by hand: it takes no clients until JOIN")
	}
	if summary.CleanShutdown {
		lines.line("ended in order")
	}
	if summary.SavedAt.IsZero() {
		lines.line("facts: none")
	} else {
		lines.line("facts of %s, settings %s: list %d, %d workers", summary.SavedAt.Format(time.RFC3339),
			summary.SettingsHash, summary.EndpointVersion, summary.Workers)
	}
	for _, capacity := range summary.Capacities {
		lines.line("  bears %s", capacity)
	}
	lines.line("keys that may have run: %d", summary.Keys)
	if summary.KeysSuspect {
		lines.line("  some that had been acknowledged may be missing: marked repeats of unknown keys would be errors")
	}
	for _, why := range summary.Rejected {
		lines.line("not believed: %s", why)
	}
	return lines.err
}

// lineWriter writes lines until the first error.
type lineWriter struct {
	out io.Writer
	err error
}

func (w *lineWriter) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}
