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
	d.requests.byID = append(d.requests.byID, make([]request, max(0, int(inv)+1-len(d.requests.byID)))...)
	o, i := &d.operations.byID[l.Operation], &d.requests.byID[inv]
	o.longestTimeout = max(o.longestTimeout, l.Timeout)
	*i = request{
		operation: l.Operation, deadline: d.now + l.Timeout - d.config.margin, attempts: i.attempts[:0],
		latestStart: d.now - (o.longestTimeout - l.Timeout) + o.latencyObjective, // counted from the client's first try
		size:        Work(float64(l.SizeHint) * max(l.Slots, 1)), quotaWeight: d.quotaWeight(l.Tenant),
	}
	// Where no hints come, sizes are those that were seen.
	i.size, i.late = cmp.Or(d.observeSize(i.size), Work(o.meanRun)), d.now > i.latestStart
	i.latestWaitedStart = d.latestWaitedStart(l.Operation, i.latestStart)
	if i.interval, _ = slices.BinarySearch(d.sizes.cutPoints, i.size+1); len(d.sizes.cutPoints) == 0 {
		i.interval = bothIntervals
	}
	o.meanSize += max(learningRate/4, 1/float64(1+o.arrivals)) * (float64(i.size) - o.meanSize)
	if !i.late { // a client that comes again asks for nothing more than it did
		d.warmup.firstTries++
	}
	o.arrivals, o.requestedWork, d.loadProbes.arrivals = o.arrivals+1, o.requestedWork+float64(i.size), d.loadProbes.arrivals+1
	o.valueDensity = o.value / math.Pow(max(o.meanSize, 1), d.config.valuePerRequest)
	d.operations.totalValue += o.valueDensity * float64(i.size)
	d.addOpenRequest(inv)
	d.enqueue(inv)
	d.due.capacityChanged, d.due.reviewAt = true, min(d.due.reviewAt, d.now+d.config.patience, i.deadline)
}

// AttemptStarted takes a start note. One that the settings do not announce changes nothing: the forward was never
// counted as waiting, and to count it as begun would keep its worker out for good.
func (d *Balancer) AttemptStarted(inv RequestID, n int) {
	if f := &d.requests.byID[inv].attempts[n]; d.config.startNotices && f.inFlight && f.startedAt == 0 {
		f.startedAt, d.due.capacityChanged = d.now, true
		d.workers[f.worker].unstarted--
		d.recordZoneSuccess(f.worker)
		d.recordResponse(f)
		d.markMaybeFree(f.worker)
		d.observeSlots(f.worker, d.load(f.worker), d.queueingTime(f) < d.config.patience)
	}
}

// AttemptEnded takes how forward n of an invocation ended. closed tells that its connection was closed with it.
func (d *Balancer) AttemptEnded(inv RequestID, n int, how Outcome, closed bool) {
	i, f, w := &d.requests.byID[inv], &d.requests.byID[inv].attempts[n], d.requests.byID[inv].attempts[n].worker
	f.inFlight, f.mayHaveRun, d.due.capacityChanged = false, !how.neverRan(), true
	i.inFlight--
	d.addInFlight(w, -1)
	d.markLoadChanged(w)
	if f.startedAt == 0 && d.config.startNotices {
		d.workers[w].unstarted--
	}
	switch how {
	case Succeeded:
		d.workers[w].consecutiveFailures, d.workers[w].possiblyExecuted = 0, false
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
		if d.workers[w].possiblyExecuted = d.workers[w].possiblyExecuted || f.mayHaveRun; how != WorkerError {
			d.recordZoneFailure(w)
		}
		if d.workers[w].consecutiveFailures > 0 && d.now < d.workers[w].probeAfter { // one failure ends all that is out there
		} else if d.workers[w].consecutiveFailures++; how.neverRan() || d.workers[w].consecutiveFailures > 1 { // nothing until a trial, ever later
			d.workers[w].probeAfter = d.now + Second<<min(d.workers[w].consecutiveFailures-1, 3)
			d.effects.Log(fmt.Sprintf("worker %d suspected down, failure %d", w, d.workers[w].consecutiveFailures))
		}
	}
	able := func(w WorkerID) bool { return d.workers[w].state == Healthy && d.mayAttempt(i, w) }
	switch {
	case closed:
		d.closeRequest(inv, n)
	case i.closed || i.inFlight > 0:
	case slices.ContainsFunc(d.subsetting.ring, able):
		d.enqueue(inv)
	default:
		d.rejectOrFail(inv)
	}
}

// recordZoneFailure counts a forward that broke or found nobody for its worker's zone. A zone that is lost is still
// listed for seconds, and an invocation has not forwards enough to find out worker by worker.
func (d *Balancer) recordZoneFailure(w WorkerID) {
	z := d.workers[w].zone
	other := func(w WorkerID) bool {
		return d.workers[w].zone != z && d.workers[w].state == Healthy && d.now >= d.zones[d.workers[w].zone].ejectedUntil
	}
	if d.zones[z].failures++; d.zones[z].failures >= zoneFailureThreshold && d.now >= d.zones[z].ejectedUntil && slices.ContainsFunc(d.subsetting.ring, other) {
		d.zones[z].ejectedUntil = d.now + Second<<min(d.zones[z].failures-zoneFailureThreshold, 3)
		d.effects.Log(fmt.Sprintf("zone %d suspected lost, failure %d", z, d.zones[z].failures))
	}
}

func (d *Balancer) recordZoneSuccess(w WorkerID) {
	d.zones[d.workers[w].zone].failures, d.zones[d.workers[w].zone].ejectedUntil = 0, 0
}

// recordResponse takes an answer to a forward that was sent since the worker's process was seen to have ended.
func (d *Balancer) recordResponse(f *attempt) {
	if d.workers[f.worker].respondedAt == never && f.sentAt >= d.workers[f.worker].exitedAt {
		d.workers[f.worker].respondedAt = d.now
	}
}

// recordProcessExit takes it that the process at a worker has ended: the next one is cold, and the list tells so late. As
// long as no list is followed, the others in its zone may have ended with it (a power loss), but for those
// where something runs; any start that a list tells of them later is newer.
func (d *Balancer) recordProcessExit(w WorkerID) {
	d.workers[w].exitedAt, d.workers[w].respondedAt, d.workers[w].verifiedSize, d.workers[w].earnsCredit = d.now, never, 0, false
	for _, o := range d.subsetting.ring {
		if !d.discovery.watching && d.workers[o].zone == d.workers[w].zone && d.workers[o].exitedAt == 0 &&
			d.workers[o].inFlight <= d.workers[o].unstarted {
			d.workers[o].exitedAt, d.workers[o].respondedAt, d.workers[o].verifiedSize = 1, never, 0
		}
	}
}

// mayHaveRestarted tells whether the process at a worker may be newer than the list has told, as one that is followed does.
func (d *Balancer) mayHaveRestarted(w WorkerID) bool {
	told := d.discovery.watching && d.now >= max(d.discovery.watchingSince, d.workers[w].exitedAt)+d.config.maxPollInterval
	return d.workers[w].exitedAt > 0 && !told
}

// ClientLeft ends an invocation whose client has gone. flowing is the number of a forward that goes on, or -1.
func (d *Balancer) ClientLeft(inv RequestID, flowing int) { d.closeRequest(inv, flowing) }

// WakeFired takes the end of a wait that was requested through Link.Wake with the same key.
func (d *Balancer) WakeFired(key uint64) {
	if Time(key) == d.due.wakeAt {
		d.due.wakeAt = never
	}
}

// EndpointsUnavailable takes that a call for the list of workers failed, and schedules the next one.
func (d *Balancer) EndpointsUnavailable() {
	// It is overloaded or away: later and later, so as not to flood it. All have failed with us, and a call
	// given up costs it as much as one that is answered: so all together no faster than at a start.
	d.discovery.failedPolls, d.discovery.watching = d.discovery.failedPolls+1, false
	wait := min(Second/2<<min(d.discovery.failedPolls, 4)+d.config.pollSpread<<min(d.discovery.failedPolls-1, 4), d.config.maxPollInterval*4/5<<min(max(d.discovery.consecutiveBusy-2, 0), 2))
	if d.discovery.consecutiveBusy == 0 { // what it has to tell counts as told soon after it could be had again
		wait = min(wait, d.config.maxRetryPoll/d.discovery.retrySpeedup)
	}
	d.discovery.endpointsStale, d.due.capacityChanged = false, true
	d.discovery.nextPoll = d.now + wait/4 + Time(d.nextRandom()%uint64(wait*3/4+1))
}

// UpdateEndpoints takes a list or a change to it; answer tells whether it may be the answer to a subscription.
func (d *Balancer) UpdateEndpoints(entries []Endpoint, whole, answer bool) {
	if answer {
		if d.discovery.failedPolls, d.discovery.answered, d.discovery.endpointsStale = 0, true, false; !d.discovery.watching {
			d.discovery.watching, d.discovery.watchingSince = true, d.now
		}
	} else if len(entries) > 0 { // a list to start with: each of those that may start with us asks in its turn
		d.discovery.nextPoll = d.now + d.config.firstPollSpread*Time(d.config.position)/Time(d.config.dispatchers)
		d.discovery.endpointsStale = d.config.awaitFirstPoll && !d.discovery.answered && d.discovery.failedPolls == 0 // who drains or is gone may have been told since
	}
	for w := 0; whole && w < len(d.workers); w++ {
		d.workers[w].state = Gone
	}
	for _, e := range entries {
		for int(e.Worker) >= len(d.workers) {
			d.workers = append(d.workers, worker{state: Gone})
		}
		for int(e.Zone) >= len(d.zones) {
			d.zones = append(d.zones, zone{deliveryTime: Time(d.config.meanObjective / deliveryMargin)})
		}
		w, h := e.Worker, fnv.New64a()
		h.Write([]byte(e.ID))
		if e.StartedAt > d.workers[w].startedAt { // a restart: what was known of the process is void, and it is cold
			d.workers[w].earnsCredit, d.workers[w].possiblyExecuted = false, false
			if d.workers[w].startedAt, d.workers[w].consecutiveFailures, d.workers[w].probeAfter = e.StartedAt, 0, 0; e.StartedAt >= d.workers[w].exitedAt {
				d.workers[w].exitedAt = 0
			}
		}
		d.workers[w].hash, d.workers[w].zone, d.workers[w].kind, d.workers[w].cell, d.workers[w].state = h.Sum64(), e.Zone, e.Kind, e.Cell, e.State
	}
	d.subsetting.ring = d.subsetting.ring[:0]
	for w := range d.workers {
		if d.workers[w].state != Gone {
			d.subsetting.ring = append(d.subsetting.ring, WorkerID(w))
		}
	}
	slices.SortFunc(d.subsetting.ring, func(a, b WorkerID) int { return cmp.Compare(d.workers[a].hash, d.workers[b].hash) })
	d.updateSubsets()
	d.due.capacityChanged = true
}

// updateSubsets finds this dispatcher's part of each lane's block, all of it where dispatchers are few, and who has
// a worker in theirs: they alone are told, so that the price of telling does not grow with the dispatchers.
func (d *Balancer) updateSubsets() {
	every := d.config.dispatchers
	d.subsetting.subsets[bothIntervals].workers, d.subsetting.subsets[wholeRing].workers = d.subsetting.subsets[bothIntervals].workers[:0], d.subsetting.ring
	for l := range intervals {
		block := d.subsetting.ring[len(d.subsetting.ring)*l/intervals : len(d.subsetting.ring)*(l+1)/intervals] // the same at every dispatcher
		m, first := len(block), len(block)*d.config.position/every
		width := min(m, (m*d.config.dispatchersPerWorker+every-1)/every)
		d.subsetting.subsets[l].workers = d.subsetting.subsets[l].workers[:0]
		for n, w := range block {
			d.workers[w].subsetPeerRange = [2]int{((n-width+1+m)*every + m - 1) / m, ((n+1+m)*every + m - 1) / m}
			if n < width {
				d.subsetting.subsets[l].workers = append(d.subsetting.subsets[l].workers, block[(first+n)%m])
			}
		}
		d.subsetting.subsets[bothIntervals].workers = append(d.subsetting.subsets[bothIntervals].workers, d.subsetting.subsets[l].workers...)
	}
	for p := range d.subsetting.subsets {
		d.indexSubset(p)
	}
}

// ReceiveLoad takes what another dispatcher has in flight at a worker.
func (d *Balancer) ReceiveLoad(from PeerID, l Load) {
	d.recordPeerAge(from, false)
	heard := d.workers[l.Worker].peerLoads
	n := slices.IndexFunc(heard, func(h peerLoad) bool { return h.from == from })
	if n < 0 {
		n, heard = len(heard), append(heard, peerLoad{from: from})
	}
	if l.InFlight < heard[n].inFlight {
		if d.due.capacityChanged = true; d.warmupFactor(l.Worker) < 1 && float64(d.load(l.Worker)) >= d.slots.kinds[d.workers[l.Worker].kind].maxObserved {
			d.staggerAccess(l.Worker)
		}
	}
	d.workers[l.Worker].peerInFlight += l.InFlight - heard[n].inFlight
	heard[n].inFlight, heard[n].receivedAt, d.workers[l.Worker].peerLoads = l.InFlight, d.now, heard
	d.markMaybeFree(l.Worker)
}

// staggerAccess lets those who hear that a full cold worker has room again try one after the other, each once it
// would know of the one before: else all of them send there at once, and what is sent counts even if it finds
// the worker full. The one whose forward ended there goes first, by knowing first.
func (d *Balancer) staggerAccess(w WorkerID) {
	keepers := max(d.workers[w].subsetPeerRange[1]-d.workers[w].subsetPeerRange[0], 1)
	place := (Time(d.config.position) + d.now/Second) % Time(keepers)
	d.workers[w].notBefore = d.now + place*d.config.patience/2
	d.due.reviewAt = min(d.due.reviewAt, d.workers[w].notBefore)
}

// The rules, in order: when each is due, and what it does. After every input they are gone through from the
// top until none is due; then a wake is asked for, for the one that will be due first.
var rules = []struct {
	due func(*Balancer) Time
	do  func(*Balancer)
}{
	// The list must be asked for, and asked for again where no answer comes.
	{func(d *Balancer) Time {
		return when(d.config.pollEndpoints && !d.discovery.watching, d.discovery.nextPoll)
	}, func(d *Balancer) {
		d.discovery.nextPoll = d.now + d.config.maxPollInterval
		d.effects.PollEndpoints()
	}},
	// Some open invocation may need its answer, or another forward.
	{func(d *Balancer) Time { return when(d.requests.live > 0, d.due.reviewAt) }, (*Balancer).reviewOpenRequests},
	// Held invocations go where there is room.
	{
		func(d *Balancer) Time {
			return when(d.due.capacityChanged && !d.discovery.endpointsStale && len(d.pending.ids) > 0, d.now)
		},
		(*Balancer).dispatchPending,
	},
	// Load reports come with probes alone, and each has its price: one for so many landings.
	{
		func(d *Balancer) Time {
			return when(d.config.probes && len(d.subsetting.ring) > 0 && d.loadProbes.arrivals >= d.loadProbes.nextAt, d.now)
		},
		func(d *Balancer) {
			d.loadProbes.nextAt = d.loadProbes.arrivals + arrivalsPerProbe
			d.effects.Probe(d.subsetting.ring[(d.config.position+d.loadProbes.arrivals/arrivalsPerProbe)%len(d.subsetting.ring)])
		},
	},
	// Messages get lost: now and then peers are told again, and the silent are forgotten.
	{func(d *Balancer) Time { return when(d.config.gossip && d.requests.live > 0, d.gossip.resendAt) }, (*Balancer).resendLoads},
	// Peers learn of changes in what is in flight here.
	{func(d *Balancer) Time { return when(len(d.gossip.changedLoads) > 0, d.gossip.sendLoadsAt) }, (*Balancer).sendChangedLoads},
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
	if next < d.due.wakeAt {
		d.due.wakeAt = next
		d.effects.Wake(uint64(next), next-d.now)
	}
}

func (d *Balancer) resendLoads() {
	d.gossip.resendAt = d.now + d.gossip.resendInterval
	old := func(h peerLoad) bool { return d.now-h.receivedAt > 2*d.gossip.resendInterval } // it has died or is cut off
	for _, w := range d.subsetting.ring {
		d.workers[w].peerLoads, d.workers[w].peerInFlight = slices.DeleteFunc(d.workers[w].peerLoads, old), 0
		for _, h := range d.workers[w].peerLoads {
			d.workers[w].peerInFlight += h.inFlight
		}
		d.markMaybeFree(w)
		if d.workers[w].inFlight > 0 {
			d.workers[w].sentLoad = -1 // so that it is told again
			d.markLoadChanged(w)
		}
	}
}

// observeSize keeps a bounded sample, the oldest dropping out, and cuts it anew; the unhinted get the median.
func (d *Balancer) observeSize(size Work) Work {
	if size <= 0 {
		return d.sizes.median
	}
	d.sizes.sample = append(d.sizes.sample, size)
	d.sizes.sample = d.sizes.sample[max(0, len(d.sizes.sample)-maxSample):]
	if d.sizes.sampled++; d.sizes.sampled%(maxSample/8) == 0 || d.sizes.sampled == minSample {
		d.updateCutPoints()
	}
	return size
}

// updateCutPoints sets the cut points so that each interval of sizes holds the same work.
func (d *Balancer) updateCutPoints() {
	sorted, total, sum := slices.Sorted(slices.Values(d.sizes.sample)), Work(0), Work(0)
	for _, s := range sorted {
		total += s
	}
	d.sizes.median, d.sizes.cutPoints, d.gossip.resendInterval = sorted[len(sorted)/2], d.sizes.cutPoints[:0], max(Second/2, 3*Time(total)/Time(len(sorted)))
	for _, s := range sorted {
		if d.sizes.sampled >= minSample && len(d.sizes.cutPoints) < intervals-1 && sum*intervals >= total*Work(len(d.sizes.cutPoints)+1) {
			d.sizes.cutPoints = append(d.sizes.cutPoints, s)
		}
		sum += s
	}
	slices.SortFunc(d.pending.ids, d.comparePriority)
}

// pickWorker turns the lane's rotation to the next worker with room, or borrows from the other parts. Those that it
// hears nothing of are tried last, and not for a run after a full one; where none tell, near ones only at first.
func (d *Balancer) pickWorker(i *request) (WorkerID, bool) {
	if !d.config.gossip { // a cold worker gets its part as it falls due: saved up, all might send it theirs at once
		if w, ok := d.pickFromSubset(i, wholeRing, true, true); ok {
			return w, ok
		}
	}
	for _, near := range [2]bool{d.config.crossZoneCost > 0 && (d.config.gossip || len(i.attempts) == 0), false} {
		for _, p := range [3]int{i.interval, bothIntervals, wholeRing} {
			if p == wholeRing && (d.slots.freeSlotRatio < 0.5 || d.now < d.gossip.unheardNotBefore) {
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
	o := &d.operations.byID[i.operation]
	for n, w := range d.maybeFreeWorkers(p) {
		fit := (!near || d.workers[w].zone == d.config.zone) && d.now >= d.zones[d.workers[w].zone].ejectedUntil &&
			(o.kind < 0 || o.kind == d.workers[w].kind) && (!due || d.warmupFactor(w) < 1) &&
			// What may not run again tries no worker out that may have run what failed there.
			(o.idempotency != NonIdempotent || d.workers[w].consecutiveFailures == 0 || !d.workers[w].possiblyExecuted || d.now >= d.workers[w].probeAfter+8*Second) &&
			// A cold worker is slow: nothing goes there that would be late by it alone.
			(i.late || d.sizes.median == 0 || float64(i.size)*(1/d.warmupFactor(w)-1-o.slack) <= float64(o.latencyObjective)) &&
			// What is beyond a share leaves room to others.
			float64(d.load(w)) < (1+i.quotaWeight)/2*d.slots.kinds[d.workers[w].kind].estimate
		if fit && d.isAvailable(w) && !d.exceedsMeanLoad(p, w) && d.withinWarmupBudget(w, i.size) && d.mayAttempt(i, w) &&
			(!due || d.workers[w].credit >= 1) {
			d.subsetting.subsets[p].roundRobin = (n + 1) % len(d.subsetting.subsets[p].workers)
			return w, true
		}
	}
	return 0, false
}

func (d *Balancer) isAvailable(w WorkerID) bool {
	return d.workers[w].state == Healthy && d.now >= max(d.workers[w].probeAfter, d.workers[w].notBefore) && d.workers[w].unstarted == 0 &&
		(d.workers[w].consecutiveFailures == 0 || d.workers[w].inFlight == 0) && float64(d.load(w)) < math.Round(d.slots.kinds[d.workers[w].kind].estimate)
}

func (d *Balancer) hearsLoadOf(w WorkerID) bool {
	return d.config.gossip && d.inSubset(bothIntervals, w)
}

// backOff keeps work from a worker, and from all unheard of if it is one of them: they may be full as well.
func (d *Balancer) backOff(w WorkerID, long Time) {
	if d.workers[w].probeAfter = d.now + long; !d.hearsLoadOf(w) {
		d.gossip.unheardNotBefore = d.now + long
	}
}

// overloadBackoff is how long a worker that is full is left alone. A cold one is for as long as what it is sent counts:
// what it turns away counts too, is in no load that peers tell of, and each of them would try it again.
func (d *Balancer) overloadBackoff(w WorkerID, op OperationID) Time {
	if mean := d.meanRunTime(op); d.confirmedWarmup(w, d.sizes.median) == 1 {
		return mean
	}
	return d.config.warmupWindow
}

func (d *Balancer) load(w WorkerID) int {
	return d.workers[w].inFlight + max(d.workers[w].peerInFlight, 0)
}

// warmupFactor is the share of its capacity that a worker surely has, by its age: no more than since it was heard
// again, where its process has ended.
func (d *Balancer) warmupFactor(w WorkerID) float64 {
	born := d.workers[w].startedAt
	if d.mayHaveRestarted(w) {
		born = max(born, min(d.workers[w].respondedAt, d.now))
	}
	if born == 0 || d.config.warmupDuration == 0 || d.now-born >= d.config.warmupDuration {
		return 1
	}
	return d.config.initialWarmup + (1-d.config.initialWarmup)*float64(max(d.now-born, 0))/float64(d.config.warmupDuration)
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
	sent, most := size, d.slots.kinds[d.workers[w].kind].maxObserved
	for _, s := range d.recentSends(w) {
		sent += s.work
	}
	budget := d.config.overloadFactor * warmth * most * float64(d.config.warmupWindow)
	if d.config.gossip {
		budget *= 1 - 1/d.config.overloadFactor - warmupSlack
		return d.hearsLoadOf(w) && float64(d.load(w)) < most && float64(size) <= budget/most && float64(sent) <= budget
	}
	if part := budget * (1 - warmupMargin) / float64(d.config.dispatchers); part >= d.config.meanObjective {
		return float64(sent) <= part
	}
	return d.warmupCredit(w, warmth) >= 1
}

// mayAttempt is the rule against double effects, for one more forward to w.
func (d *Balancer) mayAttempt(i *request, w WorkerID) bool {
	if i.closed || d.now >= i.deadline || len(i.attempts) >= d.config.maxAttempts-i.spentElsewhere || i.inFlight > 0 && !d.config.hedging {
		return false
	}
	o := &d.operations.byID[i.operation]
	for _, f := range i.attempts {
		if f.inFlight && f.worker == w {
			return false
		}
		if !f.inFlight && !f.mayHaveRun || o.idempotency == Idempotent {
			continue
		}
		group := o.dedupScope == ScopeAll || o.dedupScope == ScopeZone && d.workers[f.worker].zone == d.workers[w].zone ||
			o.dedupScope == ScopeCell && d.workers[f.worker].cell == d.workers[w].cell
		if o.idempotency == NonIdempotent || d.now >= f.sentAt+o.dedupWindow-d.config.margin || !group {
			return false
		}
	}
	return true
}

func (d *Balancer) mayReject(i *request) bool {
	o := &d.operations.byID[i.operation]
	return o.idempotency == Idempotent || o.idempotency == IdempotentByKey && o.dedupScope == ScopeAll ||
		!slices.ContainsFunc(i.attempts, func(f attempt) bool { return f.inFlight || f.mayHaveRun })
}

func (d *Balancer) dispatchPending() {
	d.due.capacityChanged = false
	for n := 0; n < min(len(d.pending.ids), len(d.subsetting.ring)) && d.anyAvailable(); n++ {
		if w, ok := d.pickWorker(&d.requests.byID[d.pending.ids[n]]); ok {
			inv := d.pending.ids[n]
			d.pending.ids, d.requests.byID[inv].queued = slices.Delete(d.pending.ids, n, n+1), false
			d.startAttempt(inv, w)
			n--
		}
	}
}

func (d *Balancer) comparePriority(a, b RequestID) int {
	i, j := &d.requests.byID[a], &d.requests.byID[b]
	return cmp.Or(cmp.Compare(d.priority(j), d.priority(i)), cmp.Compare(i.latestStart, j.latestStart))
}

// priority is what a unit of work earns of all that is asked for, and of what the operation that lost most asks.
func (d *Balancer) priority(i *request) float64 {
	v := d.operations.byID[i.operation].valueDensity
	if i.late {
		v *= d.operations.byID[i.operation].lateShare
	}
	if i.operation == d.operations.worst {
		v += d.config.worstOperationWeight * d.operations.totalValue / max(d.operations.byID[i.operation].requestedWork, 1)
	}
	return i.quotaWeight * v
}

func (d *Balancer) enqueue(inv RequestID) {
	n, _ := slices.BinarySearchFunc(d.pending.ids, inv, d.comparePriority)
	d.pending.ids, d.requests.byID[inv].queued = slices.Insert(d.pending.ids, n, inv), true
}

func (d *Balancer) startAttempt(inv RequestID, w WorkerID) {
	i := &d.requests.byID[inv]
	i.attempts = append(i.attempts, attempt{worker: w, sentAt: d.now, inFlight: true})
	i.inFlight++
	d.addInFlight(w, 1)
	if d.config.startNotices {
		d.workers[w].unstarted++
	}
	d.workers[w].sends, d.workers[w].credit = append(d.recentSends(w), send{sentAt: d.now, work: i.size}), max(d.workers[w].credit-1, 0)
	d.markLoadChanged(w)
	d.effects.SendAttempt(inv, w, 0)
}

func (d *Balancer) reviewOpenRequests() {
	d.due.reviewAt, d.due.capacityChanged = d.now+d.config.patience, true
	for inv := range d.requests.newestFirst() {
		i := &d.requests.byID[inv]
		f, hopeless := d.unstartedAttempt(i), max(i.latestStart+Time(hintConfidence*d.operations.byID[i.operation].slack*float64(i.size)), i.latestWaitedStart)
		if i.queued && !i.late && d.now > i.latestStart { // it goes behind those that may still be in time
			d.dequeue(inv)
			i.late = true
			d.enqueue(inv)
		}
		switch {
		case d.now >= i.deadline || i.inFlight == 0 && d.now > i.latestWaitedStart, // also where no outcome comes, and where
			f != nil && d.now > hopeless && d.queueingTime(f) >= d.config.margin && d.config.cancellation && d.mayReject(i): // it clogs a queue
			d.rejectOrFail(inv)
		case len(d.pending.ids) > 0:
		case f != nil && d.queueingTime(f) >= d.config.patience && d.now <= i.latestStart:
			d.migrateUnstarted(inv, f)
		case f == nil && i.inFlight == 1 && d.shouldHedge(i, i.attempts[len(i.attempts)-1]):
			if w, ok := d.pickWorker(i); ok && d.hearsLoadOf(w) && float64(d.load(w)) < d.slots.kinds[d.workers[w].kind].estimate/2 {
				d.startAttempt(inv, w)
			}
		}
		if !i.closed {
			d.due.reviewAt = min(d.due.reviewAt, i.deadline)
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
	if n := len(i.attempts) - 1; d.config.startNotices && i.inFlight == 1 && i.attempts[n].inFlight && i.attempts[n].startedAt == 0 {
		return &i.attempts[n]
	}
	return nil
}

// migrateUnstarted moves a forward that sits unstarted, its worker being full after all, to one with room.
func (d *Balancer) migrateUnstarted(inv RequestID, f *attempt) {
	i := &d.requests.byID[inv]
	if f.deliveredAt > 0 || !d.config.deliveryNotices {
		d.observeSlots(f.worker, d.load(f.worker), false)
	} else {
		d.observeDelivery(f)
	}
	if !d.hearsLoadOf(f.worker) { // nobody tells what others have there: it is taken to be full for about one run
		d.backOff(f.worker, d.meanRunTime(i.operation))
	}
	if w, ok := d.pickWorker(i); ok {
		d.startAttempt(inv, w)
		if d.config.cancellation {
			d.effects.CancelAttempt(inv, len(i.attempts)-2)
		}
	}
}

// rejectOrFail gives the final answer at once: throttled where that is permitted, else errored.
func (d *Balancer) rejectOrFail(inv RequestID) {
	i := &d.requests.byID[inv]
	d.operations.byID[i.operation].lostWork += float64(i.size)
	if o := &d.operations.byID[i.operation]; d.operations.worst < 0 || o.lostWork*d.operations.byID[d.operations.worst].requestedWork > d.operations.byID[d.operations.worst].lostWork*o.requestedWork {
		d.operations.worst = i.operation
		slices.SortFunc(d.pending.ids, d.comparePriority)
	}
	if d.mayReject(i) {
		d.effects.Reject(inv, d.operations.byID[i.operation].retryAfter)
	} else {
		d.effects.Fail(inv)
	}
	d.closeRequest(inv, -1)
}

func (d *Balancer) closeRequest(inv RequestID, keep int) {
	i := &d.requests.byID[inv]
	if i.closed {
		return
	}
	for n, f := range i.attempts {
		if f.inFlight && d.config.cancellation && n != keep {
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
	if d.config.reportFree >= 0 || d.warmupFactor(w) < 1 || d.config.gossip && !d.hearsLoadOf(w) { // reports tell, or others are not known
		return
	}
	k, sum, best, slots := d.workers[w].kind, 0, 0, d.slots.kinds[d.workers[w].kind].estimate
	d.slots.kinds[k].votes = append(d.slots.kinds[k].votes, make([]int, max(0, max(load, initialSlots)+1-len(d.slots.kinds[k].votes)))...)
	if d.slots.kinds[k].votes[load]--; atOnce {
		d.slots.kinds[k].votes[load] += 2
	}
	for n, v := range d.slots.kinds[k].votes {
		if sum += v; sum > best+1 {
			best, d.slots.kinds[k].maxObserved = sum, max(float64(n), 1)
		}
		if best = max(best, sum); sum > best-2 {
			slots = max(d.slots.kinds[k].maxObserved, float64(n))
		}
	}
	d.setSlots(k, slots)
}

// ReceiveLoadReport takes the slots that a load report shows. Reports are late, so they say nothing of the load now.
func (d *Balancer) ReceiveLoadReport(w WorkerID, r []float64) {
	if d.config.reportFree < 0 || len(r) == 0 || d.warmupFactor(w) < 1 {
		return
	}
	slots, k := r[d.config.reportFree], d.workers[w].kind
	d.slots.freeSlotRatio += learningRate * (min(max(math.Round(slots), 0), 1) - d.slots.freeSlotRatio) // nor less than none, whatever it says
	if d.config.reportInFlight >= 0 && d.config.reportQueue >= 0 {
		slots += r[d.config.reportInFlight] - r[d.config.reportQueue]
	}
	d.slots.kinds[k].maxObserved = max(d.slots.kinds[k].maxObserved, math.Round(slots))
	d.setSlots(k, d.slots.kinds[k].maxObserved)
}

// quotaWeight weighs an invocation by its customer's traffic here: which ones go beyond the share nobody can know.
func (d *Balancer) quotaWeight(c TenantID) float64 {
	long := max(2, quotaSample/d.quotas.tenants[c].quota) // in seconds
	d.quotas.tenants[c].usage, d.quotas.tenants[c].usageAt = d.quotas.tenants[c].usage*math.Exp(-float64(d.now-d.quotas.tenants[c].usageAt)/Second/long)+1, d.now
	within := min(1, quotaMargin*d.quotas.tenants[c].quota*long/d.quotas.tenants[c].usage)
	return within + (1-within)*d.config.overQuotaShare
}

func (d *Balancer) markLoadChanged(w WorkerID) {
	if d.config.gossip { // they are told once a full worker would have answered: then there is nothing to tell
		d.gossip.changedLoads, d.gossip.sendLoadsAt = append(d.gossip.changedLoads, w), min(d.gossip.sendLoadsAt, d.now+d.config.margin)
	}
}

func (d *Balancer) sendChangedLoads() {
	for _, w := range d.gossip.changedLoads {
		if d.workers[w].inFlight != d.workers[w].sentLoad {
			for peer := range d.subsetPeers(w) {
				d.effects.SendLoad(peer, Load{w, d.workers[w].inFlight})
			}
		}
		d.workers[w].sentLoad = d.workers[w].inFlight
	}
	d.gossip.changedLoads, d.gossip.sendLoadsAt = d.gossip.changedLoads[:0], never
}
