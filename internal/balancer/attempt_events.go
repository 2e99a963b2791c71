package balancer

import "canvasroute/internal/balancer/slotestimate"

// AttemptStarted records that a worker has started an attempt. It has no effect if start notices are not configured:
// the attempt was not counted as unstarted when it was sent, so the number of unstarted attempts would become negative.
// Such a miscount once excluded every worker permanently after its first attempt.
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
	b.observeAttemptStart(started.worker, b.load(started.worker), b.classifyStart(started))
}

// classifyStart returns whether an attempt that starts now found a free slot.
func (b *Balancer) classifyStart(started *attempt) slotestimate.Start {
	if b.queueingTime(started) < b.config.startTimeout {
		return slotestimate.AtOnce
	}
	return slotestimate.Waited
}

// AttemptEnded records the outcome of an attempt. answer is FinalAnswer if the attempt's result is sent to the client.
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

// observeOutcome updates the state of the worker from an outcome. TimedOut, Canceled, NotSent and ConnectionStale are
// ignored because they show nothing about the worker: a timeout or a cancellation may be due to the request, and a
// reused connection may close although its worker is healthy.
func (b *Balancer) observeOutcome(req *request, ended *attempt, outcome Outcome) {
	switch outcome {
	case Succeeded:
		b.workers[ended.worker].health.RecordSuccess()
		b.recordZoneSuccess(ended.worker)
		b.recordResponse(ended)
		b.observeSuccess(ended.worker, req, ended.runTime(b.now))
	case Overloaded:
		b.recordResponse(ended)
		loadBefore := b.load(ended.worker) + 1 // including the rejected attempt
		b.observeAttemptStart(ended.worker, loadBefore, slotestimate.Waited)
		b.backOff(ended.worker, b.overloadBackoff(ended.worker, req.operation))
	case WorkerError, NoConnection, ConnectionRefused, ConnectionReset:
		b.recordFailure(ended, outcome)
	}
}

// ClientDisconnected closes a request whose client has disconnected. streaming is the number of the attempt whose
// response is being streamed and which therefore stays in flight, or NoAttempt.
func (b *Balancer) ClientDisconnected(id RequestID, streaming int) {
	b.closeRequestExcept(id, streaming)
}
