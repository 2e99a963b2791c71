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

// errStateRejected is returned for a folder of which some records are not usable.
var errStateRejected = errors.New("some of it is not believed")

// RunCommand runs a command of the program other than serving, and returns the code that it exits with: 0, or 1 for a
// wrong command line, a folder that cannot be read, and a folder of which some is not usable.
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
			return showState(args[0], func(s stateSummary) error { return write(stdout, s) })
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return command
}

// showState writes what a folder holds. It fails with errStateRejected, after it has written it, where some of it is not
// usable.
func showState(folder string, write func(stateSummary) error) error {
	disk, err := store.ReadFolder(folder)
	if err != nil {
		return err
	}
	s := summarizeState(disk)
	if err := write(s); err != nil {
		return err
	}
	if len(s.Rejected) > 0 {
		return errStateRejected
	}
	return nil
}

// stateSummary is what operators are shown of a folder. The JSON keys and the lines of writeText are an interface:
// operators' scripts read them.
type stateSummary struct {
	Name            string    `json:"name"`
	Incarnation     uint64    `json:"life"`
	Nonce           string    `json:"token"`
	StartedAt       time.Time `json:"began"`
	Drained         bool      `json:"left_by_hand"`
	CleanShutdown   bool      `json:"ended_in_order"`
	SavedAt         time.Time `json:"facts_written,omitzero"` // zero without learnt state
	SettingsHash    string    `json:"settings,omitempty"`
	EndpointVersion int64     `json:"list_version"`
	Workers         int       `json:"workers"`
	Capacities      []string  `json:"bears,omitempty"` // by kind of worker, in requests at once
	Keys            int       `json:"keys"`
	KeysSuspect     bool      `json:"keys_may_be_missing"`
	Rejected        []string  `json:"not_believed,omitempty"` // why records are not usable
}

// summarizeState reads a folder's records as the dispatcher does whose folder it is.
func summarizeState(disk store.Disk) stateSummary {
	// The records say whose folder it is. Opening it under another name rejects them as foreign.
	_, anonymous := store.Open(disk, "")
	_, recovered := store.Open(disk, anonymous.Incarnation.Name)
	incarnation := recovered.Incarnation
	s := stateSummary{
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
		s.Rejected = append(s.Rejected, err.Error())
	}
	if recovered.State != nil {
		s.addLearnedState(recovered.State)
	}
	return s
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
	for k, kind := range snapshot.Learned[0].Kinds { // one shard stands for all
		if k < len(snapshot.Kinds) {
			s.Capacities = append(s.Capacities, fmt.Sprintf("%s: %v at once", snapshot.Kinds[k], kind.MaxObserved))
		}
	}
}

func writeJSON(out io.Writer, s stateSummary) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(s)
}

// writeText writes a summary in lines for people.
func writeText(out io.Writer, s stateSummary) error {
	w := &lineWriter{out: out}
	w.line("dispatcher %q, life %d (token %s), began %s", s.Name, s.Incarnation, s.Nonce, s.StartedAt.Format(time.RFC3339))
	if s.Drained {
		w.line("told to leave by hand: it takes no clients until JOIN")
	}
	if s.CleanShutdown {
		w.line("ended in order")
	}
	if s.SavedAt.IsZero() {
		w.line("facts: none")
	} else {
		w.line("facts of %s, settings %s: list %d, %d workers", s.SavedAt.Format(time.RFC3339), s.SettingsHash,
			s.EndpointVersion, s.Workers)
	}
	for _, capacity := range s.Capacities {
		w.line("  bears %s", capacity)
	}
	w.line("keys that may have run: %d", s.Keys)
	if s.KeysSuspect {
		w.line("  some that had been acknowledged may be missing: marked repeats of unknown keys would be errors")
	}
	for _, why := range s.Rejected {
		w.line("not believed: %s", why)
	}
	return w.err
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
