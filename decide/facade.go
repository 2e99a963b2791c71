package decide

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Verb is what a pick tells a client's goroutine to do.
type Verb uint8

// The values of Verb.
const (
	Send        Verb = iota + 1 // one forward to Tgt, under Ctx; it is to report as number N
	AnswerFound                 // give the client the result of forward N
	AnswerThrottled
	AnswerErrored
	HandOver // another process goes on with it: no answer from here
)

// Choice is the answer to a pick.
type Choice struct {
	Do       Verb
	Tgt      Worker
	N        int
	Ctx      context.Context // of a Send: ends when the forward is called off or the client's time is up
	Repeat   Repeat          // of a Send: whether it may run again, and so how sure its connection should be
	SendBy   time.Time       // of a Send: it has to be sent by then, as the retry window closes; zero where none does
	ComeBack Time            // of AnswerThrottled: how long the client should stay away, 0 for no advice
}

// ErrCalledOff is the cause of a forward's context that a decision has ended.
var ErrCalledOff = errors.New("forward called off")

// News for one peer of the load here.
type News struct {
	To    Peer
	Loads []Load
}

// Facade lets goroutines that may block use one Dispatcher: they pick, report and tick. It serializes their
// calls, keeps the numbers of invocations, and turns the answers of the rules into what a pick returns.
type Facade struct {
	mu    sync.Mutex
	d     *Dispatcher
	clock func() Time
	log   func(string)

	tickets []*Ticket
	free    []Inv
	open    int
	twins   [sides]twin
	endBy   Time // no answer is possible later; never, but for a dispatcher that ends
	closed  context.Context
	close   context.CancelCauseFunc

	wakeKey uint64
	wakeAt  Time
	rewake  chan struct{}
	ask     chan struct{}
	probe   chan Worker
	news    []News
	tell    chan struct{}
}

// Ticket is one invocation that has landed.
type Ticket struct {
	f        *Facade
	inv      Inv
	until    time.Time
	choices  []Choice
	ready    chan struct{}
	cancels  []context.CancelCauseFunc
	reported []bool
	sent     []bool // to the last byte
	out      int
	over     bool
}

// NewFacade makes a dispatcher; log takes its remarks.
func NewFacade(t Terms, seed uint64, clock func() Time, log func(string)) *Facade {
	f := &Facade{
		clock: clock, log: log, wakeAt: never, endBy: never, rewake: make(chan struct{}, 1),
		ask: make(chan struct{}, 1), probe: make(chan Worker, 64), tell: make(chan struct{}, 1),
	}
	f.d = New(t, seed, link{f})
	f.closed, f.close = context.WithCancelCause(context.Background())
	return f
}

// with makes one call under the lock, and goes through the rules.
func (f *Facade) with(call func(*Dispatcher)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.d.Clock(f.clock())
	call(f.d)
	f.d.Settle()
}

// Land takes an invocation in. Its holder has to Pick until an answer comes.
func (f *Facade) Land(l Landing) *Ticket { return f.land(l, func(*Dispatcher, *Ticket) {}) }

func (f *Facade) land(l Landing, then func(*Dispatcher, *Ticket)) *Ticket {
	t := &Ticket{f: f, ready: make(chan struct{}, 1), until: time.Now().Add(l.Grace.Duration())}
	f.with(func(d *Dispatcher) {
		f.number(t)
		l.Grace = min(l.Grace, f.endBy-d.now)
		d.Landed(t.inv, l)
		then(d, t)
	})
	return t
}

// number gives a ticket a number that no other open one has.
func (f *Facade) number(t *Ticket) {
	if n := len(f.free); n > 0 {
		t.inv, f.free = f.free[n-1], f.free[:n-1]
		f.tickets[t.inv] = t
	} else {
		t.inv = Inv(len(f.tickets))
		f.tickets = append(f.tickets, t)
	}
	f.open++
}

// Pick blocks until the next choice for the invocation. When ctx ends first the client has left.
func (t *Ticket) Pick(ctx context.Context) (Choice, error) {
	for {
		if c, ok := t.next(); ok {
			return c, nil
		}
		select {
		case <-t.ready:
		case <-ctx.Done():
			t.leave()
			return Choice{}, context.Cause(ctx)
		}
	}
}

// leave ends the invocation without an answer.
func (t *Ticket) leave() {
	t.f.with(func(d *Dispatcher) {
		if !t.over {
			t.over = true
			d.Left(t.inv, -1)
			t.holdBack()
		}
		for _, c := range t.choices { // nobody will send these any more
			if c.Do == Send {
				t.ended(c.N, Moot)
			}
		}
		t.choices = nil
		t.release()
	})
}

// next takes the first choice that still holds. It guards against a forward that goes out after the answer:
// one that was not picked before the invocation was over is never sent.
func (t *Ticket) next() (Choice, bool) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	for len(t.choices) > 0 {
		c := t.choices[0]
		t.choices = t.choices[1:]
		switch {
		case c.Do != Send:
			t.release()
			return c, true
		case !t.over:
			return c, true
		}
		t.ended(c.N, Moot)
	}
	return Choice{}, false
}

// holdBack calls off what is on its way to a worker, and has not been sent to its last byte, whatever the
// settings say of calling off: it has never run. It guards against one that goes out after its client left,
// or was answered, as its connection came up late or a disk was slow.
func (t *Ticket) holdBack() {
	for n, sent := range t.sent {
		if !sent && !t.reported[n] {
			t.cancels[n](ErrCalledOff)
		}
	}
}

// ReportSent tells that forward n has been sent to its last byte.
func (t *Ticket) ReportSent(n int) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.sent[n] = true
}

// ReportTaken tells that the worker has forward n, whether it has begun it or not.
func (t *Ticket) ReportTaken(n int) {
	t.f.with(func(d *Dispatcher) {
		if !t.reported[n] {
			d.Taken(t.inv, n)
		}
	})
}

// ReportStart tells that the worker has begun forward n.
func (t *Ticket) ReportStart(n int) {
	t.f.with(func(d *Dispatcher) {
		if !t.reported[n] {
			d.Started(t.inv, n)
		}
	})
}

// Report tells how forward n ended, once. It returns whether the result of this one is the client's answer.
func (t *Ticket) Report(n int, how Outcome) (answers bool) {
	t.f.with(func(d *Dispatcher) {
		if t.reported[n] {
			return
		}
		if answers = how == Succeeded && !t.over; answers {
			t.finish(Choice{Do: AnswerFound, N: n})
		}
		t.ended(n, how)
		t.release()
	})
	return answers
}

func (t *Ticket) ended(n int, how Outcome) {
	t.reported[n] = true
	t.out--
	t.cancels[n](nil)
	t.f.d.Ended(t.inv, n, how, t.over)
}

func (t *Ticket) finish(c Choice) {
	t.over = true
	t.holdBack()
	t.push(c)
}

func (t *Ticket) push(c Choice) {
	t.choices = append(t.choices, c)
	signal(t.ready)
}

// release frees the invocation's number once it is over and every forward has reported.
func (t *Ticket) release() {
	if t.over && t.out == 0 && t.f.tickets[t.inv] == t {
		t.f.tickets[t.inv] = nil
		t.f.free = append(t.f.free, t.inv)
		t.f.open--
	}
}

// Tick blocks until ctx ends, and goes through the rules whenever one comes due by time alone. It does so at once,
// as one may be due from the start: without a list to start with nothing else would ever have it asked for.
func (f *Facade) Tick(ctx context.Context) error {
	f.with(func(*Dispatcher) {})
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
		case <-f.rewake:
		case <-timer.C:
			f.with(func(d *Dispatcher) {
				if f.wakeAt == at && at <= d.now {
					f.wakeAt = never
					d.Woke(key)
				}
			})
		}
	}
}

// Open is the number of invocations that are not over, or have forwards out.
func (f *Facade) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// EndBy tells that no answer is possible after a span from now: this process ends then.
func (f *Facade) EndBy(within Time) {
	f.with(func(d *Dispatcher) {
		f.endBy = min(f.endBy, d.now+within)
		for inv := range d.open.latest() {
			d.invs[inv].timeout = min(d.invs[inv].timeout, f.endBy-d.margin)
			d.sweepAt = min(d.sweepAt, d.invs[inv].timeout)
		}
	})
}

// Close ends all forwards that are still out, as this process ends and nobody waits for them. It guards
// against a process that stays for as long as its clients would have waited.
func (f *Facade) Close() { f.close(ErrCalledOff) }

// drainTrust is the part of the time that is left of a dispatcher that ends which a hint may fill: hints are
// rough, and what is cut off may have run.
const drainTrust = 0.5

// Late tells whether an invocation that lands now would, by its hint, not be done before this process ends.
func (f *Facade) Late(l Landing) (late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := Work(float64(l.Hint) * max(l.Slots, 1))
	if size == 0 {
		size = f.d.median
	}
	return float64(size) > drainTrust*float64(f.endBy-f.clock())
}

// Workers counts those that are listed, and of them those that failures keep work from now: a rest after
// them, or a zone that is taken for lost. One that is only full, or drains, is not among the latter.
func (f *Facade) Workers() (listed, avoided int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, now := f.d, f.clock()
	for _, w := range d.ring {
		if d.state[w] == Healthy && (d.fails[w] > 0 && now < d.trialAt[w] || now < d.zoneAt[d.workerZone[w]]) {
			avoided++
		}
	}
	return len(d.ring), avoided
}

// PickWatch blocks until the list should be asked for.
func (f *Facade) PickWatch(ctx context.Context) error {
	select {
	case <-f.ask:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PickProbe blocks until a worker should be probed.
func (f *Facade) PickProbe(ctx context.Context) (Worker, error) {
	select {
	case w := <-f.probe:
		return w, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// PickNews blocks until peers should be told something.
func (f *Facade) PickNews(ctx context.Context) ([]News, error) {
	for {
		f.mu.Lock()
		news := f.news
		f.news = nil
		f.mu.Unlock()
		if len(news) > 0 {
			return news, nil
		}
		select {
		case <-f.tell:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// ReportList takes a list or changes to it; known is the one that the dispatcher starts with.
func (f *Facade) ReportList(entries []Entry, whole, known bool) {
	f.with(func(d *Dispatcher) { d.Listed(entries, whole, !known) })
}

// ListEnd is how a call for the list, or the watch that it began, ended.
type ListEnd uint8

// The values of ListEnd.
const (
	ListFailed ListEnd = iota // refused, given up, or not understood
	ListBusy                  // turned away after it had waited in turn: the service has too many callers
	ListCut                   // the watch had begun, and ended
	ListSilent                // the watch had begun, and fell silent: some time ago
)

// ReportListLost tells that the list could not be had, or is no longer followed. What was asked for before is
// answered by that: else it would be asked for again with no wait. Where the service had answered, and what
// it told was cut, the wait begins anew: it is not overloaded, and what it has to tell counts as told.
func (f *Facade) ReportListLost(how ListEnd) {
	f.with(func(d *Dispatcher) {
		if d.busy++; how != ListBusy {
			d.busy = 0
		}
		if d.haste = 1; how == ListSilent {
			d.haste = 2
		}
		if how == ListSilent || how == ListCut {
			d.asks = 0
		}
		select {
		case <-f.ask:
		default:
		}
		d.ListFailed()
	})
}

// ReportListSlow tells that the first call for the list has not been answered for a while: what is known of workers
// from before the start has to do.
func (f *Facade) ReportListSlow() {
	f.with(func(d *Dispatcher) { d.unsure, d.room = false, true })
}

// ReportListMoved tells that the list is to be had elsewhere from now on: it is asked for at once, however
// long the wait was to be after calls to the old place.
func (f *Facade) ReportListMoved() {
	f.with(func(d *Dispatcher) { d.subscribed, d.asks, d.askAt = false, 0, d.now })
}

// ReportPeer takes what a peer tells of a worker. One whose list is on its way to the rules is not known yet.
func (f *Facade) ReportPeer(from Peer, l Load) {
	f.with(func(d *Dispatcher) {
		if int(l.Tgt) < len(d.hash) {
			d.Heard(from, l)
		}
	})
}

// ReportPeerStarted tells that a peer has just started: it has nothing out, and is to be told what is out
// here. Else it would know of that only as it changes, and we would keep what it had out before.
func (f *Facade) ReportPeerStarted(from Peer) {
	f.with(func(d *Dispatcher) {
		d.meet(from, true)
		for _, w := range d.ring {
			d.Heard(from, Load{Tgt: w})
			if d.own[w] > 0 {
				d.toldOf[w] = -1
				d.note(w)
			}
		}
	})
}

// Lonely tells whether all may have lost power, as far as this dispatcher can see.
func (f *Facade) Lonely() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.d.answered && !slices.Contains(f.d.elder, true)
}

// neighbours are the dispatchers that tell this one of a worker, or are told; all while no list is known.
func (f *Facade) neighbours() (peers []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, seen := f.d, make([]bool, f.d.dispatchers)
	for _, w := range d.parts[both] {
		for p := range d.keeping(w) {
			seen[p] = true
		}
	}
	for p := range seen {
		if p != d.position && (seen[p] || len(d.parts[both]) == 0) {
			peers = append(peers, Peer(p))
		}
	}
	return peers
}

// ReportLoad takes a worker's load report.
func (f *Facade) ReportLoad(w Worker, values []float64) {
	f.with(func(d *Dispatcher) { d.Reported(w, values) })
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// link takes the rules' answers. Its methods run under the facade's lock.
type link struct{ f *Facade }

func (l link) Forward(inv Inv, tgt Worker, within Time) {
	t := l.f.tickets[inv]
	until := t.until
	if within > 0 {
		if w := time.Now().Add(within.Duration()); w.Before(until) {
			until = w
		}
	}
	ctx := t.begin(until)
	repeat := l.f.d.ops[l.f.d.invs[inv].op].repeat
	t.push(Choice{Do: Send, Tgt: tgt, N: len(t.cancels) - 1, Ctx: ctx, Repeat: repeat, SendBy: l.f.sendBy(inv)})
}

// sendBy is when the retry window closes for the invocation's last forward, zero where none does. It guards
// against a repeat that is decided on within the window, and sent behind it, as its connection came up late.
func (f *Facade) sendBy(inv Inv) (closes time.Time) {
	i := &f.d.invs[inv]
	o := &f.d.ops[i.op]
	if o.repeat != Deduplicated {
		return closes
	}
	for _, earlier := range i.forwards[:len(i.forwards)-1] { // the first one was sent first
		if earlier.out || earlier.ran {
			left := earlier.sent + o.window - f.d.margin - f.d.now
			return time.Now().Add(left.Duration())
		}
	}
	return closes
}

// begin counts one more forward out, which ends by itself at a time, and returns its context.
func (t *Ticket) begin(until time.Time) context.Context {
	timed, stop := context.WithDeadline(t.f.closed, until)
	ctx, cancel := context.WithCancelCause(timed)
	t.cancels = append(t.cancels, func(cause error) { cancel(cause); stop() })
	t.reported, t.sent = append(t.reported, false), append(t.sent, false)
	t.out++
	return ctx
}

func (l link) Cancel(inv Inv, n int) {
	if t := l.f.tickets[inv]; t != nil {
		t.cancels[n](ErrCalledOff)
	}
}

func (l link) Throttle(inv Inv, comeBack Time) {
	l.f.tickets[inv].finish(Choice{Do: AnswerThrottled, ComeBack: comeBack})
}

func (l link) Error(inv Inv) { l.f.tickets[inv].finish(Choice{Do: AnswerErrored}) }

func (l link) Wake(key uint64, after Time) {
	l.f.wakeKey, l.f.wakeAt = key, l.f.d.now+after
	signal(l.f.rewake)
}

func (l link) Subscribe()      { signal(l.f.ask) }
func (l link) Log(line string) { l.f.log(line) }
func (l link) Probe(tgt Worker) {
	select {
	case l.f.probe <- tgt:
	default: // probes are behind already: this one would tell nothing new
	}
}

func (l link) Tell(to Peer, load Load) {
	for n := range l.f.news {
		if l.f.news[n].To == to {
			l.f.news[n].Loads = append(l.f.news[n].Loads, load)
			return
		}
	}
	l.f.news = append(l.f.news, News{to, []Load{load}})
	signal(l.f.tell)
}
