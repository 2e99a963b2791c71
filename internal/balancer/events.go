package balancer

import "fmt"

// Event is an event of interest to operators. Its text is one line; the fields of each type hold the values in the
// text.
type Event interface{ fmt.Stringer }

// WorkerEjected is logged when a worker temporarily gets no attempts because earlier ones failed there.
type WorkerEjected struct {
	Worker              WorkerID
	ConsecutiveFailures int
}

// String implements Event.
func (e WorkerEjected) String() string {
	return fmt.Sprintf("worker %d ejected, consecutive failures %d", e.Worker, e.ConsecutiveFailures)
}

// ZoneEjected is logged when the workers of a zone temporarily get no attempts because earlier ones could not reach a
// worker there.
type ZoneEjected struct {
	Zone                ZoneID
	ConsecutiveFailures int
}

// String implements Event.
func (e ZoneEjected) String() string {
	return fmt.Sprintf("zone %d ejected, consecutive failures %d", e.Zone, e.ConsecutiveFailures)
}

// ConfigurationApplied is logged when a new configuration takes effect.
type ConfigurationApplied struct {
	Operations  int
	MaxAttempts int
}

// String implements Event.
func (e ConfigurationApplied) String() string {
	return fmt.Sprintf("configuration applied: %d operations, at most %d attempts", e.Operations, e.MaxAttempts)
}
