package balancer

// hintConfidence is the share of the wait that a size hint allows that is taken as certain: hints are rough.
const hintConfidence = 0.5

// reviewOpenRequests goes through the open requests, the latest first: those that are out of time get their answer, an
// attempt that sits in a worker's queue is migrated, and one that runs on and on is hedged.
func (b *Balancer) reviewOpenRequests() {
	b.due.reviewAt = b.now.Add(b.config.patience)
	b.due.capacityChanged = true
	for id := range b.requests.newestFirst() {
		request := b.requests.get(id)
		if request.queued && !request.late && b.now > request.latestStart {
			b.demote(id)
		}
		b.reviewRequest(id, request)
		if !request.closed {
			b.due.reviewBy(request.deadline)
		}
	}
}

// demote puts a pending request that has become late behind those that may still be in time.
func (b *Balancer) demote(id RequestID) {
	b.dequeue(id)
	b.requests.get(id).late = true
	b.enqueue(id)
}

func (b *Balancer) reviewRequest(id RequestID, request *request) {
	unstarted := b.unstartedAttempt(request)
	switch {
	case b.outOfTime(request), b.clogsQueue(request, unstarted):
		b.rejectOrFail(id)
	case len(b.pending.ids) > 0: // these come first
	case unstarted != nil && b.queueingTime(unstarted) >= b.config.patience && b.now <= request.latestStart:
		b.migrateUnstarted(id, unstarted)
	case unstarted == nil && b.shouldHedge(request):
		b.hedge(id)
	}
}

// outOfTime tells whether the final answer is due, also where no outcome comes, or no start is waited for any more.
func (b *Balancer) outOfTime(request *request) bool {
	return b.now >= request.deadline || request.inFlight == 0 && b.now > request.latestWaitedStart
}

// clogsQueue tells whether the only attempt of a request waits at its worker without a chance to be in time, and can be
// taken out of there.
func (b *Balancer) clogsQueue(request *request, unstarted *attempt) bool {
	if unstarted == nil || !b.config.cancellation {
		return false
	}
	certainSlack := Duration(hintConfidence * b.operations.byID[request.operation].slack * float64(request.size))
	hopelessAfter := max(request.latestStart.Add(certainSlack), request.latestWaitedStart)
	return b.now > hopelessAfter && b.queueingTime(unstarted) >= b.config.margin && b.mayReject(request)
}

// migrateUnstarted moves an attempt that sits unstarted, as its worker is full after all, to a worker with room.
func (b *Balancer) migrateUnstarted(id RequestID, unstarted *attempt) {
	request := b.requests.get(id)
	if unstarted.deliveredAt > 0 || !b.config.deliveryNotices {
		b.observeQueueing(unstarted.worker, b.load(unstarted.worker), false)
	} else {
		b.observeDelivery(unstarted)
	}
	if !b.hearsLoadOf(unstarted.worker) { // what others have there is not known: it is taken to be full for about one run
		b.backOff(unstarted.worker, b.operations.byID[request.operation].expectedRun())
	}
	worker, ok := b.pickWorker(request)
	if !ok {
		return
	}
	moved := len(request.attempts) - 1
	b.startAttempt(id, worker)
	if b.config.cancellation {
		b.effects.CancelAttempt(id, moved)
	}
}

// shouldHedge tells whether the only attempt of a request has run for more than half of its time: its worker is slow, or
// will not answer any more. Any sooner a hedge would repeat sound work: hints are rough, and what runs for four times
// its hint is mostly just heavy.
func (b *Balancer) shouldHedge(request *request) bool {
	if request.inFlight != 1 {
		return false
	}
	latest := &request.attempts[len(request.attempts)-1]
	return latest.inFlight && latest.startedAt > 0 && b.now.Sub(latest.startedAt) > request.deadline.Sub(b.now)
}

// hedge sends a second attempt to a worker that is known to have room to spare.
func (b *Balancer) hedge(id RequestID) {
	worker, ok := b.pickWorker(b.requests.get(id))
	if ok && b.hearsLoadOf(worker) && float64(b.load(worker)) < b.estimatedSlots(worker)/2 {
		b.startAttempt(id, worker)
	}
}
