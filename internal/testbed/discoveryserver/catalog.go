// Package discoveryserver simulates the platform's discovery service for the testbed. Catalog holds the endpoint list;
// it does no I/O and has no clock. Server serves the list on a separate listener for each dispatcher, because the
// addresses of the workers differ between dispatchers.
package discoveryserver

import "time"

// State is the state of a worker in the endpoint list.
type State string

// The values of State, as written in lists.
const (
	Ready       State = "Ready"
	Terminating State = "Terminating"
	Gone        State = "Gone"
)

// Entry is a worker in the endpoint list.
type Entry struct {
	Worker    int // index of the worker in the testbed
	Name      string
	Zone      string   // name of the zone
	Kind      string   // name of the kind
	Cell      int      // index among the cells of all zones
	Addresses []string // address of the worker for each dispatcher
	State     State
	StartedAt time.Time // zero if the worker started long before the experiment
}

// change is an update of a worker's entry.
type change struct {
	at    time.Duration // since the start of the experiment
	entry Entry
}

// Catalog is the endpoint list with its history. Version n is the list after n changes. Times are since the start of
// the experiment. Callers must synchronize access.
type Catalog struct {
	lag     time.Duration // delay until a change becomes visible
	changes []change
	visible int // number of visible changes; a longer lag does not hide them again
}

// NewCatalog returns an empty catalog, in which changes become visible after lag.
func NewCatalog(lag time.Duration) *Catalog { return &Catalog{lag: lag} }

// Update adds or replaces the entry of a worker.
func (c *Catalog) Update(now time.Duration, entry Entry) {
	c.changes = append(c.changes, change{at: now, entry: entry})
}

// SetLag sets the lag. Changes that are already visible stay visible.
func (c *Catalog) SetLag(now, lag time.Duration) {
	c.Version(now)
	c.lag = lag
}

// Version returns the newest visible version.
func (c *Catalog) Version(now time.Duration) int {
	for c.visible < len(c.changes) && c.changes[c.visible].at <= now-c.lag {
		c.visible++
	}
	return c.visible
}

// MakeAllVisible makes all changes so far visible. It is called for the initial list of an experiment.
func (c *Catalog) MakeAllVisible() { c.visible = len(c.changes) }

// List is a version of the endpoint list, or the changes between an earlier version and this one.
type List struct {
	Version  int
	Complete bool    // false: Entries contains only the workers that changed since an earlier version
	Entries  []Entry // includes workers that are gone
}

// Complete returns the visible list, in the order in which the workers were added.
func (c *Catalog) Complete(now time.Duration) List {
	version := c.Version(now)
	return List{Version: version, Complete: true, Entries: latestEntries(c.changes[:version])}
}

// ChangesSince returns the latest entry of each worker that changed after a version. If the version is unknown or 0, it
// returns the complete list.
func (c *Catalog) ChangesSince(now time.Duration, version int) List {
	newest := c.Version(now)
	if version <= 0 || version > newest {
		return c.Complete(now)
	}
	return List{Version: newest, Entries: latestEntries(c.changes[version:newest])}
}

// latestEntries returns the latest entry of each worker, in the order of the workers' first changes.
func latestEntries(changes []change) (entries []Entry) {
	indexes := map[int]int{} // index into entries by worker
	for _, changed := range changes {
		index, known := indexes[changed.entry.Worker]
		if !known {
			index = len(entries)
			indexes[changed.entry.Worker] = index
			entries = append(entries, Entry{})
		}
		entries[index] = changed.entry
	}
	return entries
}
