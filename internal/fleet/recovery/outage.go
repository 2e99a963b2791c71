package recovery

import "fmt"

// Outage is how much of the fleet was down, as the peers' replies show. Its number is shown to operators.
type Outage uint8

// The values of Outage.
const (
	Undecided Outage = iota
	OnlyThis         // every peer serves: they know better than this dispatcher's disk
	Partial          // some peers serve
	FleetWide        // no peer serves: the newest of what all disks hold counts, and in doubt the more cautious value
)

// outageNames are what operators read in logs.
var outageNames = [...]string{"undecided", "alone", "some", "all"}

// String returns the name of the outage that operators read.
func (o Outage) String() string { return outageNames[o] }

// classifyOutage returns how much of the fleet was down, and the counts that this follows from. It returns Undecided
// while replies are missing and the phase has not timed out. After that a silent peer counts as down: what only it
// knows is taken as unknown.
func (s *StateMachine) classifyOutage() (outage Outage, reason string) {
	answered := 0
	serving := 0
	for _, p := range s.peers.others() {
		if !p.answered {
			continue
		}
		answered++
		if p.phase == Serving {
			serving++
		}
	}
	total := s.peers.count()
	reason = fmt.Sprintf("%d of %d peers answered, %d of them serve", answered, total, serving)
	switch {
	case answered < total && !s.phaseTimedOut():
		return Undecided, ""
	case total == 0:
		return FleetWide, "there are no peers"
	case serving == total:
		return OnlyThis, reason
	case serving > 0:
		return Partial, reason
	}
	return FleetWide, reason
}
