// Package discoveryserver is a stand-in for the platform's list service. The catalog in this file does no I/O and
// has no clock; the server puts it on sockets, one for each dispatcher, as their views may differ.
package discoveryserver

import "time"

// State is what the list says of a worker.
type State string

// The values of State, as they are written in lists.
const (
	Ready       State = "Ready"
	Terminating State = "Terminating"
	Gone        State = "Gone"
)

// Entry is a worker as it is listed.
type Entry struct {
	Worker           int // its number in the testbed
	Name, Zone, Kind string
	Cell             int
	Addresses        []string // by dispatcher
	State            State
	StartedAt        time.Time // zero for long ago
}

type change struct {
	at    time.Duration
	entry Entry
}

// Catalog is the list with its history. Version n is what holds after n changes.
type Catalog struct {
	lag     time.Duration
	changes []change
	visible int // changes that have been visible: a longer lag hides none again
}

// NewCatalog makes an empty list that shows what changes so much later.
func NewCatalog(lag time.Duration) *Catalog { return &Catalog{lag: lag} }

// Update changes an entry.
func (c *Catalog) Update(now time.Duration, e Entry) {
	c.changes = append(c.changes, change{now, e})
}

// SetLag sets how far behind the list runs from now on.
func (c *Catalog) SetLag(now, lag time.Duration) {
	c.Version(now)
	c.lag = lag
}

// Version is the newest one that can be seen.
func (c *Catalog) Version(now time.Duration) int {
	for c.visible < len(c.changes) && c.changes[c.visible].at <= now-c.lag {
		c.visible++
	}
	return c.visible
}

// ShowAll makes all changes so far visible: the list that an experiment begins with.
func (c *Catalog) ShowAll() { c.visible = len(c.changes) }

// Complete is the list as it can be seen, in the order in which workers were first listed, and with those that
// are gone: a whole list tells of them by leaving them out.
func (c *Catalog) Complete(now time.Duration) (version int, entries []Entry) {
	version = c.Version(now)
	return version, latest(c.changes[:version])
}

// ChangesSince is what changed after a version that the asker has; one that is unknown, or 0, gets the whole list.
func (c *Catalog) ChangesSince(now time.Duration, version int) (newest int, complete bool, entries []Entry) {
	newest = c.Version(now)
	if version <= 0 || version > newest {
		_, entries = c.Complete(now)
		return newest, true, entries
	}
	return newest, false, latest(c.changes[version:newest])
}

// latest keeps the last entry of each worker.
func latest(changes []change) (entries []Entry) {
	indexes := map[int]int{}
	for _, ch := range changes {
		n, known := indexes[ch.entry.Worker]
		if !known {
			n = len(entries)
			indexes[ch.entry.Worker], entries = n, append(entries, Entry{})
		}
		entries[n] = ch.entry
	}
	return entries
}
