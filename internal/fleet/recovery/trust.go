package recovery

import (
	"fmt"
	"time"
)

// Fact is a kind of fact that a dispatcher may have from before.
type Fact uint8

// The values of Fact.
const (
	FactIdentity Fact = iota
	FactList
	FactWorkerStarts
	FactCapacity
	FactSizes
	FactBackoffs
	FactDrains
	FactManualDrain
	FactKeys
	FactNonIdempotent
	FactQuotas
	FactWarmupSends
	FactSettings
	facts
)

// TrustRule says how far facts of one kind are trusted.
type TrustRule struct {
	Fact                Fact
	Name                string
	Stored              string        // how
	MaxAge              time.Duration // age up to which it is believed, 0 for any
	NeedsClock          bool          // its age is told by the wall clock: it is not believed where that has jumped
	SurvivesFleetOutage bool          // it holds through a loss of power of all, workers too
	CheckedWith         string        // against whom it is checked
	Default             string        // what is assumed where it is not believed
	IfWrong             string        // what happens if it was believed and is wrong
}

// TrustRules has one row for each kind of fact. docs/recovery.md shows the same table.
var TrustRules = [facts]TrustRule{
	{
		FactIdentity, "name and life", "life.a and life.b in turn, synced before the first word to anyone", 0, false, true,
		"the name in the configuration; others' highest life of that name",
		"a life above the highest that others tell, or 1", "others tell of the higher life, and it is raised again",
	},
	{
		FactList, "list of workers", "facts, every interval", 0, false, true,
		"the list service; else the newest version that others have",
		"the list in the configuration, else none: health says no",
		"refused connections, and workers taken for cold until a list that is followed tells otherwise",
	},
	{
		FactWorkerStarts, "workers' starts", "facts, every interval", 0, false, true,
		"the list, others: the latest start counts", "started just now",
		"a worker that did restart is found by refused connections, or counts as cold if all lost power",
	},
	{
		FactCapacity, "what workers bear at once", "facts, every interval", 24 * time.Hour, true, true,
		"others that serve; starts and waits as they come", "one forward at a cold worker, eight at a warm one",
		"workers answer that they are full, and votes move it",
	},
	{
		FactSizes, "sizes and lanes", "facts, every interval", 24 * time.Hour, true, true,
		"sizes as they come", "no lanes before 50 hints", "lanes are cut anew every 16 hints",
	},
	{
		FactBackoffs, "rests and lost zones", "facts, every interval", 8 * time.Second, true, false,
		"nobody", "none rests", "a worker that is down is found by one forward, a zone by three",
	},
	{
		FactDrains, "drains that the list told", "facts, every interval", 0, false, true,
		"the list, others: a drain told by anybody counts until the list service answers", "as the list says",
		"a worker that is ready again is left out until the list service answers",
	},
	{
		FactManualDrain, "drains by hand", "life file, synced before LEAVE is answered", 0, false, true,
		"nobody: it is the operator's word", "not told to leave", "JOIN takes clients again",
	},
	{
		FactKeys, "keys that may have run", "keys.N, synced before the first byte of the forward", 0, false, true,
		"others' keys; their count in the facts",
		"a repeat that its client marks, under a key that nobody knows, is an error for one window",
		"a repeat is an error, or held to a group that did not run it, for one window",
	},
	{
		FactNonIdempotent, "non-idempotent forwards out", "not at all", 0, false, false,
		"nobody", "each may have run: it is the client's, and never sent again",
		"nothing: no dispatcher sends it again",
	},
	{
		FactQuotas, "customers' traffic", "facts, every interval", time.Minute, true, true,
		"nobody", "all within their shares", "shares settle within sixteen landings",
	},
	{
		FactWarmupSends, "work sent to cold workers within the span", "not at all", 0, false, false,
		"nobody", "a cold worker's whole budget: nothing goes there for one span",
		"nothing: it is the most that it can have been",
	},
	{
		FactSettings, "settings", "a hash, with the facts", 0, false, true,
		"the configuration, which alone counts", "as configured",
		"facts by name go on, what has no name in the settings is dropped",
	},
}

// RecordAge is what is known of how old facts are.
type RecordAge struct {
	Elapsed     time.Duration // by the wall clock
	ClockJumped bool          // which cannot be believed
}

// clockBack is by how much a clock may have gone back between two lives and still be believed.
const clockBack = 2 * time.Second

// RecordAgeOf reckons from the wall clock, in Unix ms, as it was written and as it is now.
func RecordAgeOf(written, now int64) RecordAge {
	told := time.Duration(now-written) * time.Millisecond
	if told < -clockBack {
		return RecordAge{ClockJumped: true}
	}
	return RecordAge{Elapsed: max(told, 0)}
}

// IsTrusted tells whether a fact of such an age is believed, in such a case of return, and why not.
func IsTrusted(f Fact, age RecordAge, c Outage) (bool, string) {
	row := &TrustRules[f]
	switch {
	case row.NeedsClock && age.ClockJumped:
		return false, "the clock has jumped back since it was written"
	case row.MaxAge > 0 && age.Elapsed > row.MaxAge:
		return false, fmt.Sprintf("%v old, at most %v", age.Elapsed.Round(time.Second), row.MaxAge)
	case !row.SurvivesFleetOutage && c == FleetWide:
		return false, "all were away"
	case row.Stored == "not at all":
		return false, "never stored"
	}
	return true, ""
}
