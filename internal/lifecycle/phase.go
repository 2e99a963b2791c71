package lifecycle

// Phase is how far a process takes clients.
type Phase uint8

// The values of Phase. An operator's LEAVE leads to Draining and, after DrainGrace, to Drained; JOIN leads back to
// Serving. A successor that serves leads from Serving to HandedOff, and its death back. SIGTERM leads to Stopping, or to
// StoppingHandedOff beside a successor, and both end in Closing.
const (
	Serving           Phase = iota
	Draining                // health is bad; requests on open connections are still served
	Drained                 // nothing new is served; what was taken before goes on
	HandedOff               // a successor accepts connections; requests on open ones are still served here
	Stopping                // the process ends, and accepts connections a little longer
	StoppingHandedOff       // the process ends, and a successor accepts connections
	Closing                 // the process ends, and idle connections are closed
)

// phaseWords are what operators read in answers to HEALTH and in the log.
var phaseWords = [...]string{"serving", "leaving", "away", "relieved", "ending", "yielding", "closing"}

// String is the word that operators read.
func (p Phase) String() string { return phaseWords[p] }

// TakesClients reports whether this process takes clients: what HEALTH answers.
func (p Phase) TakesClients() bool { return p == Serving }

// Healthy reports whether clients should be sent to the dispatcher, whichever of its processes then serves them: what
// the health check of load balancers is answered.
func (p Phase) Healthy() bool { return p == Serving || p == HandedOff || p == StoppingHandedOff }

// AcceptsConnections reports whether this process accepts connections. Without a successor nobody else does, so even one
// that is drained accepts them, to answer that it serves nothing.
func (p Phase) AcceptsConnections() bool { return p != HandedOff && p != StoppingHandedOff }

// ClosesAfterResponse reports whether each response ends its connection.
func (p Phase) ClosesAfterResponse() bool { return p != Serving }

// AdmitsRequests reports whether new requests are served.
func (p Phase) AdmitsRequests() bool { return p != Drained }

// KeepsIdleConnections reports whether connections without a request stay open.
func (p Phase) KeepsIdleConnections() bool { return p != Drained && p != Closing }

// IsStopping reports whether the process ends.
func (p Phase) IsStopping() bool { return p == Stopping || p == StoppingHandedOff || p == Closing }
