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

// RunCommand runs a command of the dispatcher's program other than serving, and returns the code that it exits with.
func RunCommand(args []string, out, wrong io.Writer) int {
	root := &cobra.Command{
		Use: "canvasroute", Short: "Dispatcher; without a command it serves from LB_CONFIG",
		SilenceUsage: true,
	}
	state := &cobra.Command{Use: "state", Short: "What a dispatcher keeps on disk"}
	asJSON := false
	show := &cobra.Command{
		Use: "show FOLDER", Short: "Show what a folder holds, and what of it is not believed",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			return show(args[0], asJSON, out)
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	state.AddCommand(show)
	root.AddCommand(state)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(wrong)
	if err := root.Execute(); err != nil {
		return 1
	}
	return 0
}

// errDisbelieved is a folder of which some is not believed.
var errDisbelieved = errors.New("some of it is not believed")

// shown is what a folder holds.
type shown struct {
	Name     string    `json:"name"`
	Life     uint64    `json:"life"`
	Token    string    `json:"token"`
	Began    time.Time `json:"began"`
	Left     bool      `json:"left_by_hand"`
	Ended    bool      `json:"ended_in_order"`
	Written  time.Time `json:"facts_written,omitzero"`
	Settings string    `json:"settings,omitempty"`
	List     int64     `json:"list_version"`
	Workers  int       `json:"workers"`
	Bears    []string  `json:"bears,omitempty"`
	Keys     int       `json:"keys"`
	KeysBad  bool      `json:"keys_may_be_missing"`
	Lost     []string  `json:"not_believed,omitempty"`
}

func show(folder string, asJSON bool, out io.Writer) error {
	disk, err := store.ReadFolder(folder)
	if err != nil {
		return err
	}
	s := read(disk)
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		err = e.Encode(s)
	} else {
		err = s.print(out)
	}
	if err == nil && len(s.Lost) > 0 {
		err = errDisbelieved
	}
	return err
}

// read takes a folder as the dispatcher whose it is would.
func read(disk store.Disk) (s shown) {
	_, f := store.Open(disk, "")
	_, f = store.Open(disk, f.Incarnation.Name)
	s = shown{
		Name: f.Incarnation.Name, Life: f.Incarnation.Number, Token: fmt.Sprintf("%016x", f.Incarnation.Nonce),
		Began: time.UnixMilli(f.Incarnation.StartedAt).UTC(), Left: f.Incarnation.Drained, Ended: f.Incarnation.CleanShutdown, Keys: len(f.Keys),
		KeysBad: f.KeysSuspect,
	}
	for _, err := range f.Errors {
		s.Lost = append(s.Lost, err.Error())
	}
	if f.State == nil {
		return s
	}
	s.Written, s.Settings = time.UnixMilli(f.State.WrittenAt).UTC(), f.State.SettingsHash
	var l proxy.Snapshot
	if err := json.Unmarshal(f.State.Learned, &l); err != nil {
		s.Lost = append(s.Lost, fmt.Sprintf("facts: %v", err))
		return s
	}
	s.List, s.Workers = l.Version, len(l.Endpoints)
	for _, learnt := range l.Learned[:min(len(l.Learned), 1)] {
		for k, kind := range learnt.Kinds {
			if k < len(l.Kinds) {
				s.Bears = append(s.Bears, fmt.Sprintf("%s: %v at once", l.Kinds[k], kind.MaxObserved))
			}
		}
	}
	return s
}

func (s shown) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "dispatcher %q, life %d (token %s), began %s\n", s.Name, s.Life, s.Token,
		s.Began.Format(time.RFC3339))
	say := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format+"\n", args...)
		}
	}
	if s.Left {
		say("told to leave by hand: it takes no clients until JOIN")
	}
	if s.Ended {
		say("ended in order")
	}
	if s.Written.IsZero() {
		say("facts: none")
	} else {
		say("facts of %s, settings %s: list %d, %d workers", s.Written.Format(time.RFC3339), s.Settings, s.List,
			s.Workers)
	}
	for _, b := range s.Bears {
		say("  bears %s", b)
	}
	say("keys that may have run: %d", s.Keys)
	if s.KeysBad {
		say("  some that had been acknowledged may be missing: marked repeats of unknown keys would be errors")
	}
	for _, l := range s.Lost {
		say("not believed: %s", l)
	}
	return err
}
