// Package discoveryserver is a stand-in for the platform's discovery service. Catalog is the endpoint list. It does no
// I/O and has no clock. Server serves it, on a listener for each dispatcher, as each sees the workers at addresses of
// its own.
package discoveryserver

import "time"

// State is the state of a worker in the list.
type State string

// The values of State, as written in lists.
const (
	Ready       State = "Ready"
	Terminating State = "Terminating"
	Gone        State = "Gone"
)

// Entry is a worker in the list.
type Entry struct {
	Worker    int // index in the testbed
	Name      string
	Zone      string   // name
	Kind      string   // name
	Cell      int      // index among the cells of all zones
	Addresses []string // by dispatcher
	State     State
	StartedAt time.Time // zero: long ago
}

// change is a new state of an entry.
type change struct {
	at    time.Duration // since the start of the experiment
	entry Entry
}

// Catalog is the list with its history. Version n is the list after n changes. Times are since the start of the
// experiment.
type Catalog struct {
	lag     time.Duration // until a change is visible
	changes []change
	visible int // number of changes that have become visible; a longer lag hides none of them again
}

// NewCatalog returns an empty list, whose changes become visible after lag.
func NewCatalog(lag time.Duration) *Catalog { return &Catalog{lag: lag} }

// Update adds or changes an entry.
func (c *Catalog) Update(now time.Duration, entry Entry) {
	c.changes = append(c.changes, change{at: now, entry: entry})
}

// SetLag sets the lag for changes that are not visible yet.
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

// ShowAll makes all changes so far visible, for the list that an experiment starts with.
func (c *Catalog) ShowAll() { c.visible = len(c.changes) }

// List is a version of the list, or the changes that lead to it.
type List struct {
	Version  int
	Complete bool    // false: only the workers that have changed since an earlier version
	Entries  []Entry // including workers that are gone
}

// Complete returns the visible list in the order in which workers were first listed.
func (c *Catalog) Complete(now time.Duration) List {
	version := c.Version(now)
	return List{Version: version, Complete: true, Entries: latest(c.changes[:version])}
}

// ChangesSince returns the last state of each worker that changed after a version. For an unknown version, or 0, it
// returns the complete list.
func (c *Catalog) ChangesSince(now time.Duration, version int) List {
	newest := c.Version(now)
	if version <= 0 || version > newest {
		return c.Complete(now)
	}
	return List{Version: newest, Entries: latest(c.changes[version:newest])}
}

// latest returns the last entry of each worker, in the order of the workers' first changes.
func latest(changes []change) (entries []Entry) {
	indexes := map[int]int{} // into entries, by worker
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
