package balancer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Action is what the goroutine that serves a client has to do next.
type Action uint8

// The actions.
const (
	SendAttempt      Action = iota + 1 // send an attempt to Worker under Ctx, and report it by its number
	RespondResult                      // give the client the result of the attempt with the number
	RespondRejected                    // tell the client to retry
	RespondFailed                      // tell the client that the request failed
	RespondElsewhere                   // another process continues the request: no answer from here
)

// Decision is the answer to a Pick.
type Decision struct {
	Action      Action
	Worker      WorkerID        // of SendAttempt
	Attempt     int             // number of the attempt, of SendAttempt and RespondResult
	Ctx         context.Context // of SendAttempt: ends when the attempt is canceled or the client's time is up
	Idempotency Idempotency     // of SendAttempt: whether it may run again, and so how sure its connection has to be
	SendBy      time.Time       // of SendAttempt: when the dedup window closes; zero for no bound
	RetryAfter  Duration        // of RespondRejected: how long the client should wait, 0 for no advice
}

// ErrAttemptCanceled is the cause of the context of an attempt that a decision has ended.
var ErrAttemptCanceled = errors.New("attempt canceled")

// LoadUpdate is what one peer has to be sent of the load here.
type LoadUpdate struct {
	To    PeerID
	Loads []WorkerLoad
}

// maxQueuedProbes is how many probes may wait. More would show nothing new.
const maxQueuedProbes = 64

// Picker lets goroutines that block use one Balancer: they submit, pick and report. It serializes their calls, assigns
// the numbers of requests, and turns the answers of the Balancer into what a Pick returns.
type Picker struct {
	mu       sync.Mutex // guards all below, but for the channels
	balancer *Balancer
	clock    func() Time
	log      func(Event)

	handles   []*RequestHandle // by RequestID, nil where the number is free
	freeIDs   []RequestID
	openCount int
	siblings  [siblingRoles]inFlightByWorker
	stopAt    Time // no answer is possible later; never, but for a process that ends
	lifetime  context.Context
	cancelAll context.CancelCauseFunc

	wakeKey     uint64
	wakeAt      Time
	loadUpdates []LoadUpdate

	wakeChanged      chan struct{}
	pollDue          chan struct{}
	probes           chan WorkerID
	loadUpdatesReady chan struct{}
}

// NewPicker returns a Picker around a new Balancer. clock returns the current time, and log takes events, under
// the Picker's lock.
func NewPicker(config Config, seed uint64, clock func() Time, log func(Event)) *Picker {
	p := &Picker{
		clock:            clock,
		log:              log,
		wakeAt:           never,
		stopAt:           never,
		wakeChanged:      make(chan struct{}, 1),
		pollDue:          make(chan struct{}, 1),
		probes:           make(chan WorkerID, maxQueuedProbes),
		loadUpdatesReady: make(chan struct{}, 1),
	}
	p.balancer = New(config, seed, pickerEffects{p})
	p.lifetime, p.cancelAll = context.WithCancelCause(context.Background())
	return p
}

// update makes a call under the lock at the current time, and applies the rules that are due then.
func (p *Picker) update(call func(*Balancer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetTime(p.clock())
	call(p.balancer)
	p.balancer.RunDueRules()
}

// read makes a call that changes nothing, under the lock and at the current time.
func (p *Picker) read(call func(*Balancer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetTime(p.clock())
	call(p.balancer)
}

// Submit takes in a request. The caller has to call Pick until it gets an answer.
func (p *Picker) Submit(arrival Arrival) *RequestHandle {
	return p.submit(arrival, func(*Balancer, *RequestHandle) {})
}

func (p *Picker) submit(arrival Arrival, arrived func(*Balancer, *RequestHandle)) *RequestHandle {
	h := p.newHandle(time.Now().Add(arrival.Timeout.Standard()))
	p.update(func(b *Balancer) {
		p.assignID(h)
		arrival.Timeout = min(arrival.Timeout, p.stopAt.Sub(b.now))
		b.RequestArrived(h.id, arrival)
		arrived(b, h)
	})
	return h
}

// Run blocks until ctx ends, and applies the rules whenever one comes due by time alone. It applies them at once too:
// without any endpoints nothing else would ever have the list polled.
func (p *Picker) Run(ctx context.Context) error {
	p.update(func(*Balancer) {})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		p.mu.Lock()
		at := p.wakeAt
		key := p.wakeKey
		p.mu.Unlock()
		wait := time.Hour
		if at != never {
			wait = max(at.Sub(p.clock()).Standard(), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-p.wakeChanged:
		case <-timer.C:
			p.update(func(b *Balancer) {
				if p.wakeAt == at && at <= b.now {
					p.wakeAt = never
					b.WakeFired(key)
				}
			})
		}
	}
}

// OpenRequests is the number of requests that are not closed, or have attempts in flight.
func (p *Picker) OpenRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// StopAfter bounds all answers: none is possible after a span from now, as the process ends then.
func (p *Picker) StopAfter(span Duration) {
	p.update(func(b *Balancer) {
		p.stopAt = min(p.stopAt, b.now.Add(span))
		b.limitDeadlines(p.stopAt.Add(-b.config.margin))
	})
}

// limitDeadlines has all open requests answered by a time.
func (b *Balancer) limitDeadlines(latest Time) {
	for id := range b.requests.newestFirst() {
		req := b.requests.get(id)
		req.deadline = min(req.deadline, latest)
		b.due.reviewBy(req.deadline)
	}
}

// CancelAll cancels all attempts that are still in flight, as the process ends and nobody waits for them. Otherwise the
// process would stay for as long as its clients would have waited.
func (p *Picker) CancelAll() { p.cancelAll(ErrAttemptCanceled) }

// WouldMissStop reports whether a request that arrives now would, by its size hint, not be done before the process ends.
func (p *Picker) WouldMissStop(arrival Arrival) (misses bool) {
	p.read(func(b *Balancer) {
		size := arrival.size()
		if size == 0 {
			size = b.sizes.Median()
		}
		misses = float64(size) > stopConfidence*float64(p.stopAt.Sub(b.now))
	})
	return misses
}

// WorkerCounts returns the number of listed workers, and of those that are ejected now, alone or with their zone.
func (p *Picker) WorkerCounts() (listed, ejected int) {
	p.read(func(b *Balancer) { listed, ejected = b.countWorkers() })
	return listed, ejected
}

// AwaitPoll blocks until the endpoint list should be polled, or returns the error of ctx.
func (p *Picker) AwaitPoll(ctx context.Context) error {
	select {
	case <-p.pollDue:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NextProbe blocks until a worker should be probed, or returns the error of ctx.
func (p *Picker) NextProbe(ctx context.Context) (WorkerID, error) {
	select {
	case id := <-p.probes:
		return id, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// NextLoadUpdates blocks until peers have to be sent something, or returns the error of ctx.
func (p *Picker) NextLoadUpdates(ctx context.Context) ([]LoadUpdate, error) {
	for {
		p.mu.Lock()
		updates := p.loadUpdates
		p.loadUpdates = nil
		p.mu.Unlock()
		if len(updates) > 0 {
			return updates, nil
		}
		select {
		case <-p.loadUpdatesReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// UpdateEndpoints takes a list of endpoints.
func (p *Picker) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	p.update(func(b *Balancer) { b.UpdateEndpoints(entries, extent, source) })
}

// ReportWatchEnded notes that the endpoint list could not be had, or is no longer watched. It drops a signal to
// poll that has not been taken, or the list would be polled again without a wait.
func (p *Picker) ReportWatchEnded(end WatchEnd) {
	p.update(func(b *Balancer) {
		b.polling.RecordWatchEnd(end)
		select {
		case <-p.pollDue:
		default:
		}
		b.EndpointsUnavailable()
	})
}

// ReceiveLoad takes what a peer has in flight at a worker. Workers that are not known here yet are ignored.
func (p *Picker) ReceiveLoad(from PeerID, load WorkerLoad) {
	p.update(func(b *Balancer) {
		if int(load.Worker) < len(b.workers) {
			b.ReceiveLoad(from, load)
		}
	})
}

// assignID gives a request a number that no other one has.
func (p *Picker) assignID(h *RequestHandle) {
	if n := len(p.freeIDs); n > 0 {
		h.id = p.freeIDs[n-1]
		p.freeIDs = p.freeIDs[:n-1]
		p.handles[h.id] = h
	} else {
		h.id = RequestID(len(p.handles))
		p.handles = append(p.handles, h)
	}
	p.openCount++
}

// releaseID frees the number of a request.
func (p *Picker) releaseID(id RequestID) {
	p.handles[id] = nil
	p.freeIDs = append(p.freeIDs, id)
	p.openCount--
}

// sendBy returns when the dedup window closes for the latest attempt of a request, zero for no bound. Without it an
// attempt that is decided on within the window could be sent after it, as its connection came up late.
func (p *Picker) sendBy(id RequestID) time.Time {
	var noBound time.Time
	b := p.balancer
	req := b.requests.get(id)
	op := &b.operations.byID[req.operation]
	if op.idempotency != IdempotentByKey {
		return noBound
	}
	for n := range len(req.attempts) - 1 { // the first one was sent first
		if earlier := &req.attempts[n]; earlier.mayRun() {
			left := b.dedupExpiresAt(op, earlier).Sub(b.now)
			return time.Now().Add(left.Standard())
		}
	}
	return noBound
}

// signal wakes the reader of a channel with room for one, unless it has been woken already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
