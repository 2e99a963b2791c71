package balancer

import "fmt"

// Event is something that operators should know of. Its text is one line; the fields of each type have its parts.
type Event interface{ fmt.Stringer }

// WorkerEjected says that a worker gets no attempts for a while, as earlier ones have failed there.
type WorkerEjected struct {
	Worker              WorkerID
	ConsecutiveFailures int
}

// String implements Event.
func (e WorkerEjected) String() string {
	return fmt.Sprintf("worker %d ejected, consecutive failures %d", e.Worker, e.ConsecutiveFailures)
}

// ZoneEjected says that no worker of a zone gets attempts for a while, as earlier ones found nobody there.
type ZoneEjected struct {
	Zone                ZoneID
	ConsecutiveFailures int
}

// String implements Event.
func (e ZoneEjected) String() string {
	return fmt.Sprintf("zone %d ejected, consecutive failures %d", e.Zone, e.ConsecutiveFailures)
}

// ConfigurationApplied says that a new configuration is in force.
type ConfigurationApplied struct {
	Operations  int
	MaxAttempts int
}

// String implements Event.
func (e ConfigurationApplied) String() string {
	return fmt.Sprintf("configuration applied: %d operations, at most %d attempts", e.Operations, e.MaxAttempts)
}
