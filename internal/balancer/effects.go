package balancer

// Effects carries out the decisions of a Balancer. Its methods are called while a method of the Balancer runs, with the
// same lock held, and must not call the Balancer. The attempts of a request are numbered 0, 1, 2... in the order in
// which they are sent.
type Effects interface {
	// SendAttempt sends an attempt to a worker. The attempt times out after timeout, or at the deadline of the request
	// if timeout is 0.
	SendAttempt(id RequestID, worker WorkerID, timeout Duration)
	// CancelAttempt cancels an attempt that is in flight. Its outcome must still be reported.
	CancelAttempt(id RequestID, number int)
	// Reject sends the client a rejection with the advice to retry after retryAfter, or without advice if it is 0. The
	// request either had no effect or can safely be repeated.
	Reject(id RequestID, retryAfter Duration)
	// Fail sends the client a failure as the answer. The request may have been executed.
	Fail(id RequestID)
	// Wake requests a call of WakeFired with key after delay. It replaces any earlier request.
	Wake(key uint64, delay Duration)
	// PollEndpoints requests the endpoint list. The caller responds with UpdateEndpoints or EndpointsUnavailable.
	PollEndpoints()
	// Probe requests a load report from a worker.
	Probe(worker WorkerID)
	// SendLoad sends a peer the number of attempts that this dispatcher has in flight at a worker.
	SendLoad(to PeerID, load WorkerLoad)
	// Log logs an event for operators.
	Log(event Event)
}
