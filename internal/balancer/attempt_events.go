package balancer

import "canvasroute/internal/balancer/slotestimate"

// AttemptStarted notes that a worker has started an attempt. It changes nothing where workers give no such notice: the
// attempt was never counted as unstarted, and to count it as started would exclude its worker for good.
func (b *Balancer) AttemptStarted(id RequestID, number int) {
	started := &b.requests.get(id).attempts[number]
	if !b.config.startNotices || !started.inFlight || started.startedAt != notYet {
		return
	}
	started.startedAt = b.now
	b.due.capacityChanged = true
	b.workers[started.worker].unstarted--
	b.recordZoneSuccess(started.worker)
	b.recordResponse(started)
	b.subsetting.markMaybeFree(started.worker)
	b.observeAttemptStart(started.worker, b.load(started.worker), b.startOf(started))
}

// startOf returns whether an attempt that starts now found a free slot.
func (b *Balancer) startOf(started *attempt) slotestimate.Start {
	if b.queueingTime(started) < b.config.patience {
		return slotestimate.AtOnce
	}
	return slotestimate.Waited
}

// AttemptEnded takes the outcome of an attempt, and whether its result is the answer of the request.
func (b *Balancer) AttemptEnded(id RequestID, number int, outcome Outcome, answer Answer) {
	req := b.requests.get(id)
	ended := &req.attempts[number]
	ended.inFlight = false
	ended.mayHaveRun = !outcome.neverRan()
	req.inFlight--
	b.due.capacityChanged = true
	b.addInFlight(ended.worker, -1)
	b.markLoadChanged(ended.worker)
	if ended.startedAt == notYet && b.config.startNotices {
		b.workers[ended.worker].unstarted--
	}
	b.observeOutcome(req, ended, outcome)
	switch {
	case answer == FinalAnswer:
		b.closeRequestExcept(id, number)
	case req.closed || req.inFlight > 0:
	case b.mayAttemptAnywhere(req):
		b.enqueue(id)
	default:
		b.rejectOrFail(id)
	}
}

// observeOutcome notes what an outcome shows of the worker. The other outcomes show nothing. A timeout or a cancellation
// may be due to the request, and a reused connection may end while its worker is well.
func (b *Balancer) observeOutcome(req *request, ended *attempt, outcome Outcome) {
	switch outcome {
	case Succeeded:
		b.workers[ended.worker].health.RecordSuccess()
		b.recordZoneSuccess(ended.worker)
		b.recordResponse(ended)
		b.observeSuccess(ended.worker, req, ended.ranFor(b.now))
	case Overloaded:
		b.recordResponse(ended)
		loadBefore := b.load(ended.worker) + 1 // with the attempt that was rejected
		b.observeAttemptStart(ended.worker, loadBefore, slotestimate.Waited)
		b.backOff(ended.worker, b.overloadBackoff(ended.worker, req.operation))
	case WorkerError, NoConnection, ConnectionRefused, ConnectionReset:
		b.recordFailure(ended, outcome)
	}
}

// ClientLeft closes a request whose client has gone. streaming is the number of an attempt whose response is being
// streamed and which therefore stays in flight, or NoAttempt.
func (b *Balancer) ClientLeft(id RequestID, streaming int) { b.closeRequestExcept(id, streaming) }
