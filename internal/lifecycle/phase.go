package lifecycle

// Phase says which connections and requests a process accepts. The methods of State change it:
//
//   - Drain (LEAVE): from Serving to Draining. DrainGrace later the phase is Drained.
//   - Rejoin (JOIN): from Draining or Drained to Serving.
//   - HandOff: from Serving to HandedOff, from Stopping to StoppingHandedOff.
//   - TakeBack: from HandedOff to Serving.
//   - Stop (SIGTERM, SIGINT): from Serving or Draining to Stopping, from Drained to Closing, from HandedOff to
//     StoppingHandedOff.
//   - BeginClosing: from any phase to Closing.
//
// In a phase that is not named there, a method changes nothing. A process that stops never serves again.
type Phase uint8

// The values of Phase, in the order of phaseWords. In quotes: the word that operators read.
const (
	Serving           Phase = iota // "serving"
	Draining                       // "leaving": health checks fail; requests on open connections are still served
	Drained                        // "away": new requests are rejected; admitted ones run to their end
	HandedOff                      // "relieved": a successor accepts connections; requests on open ones are still served here
	Stopping                       // "ending": the process ends; it still accepts connections and serves requests
	StoppingHandedOff              // "yielding": the process ends; a successor accepts connections
	Closing                        // "closing": the process ends; idle connections are closed, and the last requests answered
)

// phaseWords are what operators read in answers to HEALTH and in the log. They keep older words than the constants.
var phaseWords = [...]string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"}

// String returns the word that operators read.
func (p Phase) String() string { return phaseWords[p] }

// TakesClients reports whether this process should get new clients. HEALTH answers it.
func (p Phase) TakesClients() bool { return p == Serving }

// Healthy reports whether the dispatcher should get new clients, whichever of its processes serves them. The health check
// on the address for clients answers it.
func (p Phase) Healthy() bool { return p == Serving || p == HandedOff || p == StoppingHandedOff }

// AcceptsConnections reports whether this process accepts connections. Where it is false, a successor accepts them. A
// drained process accepts them to reject their requests, as connections that nobody accepts would wait in the queue.
func (p Phase) AcceptsConnections() bool { return p != HandedOff && p != StoppingHandedOff }

// ClosesAfterResponse reports whether each response closes its connection, so that the client connects elsewhere.
func (p Phase) ClosesAfterResponse() bool { return p != Serving }

// AdmitsRequests reports whether new requests are served, rather than rejected.
func (p Phase) AdmitsRequests() bool { return p != Drained }

// KeepsIdleConnections reports whether connections without a request in flight stay open.
func (p Phase) KeepsIdleConnections() bool { return p != Drained && p != Closing }

// IsStopping reports whether the process ends.
func (p Phase) IsStopping() bool { return p == Stopping || p == StoppingHandedOff || p == Closing }
