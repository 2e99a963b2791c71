package balancer

import "cmp"

// RequestArrived takes a new request under a number that the caller chooses. It may be that of a request that is closed
// and whose attempts have all ended.
func (b *Balancer) RequestArrived(id RequestID, arrival Arrival) {
	arrived := b.requests.reserve(id)
	operation := &b.operations.byID[arrival.Operation]
	operation.longestTimeout = max(operation.longestTimeout, arrival.Timeout)
	sinceFirstTry := operation.longestTimeout - arrival.Timeout // a client that comes again has less time left
	*arrived = request{
		operation:    arrival.Operation,
		deadline:     b.now.Add(arrival.Timeout - b.config.margin),
		attemptLimit: b.config.maxAttempts,
		attempts:     arrived.attempts[:0],
		latestStart:  b.now.Add(operation.latencyObjective - sinceFirstTry),
		quotaWeight:  b.quotaWeight(arrival.Tenant),
	}
	hinted := Work(float64(arrival.SizeHint) * max(arrival.Slots, 1))
	arrived.size = cmp.Or(b.observeSize(hinted), Work(operation.meanRun)) // without any hints, sizes are what was seen
	arrived.late = b.now > arrived.latestStart
	arrived.latestWaitedStart = b.latestWaitedStart(operation, arrived.latestStart)
	arrived.interval = b.sizes.interval(arrived.size)
	if !arrived.late { // a client that comes again asks for nothing more than it did
		b.warmup.firstTries++
	}
	b.loadProbes.arrivals++
	b.operations.observeArrival(arrival.Operation, arrived.size, b.config.valuePerRequest)
	b.requests.addOpen(id)
	b.enqueue(id)
	b.due.capacityChanged = true
	b.due.reviewBy(min(b.now.Add(b.config.patience), arrived.deadline))
}

// latestWaitedStart is until when a request waits for its start: as long as that may keep the latency objective. Where
// nothing tells which workers have room, that none has room now says little: a client that comes again waits as long
// as one that comes first, if a late answer earns something.
func (b *Balancer) latestWaitedStart(operation *operation, latestStart Time) Time {
	if operation.lateShare > 0 && !b.config.gossip && b.config.reportFree == NotReported {
		return max(latestStart, b.now.Add(operation.latencyObjective))
	}
	return latestStart
}

// AttemptStarted takes a worker's notice that it has started an attempt. Where workers give no such notice it changes
// nothing: the attempt was never counted as unstarted, and to count it as started would shut its worker out for good.
func (b *Balancer) AttemptStarted(id RequestID, number int) {
	started := &b.requests.get(id).attempts[number]
	if !b.config.startNotices || !started.inFlight || started.startedAt != 0 {
		return
	}
	started.startedAt = b.now
	b.due.capacityChanged = true
	b.workers[started.worker].unstarted--
	b.recordZoneSuccess(started.worker)
	b.recordResponse(started)
	b.subsetting.markMaybeFree(started.worker)
	b.observeQueueing(started.worker, b.load(started.worker), b.queueingTime(started) < b.config.patience)
}

// AttemptEnded takes the outcome of an attempt, and whether its result is the answer of the request.
func (b *Balancer) AttemptEnded(id RequestID, number int, outcome Outcome, answer Answer) {
	request := b.requests.get(id)
	ended := &request.attempts[number]
	ended.inFlight = false
	ended.mayHaveRun = !outcome.neverRan()
	request.inFlight--
	b.due.capacityChanged = true
	b.addInFlight(ended.worker, -1)
	b.markLoadChanged(ended.worker)
	if ended.startedAt == 0 && b.config.startNotices {
		b.workers[ended.worker].unstarted--
	}
	b.observeOutcome(request, ended, outcome)
	switch {
	case answer == FinalAnswer:
		b.closeRequest(id, number)
	case request.closed || request.inFlight > 0:
	case b.mayAttemptAnywhere(request):
		b.enqueue(id)
	default:
		b.rejectOrFail(id)
	}
}

// observeOutcome takes what an outcome shows of the worker.
func (b *Balancer) observeOutcome(request *request, ended *attempt, outcome Outcome) {
	switch outcome {
	case Succeeded:
		worker := &b.workers[ended.worker]
		worker.consecutiveFailures = 0
		worker.possiblyExecuted = false
		b.recordZoneSuccess(ended.worker)
		b.recordResponse(ended)
		b.observeSuccess(ended.worker, request, b.now.Sub(max(ended.sentAt, ended.startedAt)))
	case Overloaded:
		b.recordResponse(ended)
		b.observeQueueing(ended.worker, b.load(ended.worker)+1, false)
		b.backOff(ended.worker, b.overloadBackoff(ended.worker, request.operation))
	case WorkerError, NoConnection, ConnectionRefused, ConnectionReset: // a crash, a cut link, a program that fails all
		b.recordFailure(ended, outcome)
	}
}

// ClientLeft closes a request whose client has gone. streaming is the number of an attempt whose response is being
// streamed and which therefore goes on, or NoAttempt.
func (b *Balancer) ClientLeft(id RequestID, streaming int) { b.closeRequest(id, streaming) }
