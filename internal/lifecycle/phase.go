package lifecycle

// Phase determines which connections and requests a process accepts. The methods of State change it:
//
//   - Drain (LEAVE): from Serving or HandedOff to Draining. The phase becomes Drained after DrainGrace.
//   - Rejoin (JOIN): from Draining or Drained to Serving, or to HandedOff if a successor is serving.
//   - HandOff: from Serving to HandedOff, from Stopping to StoppingHandedOff.
//   - ResumeServing: from HandedOff to Serving.
//   - Stop (SIGTERM, SIGINT): from Serving or Draining to Stopping, from Drained to Closing, from HandedOff to
//     StoppingHandedOff.
//   - BeginClosing: from any phase to Closing.
//
// A method has no effect in phases that its line does not list. A process that is stopping never returns to Serving.
type Phase uint8

// The values of Phase, in the order of phaseNames. The quoted names are those that operators read.
const (
	Serving           Phase = iota // "serving"
	Draining                       // "leaving": health checks fail; connections are still accepted, and requests served
	Drained                        // "away": new requests are rejected; admitted ones are completed
	HandedOff                      // "relieved": a successor accepts connections; this process serves its open ones
	Stopping                       // "ending": the process is stopping; it still accepts connections and serves requests
	StoppingHandedOff              // "yielding": the process is stopping; a successor accepts connections
	Closing                        // "closing": stopping; idle connections are closed, and the last requests answered
)

// phaseNames are the names that operators read in responses to HEALTH and in the log. They keep older terms than the
// constants.
var phaseNames = [...]string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"}

// String returns the name that operators read.
func (p Phase) String() string { return phaseNames[p] }

// AcceptsNewClients reports whether this process should get new clients. It determines the response to HEALTH.
func (p Phase) AcceptsNewClients() bool { return p == Serving }

// Healthy reports whether the dispatcher should get new clients, regardless of which of its processes serves them. It
// determines the response to health checks on the client address.
func (p Phase) Healthy() bool { return p == Serving || p == HandedOff || p == StoppingHandedOff }

// AcceptsConnections reports whether this process accepts connections. If not, a successor accepts them. Without a
// successor no other process accepts the connections in the listen queue: a drained process therefore accepts them to
// reject their requests, and a closing process accepts those that remain in the queue.
func (p Phase) AcceptsConnections() bool { return p != HandedOff && p != StoppingHandedOff }

// ClosesAfterResponse reports whether each response closes its connection, so that the client connects to another
// dispatcher.
func (p Phase) ClosesAfterResponse() bool { return p != Serving }

// AdmitsRequests reports whether new requests are served rather than rejected.
func (p Phase) AdmitsRequests() bool { return p != Drained }

// KeepsIdleConnections reports whether connections without a request in flight are kept open.
func (p Phase) KeepsIdleConnections() bool { return p != Drained && p != Closing }

// IsStopping reports whether the process is stopping.
func (p Phase) IsStopping() bool { return p == Stopping || p == StoppingHandedOff || p == Closing }
