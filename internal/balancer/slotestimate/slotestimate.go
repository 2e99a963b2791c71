// Package slotestimate estimates how many attempts a kind of worker runs at once, from what attempts there have shown.
//
// Workers do not say how many slots they have. An attempt that starts at once at some load is a vote for as many slots,
// and one that waits is a vote against them. A worker whose load reports show its free slots needs no votes: see
// Kind.Report.
package slotestimate

import "math"

const (
	// Initial is the estimate for a kind of worker before anything was refused or queued there, in slots.
	Initial = 8.0
	// toleratedWaits is how many waits are left out of account: single ones come from attempts that no peer has
	// reported yet.
	toleratedWaits = 1
)

// Start is how an attempt started at its worker.
type Start uint8

// The ways to start.
const (
	Waited Start = iota // it was queued or refused
	AtOnce              // a slot was free
)

// Kind is what is known of the slots of one kind of worker. Fields are exported for snapshots; they change by the
// methods alone.
type Kind struct {
	Estimate    float64 // slots of a worker
	MaxObserved float64 // most attempts that votes or reports prove to run at once, 1 before any
	Votes       []int   // by load: starts at once less waits
}

// NewKind returns a Kind of which nothing is known.
func NewKind() Kind { return Kind{Estimate: Initial, MaxObserved: 1} }

// Vote counts how one attempt started at a worker that had a load, the attempt included. It returns the estimate that
// agrees with most votes, and does not set it.
func (k *Kind) Vote(load int, start Start) (estimate float64) {
	k.Votes = append(k.Votes, make([]int, max(0, max(load, Initial)+1-len(k.Votes)))...)
	if start == AtOnce {
		k.Votes[load]++
	} else {
		k.Votes[load]--
	}
	return k.recount()
}

// recount returns the estimate that agrees with most votes, and raises or lowers MaxObserved. A number of slots agrees
// with each start at once up to that load, and with each wait beyond it.
func (k *Kind) recount() (estimate float64) {
	agreeing, most := 0, 0
	estimate = k.Estimate
	for slots, votes := range k.Votes {
		agreeing += votes
		if agreeing > most+toleratedWaits {
			most = agreeing
			k.MaxObserved = max(float64(slots), 1)
		}
		most = max(most, agreeing)
		if agreeing >= most-toleratedWaits {
			estimate = max(k.MaxObserved, float64(slots))
		}
	}
	return estimate
}

// Report takes the number of slots by a load report, and returns the estimate, which it does not set. Reports may be
// late, so the most that was ever reported counts.
func (k *Kind) Report(slots float64) (estimate float64) {
	k.MaxObserved = max(k.MaxObserved, math.Round(slots))
	return k.MaxObserved
}

// Seed takes the most attempts that others have seen running at once, and reports whether it is taken: only where
// nothing was observed here.
func (k *Kind) Seed(maxObserved float64) (taken bool) {
	if maxObserved <= 1 || k.MaxObserved > 1 {
		return false
	}
	k.MaxObserved = maxObserved
	return true
}
