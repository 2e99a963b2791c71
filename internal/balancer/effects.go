package balancer

// Effects carries out what a Balancer decides. Its methods are called while a method of the Balancer runs, under the
// same lock, and must not call the Balancer. Attempts of a request are numbered 0, 1, 2... as they are sent.
type Effects interface {
	// SendAttempt sends an attempt to a worker. The attempt ends within a span, or at the request's deadline for 0.
	SendAttempt(id RequestID, worker WorkerID, within Duration)
	// CancelAttempt cancels an attempt that is in flight. Its outcome still has to be reported.
	CancelAttempt(id RequestID, number int)
	// Reject tells the client to retry after a span; 0 gives no advice. The request certainly has no effect, or may be
	// repeated without harm.
	Reject(id RequestID, retryAfter Duration)
	// Fail tells the client that the request failed. It may have been executed.
	Fail(id RequestID)
	// Wake requests a call of WakeFired with the key after a span. It replaces any earlier request.
	Wake(key uint64, after Duration)
	// PollEndpoints requests the endpoint list; UpdateEndpoints or EndpointsUnavailable answers.
	PollEndpoints()
	// Probe requests a load report from a worker.
	Probe(worker WorkerID)
	// SendLoad sends a peer what is in flight here at a worker.
	SendLoad(to PeerID, load WorkerLoad)
	// Log takes an event that operators should know of.
	Log(event Event)
}
