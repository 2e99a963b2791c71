// Package slotestimate estimates how many attempts a worker of a kind runs at once.
//
// The number of slots is learned from the start of attempts: an attempt that starts at once at a load of n is a vote for
// at least n slots, and an attempt that waits is a vote against it. If workers send load reports with their free slots,
// the reports are used instead of votes: see Kind.Report.
package slotestimate

import "math"

const (
	// Initial is the estimate for a kind of worker before any attempt was refused or queued, in slots.
	Initial = 8.0
	// toleratedWaits is the number of waits that are ignored: single waits are caused by attempts of peers that have
	// not been reported yet.
	toleratedWaits = 1
)

// Start is the way in which an attempt started at its worker.
type Start uint8

// Values of Start.
const (
	Waited Start = iota // the attempt was queued or refused
	AtOnce              // a slot was free
)

// Kind holds the slot estimate for one kind of worker. Its fields are exported for snapshots. Estimate is set by the
// caller; the other fields are modified only by the methods.
type Kind struct {
	Estimate    float64 // estimated slots of a worker
	MaxObserved float64 // most attempts that run at once according to votes or reports, initially 1
	Votes       []int   // by load: number of starts at once minus number of waits
}

// NewKind returns a Kind without observations.
func NewKind() Kind { return Kind{Estimate: Initial, MaxObserved: 1} }

// Vote records how one attempt started at a worker with the given load, which includes the attempt. It returns the
// estimate that agrees with most votes, but does not set Estimate.
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
// with each start at once at a load up to that number, and with each wait at a higher load.
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

// Report records the number of slots according to a load report, and returns the estimate without setting Estimate.
// Reports may be late, so the estimate is the highest number reported so far.
func (k *Kind) Report(slots float64) (estimate float64) {
	k.MaxObserved = max(k.MaxObserved, math.Round(slots))
	return k.MaxObserved
}

// Seed sets MaxObserved to a value observed by other dispatchers, and reports whether it was accepted. It is rejected
// if this dispatcher has its own observations.
func (k *Kind) Seed(maxObserved float64) (accepted bool) {
	if maxObserved <= 1 || k.MaxObserved > 1 {
		return false
	}
	k.MaxObserved = maxObserved
	return true
}
