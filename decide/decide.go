// Package decide is the decision module. A caller makes a Dispatcher with New. For each input it sets the clock with Clock,
// calls the method that names what has happened, and Settle to go through the rules. Answers go out through
// Link meanwhile. The types are in types.go; what a Dispatcher remembers is in state.go.
package decide

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const never = Time(math.MaxInt64)

const (
	lanes       = 2      // intervals of equal work, each with its own block
	sampleMost  = 128    // own hints behind the cut points: older ones drop out
	sampleLeast = 50     // hints before lanes are cut
	passOver    = 2.0    // of the mean in flight per worker in the lane, taken as half a job at the least
	coldMargin  = 0.7    // of a cold worker's budget is kept back: hints are rough, a slot may be half a core
	coldSlack   = 0.1    // of it, where those who send there tell one another, beside what it may have done
	warmPace    = 0.7    // of its hint's pace at the least proves that a worker is warm: hints are rough
	hintTrust   = 0.5    // of the wait that a hint allows: hints are rough
	shareSample = 16     // landings of a customer within its share that tell its traffic from chance
	shareMargin = 1.5    // of a customer's share is let pass as chance
	learn       = 0.2    // weight of a new sample in a running figure
	slotsFirst  = 8.0    // slots believed before anything was refused or kept waiting
	probeEvery  = 2      // landings for a probe
	tellMost    = 0.0125 // of an invocation's billed value goes into telling peers of it
	askEvery    = 128    // calls for the list, of all dispatchers, in the time without asking that is allowed
	askSpread   = 0.6    // of that time at most is taken for one call of each
	reachTrust  = 3      // times the mean until a worker has what was sent: beyond it something is amiss
	zoneSilent  = 3      // forwards in a row that broke or found nobody in a zone, and none that began
)

// Clock sets the current time, which holds until the next call.
func (d *Dispatcher) Clock(now Time) { d.now = now }

// Landed takes a new invocation under a number that the caller chooses.
func (d *Dispatcher) Landed(inv Inv, l Landing) {
	d.invs = append(d.invs, make([]invocation, max(0, int(inv)+1-len(d.invs)))...)
	o, i := &d.ops[l.Operation], &d.invs[inv]
	o.longest = max(o.longest, l.Grace)
	*i = invocation{
		op: l.Operation, timeout: d.now + l.Grace - d.margin, forwards: i.forwards[:0],
		latest: d.now - (o.longest - l.Grace) + o.objective, // counted from the client's first try
		size:   Work(float64(l.Hint) * max(l.Slots, 1)), counts: d.counts(l.Customer),
	}
	// Where no hints come, sizes are those that were seen.
	i.size, i.late = cmp.Or(d.takeHint(i.size), Work(o.run)), d.now > i.latest
	i.until = d.waits(l.Operation, i.latest)
	if i.lane, _ = slices.BinarySearch(d.cuts, i.size+1); len(d.cuts) == 0 {
		i.lane = both
	}
	o.mean += max(learn/4, 1/float64(1+o.landed)) * (float64(i.size) - o.mean)
	if !i.late { // a client that comes again asks for nothing more than it did
		d.firsts++
	}
	o.landed, o.asked, d.landings = o.landed+1, o.asked+float64(i.size), d.landings+1
	o.density = o.value / math.Pow(max(o.mean, 1), d.perInv)
	d.worth += o.density * float64(i.size)
	d.addOpen(inv)
	d.hold(inv)
	d.room, d.sweepAt = true, min(d.sweepAt, d.now+d.patience, i.timeout)
}

// Started takes a start note. One that the settings do not announce changes nothing: the forward was never
// counted as waiting, and to count it as begun would keep its worker out for good.
func (d *Dispatcher) Started(inv Inv, n int) {
	if f := &d.invs[inv].forwards[n]; d.startNotes && f.out && f.started == 0 {
		f.started, d.room = d.now, true
		d.waiting[f.tgt]--
		d.lively(f.tgt)
		d.alive(f)
		d.touch(f.tgt)
		d.fits(f.tgt, d.load(f.tgt), d.queued(f) < d.patience)
	}
}

// Ended takes how forward n of an invocation ended. closed tells that its connection was closed with it.
func (d *Dispatcher) Ended(inv Inv, n int, how Outcome, closed bool) {
	i, f, w := &d.invs[inv], &d.invs[inv].forwards[n], d.invs[inv].forwards[n].tgt
	f.out, f.ran, d.room = false, !how.neverRan(), true
	i.out--
	d.shift(w, -1)
	d.note(w)
	if f.started == 0 && d.startNotes {
		d.waiting[w]--
	}
	switch how {
	case Succeeded:
		d.fails[w], d.ruined[w] = 0, false
		d.lively(w)
		d.alive(f)
		d.prove(w, i, d.now-max(f.sent, f.started))
	case Full:
		d.alive(f)
		d.fits(w, d.load(w)+1, false)
		d.rest(w, d.untilRoom(w, i.op)) // until a slot comes free, or forwards are used up there
	case WorkerError, NoConnection, Refused, Reset: // a crash, a cut link, a program that fails all at once
		if how == Refused {
			d.ended(w)
		}
		if d.ruined[w] = d.ruined[w] || f.ran; how != WorkerError {
			d.silent(w)
		}
		if d.fails[w] > 0 && d.now < d.trialAt[w] { // one failure ends all that is out there
		} else if d.fails[w]++; how.neverRan() || d.fails[w] > 1 { // nothing until a trial, ever later
			d.trialAt[w] = d.now + Second<<min(d.fails[w]-1, 3)
			d.link.Log(fmt.Sprintf("worker %d suspected down, failure %d", w, d.fails[w]))
		}
	}
	able := func(w Worker) bool { return d.state[w] == Healthy && d.mayForward(i, w) }
	switch {
	case closed:
		d.end(inv, n)
	case i.over || i.out > 0:
	case slices.ContainsFunc(d.ring, able):
		d.hold(inv)
	default:
		d.giveUp(inv)
	}
}

// silent counts a forward that broke or found nobody for its worker's zone. A zone that is lost is still
// listed for seconds, and an invocation has not forwards enough to find out worker by worker.
func (d *Dispatcher) silent(w Worker) {
	z := d.workerZone[w]
	other := func(w Worker) bool {
		return d.workerZone[w] != z && d.state[w] == Healthy && d.now >= d.zoneAt[d.workerZone[w]]
	}
	if d.quiet[z]++; d.quiet[z] >= zoneSilent && d.now >= d.zoneAt[z] && slices.ContainsFunc(d.ring, other) {
		d.zoneAt[z] = d.now + Second<<min(d.quiet[z]-zoneSilent, 3)
		d.link.Log(fmt.Sprintf("zone %d suspected lost, failure %d", z, d.quiet[z]))
	}
}

func (d *Dispatcher) lively(w Worker) { d.quiet[d.workerZone[w]], d.zoneAt[d.workerZone[w]] = 0, 0 }

// alive takes an answer to a forward that was sent since the worker's process was seen to have ended.
func (d *Dispatcher) alive(f *forward) {
	if d.aliveAt[f.tgt] == never && f.sent >= d.endedAt[f.tgt] {
		d.aliveAt[f.tgt] = d.now
	}
}

// ended takes it that the process at a worker has ended: the next one is cold, and the list tells so late. As
// long as no list is followed, the others in its zone may have ended with it (a power loss), but for those
// where something runs; any start that a list tells of them later is newer.
func (d *Dispatcher) ended(w Worker) {
	d.endedAt[w], d.aliveAt[w], d.proved[w], d.saves[w] = d.now, never, 0, false
	for _, o := range d.ring {
		if !d.subscribed && d.workerZone[o] == d.workerZone[w] && d.endedAt[o] == 0 &&
			d.own[o] <= d.waiting[o] {
			d.endedAt[o], d.aliveAt[o], d.proved[o] = 1, never, 0
		}
	}
}

// anew tells whether the process at a worker may be newer than the list has told, as one that is followed does.
func (d *Dispatcher) anew(w Worker) bool {
	told := d.subscribed && d.now >= max(d.followed, d.endedAt[w])+d.askWithin
	return d.endedAt[w] > 0 && !told
}

// Left ends an invocation whose client has gone. flowing is the number of a forward that goes on, or -1.
func (d *Dispatcher) Left(inv Inv, flowing int) { d.end(inv, flowing) }

// Woke takes the end of a wait that was requested through Link.Wake with the same key.
func (d *Dispatcher) Woke(key uint64) {
	if Time(key) == d.wakeAt {
		d.wakeAt = never
	}
}

// ListFailed takes that a call for the list of workers failed, and schedules the next one.
func (d *Dispatcher) ListFailed() {
	// It is overloaded or away: later and later, so as not to flood it. All have failed with us, and a call
	// given up costs it as much as one that is answered: so all together no faster than at a start.
	d.asks, d.subscribed = d.asks+1, false
	wait := min(Second/2<<min(d.asks, 4)+d.spread<<min(d.asks-1, 4), d.askWithin*4/5<<min(max(d.busy-2, 0), 2))
	if d.busy == 0 { // what it has to tell counts as told soon after it could be had again
		wait = min(wait, d.againWithin/d.haste)
	}
	d.unsure, d.room = false, true
	d.askAt = d.now + wait/4 + Time(d.chance()%uint64(wait*3/4+1))
}

// Listed takes a list or a change to it; answer tells whether it may be the answer to a subscription.
func (d *Dispatcher) Listed(entries []Entry, whole, answer bool) {
	if answer {
		if d.asks, d.answered, d.unsure = 0, true, false; !d.subscribed {
			d.subscribed, d.followed = true, d.now
		}
	} else if len(entries) > 0 { // a list to start with: each of those that may start with us asks in its turn
		d.askAt = d.now + d.firstSpread*Time(d.position)/Time(d.dispatchers)
		d.unsure = d.listFirst && !d.answered && d.asks == 0 // who drains or is gone may have been told since
	}
	for w := 0; whole && w < len(d.state); w++ {
		d.state[w] = Gone
	}
	for _, e := range entries {
		for int(e.Tgt) >= len(d.hash) {
			d.addWorker()
		}
		for int(e.Zone) >= len(d.quiet) {
			d.quiet, d.zoneAt, d.reach = append(d.quiet, 0), append(d.zoneAt, 0), append(d.reach, Time(d.unit/reachTrust))
		}
		w, h := e.Tgt, fnv.New64a()
		h.Write([]byte(e.ID))
		if e.Born > d.born[w] { // a restart: what was known of the process is void, and it is cold
			d.saves[w], d.ruined[w] = false, false
			if d.born[w], d.fails[w], d.trialAt[w] = e.Born, 0, 0; e.Born >= d.endedAt[w] {
				d.endedAt[w] = 0
			}
		}
		d.hash[w], d.workerZone[w], d.kind[w], d.cell[w], d.state[w] = h.Sum64(), e.Zone, e.Kind, e.Cell, e.State
	}
	d.ring = d.ring[:0]
	for w, state := range d.state {
		if state != Gone {
			d.ring = append(d.ring, Worker(w))
		}
	}
	slices.SortFunc(d.ring, func(a, b Worker) int { return cmp.Compare(d.hash[a], d.hash[b]) })
	d.part()
	d.room = true
}

// part finds this dispatcher's part of each lane's block, all of it where dispatchers are few, and who has
// a worker in theirs: they alone are told, so that the price of telling does not grow with the dispatchers.
func (d *Dispatcher) part() {
	every := d.dispatchers
	d.parts[both], d.parts[all] = d.parts[both][:0], d.ring
	for l := range lanes {
		block := d.ring[len(d.ring)*l/lanes : len(d.ring)*(l+1)/lanes] // the same at every dispatcher
		m, first := len(block), len(block)*d.position/every
		width := min(m, (m*d.keepers+every-1)/every)
		d.parts[l] = d.parts[l][:0]
		for n, w := range block {
			d.keep[w] = [2]int{((n-width+1+m)*every + m - 1) / m, ((n+1+m)*every + m - 1) / m}
			if n < width {
				d.parts[l] = append(d.parts[l], block[(first+n)%m])
			}
		}
		d.parts[both] = append(d.parts[both], d.parts[l]...)
	}
	for p := range d.parts {
		d.index(p)
	}
}

// Heard takes what another dispatcher has in flight at a worker.
func (d *Dispatcher) Heard(from Peer, l Load) {
	d.meet(from, false)
	heard := d.heard[l.Tgt]
	n := slices.IndexFunc(heard, func(h hearing) bool { return h.from == from })
	if n < 0 {
		n, heard = len(heard), append(heard, hearing{from: from})
	}
	if l.InFlight < heard[n].inFlight {
		if d.room = true; d.warmth(l.Tgt) < 1 && float64(d.load(l.Tgt)) >= d.most[d.kind[l.Tgt]] {
			d.queueUp(l.Tgt)
		}
	}
	d.others[l.Tgt] += l.InFlight - heard[n].inFlight
	heard[n].inFlight, heard[n].at, d.heard[l.Tgt] = l.InFlight, d.now, heard
	d.touch(l.Tgt)
}

// queueUp lets those who hear that a full cold worker has room again try one after the other, each once it
// would know of the one before: else all of them send there at once, and what is sent counts even if it finds
// the worker full. The one whose forward ended there goes first, by knowing first.
func (d *Dispatcher) queueUp(w Worker) {
	keepers := max(d.keep[w][1]-d.keep[w][0], 1)
	place := (Time(d.position) + d.now/Second) % Time(keepers)
	d.openAt[w] = d.now + place*d.patience/2
	d.sweepAt = min(d.sweepAt, d.openAt[w])
}

// The rules, in order: when each is due, and what it does. After every input they are gone through from the
// top until none is due; then a wake is asked for, for the one that will be due first.
var rules = []struct {
	due func(*Dispatcher) Time
	do  func(*Dispatcher)
}{
	// The list must be asked for, and asked for again where no answer comes.
	{func(d *Dispatcher) Time { return when(d.askForList && !d.subscribed, d.askAt) }, func(d *Dispatcher) {
		d.askAt = d.now + d.askWithin
		d.link.Subscribe()
	}},
	// Some open invocation may need its answer, or another forward.
	{func(d *Dispatcher) Time { return when(d.open.live > 0, d.sweepAt) }, (*Dispatcher).sweep},
	// Held invocations go where there is room.
	{
		func(d *Dispatcher) Time { return when(d.room && !d.unsure && len(d.held) > 0, d.now) },
		(*Dispatcher).placeHeld,
	},
	// Load reports come with probes alone, and each has its price: one for so many landings.
	{
		func(d *Dispatcher) Time { return when(d.probes && len(d.ring) > 0 && d.landings >= d.probeAt, d.now) },
		func(d *Dispatcher) {
			d.probeAt = d.landings + probeEvery
			d.link.Probe(d.ring[(d.position+d.landings/probeEvery)%len(d.ring)])
		},
	},
	// Messages get lost: now and then peers are told again, and the silent are forgotten.
	{func(d *Dispatcher) Time { return when(d.peers && d.open.live > 0, d.refreshAt) }, (*Dispatcher).refresh},
	// Peers learn of changes in what is in flight here.
	{func(d *Dispatcher) Time { return when(len(d.changed) > 0, d.tellAt) }, (*Dispatcher).tell},
}

func when(condition bool, at Time) Time {
	if condition {
		return at
	}
	return never
}

// Settle applies all rules that are due, until none is, and requests a wake-up for the next one.
func (d *Dispatcher) Settle() {
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
		d.link.Wake(uint64(next), next-d.now)
	}
}

func (d *Dispatcher) refresh() {
	d.refreshAt = d.now + d.every
	old := func(h hearing) bool { return d.now-h.at > 2*d.every } // it has died or is cut off
	for _, w := range d.ring {
		d.heard[w], d.others[w] = slices.DeleteFunc(d.heard[w], old), 0
		for _, h := range d.heard[w] {
			d.others[w] += h.inFlight
		}
		d.touch(w)
		if d.own[w] > 0 {
			d.toldOf[w] = -1 // so that it is told again
			d.note(w)
		}
	}
}

// takeHint keeps a bounded sample, the oldest dropping out, and cuts it anew; the unhinted get the median.
func (d *Dispatcher) takeHint(size Work) Work {
	if size <= 0 {
		return d.median
	}
	d.sample = append(d.sample, size)
	d.sample = d.sample[max(0, len(d.sample)-sampleMost):]
	if d.sampled++; d.sampled%(sampleMost/8) == 0 || d.sampled == sampleLeast {
		d.cut()
	}
	return size
}

// cut sets the cut points so that each interval of sizes holds the same work.
func (d *Dispatcher) cut() {
	sorted, total, sum := slices.Sorted(slices.Values(d.sample)), Work(0), Work(0)
	for _, s := range sorted {
		total += s
	}
	d.median, d.cuts, d.every = sorted[len(sorted)/2], d.cuts[:0], max(Second/2, 3*Time(total)/Time(len(sorted)))
	for _, s := range sorted {
		if d.sampled >= sampleLeast && len(d.cuts) < lanes-1 && sum*lanes >= total*Work(len(d.cuts)+1) {
			d.cuts = append(d.cuts, s)
		}
		sum += s
	}
	slices.SortFunc(d.held, d.order)
}

// choose turns the lane's rotation to the next worker with room, or borrows from the other parts. Those that it
// hears nothing of are tried last, and not for a run after a full one; where none tell, near ones only at first.
func (d *Dispatcher) choose(i *invocation) (Worker, bool) {
	if !d.peers { // a cold worker gets its part as it falls due: saved up, all might send it theirs at once
		if w, ok := d.rotate(i, all, true, true); ok {
			return w, ok
		}
	}
	for _, near := range [2]bool{d.crossing > 0 && (d.peers || len(i.forwards) == 0), false} {
		for _, p := range [3]int{i.lane, both, all} {
			if p == all && (d.luck < 0.5 || d.now < d.blindAt) {
				continue
			}
			if w, ok := d.rotate(i, p, near, false); ok {
				return w, true
			}
		}
	}
	return 0, false
}

func (d *Dispatcher) rotate(i *invocation, p int, near, due bool) (Worker, bool) {
	o := &d.ops[i.op]
	for n, w := range d.roomy(p) {
		fit := (!near || d.workerZone[w] == d.zone) && d.now >= d.zoneAt[d.workerZone[w]] &&
			(o.kind < 0 || o.kind == d.kind[w]) && (!due || d.warmth(w) < 1) &&
			// What may not run again tries no worker out that may have run what failed there.
			(o.repeat != NonIdempotent || d.fails[w] == 0 || !d.ruined[w] || d.now >= d.trialAt[w]+8*Second) &&
			// A cold worker is slow: nothing goes there that would be late by it alone.
			(i.late || d.median == 0 || float64(i.size)*(1/d.warmth(w)-1-o.slack) <= float64(o.objective)) &&
			// What is beyond a share leaves room to others.
			float64(d.load(w)) < (1+i.counts)/2*d.slots[d.kind[w]]
		if fit && d.idle(w) && !d.passedOver(p, w) && d.withinCold(w, i.size) && d.mayForward(i, w) &&
			(!due || d.credit[w] >= 1) {
			d.turn[p] = (n + 1) % len(d.parts[p])
			return w, true
		}
	}
	return 0, false
}

func (d *Dispatcher) idle(w Worker) bool {
	return d.state[w] == Healthy && d.now >= max(d.trialAt[w], d.openAt[w]) && d.waiting[w] == 0 &&
		(d.fails[w] == 0 || d.own[w] == 0) && float64(d.load(w)) < math.Round(d.slots[d.kind[w]])
}

func (d *Dispatcher) told(w Worker) bool { return d.peers && d.within(both, w) }

// rest keeps work from a worker, and from all unheard of if it is one of them: they may be full as well.
func (d *Dispatcher) rest(w Worker, long Time) {
	if d.trialAt[w] = d.now + long; !d.told(w) {
		d.blindAt = d.now + long
	}
}

// untilRoom is how long a worker that is full is left alone. A cold one is for as long as what it is sent counts:
// what it turns away counts too, is in no load that peers tell of, and each of them would try it again.
func (d *Dispatcher) untilRoom(w Worker, op Operation) Time {
	if mean := d.meanRun(op); d.sureWarmth(w, d.median) == 1 {
		return mean
	}
	return d.span
}

func (d *Dispatcher) load(w Worker) int { return d.own[w] + max(d.others[w], 0) }

// warmth is the share of its capacity that a worker surely has, by its age: no more than since it was heard
// again, where its process has ended.
func (d *Dispatcher) warmth(w Worker) float64 {
	born := d.born[w]
	if d.anew(w) {
		born = max(born, min(d.aliveAt[w], d.now))
	}
	if born == 0 || d.ramp == 0 || d.now-born >= d.ramp {
		return 1
	}
	return d.coldFrom + (1-d.coldFrom)*float64(max(d.now-born, 0))/float64(d.ramp)
}

// withinCold keeps what all may send a cold worker within the span to its budget. Where peers tell, those
// send there who are told of it, as long as fewer forwards are out there than its kind was seen to work on,
// and none is larger than its part of the budget: what is out was sent within the span at the worst, and what
// ended within it was no more than the worker can do. Without messages each has its part of it; where there are
// so many that a part would hold no invocation, each sends there by its part of what lands.
func (d *Dispatcher) withinCold(w Worker, size Work) bool {
	warmth := d.sureWarmth(w, size)
	if warmth == 1 {
		return true
	}
	sent, most := size, d.most[d.kind[w]]
	for _, s := range d.spentSince(w) {
		sent += s.work
	}
	budget := d.multiple * warmth * most * float64(d.span)
	if d.peers {
		budget *= 1 - 1/d.multiple - coldSlack
		return d.told(w) && float64(d.load(w)) < most && float64(size) <= budget/most && float64(sent) <= budget
	}
	if part := budget * (1 - coldMargin) / float64(d.dispatchers); part >= d.unit {
		return float64(sent) <= part
	}
	return d.credited(w, warmth) >= 1
}

// mayForward is the rule against double effects, for one more forward to w.
func (d *Dispatcher) mayForward(i *invocation, w Worker) bool {
	if i.over || d.now >= i.timeout || len(i.forwards) >= d.forwardsMost-i.beyond || i.out > 0 && !d.copies {
		return false
	}
	o := &d.ops[i.op]
	for _, f := range i.forwards {
		if f.out && f.tgt == w {
			return false
		}
		if !f.out && !f.ran || o.repeat == Idempotent {
			continue
		}
		group := o.scope == ScopeAll || o.scope == ScopeZone && d.workerZone[f.tgt] == d.workerZone[w] ||
			o.scope == ScopeCell && d.cell[f.tgt] == d.cell[w]
		if o.repeat == NonIdempotent || d.now >= f.sent+o.window-d.margin || !group {
			return false
		}
	}
	return true
}

func (d *Dispatcher) mayThrottle(i *invocation) bool {
	o := &d.ops[i.op]
	return o.repeat == Idempotent || o.repeat == Deduplicated && o.scope == ScopeAll ||
		!slices.ContainsFunc(i.forwards, func(f forward) bool { return f.out || f.ran })
}

func (d *Dispatcher) placeHeld() {
	d.room = false
	for n := 0; n < min(len(d.held), len(d.ring)) && d.anyIdle(); n++ {
		if w, ok := d.choose(&d.invs[d.held[n]]); ok {
			inv := d.held[n]
			d.held, d.invs[inv].held = slices.Delete(d.held, n, n+1), false
			d.forward(inv, w)
			n--
		}
	}
}

func (d *Dispatcher) order(a, b Inv) int {
	i, j := &d.invs[a], &d.invs[b]
	return cmp.Or(cmp.Compare(d.value(j), d.value(i)), cmp.Compare(i.latest, j.latest))
}

// value is what a unit of work earns of all that is asked for, and of what the operation that lost most asks.
func (d *Dispatcher) value(i *invocation) float64 {
	v := d.ops[i.op].density
	if i.late {
		v *= d.ops[i.op].tardy
	}
	if i.op == d.worst {
		v += d.worstWeight * d.worth / max(d.ops[i.op].asked, 1)
	}
	return i.counts * v
}

func (d *Dispatcher) hold(inv Inv) {
	n, _ := slices.BinarySearchFunc(d.held, inv, d.order)
	d.held, d.invs[inv].held = slices.Insert(d.held, n, inv), true
}

func (d *Dispatcher) forward(inv Inv, w Worker) {
	i := &d.invs[inv]
	i.forwards = append(i.forwards, forward{tgt: w, sent: d.now, out: true})
	i.out++
	d.shift(w, 1)
	if d.startNotes {
		d.waiting[w]++
	}
	d.spent[w], d.credit[w] = append(d.spentSince(w), spend{at: d.now, work: i.size}), max(d.credit[w]-1, 0)
	d.note(w)
	d.link.Forward(inv, w, 0)
}

func (d *Dispatcher) sweep() {
	d.sweepAt, d.room = d.now+d.patience, true
	for inv := range d.open.latest() {
		i := &d.invs[inv]
		f, hopeless := d.unstarted(i), max(i.latest+Time(hintTrust*d.ops[i.op].slack*float64(i.size)), i.until)
		if i.held && !i.late && d.now > i.latest { // it goes behind those that may still be in time
			d.letGo(inv)
			i.late = true
			d.hold(inv)
		}
		switch {
		case d.now >= i.timeout || i.out == 0 && d.now > i.until, // also where no outcome comes, and where
			f != nil && d.now > hopeless && d.queued(f) >= d.margin && d.cancels && d.mayThrottle(i): // it clogs a queue
			d.giveUp(inv)
		case len(d.held) > 0:
		case f != nil && d.queued(f) >= d.patience && d.now <= i.latest:
			d.rescue(inv, f)
		case f == nil && i.out == 1 && d.overdue(i, i.forwards[len(i.forwards)-1]):
			if w, ok := d.choose(i); ok && d.told(w) && float64(d.load(w)) < d.slots[d.kind[w]]/2 {
				d.forward(inv, w)
			}
		}
		if !i.over {
			d.sweepAt = min(d.sweepAt, i.timeout)
		}
	}
}

// overdue tells of work that has run for half of its time: its worker is slow, or will say nothing more. A
// second copy, where there is room to spare, brings an answer. Any sooner it would copy sound work: hints are
// rough, and what runs for four times its hint is mostly just heavy.
func (d *Dispatcher) overdue(i *invocation, f forward) bool {
	return f.out && f.started > 0 && d.now-f.started > i.timeout-d.now
}

// unstarted finds the only forward out, if its worker would tell of a start and has not.
func (d *Dispatcher) unstarted(i *invocation) *forward {
	if n := len(i.forwards) - 1; d.startNotes && i.out == 1 && i.forwards[n].out && i.forwards[n].started == 0 {
		return &i.forwards[n]
	}
	return nil
}

// rescue moves a forward that sits unstarted, its worker being full after all, to one with room.
func (d *Dispatcher) rescue(inv Inv, f *forward) {
	i := &d.invs[inv]
	if f.taken > 0 || !d.takes {
		d.fits(f.tgt, d.load(f.tgt), false)
	} else {
		d.learnReach(f)
	}
	if !d.told(f.tgt) { // nobody tells what others have there: it is taken to be full for about one run
		d.rest(f.tgt, d.meanRun(i.op))
	}
	if w, ok := d.choose(i); ok {
		d.forward(inv, w)
		if d.cancels {
			d.link.Cancel(inv, len(i.forwards)-2)
		}
	}
}

// giveUp gives the final answer at once: throttled where that is permitted, else errored.
func (d *Dispatcher) giveUp(inv Inv) {
	i := &d.invs[inv]
	d.ops[i.op].lost += float64(i.size)
	if o := &d.ops[i.op]; d.worst < 0 || o.lost*d.ops[d.worst].asked > d.ops[d.worst].lost*o.asked {
		d.worst = i.op
		slices.SortFunc(d.held, d.order)
	}
	if d.mayThrottle(i) {
		d.link.Throttle(inv, d.ops[i.op].comeBack)
	} else {
		d.link.Error(inv)
	}
	d.end(inv, -1)
}

func (d *Dispatcher) end(inv Inv, keep int) {
	i := &d.invs[inv]
	if i.over {
		return
	}
	for n, f := range i.forwards {
		if f.out && d.cancels && n != keep {
			d.link.Cancel(inv, n)
		}
	}
	if i.over = true; i.held {
		d.letGo(inv)
	}
	d.dropOpen(inv)
}

// fits takes a start at once, or a wait, at a load as a vote on the slots of a kind: as many are believed as
// agree with most votes, but for one, since single waits come of forwards not heard of yet.
func (d *Dispatcher) fits(w Worker, load int, atOnce bool) {
	if d.atFree >= 0 || d.warmth(w) < 1 || d.peers && !d.told(w) { // reports tell, or others are not known
		return
	}
	k, sum, best, slots := d.kind[w], 0, 0, d.slots[d.kind[w]]
	d.votes[k] = append(d.votes[k], make([]int, max(0, max(load, slotsFirst)+1-len(d.votes[k])))...)
	if d.votes[k][load]--; atOnce {
		d.votes[k][load] += 2
	}
	for n, v := range d.votes[k] {
		if sum += v; sum > best+1 {
			best, d.most[k] = sum, max(float64(n), 1)
		}
		if best = max(best, sum); sum > best-2 {
			slots = max(d.most[k], float64(n))
		}
	}
	d.believe(k, slots)
}

// Reported takes the slots that a load report shows. Reports are late, so they say nothing of the load now.
func (d *Dispatcher) Reported(w Worker, r []float64) {
	if d.atFree < 0 || len(r) == 0 || d.warmth(w) < 1 {
		return
	}
	slots, k := r[d.atFree], d.kind[w]
	d.luck += learn * (min(max(math.Round(slots), 0), 1) - d.luck) // nor less than none, whatever it says
	if d.atInFlight >= 0 && d.atQueue >= 0 {
		slots += r[d.atInFlight] - r[d.atQueue]
	}
	d.most[k] = max(d.most[k], math.Round(slots))
	d.believe(k, d.most[k])
}

// counts weighs an invocation by its customer's traffic here: which ones go beyond the share nobody can know.
func (d *Dispatcher) counts(c Customer) float64 {
	long := max(2, shareSample/d.quota[c]) // in seconds
	d.used[c], d.usedAt[c] = d.used[c]*math.Exp(-float64(d.now-d.usedAt[c])/Second/long)+1, d.now
	within := min(1, shareMargin*d.quota[c]*long/d.used[c])
	return within + (1-within)*d.surplusShare
}

func (d *Dispatcher) note(w Worker) {
	if d.peers { // they are told once a full worker would have answered: then there is nothing to tell
		d.changed, d.tellAt = append(d.changed, w), min(d.tellAt, d.now+d.margin)
	}
}

func (d *Dispatcher) tell() {
	for _, w := range d.changed {
		if d.own[w] != d.toldOf[w] {
			for peer := range d.keeping(w) {
				d.link.Tell(peer, Load{w, d.own[w]})
			}
		}
		d.toldOf[w] = d.own[w]
	}
	d.changed, d.tellAt = d.changed[:0], never
}
