package balancer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Action is what a pick tells a client's goroutine to do.
type Action uint8

// The values of Verb.
const (
	SendAttempt   Action = iota + 1 // one forward to Tgt, under Ctx; it is to report as number N
	RespondResult                   // give the client the result of forward N
	RespondRejected
	RespondFailed
	RespondElsewhere // another process goes on with it: no answer from here
)

// Decision is the answer to a pick.
type Decision struct {
	Action      Action
	Worker      WorkerID
	Attempt     int
	Ctx         context.Context // of a Send: ends when the forward is called off or the client's time is up
	Idempotency Idempotency     // of a Send: whether it may run again, and so how sure its connection should be
	SendBy      time.Time       // of a Send: it has to be sent by then, as the retry window closes; zero where none does
	RetryAfter  Time            // of RespondRejected: how long the client should stay away, 0 for no advice
}

// ErrAttemptCanceled is the cause of a forward's context that a decision has ended.
var ErrAttemptCanceled = errors.New("forward called off")

// LoadUpdate for one peer of the load here.
type LoadUpdate struct {
	To    PeerID
	Loads []Load
}

// Picker lets goroutines that may block use one Balancer: they pick, report and tick. It serializes their
// calls, keeps the numbers of invocations, and turns the answers of the rules into what a pick returns.
type Picker struct {
	mu       sync.Mutex
	balancer *Balancer
	clock    func() Time
	log      func(string)

	handles   []*RequestHandle
	freeIDs   []RequestID
	openCount int
	siblings  [siblingRoles]inFlightByWorker
	stopAt    Time // no answer is possible later; never, but for a dispatcher that ends
	lifetime  context.Context
	cancelAll context.CancelCauseFunc

	wakeKey          uint64
	wakeAt           Time
	wakeChanged      chan struct{}
	pollDue          chan struct{}
	probes           chan WorkerID
	loadUpdates      []LoadUpdate
	loadUpdatesReady chan struct{}
}

// RequestHandle is one invocation that has landed.
type RequestHandle struct {
	picker    *Picker
	id        RequestID
	deadline  time.Time
	decisions []Decision
	ready     chan struct{}
	cancels   []context.CancelCauseFunc
	reported  []bool
	sent      []bool // to the last byte
	inFlight  int
	closed    bool
}

// NewPicker makes a dispatcher; log takes its remarks.
func NewPicker(t Config, seed uint64, clock func() Time, log func(string)) *Picker {
	f := &Picker{
		clock: clock, log: log, wakeAt: never, stopAt: never, wakeChanged: make(chan struct{}, 1),
		pollDue: make(chan struct{}, 1), probes: make(chan WorkerID, 64), loadUpdatesReady: make(chan struct{}, 1),
	}
	f.balancer = New(t, seed, pickerEffects{f})
	f.lifetime, f.cancelAll = context.WithCancelCause(context.Background())
	return f
}

// update makes one call under the lock, and goes through the rules.
func (f *Picker) update(call func(*Balancer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.SetTime(f.clock())
	call(f.balancer)
	f.balancer.RunDueRules()
}

// Submit takes an invocation in. Its holder has to Pick until an answer comes.
func (f *Picker) Submit(l Arrival) *RequestHandle {
	return f.submit(l, func(*Balancer, *RequestHandle) {})
}

func (f *Picker) submit(l Arrival, then func(*Balancer, *RequestHandle)) *RequestHandle {
	t := &RequestHandle{picker: f, ready: make(chan struct{}, 1), deadline: time.Now().Add(l.Timeout.Duration())}
	f.update(func(d *Balancer) {
		f.assignID(t)
		l.Timeout = min(l.Timeout, f.stopAt-d.now)
		d.RequestArrived(t.id, l)
		then(d, t)
	})
	return t
}

// assignID gives a ticket a number that no other open one has.
func (f *Picker) assignID(t *RequestHandle) {
	if n := len(f.freeIDs); n > 0 {
		t.id, f.freeIDs = f.freeIDs[n-1], f.freeIDs[:n-1]
		f.handles[t.id] = t
	} else {
		t.id = RequestID(len(f.handles))
		f.handles = append(f.handles, t)
	}
	f.openCount++
}

// Pick blocks until the next choice for the invocation. When ctx ends first the client has left.
func (t *RequestHandle) Pick(ctx context.Context) (Decision, error) {
	for {
		if c, ok := t.next(); ok {
			return c, nil
		}
		select {
		case <-t.ready:
		case <-ctx.Done():
			t.clientLeft()
			return Decision{}, context.Cause(ctx)
		}
	}
}

// clientLeft ends the invocation without an answer.
func (t *RequestHandle) clientLeft() {
	t.picker.update(func(d *Balancer) {
		if !t.closed {
			t.closed = true
			d.ClientLeft(t.id, -1)
			t.cancelUnsent()
		}
		for _, c := range t.decisions { // nobody will send these any more
			if c.Action == SendAttempt {
				t.attemptEnded(c.Attempt, NotSent)
			}
		}
		t.decisions = nil
		t.release()
	})
}

// next takes the first choice that still holds. It guards against a forward that goes out after the answer:
// one that was not picked before the invocation was over is never sent.
func (t *RequestHandle) next() (Decision, bool) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	for len(t.decisions) > 0 {
		c := t.decisions[0]
		t.decisions = t.decisions[1:]
		switch {
		case c.Action != SendAttempt:
			t.release()
			return c, true
		case !t.closed:
			return c, true
		}
		t.attemptEnded(c.Attempt, NotSent)
	}
	return Decision{}, false
}

// cancelUnsent calls off what is on its way to a worker, and has not been sent to its last byte, whatever the
// settings say of calling off: it has never run. It guards against one that goes out after its client left,
// or was answered, as its connection came up late or a disk was slow.
func (t *RequestHandle) cancelUnsent() {
	for n, sent := range t.sent {
		if !sent && !t.reported[n] {
			t.cancels[n](ErrAttemptCanceled)
		}
	}
}

// ReportSent tells that forward n has been sent to its last byte.
func (t *RequestHandle) ReportSent(n int) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	t.sent[n] = true
}

// ReportDelivered tells that the worker has forward n, whether it has begun it or not.
func (t *RequestHandle) ReportDelivered(n int) {
	t.picker.update(func(d *Balancer) {
		if !t.reported[n] {
			d.AttemptDelivered(t.id, n)
		}
	})
}

// ReportStarted tells that the worker has begun forward n.
func (t *RequestHandle) ReportStarted(n int) {
	t.picker.update(func(d *Balancer) {
		if !t.reported[n] {
			d.AttemptStarted(t.id, n)
		}
	})
}

// Report tells how forward n ended, once. It returns whether the result of this one is the client's answer.
func (t *RequestHandle) Report(n int, how Outcome) (answers bool) {
	t.picker.update(func(d *Balancer) {
		if t.reported[n] {
			return
		}
		if answers = how == Succeeded && !t.closed; answers {
			t.respond(Decision{Action: RespondResult, Attempt: n})
		}
		t.attemptEnded(n, how)
		t.release()
	})
	return answers
}

func (t *RequestHandle) attemptEnded(n int, how Outcome) {
	t.reported[n] = true
	t.inFlight--
	t.cancels[n](nil)
	t.picker.balancer.AttemptEnded(t.id, n, how, t.closed)
}

func (t *RequestHandle) respond(c Decision) {
	t.closed = true
	t.cancelUnsent()
	t.push(c)
}

func (t *RequestHandle) push(c Decision) {
	t.decisions = append(t.decisions, c)
	signal(t.ready)
}

// release frees the invocation's number once it is over and every forward has reported.
func (t *RequestHandle) release() {
	if t.closed && t.inFlight == 0 && t.picker.handles[t.id] == t {
		t.picker.handles[t.id] = nil
		t.picker.freeIDs = append(t.picker.freeIDs, t.id)
		t.picker.openCount--
	}
}

// Run blocks until ctx ends, and goes through the rules whenever one comes due by time alone. It does so at once,
// as one may be due from the start: without a list to start with nothing else would ever have it asked for.
func (f *Picker) Run(ctx context.Context) error {
	f.update(func(*Balancer) {})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		at, key := f.wakeAt, f.wakeKey
		f.mu.Unlock()
		wait := time.Hour
		if at != never {
			wait = max((at - f.clock()).Duration(), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-f.wakeChanged:
		case <-timer.C:
			f.update(func(d *Balancer) {
				if f.wakeAt == at && at <= d.now {
					f.wakeAt = never
					d.WakeFired(key)
				}
			})
		}
	}
}

// OpenRequests is the number of invocations that are not over, or have forwards out.
func (f *Picker) OpenRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openCount
}

// StopAfter tells that no answer is possible after a span from now: this process ends then.
func (f *Picker) StopAfter(within Time) {
	f.update(func(d *Balancer) {
		f.stopAt = min(f.stopAt, d.now+within)
		for inv := range d.requests.newestFirst() {
			d.requests.byID[inv].deadline = min(d.requests.byID[inv].deadline, f.stopAt-d.config.margin)
			d.due.reviewAt = min(d.due.reviewAt, d.requests.byID[inv].deadline)
		}
	})
}

// CancelAll ends all forwards that are still out, as this process ends and nobody waits for them. It guards
// against a process that stays for as long as its clients would have waited.
func (f *Picker) CancelAll() { f.cancelAll(ErrAttemptCanceled) }

// stopConfidence is the part of the time that is left of a dispatcher that ends which a hint may fill: hints are
// rough, and what is cut off may have run.
const stopConfidence = 0.5

// MissesStop tells whether an invocation that lands now would, by its hint, not be done before this process ends.
func (f *Picker) MissesStop(l Arrival) (late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := Work(float64(l.SizeHint) * max(l.Slots, 1))
	if size == 0 {
		size = f.balancer.sizes.median
	}
	return float64(size) > stopConfidence*float64(f.stopAt-f.clock())
}

// WorkerCounts counts those that are listed, and of them those that failures keep work from now: a rest after
// them, or a zone that is taken for lost. One that is only full, or drains, is not among the latter.
func (f *Picker) WorkerCounts() (listed, avoided int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, now := f.balancer, f.clock()
	for _, w := range d.subsetting.ring {
		if d.workers[w].state == Healthy && (d.workers[w].consecutiveFailures > 0 && now < d.workers[w].probeAfter || now < d.zones[d.workers[w].zone].ejectedUntil) {
			avoided++
		}
	}
	return len(d.subsetting.ring), avoided
}

// AwaitPoll blocks until the list should be asked for.
func (f *Picker) AwaitPoll(ctx context.Context) error {
	select {
	case <-f.pollDue:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NextProbe blocks until a worker should be probed.
func (f *Picker) NextProbe(ctx context.Context) (WorkerID, error) {
	select {
	case w := <-f.probes:
		return w, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// NextLoadUpdates blocks until peers should be told something.
func (f *Picker) NextLoadUpdates(ctx context.Context) ([]LoadUpdate, error) {
	for {
		f.mu.Lock()
		news := f.loadUpdates
		f.loadUpdates = nil
		f.mu.Unlock()
		if len(news) > 0 {
			return news, nil
		}
		select {
		case <-f.loadUpdatesReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// UpdateEndpoints takes a list or changes to it; known is the one that the dispatcher starts with.
func (f *Picker) UpdateEndpoints(entries []Endpoint, whole, known bool) {
	f.update(func(d *Balancer) { d.UpdateEndpoints(entries, whole, !known) })
}

// WatchEnd is how a call for the list, or the watch that it began, ended.
type WatchEnd uint8

// The values of WatchEnd.
const (
	WatchFailed   WatchEnd = iota // refused, given up, or not understood
	WatchRejected                 // turned away after it had waited in turn: the service has too many callers
	WatchCut                      // the watch had begun, and ended
	WatchSilent                   // the watch had begun, and fell silent: some time ago
)

// ReportWatchEnded tells that the list could not be had, or is no longer followed. What was asked for before is
// answered by that: else it would be asked for again with no wait. Where the service had answered, and what
// it told was cut, the wait begins anew: it is not overloaded, and what it has to tell counts as told.
func (f *Picker) ReportWatchEnded(how WatchEnd) {
	f.update(func(d *Balancer) {
		if d.discovery.consecutiveBusy++; how != WatchRejected {
			d.discovery.consecutiveBusy = 0
		}
		if d.discovery.retrySpeedup = 1; how == WatchSilent {
			d.discovery.retrySpeedup = 2
		}
		if how == WatchSilent || how == WatchCut {
			d.discovery.failedPolls = 0
		}
		select {
		case <-f.pollDue:
		default:
		}
		d.EndpointsUnavailable()
	})
}

// ReportFirstPollSlow tells that the first call for the list has not been answered for a while: what is known of workers
// from before the start has to do.
func (f *Picker) ReportFirstPollSlow() {
	f.update(func(d *Balancer) { d.discovery.endpointsStale, d.due.capacityChanged = false, true })
}

// ReportDiscoveryMoved tells that the list is to be had elsewhere from now on: it is asked for at once, however
// long the wait was to be after calls to the old place.
func (f *Picker) ReportDiscoveryMoved() {
	f.update(func(d *Balancer) {
		d.discovery.watching, d.discovery.failedPolls, d.discovery.nextPoll = false, 0, d.now
	})
}

// ReceiveLoad takes what a peer tells of a worker. One whose list is on its way to the rules is not known yet.
func (f *Picker) ReceiveLoad(from PeerID, l Load) {
	f.update(func(d *Balancer) {
		if int(l.Worker) < len(d.workers) {
			d.ReceiveLoad(from, l)
		}
	})
}

// ReceivePeerStarted tells that a peer has just started: it has nothing out, and is to be told what is out
// here. Else it would know of that only as it changes, and we would keep what it had out before.
func (f *Picker) ReceivePeerStarted(from PeerID) {
	f.update(func(d *Balancer) {
		d.recordPeerAge(from, true)
		for _, w := range d.subsetting.ring {
			d.ReceiveLoad(from, Load{Worker: w})
			if d.workers[w].inFlight > 0 {
				d.workers[w].sentLoad = -1
				d.markLoadChanged(w)
			}
		}
	})
}

// Isolated tells whether all may have lost power, as far as this dispatcher can see.
func (f *Picker) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.balancer.discovery.answered && !slices.Contains(f.balancer.gossip.seniorPeers, true)
}

// gossipPeers are the dispatchers that tell this one of a worker, or are told; all while no list is known.
func (f *Picker) gossipPeers() (peers []PeerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, seen := f.balancer, make([]bool, f.balancer.config.dispatchers)
	for _, w := range d.subsetting.subsets[bothIntervals].workers {
		for p := range d.subsetPeers(w) {
			seen[p] = true
		}
	}
	for p := range seen {
		if p != d.config.position && (seen[p] || len(d.subsetting.subsets[bothIntervals].workers) == 0) {
			peers = append(peers, PeerID(p))
		}
	}
	return peers
}

// ReceiveLoadReport takes a worker's load report.
func (f *Picker) ReceiveLoadReport(w WorkerID, values []float64) {
	f.update(func(d *Balancer) { d.ReceiveLoadReport(w, values) })
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pickerEffects takes the rules' answers. Its methods run under the facade's lock.
type pickerEffects struct{ picker *Picker }

func (l pickerEffects) SendAttempt(inv RequestID, tgt WorkerID, within Time) {
	t := l.picker.handles[inv]
	until := t.deadline
	if within > 0 {
		if w := time.Now().Add(within.Duration()); w.Before(until) {
			until = w
		}
	}
	ctx := t.beginAttempt(until)
	repeat := l.picker.balancer.operations.byID[l.picker.balancer.requests.byID[inv].operation].idempotency
	t.push(Decision{Action: SendAttempt, Worker: tgt, Attempt: len(t.cancels) - 1, Ctx: ctx, Idempotency: repeat, SendBy: l.picker.sendBy(inv)})
}

// sendBy is when the retry window closes for the invocation's last forward, zero where none does. It guards
// against a repeat that is decided on within the window, and sent behind it, as its connection came up late.
func (f *Picker) sendBy(inv RequestID) (closes time.Time) {
	i := &f.balancer.requests.byID[inv]
	o := &f.balancer.operations.byID[i.operation]
	if o.idempotency != IdempotentByKey {
		return closes
	}
	for _, earlier := range i.attempts[:len(i.attempts)-1] { // the first one was sent first
		if earlier.inFlight || earlier.mayHaveRun {
			left := earlier.sentAt + o.dedupWindow - f.balancer.config.margin - f.balancer.now
			return time.Now().Add(left.Duration())
		}
	}
	return closes
}

// beginAttempt counts one more forward out, which ends by itself at a time, and returns its context.
func (t *RequestHandle) beginAttempt(until time.Time) context.Context {
	timed, stop := context.WithDeadline(t.picker.lifetime, until)
	ctx, cancel := context.WithCancelCause(timed)
	t.cancels = append(t.cancels, func(cause error) { cancel(cause); stop() })
	t.reported, t.sent = append(t.reported, false), append(t.sent, false)
	t.inFlight++
	return ctx
}

func (l pickerEffects) CancelAttempt(inv RequestID, n int) {
	if t := l.picker.handles[inv]; t != nil {
		t.cancels[n](ErrAttemptCanceled)
	}
}

func (l pickerEffects) Reject(inv RequestID, comeBack Time) {
	l.picker.handles[inv].respond(Decision{Action: RespondRejected, RetryAfter: comeBack})
}

func (l pickerEffects) Fail(inv RequestID) {
	l.picker.handles[inv].respond(Decision{Action: RespondFailed})
}

func (l pickerEffects) Wake(key uint64, after Time) {
	l.picker.wakeKey, l.picker.wakeAt = key, l.picker.balancer.now+after
	signal(l.picker.wakeChanged)
}

func (l pickerEffects) PollEndpoints()  { signal(l.picker.pollDue) }
func (l pickerEffects) Log(line string) { l.picker.log(line) }
func (l pickerEffects) Probe(tgt WorkerID) {
	select {
	case l.picker.probes <- tgt:
	default: // probes are behind already: this one would tell nothing new
	}
}

func (l pickerEffects) SendLoad(to PeerID, load Load) {
	for n := range l.picker.loadUpdates {
		if l.picker.loadUpdates[n].To == to {
			l.picker.loadUpdates[n].Loads = append(l.picker.loadUpdates[n].Loads, load)
			return
		}
	}
	l.picker.loadUpdates = append(l.picker.loadUpdates, LoadUpdate{to, []Load{load}})
	signal(l.picker.loadUpdatesReady)
}
