// Package balancer is the decision module. A caller makes a Balancer with New. For each input it sets the clock with Clock,
// calls the method that names what has happened, and Settle to go through the rules. Answers go out through
// Link meanwhile. The types are in types.go; what a Balancer remembers is in state.go.
package balancer

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const never = Time(math.MaxInt64)

const (
	intervals            = 2      // intervals of equal work, each with its own block
	maxSample            = 128    // own hints behind the cut points: older ones drop out
	minSample            = 50     // hints before lanes are cut
	meanLoadMargin       = 2.0    // of the mean in flight per worker in the lane, taken as half a job at the least
	warmupMargin         = 0.7    // of a cold worker's budget is kept back: hints are rough, a slot may be half a core
	warmupSlack          = 0.1    // of it, where those who send there tell one another, beside what it may have done
	verifiedPace         = 0.7    // of its hint's pace at the least proves that a worker is warm: hints are rough
	hintConfidence       = 0.5    // of the wait that a hint allows: hints are rough
	quotaSample          = 16     // landings of a customer within its share that tell its traffic from chance
	quotaMargin          = 1.5    // of a customer's share is let pass as chance
	learningRate         = 0.2    // weight of a new sample in a running figure
	initialSlots         = 8.0    // slots believed before anything was refused or kept waiting
	arrivalsPerProbe     = 2      // landings for a probe
	maxGossipShare       = 0.0125 // of an invocation's billed value goes into telling peers of it
	pollsPerInterval     = 128    // calls for the list, of all dispatchers, in the time without asking that is allowed
	maxPollSpread        = 0.6    // of that time at most is taken for one call of each
	deliveryMargin       = 3      // times the mean until a worker has what was sent: beyond it something is amiss
	zoneFailureThreshold = 3      // forwards in a row that broke or found nobody in a zone, and none that began
)

// SetTime sets the current time, which holds until the next call.
func (d *Balancer) SetTime(now Time) { d.now = now }

// RequestArrived takes a new invocation under a number that the caller chooses.
func (d *Balancer) RequestArrived(inv RequestID, l Arrival) {
	d.requests = append(d.requests, make([]request, max(0, int(inv)+1-len(d.requests)))...)
	o, i := &d.operations[l.Operation], &d.requests[inv]
	o.longestTimeout = max(o.longestTimeout, l.Timeout)
	*i = request{
		operation: l.Operation, deadline: d.now + l.Timeout - d.margin, attempts: i.attempts[:0],
		latestStart: d.now - (o.longestTimeout - l.Timeout) + o.latencyObjective, // counted from the client's first try
		size:        Work(float64(l.SizeHint) * max(l.Slots, 1)), quotaWeight: d.quotaWeight(l.Tenant),
	}
	// Where no hints come, sizes are those that were seen.
	i.size, i.late = cmp.Or(d.observeSize(i.size), Work(o.meanRun)), d.now > i.latestStart
	i.latestWaitedStart = d.latestWaitedStart(l.Operation, i.latestStart)
	if i.interval, _ = slices.BinarySearch(d.cutPoints, i.size+1); len(d.cutPoints) == 0 {
		i.interval = bothIntervals
	}
	o.meanSize += max(learningRate/4, 1/float64(1+o.arrivals)) * (float64(i.size) - o.meanSize)
	if !i.late { // a client that comes again asks for nothing more than it did
		d.firstTries++
	}
	o.arrivals, o.requestedWork, d.arrivals = o.arrivals+1, o.requestedWork+float64(i.size), d.arrivals+1
	o.valueDensity = o.value / math.Pow(max(o.meanSize, 1), d.valuePerRequest)
	d.totalValue += o.valueDensity * float64(i.size)
	d.addOpenRequest(inv)
	d.enqueue(inv)
	d.capacityChanged, d.reviewAt = true, min(d.reviewAt, d.now+d.patience, i.deadline)
}

// AttemptStarted takes a start note. One that the settings do not announce changes nothing: the forward was never
// counted as waiting, and to count it as begun would keep its worker out for good.
func (d *Balancer) AttemptStarted(inv RequestID, n int) {
	if f := &d.requests[inv].attempts[n]; d.startNotices && f.inFlight && f.startedAt == 0 {
		f.startedAt, d.capacityChanged = d.now, true
		d.unstarted[f.worker]--
		d.recordZoneSuccess(f.worker)
		d.recordResponse(f)
		d.markMaybeFree(f.worker)
		d.observeSlots(f.worker, d.load(f.worker), d.queueingTime(f) < d.patience)
	}
}

// AttemptEnded takes how forward n of an invocation ended. closed tells that its connection was closed with it.
func (d *Balancer) AttemptEnded(inv RequestID, n int, how Outcome, closed bool) {
	i, f, w := &d.requests[inv], &d.requests[inv].attempts[n], d.requests[inv].attempts[n].worker
	f.inFlight, f.mayHaveRun, d.capacityChanged = false, !how.neverRan(), true
	i.inFlight--
	d.addInFlight(w, -1)
	d.markLoadChanged(w)
	if f.startedAt == 0 && d.startNotices {
		d.unstarted[w]--
	}
	switch how {
	case Succeeded:
		d.consecutiveFailures[w], d.possiblyExecuted[w] = 0, false
		d.recordZoneSuccess(w)
		d.recordResponse(f)
		d.observeSuccess(w, i, d.now-max(f.sentAt, f.startedAt))
	case Overloaded:
		d.recordResponse(f)
		d.observeSlots(w, d.load(w)+1, false)
		d.backOff(w, d.overloadBackoff(w, i.operation)) // until a slot comes free, or forwards are used up there
	case WorkerError, NoConnection, ConnectionRefused, ConnectionReset: // a crash, a cut link, a program that fails all at once
		if how == ConnectionRefused {
			d.recordProcessExit(w)
		}
		if d.possiblyExecuted[w] = d.possiblyExecuted[w] || f.mayHaveRun; how != WorkerError {
			d.recordZoneFailure(w)
		}
		if d.consecutiveFailures[w] > 0 && d.now < d.probeAfter[w] { // one failure ends all that is out there
		} else if d.consecutiveFailures[w]++; how.neverRan() || d.consecutiveFailures[w] > 1 { // nothing until a trial, ever later
			d.probeAfter[w] = d.now + Second<<min(d.consecutiveFailures[w]-1, 3)
			d.effects.Log(fmt.Sprintf("worker %d suspected down, failure %d", w, d.consecutiveFailures[w]))
		}
	}
	able := func(w WorkerID) bool { return d.state[w] == Healthy && d.mayAttempt(i, w) }
	switch {
	case closed:
		d.closeRequest(inv, n)
	case i.closed || i.inFlight > 0:
	case slices.ContainsFunc(d.ring, able):
		d.enqueue(inv)
	default:
		d.rejectOrFail(inv)
	}
}

// recordZoneFailure counts a forward that broke or found nobody for its worker's zone. A zone that is lost is still
// listed for seconds, and an invocation has not forwards enough to find out worker by worker.
func (d *Balancer) recordZoneFailure(w WorkerID) {
	z := d.workerZone[w]
	other := func(w WorkerID) bool {
		return d.workerZone[w] != z && d.state[w] == Healthy && d.now >= d.zoneEjectedUntil[d.workerZone[w]]
	}
	if d.zoneFailures[z]++; d.zoneFailures[z] >= zoneFailureThreshold && d.now >= d.zoneEjectedUntil[z] && slices.ContainsFunc(d.ring, other) {
		d.zoneEjectedUntil[z] = d.now + Second<<min(d.zoneFailures[z]-zoneFailureThreshold, 3)
		d.effects.Log(fmt.Sprintf("zone %d suspected lost, failure %d", z, d.zoneFailures[z]))
	}
}

func (d *Balancer) recordZoneSuccess(w WorkerID) {
	d.zoneFailures[d.workerZone[w]], d.zoneEjectedUntil[d.workerZone[w]] = 0, 0
}

// recordResponse takes an answer to a forward that was sent since the worker's process was seen to have ended.
func (d *Balancer) recordResponse(f *attempt) {
	if d.respondedAt[f.worker] == never && f.sentAt >= d.exitedAt[f.worker] {
		d.respondedAt[f.worker] = d.now
	}
}

// recordProcessExit takes it that the process at a worker has ended: the next one is cold, and the list tells so late. As
// long as no list is followed, the others in its zone may have ended with it (a power loss), but for those
// where something runs; any start that a list tells of them later is newer.
func (d *Balancer) recordProcessExit(w WorkerID) {
	d.exitedAt[w], d.respondedAt[w], d.verifiedSize[w], d.earnsCredit[w] = d.now, never, 0, false
	for _, o := range d.ring {
		if !d.watching && d.workerZone[o] == d.workerZone[w] && d.exitedAt[o] == 0 &&
			d.inFlight[o] <= d.unstarted[o] {
			d.exitedAt[o], d.respondedAt[o], d.verifiedSize[o] = 1, never, 0
		}
	}
}

// mayHaveRestarted tells whether the process at a worker may be newer than the list has told, as one that is followed does.
func (d *Balancer) mayHaveRestarted(w WorkerID) bool {
	told := d.watching && d.now >= max(d.watchingSince, d.exitedAt[w])+d.maxPollInterval
	return d.exitedAt[w] > 0 && !told
}

// ClientLeft ends an invocation whose client has gone. flowing is the number of a forward that goes on, or -1.
func (d *Balancer) ClientLeft(inv RequestID, flowing int) { d.closeRequest(inv, flowing) }

// WakeFired takes the end of a wait that was requested through Link.Wake with the same key.
func (d *Balancer) WakeFired(key uint64) {
	if Time(key) == d.wakeAt {
		d.wakeAt = never
	}
}

// EndpointsUnavailable takes that a call for the list of workers failed, and schedules the next one.
func (d *Balancer) EndpointsUnavailable() {
	// It is overloaded or away: later and later, so as not to flood it. All have failed with us, and a call
	// given up costs it as much as one that is answered: so all together no faster than at a start.
	d.failedPolls, d.watching = d.failedPolls+1, false
	wait := min(Second/2<<min(d.failedPolls, 4)+d.pollSpread<<min(d.failedPolls-1, 4), d.maxPollInterval*4/5<<min(max(d.consecutiveBusy-2, 0), 2))
	if d.consecutiveBusy == 0 { // what it has to tell counts as told soon after it could be had again
		wait = min(wait, d.maxRetryPoll/d.retrySpeedup)
	}
	d.endpointsStale, d.capacityChanged = false, true
	d.nextPoll = d.now + wait/4 + Time(d.nextRandom()%uint64(wait*3/4+1))
}

// UpdateEndpoints takes a list or a change to it; answer tells whether it may be the answer to a subscription.
func (d *Balancer) UpdateEndpoints(entries []Endpoint, whole, answer bool) {
	if answer {
		if d.failedPolls, d.answered, d.endpointsStale = 0, true, false; !d.watching {
			d.watching, d.watchingSince = true, d.now
		}
	} else if len(entries) > 0 { // a list to start with: each of those that may start with us asks in its turn
		d.nextPoll = d.now + d.firstPollSpread*Time(d.position)/Time(d.dispatchers)
		d.endpointsStale = d.awaitFirstPoll && !d.answered && d.failedPolls == 0 // who drains or is gone may have been told since
	}
	for w := 0; whole && w < len(d.state); w++ {
		d.state[w] = Gone
	}
	for _, e := range entries {
		for int(e.Worker) >= len(d.hash) {
			d.addWorker()
		}
		for int(e.Zone) >= len(d.zoneFailures) {
			d.zoneFailures, d.zoneEjectedUntil, d.deliveryTime = append(d.zoneFailures, 0), append(d.zoneEjectedUntil, 0), append(d.deliveryTime, Time(d.warmupUnit/deliveryMargin))
		}
		w, h := e.Worker, fnv.New64a()
		h.Write([]byte(e.ID))
		if e.StartedAt > d.startedAt[w] { // a restart: what was known of the process is void, and it is cold
			d.earnsCredit[w], d.possiblyExecuted[w] = false, false
			if d.startedAt[w], d.consecutiveFailures[w], d.probeAfter[w] = e.StartedAt, 0, 0; e.StartedAt >= d.exitedAt[w] {
				d.exitedAt[w] = 0
			}
		}
		d.hash[w], d.workerZone[w], d.kind[w], d.cell[w], d.state[w] = h.Sum64(), e.Zone, e.Kind, e.Cell, e.State
	}
	d.ring = d.ring[:0]
	for w, state := range d.state {
		if state != Gone {
			d.ring = append(d.ring, WorkerID(w))
		}
	}
	slices.SortFunc(d.ring, func(a, b WorkerID) int { return cmp.Compare(d.hash[a], d.hash[b]) })
	d.updateSubsets()
	d.capacityChanged = true
}

// updateSubsets finds this dispatcher's part of each lane's block, all of it where dispatchers are few, and who has
// a worker in theirs: they alone are told, so that the price of telling does not grow with the dispatchers.
func (d *Balancer) updateSubsets() {
	every := d.dispatchers
	d.subsets[bothIntervals], d.subsets[wholeRing] = d.subsets[bothIntervals][:0], d.ring
	for l := range intervals {
		block := d.ring[len(d.ring)*l/intervals : len(d.ring)*(l+1)/intervals] // the same at every dispatcher
		m, first := len(block), len(block)*d.position/every
		width := min(m, (m*d.subsetSize+every-1)/every)
		d.subsets[l] = d.subsets[l][:0]
		for n, w := range block {
			d.subsetPeerRange[w] = [2]int{((n-width+1+m)*every + m - 1) / m, ((n+1+m)*every + m - 1) / m}
			if n < width {
				d.subsets[l] = append(d.subsets[l], block[(first+n)%m])
			}
		}
		d.subsets[bothIntervals] = append(d.subsets[bothIntervals], d.subsets[l]...)
	}
	for p := range d.subsets {
		d.indexSubset(p)
	}
}

// ReceiveLoad takes what another dispatcher has in flight at a worker.
func (d *Balancer) ReceiveLoad(from PeerID, l Load) {
	d.recordPeerAge(from, false)
	heard := d.peerLoads[l.Worker]
	n := slices.IndexFunc(heard, func(h peerLoad) bool { return h.from == from })
	if n < 0 {
		n, heard = len(heard), append(heard, peerLoad{from: from})
	}
	if l.InFlight < heard[n].inFlight {
		if d.capacityChanged = true; d.warmupFactor(l.Worker) < 1 && float64(d.load(l.Worker)) >= d.maxObserved[d.kind[l.Worker]] {
			d.staggerAccess(l.Worker)
		}
	}
	d.peerInFlight[l.Worker] += l.InFlight - heard[n].inFlight
	heard[n].inFlight, heard[n].receivedAt, d.peerLoads[l.Worker] = l.InFlight, d.now, heard
	d.markMaybeFree(l.Worker)
}

// staggerAccess lets those who hear that a full cold worker has room again try one after the other, each once it
// would know of the one before: else all of them send there at once, and what is sent counts even if it finds
// the worker full. The one whose forward ended there goes first, by knowing first.
func (d *Balancer) staggerAccess(w WorkerID) {
	keepers := max(d.subsetPeerRange[w][1]-d.subsetPeerRange[w][0], 1)
	place := (Time(d.position) + d.now/Second) % Time(keepers)
	d.notBefore[w] = d.now + place*d.patience/2
	d.reviewAt = min(d.reviewAt, d.notBefore[w])
}

// The rules, in order: when each is due, and what it does. After every input they are gone through from the
// top until none is due; then a wake is asked for, for the one that will be due first.
var rules = []struct {
	due func(*Balancer) Time
	do  func(*Balancer)
}{
	// The list must be asked for, and asked for again where no answer comes.
	{func(d *Balancer) Time { return when(d.pollEndpoints && !d.watching, d.nextPoll) }, func(d *Balancer) {
		d.nextPoll = d.now + d.maxPollInterval
		d.effects.PollEndpoints()
	}},
	// Some open invocation may need its answer, or another forward.
	{func(d *Balancer) Time { return when(d.open.live > 0, d.reviewAt) }, (*Balancer).reviewOpenRequests},
	// Held invocations go where there is room.
	{
		func(d *Balancer) Time {
			return when(d.capacityChanged && !d.endpointsStale && len(d.pending) > 0, d.now)
		},
		(*Balancer).dispatchPending,
	},
	// Load reports come with probes alone, and each has its price: one for so many landings.
	{
		func(d *Balancer) Time { return when(d.probes && len(d.ring) > 0 && d.arrivals >= d.probeAt, d.now) },
		func(d *Balancer) {
			d.probeAt = d.arrivals + arrivalsPerProbe
			d.effects.Probe(d.ring[(d.position+d.arrivals/arrivalsPerProbe)%len(d.ring)])
		},
	},
	// Messages get lost: now and then peers are told again, and the silent are forgotten.
	{func(d *Balancer) Time { return when(d.gossip && d.open.live > 0, d.resendAt) }, (*Balancer).resendLoads},
	// Peers learn of changes in what is in flight here.
	{func(d *Balancer) Time { return when(len(d.changedLoads) > 0, d.sendLoadsAt) }, (*Balancer).sendChangedLoads},
}

func when(condition bool, at Time) Time {
	if condition {
		return at
	}
	return never
}

// RunDueRules applies all rules that are due, until none is, and requests a wake-up for the next one.
func (d *Balancer) RunDueRules() {
	next := never
	for n := 0; n < len(rules); n++ {
		at := rules[n].due(d)
		next = min(next, at)
		if at <= d.now {
			rules[n].do(d)
			n, next = -1, never
		}
	}
	if next < d.wakeAt {
		d.wakeAt = next
		d.effects.Wake(uint64(next), next-d.now)
	}
}

func (d *Balancer) resendLoads() {
	d.resendAt = d.now + d.resendInterval
	old := func(h peerLoad) bool { return d.now-h.receivedAt > 2*d.resendInterval } // it has died or is cut off
	for _, w := range d.ring {
		d.peerLoads[w], d.peerInFlight[w] = slices.DeleteFunc(d.peerLoads[w], old), 0
		for _, h := range d.peerLoads[w] {
			d.peerInFlight[w] += h.inFlight
		}
		d.markMaybeFree(w)
		if d.inFlight[w] > 0 {
			d.sentLoad[w] = -1 // so that it is told again
			d.markLoadChanged(w)
		}
	}
}

// observeSize keeps a bounded sample, the oldest dropping out, and cuts it anew; the unhinted get the median.
func (d *Balancer) observeSize(size Work) Work {
	if size <= 0 {
		return d.median
	}
	d.sample = append(d.sample, size)
	d.sample = d.sample[max(0, len(d.sample)-maxSample):]
	if d.sampled++; d.sampled%(maxSample/8) == 0 || d.sampled == minSample {
		d.updateCutPoints()
	}
	return size
}

// updateCutPoints sets the cut points so that each interval of sizes holds the same work.
func (d *Balancer) updateCutPoints() {
	sorted, total, sum := slices.Sorted(slices.Values(d.sample)), Work(0), Work(0)
	for _, s := range sorted {
		total += s
	}
	d.median, d.cutPoints, d.resendInterval = sorted[len(sorted)/2], d.cutPoints[:0], max(Second/2, 3*Time(total)/Time(len(sorted)))
	for _, s := range sorted {
		if d.sampled >= minSample && len(d.cutPoints) < intervals-1 && sum*intervals >= total*Work(len(d.cutPoints)+1) {
			d.cutPoints = append(d.cutPoints, s)
		}
		sum += s
	}
	slices.SortFunc(d.pending, d.comparePriority)
}

// pickWorker turns the lane's rotation to the next worker with room, or borrows from the other parts. Those that it
// hears nothing of are tried last, and not for a run after a full one; where none tell, near ones only at first.
func (d *Balancer) pickWorker(i *request) (WorkerID, bool) {
	if !d.gossip { // a cold worker gets its part as it falls due: saved up, all might send it theirs at once
		if w, ok := d.pickFromSubset(i, wholeRing, true, true); ok {
			return w, ok
		}
	}
	for _, near := range [2]bool{d.crossZoneCost > 0 && (d.gossip || len(i.attempts) == 0), false} {
		for _, p := range [3]int{i.interval, bothIntervals, wholeRing} {
			if p == wholeRing && (d.freeSlotRatio < 0.5 || d.now < d.unheardNotBefore) {
				continue
			}
			if w, ok := d.pickFromSubset(i, p, near, false); ok {
				return w, true
			}
		}
	}
	return 0, false
}

func (d *Balancer) pickFromSubset(i *request, p int, near, due bool) (WorkerID, bool) {
	o := &d.operations[i.operation]
	for n, w := range d.maybeFreeWorkers(p) {
		fit := (!near || d.workerZone[w] == d.zone) && d.now >= d.zoneEjectedUntil[d.workerZone[w]] &&
			(o.kind < 0 || o.kind == d.kind[w]) && (!due || d.warmupFactor(w) < 1) &&
			// What may not run again tries no worker out that may have run what failed there.
			(o.idempotency != NonIdempotent || d.consecutiveFailures[w] == 0 || !d.possiblyExecuted[w] || d.now >= d.probeAfter[w]+8*Second) &&
			// A cold worker is slow: nothing goes there that would be late by it alone.
			(i.late || d.median == 0 || float64(i.size)*(1/d.warmupFactor(w)-1-o.slack) <= float64(o.latencyObjective)) &&
			// What is beyond a share leaves room to others.
			float64(d.load(w)) < (1+i.quotaWeight)/2*d.slots[d.kind[w]]
		if fit && d.isAvailable(w) && !d.exceedsMeanLoad(p, w) && d.withinWarmupBudget(w, i.size) && d.mayAttempt(i, w) &&
			(!due || d.credit[w] >= 1) {
			d.roundRobin[p] = (n + 1) % len(d.subsets[p])
			return w, true
		}
	}
	return 0, false
}

func (d *Balancer) isAvailable(w WorkerID) bool {
	return d.state[w] == Healthy && d.now >= max(d.probeAfter[w], d.notBefore[w]) && d.unstarted[w] == 0 &&
		(d.consecutiveFailures[w] == 0 || d.inFlight[w] == 0) && float64(d.load(w)) < math.Round(d.slots[d.kind[w]])
}

func (d *Balancer) hearsLoadOf(w WorkerID) bool { return d.gossip && d.inSubset(bothIntervals, w) }

// backOff keeps work from a worker, and from all unheard of if it is one of them: they may be full as well.
func (d *Balancer) backOff(w WorkerID, long Time) {
	if d.probeAfter[w] = d.now + long; !d.hearsLoadOf(w) {
		d.unheardNotBefore = d.now + long
	}
}

// overloadBackoff is how long a worker that is full is left alone. A cold one is for as long as what it is sent counts:
// what it turns away counts too, is in no load that peers tell of, and each of them would try it again.
func (d *Balancer) overloadBackoff(w WorkerID, op OperationID) Time {
	if mean := d.meanRunTime(op); d.confirmedWarmup(w, d.median) == 1 {
		return mean
	}
	return d.warmupWindow
}

func (d *Balancer) load(w WorkerID) int { return d.inFlight[w] + max(d.peerInFlight[w], 0) }

// warmupFactor is the share of its capacity that a worker surely has, by its age: no more than since it was heard
// again, where its process has ended.
func (d *Balancer) warmupFactor(w WorkerID) float64 {
	born := d.startedAt[w]
	if d.mayHaveRestarted(w) {
		born = max(born, min(d.respondedAt[w], d.now))
	}
	if born == 0 || d.warmupDuration == 0 || d.now-born >= d.warmupDuration {
		return 1
	}
	return d.initialWarmup + (1-d.initialWarmup)*float64(max(d.now-born, 0))/float64(d.warmupDuration)
}

// withinWarmupBudget keeps what all may send a cold worker within the span to its budget. Where peers tell, those
// send there who are told of it, as long as fewer forwards are out there than its kind was seen to work on,
// and none is larger than its part of the budget: what is out was sent within the span at the worst, and what
// ended within it was no more than the worker can do. Without messages each has its part of it; where there are
// so many that a part would hold no invocation, each sends there by its part of what lands.
func (d *Balancer) withinWarmupBudget(w WorkerID, size Work) bool {
	warmth := d.confirmedWarmup(w, size)
	if warmth == 1 {
		return true
	}
	sent, most := size, d.maxObserved[d.kind[w]]
	for _, s := range d.recentSends(w) {
		sent += s.work
	}
	budget := d.overloadFactor * warmth * most * float64(d.warmupWindow)
	if d.gossip {
		budget *= 1 - 1/d.overloadFactor - warmupSlack
		return d.hearsLoadOf(w) && float64(d.load(w)) < most && float64(size) <= budget/most && float64(sent) <= budget
	}
	if part := budget * (1 - warmupMargin) / float64(d.dispatchers); part >= d.warmupUnit {
		return float64(sent) <= part
	}
	return d.warmupCredit(w, warmth) >= 1
}

// mayAttempt is the rule against double effects, for one more forward to w.
func (d *Balancer) mayAttempt(i *request, w WorkerID) bool {
	if i.closed || d.now >= i.deadline || len(i.attempts) >= d.maxAttempts-i.spentElsewhere || i.inFlight > 0 && !d.hedging {
		return false
	}
	o := &d.operations[i.operation]
	for _, f := range i.attempts {
		if f.inFlight && f.worker == w {
			return false
		}
		if !f.inFlight && !f.mayHaveRun || o.idempotency == Idempotent {
			continue
		}
		group := o.dedupScope == ScopeAll || o.dedupScope == ScopeZone && d.workerZone[f.worker] == d.workerZone[w] ||
			o.dedupScope == ScopeCell && d.cell[f.worker] == d.cell[w]
		if o.idempotency == NonIdempotent || d.now >= f.sentAt+o.dedupWindow-d.margin || !group {
			return false
		}
	}
	return true
}

func (d *Balancer) mayReject(i *request) bool {
	o := &d.operations[i.operation]
	return o.idempotency == Idempotent || o.idempotency == IdempotentByKey && o.dedupScope == ScopeAll ||
		!slices.ContainsFunc(i.attempts, func(f attempt) bool { return f.inFlight || f.mayHaveRun })
}

func (d *Balancer) dispatchPending() {
	d.capacityChanged = false
	for n := 0; n < min(len(d.pending), len(d.ring)) && d.anyAvailable(); n++ {
		if w, ok := d.pickWorker(&d.requests[d.pending[n]]); ok {
			inv := d.pending[n]
			d.pending, d.requests[inv].queued = slices.Delete(d.pending, n, n+1), false
			d.startAttempt(inv, w)
			n--
		}
	}
}

func (d *Balancer) comparePriority(a, b RequestID) int {
	i, j := &d.requests[a], &d.requests[b]
	return cmp.Or(cmp.Compare(d.priority(j), d.priority(i)), cmp.Compare(i.latestStart, j.latestStart))
}

// priority is what a unit of work earns of all that is asked for, and of what the operation that lost most asks.
func (d *Balancer) priority(i *request) float64 {
	v := d.operations[i.operation].valueDensity
	if i.late {
		v *= d.operations[i.operation].lateShare
	}
	if i.operation == d.worstOperation {
		v += d.worstOperationWeight * d.totalValue / max(d.operations[i.operation].requestedWork, 1)
	}
	return i.quotaWeight * v
}

func (d *Balancer) enqueue(inv RequestID) {
	n, _ := slices.BinarySearchFunc(d.pending, inv, d.comparePriority)
	d.pending, d.requests[inv].queued = slices.Insert(d.pending, n, inv), true
}

func (d *Balancer) startAttempt(inv RequestID, w WorkerID) {
	i := &d.requests[inv]
	i.attempts = append(i.attempts, attempt{worker: w, sentAt: d.now, inFlight: true})
	i.inFlight++
	d.addInFlight(w, 1)
	if d.startNotices {
		d.unstarted[w]++
	}
	d.sends[w], d.credit[w] = append(d.recentSends(w), send{sentAt: d.now, work: i.size}), max(d.credit[w]-1, 0)
	d.markLoadChanged(w)
	d.effects.SendAttempt(inv, w, 0)
}

func (d *Balancer) reviewOpenRequests() {
	d.reviewAt, d.capacityChanged = d.now+d.patience, true
	for inv := range d.open.newestFirst() {
		i := &d.requests[inv]
		f, hopeless := d.unstartedAttempt(i), max(i.latestStart+Time(hintConfidence*d.operations[i.operation].slack*float64(i.size)), i.latestWaitedStart)
		if i.queued && !i.late && d.now > i.latestStart { // it goes behind those that may still be in time
			d.dequeue(inv)
			i.late = true
			d.enqueue(inv)
		}
		switch {
		case d.now >= i.deadline || i.inFlight == 0 && d.now > i.latestWaitedStart, // also where no outcome comes, and where
			f != nil && d.now > hopeless && d.queueingTime(f) >= d.margin && d.cancellation && d.mayReject(i): // it clogs a queue
			d.rejectOrFail(inv)
		case len(d.pending) > 0:
		case f != nil && d.queueingTime(f) >= d.patience && d.now <= i.latestStart:
			d.migrateUnstarted(inv, f)
		case f == nil && i.inFlight == 1 && d.shouldHedge(i, i.attempts[len(i.attempts)-1]):
			if w, ok := d.pickWorker(i); ok && d.hearsLoadOf(w) && float64(d.load(w)) < d.slots[d.kind[w]]/2 {
				d.startAttempt(inv, w)
			}
		}
		if !i.closed {
			d.reviewAt = min(d.reviewAt, i.deadline)
		}
	}
}

// shouldHedge tells of work that has run for half of its time: its worker is slow, or will say nothing more. A
// second copy, where there is room to spare, brings an answer. Any sooner it would copy sound work: hints are
// rough, and what runs for four times its hint is mostly just heavy.
func (d *Balancer) shouldHedge(i *request, f attempt) bool {
	return f.inFlight && f.startedAt > 0 && d.now-f.startedAt > i.deadline-d.now
}

// unstartedAttempt finds the only forward out, if its worker would tell of a start and has not.
func (d *Balancer) unstartedAttempt(i *request) *attempt {
	if n := len(i.attempts) - 1; d.startNotices && i.inFlight == 1 && i.attempts[n].inFlight && i.attempts[n].startedAt == 0 {
		return &i.attempts[n]
	}
	return nil
}

// migrateUnstarted moves a forward that sits unstarted, its worker being full after all, to one with room.
func (d *Balancer) migrateUnstarted(inv RequestID, f *attempt) {
	i := &d.requests[inv]
	if f.deliveredAt > 0 || !d.deliveryNotices {
		d.observeSlots(f.worker, d.load(f.worker), false)
	} else {
		d.observeDelivery(f)
	}
	if !d.hearsLoadOf(f.worker) { // nobody tells what others have there: it is taken to be full for about one run
		d.backOff(f.worker, d.meanRunTime(i.operation))
	}
	if w, ok := d.pickWorker(i); ok {
		d.startAttempt(inv, w)
		if d.cancellation {
			d.effects.CancelAttempt(inv, len(i.attempts)-2)
		}
	}
}

// rejectOrFail gives the final answer at once: throttled where that is permitted, else errored.
func (d *Balancer) rejectOrFail(inv RequestID) {
	i := &d.requests[inv]
	d.operations[i.operation].lostWork += float64(i.size)
	if o := &d.operations[i.operation]; d.worstOperation < 0 || o.lostWork*d.operations[d.worstOperation].requestedWork > d.operations[d.worstOperation].lostWork*o.requestedWork {
		d.worstOperation = i.operation
		slices.SortFunc(d.pending, d.comparePriority)
	}
	if d.mayReject(i) {
		d.effects.Reject(inv, d.operations[i.operation].retryAfter)
	} else {
		d.effects.Fail(inv)
	}
	d.closeRequest(inv, -1)
}

func (d *Balancer) closeRequest(inv RequestID, keep int) {
	i := &d.requests[inv]
	if i.closed {
		return
	}
	for n, f := range i.attempts {
		if f.inFlight && d.cancellation && n != keep {
			d.effects.CancelAttempt(inv, n)
		}
	}
	if i.closed = true; i.queued {
		d.dequeue(inv)
	}
	d.removeOpenRequest(inv)
}

// observeSlots takes a start at once, or a wait, at a load as a vote on the slots of a kind: as many are believed as
// agree with most votes, but for one, since single waits come of forwards not heard of yet.
func (d *Balancer) observeSlots(w WorkerID, load int, atOnce bool) {
	if d.reportFree >= 0 || d.warmupFactor(w) < 1 || d.gossip && !d.hearsLoadOf(w) { // reports tell, or others are not known
		return
	}
	k, sum, best, slots := d.kind[w], 0, 0, d.slots[d.kind[w]]
	d.votes[k] = append(d.votes[k], make([]int, max(0, max(load, initialSlots)+1-len(d.votes[k])))...)
	if d.votes[k][load]--; atOnce {
		d.votes[k][load] += 2
	}
	for n, v := range d.votes[k] {
		if sum += v; sum > best+1 {
			best, d.maxObserved[k] = sum, max(float64(n), 1)
		}
		if best = max(best, sum); sum > best-2 {
			slots = max(d.maxObserved[k], float64(n))
		}
	}
	d.setSlots(k, slots)
}

// ReceiveLoadReport takes the slots that a load report shows. Reports are late, so they say nothing of the load now.
func (d *Balancer) ReceiveLoadReport(w WorkerID, r []float64) {
	if d.reportFree < 0 || len(r) == 0 || d.warmupFactor(w) < 1 {
		return
	}
	slots, k := r[d.reportFree], d.kind[w]
	d.freeSlotRatio += learningRate * (min(max(math.Round(slots), 0), 1) - d.freeSlotRatio) // nor less than none, whatever it says
	if d.reportInFlight >= 0 && d.reportQueue >= 0 {
		slots += r[d.reportInFlight] - r[d.reportQueue]
	}
	d.maxObserved[k] = max(d.maxObserved[k], math.Round(slots))
	d.setSlots(k, d.maxObserved[k])
}

// quotaWeight weighs an invocation by its customer's traffic here: which ones go beyond the share nobody can know.
func (d *Balancer) quotaWeight(c TenantID) float64 {
	long := max(2, quotaSample/d.quota[c]) // in seconds
	d.tenantUsage[c], d.tenantUsageAt[c] = d.tenantUsage[c]*math.Exp(-float64(d.now-d.tenantUsageAt[c])/Second/long)+1, d.now
	within := min(1, quotaMargin*d.quota[c]*long/d.tenantUsage[c])
	return within + (1-within)*d.overQuotaShare
}

func (d *Balancer) markLoadChanged(w WorkerID) {
	if d.gossip { // they are told once a full worker would have answered: then there is nothing to tell
		d.changedLoads, d.sendLoadsAt = append(d.changedLoads, w), min(d.sendLoadsAt, d.now+d.margin)
	}
}

func (d *Balancer) sendChangedLoads() {
	for _, w := range d.changedLoads {
		if d.inFlight[w] != d.sentLoad[w] {
			for peer := range d.subsetPeers(w) {
				d.effects.SendLoad(peer, Load{w, d.inFlight[w]})
			}
		}
		d.sentLoad[w] = d.inFlight[w]
	}
	d.changedLoads, d.sendLoadsAt = d.changedLoads[:0], never
}
