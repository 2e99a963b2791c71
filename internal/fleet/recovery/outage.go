package recovery

import "fmt"

// Outage classifies how much of the fleet was down, based on the peers' replies. Metrics report its number.
type Outage uint8

// The values of Outage.
const (
	Undecided          Outage = iota
	ThisDispatcherOnly        // every peer serves: their state is more recent than this dispatcher's disk
	Partial                   // some peers serve, but not all
	FleetWide                 // no peer serves: all data is from disks; conflicts resolve to the more cautious value
)

// outageNames are the names in log messages.
var outageNames = [...]string{"undecided", "alone", "some", "all"}

// String returns the name of the outage as it appears in log messages.
func (o Outage) String() string { return outageNames[o] }

// classifyOutage returns how much of the fleet was down, and the reply counts as the reason. It returns Undecided while
// replies are missing and the phase has not timed out. After the timeout a silent peer counts as down, and any state
// that only it holds is treated as unknown.
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
		return ThisDispatcherOnly, reason
	case serving > 0:
		return Partial, reason
	}
	return FleetWide, reason
}
