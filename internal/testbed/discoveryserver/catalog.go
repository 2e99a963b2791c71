// Package discoveryserver is a stand-in for the platform's list service. Catalog does no I/O and has no clock. Server
// serves it, on a listener for each dispatcher, as each sees the workers at addresses of its own.
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
	Worker           int // index in the testbed
	Name, Zone, Kind string
	Cell             int
	Addresses        []string // by dispatcher
	State            State
	StartedAt        time.Time // zero: long ago
}

type change struct {
	at    time.Duration
	entry Entry
}

// Catalog is the list with its history. Version n is the list after n changes.
type Catalog struct {
	lag     time.Duration
	changes []change
	visible int // number of changes that have become visible; a longer lag hides none of them again
}

// NewCatalog returns an empty list, whose changes become visible after lag.
func NewCatalog(lag time.Duration) *Catalog { return &Catalog{lag: lag} }

// Update adds or changes an entry.
func (c *Catalog) Update(now time.Duration, e Entry) {
	c.changes = append(c.changes, change{now, e})
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

// Complete returns the visible list in the order in which workers were first listed, including those that are gone.
func (c *Catalog) Complete(now time.Duration) (version int, entries []Entry) {
	version = c.Version(now)
	return version, latest(c.changes[:version])
}

// ChangesSince returns the last state of each worker that changed after a version. For an unknown version, or 0, it
// returns the complete list.
func (c *Catalog) ChangesSince(now time.Duration, version int) (newest int, complete bool, entries []Entry) {
	newest = c.Version(now)
	if version <= 0 || version > newest {
		_, entries = c.Complete(now)
		return newest, true, entries
	}
	return newest, false, latest(c.changes[version:newest])
}

// latest returns the last entry of each worker.
func latest(changes []change) (entries []Entry) {
	indexes := map[int]int{}
	for _, ch := range changes {
		n, known := indexes[ch.entry.Worker]
		if !known {
			n = len(entries)
			indexes[ch.entry.Worker] = n
			entries = append(entries, Entry{})
		}
		entries[n] = ch.entry
	}
	return entries
}
