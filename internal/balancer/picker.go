package balancer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Action is the next step for the goroutine that serves a client.
type Action uint8

// The actions.
const (
	SendAttempt      Action = iota + 1 // send an attempt to Worker with Ctx, and report its outcome by its number
	RespondResult                      // send the client the result of the attempt
	RespondRejected                    // send the client a rejection, after which it may retry
	RespondFailed                      // send the client a failure; the request may have been executed
	RespondElsewhere                   // send no response: another process continues the request
)

// Decision is the result of a call to Pick. Each field except Action is set only for the actions that its comment
// names.
type Decision struct {
	Action      Action
	Worker      WorkerID        // of SendAttempt
	Attempt     int             // number of the attempt, of SendAttempt and RespondResult
	Ctx         context.Context // of SendAttempt: done when the attempt is canceled or times out
	Idempotency Idempotency     // of SendAttempt: whether it may run again; if not, its connection must be reliable
	SendBy      time.Time       // of SendAttempt: when the dedup window closes; zero for no limit
	RetryAfter  Duration        // of RespondRejected: how long the client should wait; 0 for no advice
}

// ErrAttemptCanceled is the cancellation cause of the context of an attempt that was canceled by a decision.
var ErrAttemptCanceled = errors.New("attempt canceled")

// LoadUpdate holds the loads of this dispatcher to send to one peer.
type LoadUpdate struct {
	To    PeerID
	Loads []WorkerLoad
}

// maxQueuedProbes limits the number of queued probes. More probes would provide no further information.
const maxQueuedProbes = 64

// Picker allows concurrent, blocking goroutines to share one Balancer: they submit requests, pick decisions and report
// outcomes. It serializes their calls, assigns request IDs, and converts the effects of the Balancer into the decisions
// that Pick returns.
type Picker struct {
	mu       sync.Mutex // guards the fields below, except the channels
	balancer *Balancer
	clock    func() Time
	log      func(Event)

	handles         []*RequestHandle // by RequestID; nil if the ID is free
	freeIDs         []RequestID
	openCount       int
	siblingInFlight [SiblingRoles]inFlightByWorker // attempts in flight as last reported by each sibling
	stopAt          Time                           // latest time for an answer; never, unless the process is stopping
	lifetime        context.Context
	cancelAll       context.CancelCauseFunc

	wakeKey     uint64
	wakeAt      Time
	loadUpdates []LoadUpdate

	wakeChanged      chan struct{}
	pollDue          chan struct{}
	probes           chan WorkerID
	loadUpdatesReady chan struct{}
}

// NewPicker returns a Picker with a new Balancer. clock returns the current time and log handles events; both are
// called with the lock of the Picker held.
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

// update sets the current time, runs call and then applies the rules that are due, with the lock held.
func (p *Picker) update(call func(*Balancer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetTime(p.clock())
	call(p.balancer)
	p.balancer.RunDueRules()
}

// read sets the current time and runs call, which must not change the state, with the lock held.
func (p *Picker) read(call func(*Balancer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetTime(p.clock())
	call(p.balancer)
}

// Submit adds a request. The caller must call Pick until it returns a final answer.
func (p *Picker) Submit(arrival Arrival) *RequestHandle {
	return p.submit(arrival, func(*Balancer, *RequestHandle) {})
}

func (p *Picker) submit(arrival Arrival, afterArrival func(*Balancer, *RequestHandle)) *RequestHandle {
	h := p.newHandle(time.Now().Add(arrival.Timeout.Standard()))
	p.update(func(b *Balancer) {
		p.assignID(h)
		arrival.Timeout = min(arrival.Timeout, p.stopAt.Sub(b.now))
		b.RequestArrived(h.id, arrival)
		afterArrival(b, h)
	})
	return h
}

// Run applies the rules when they become due by time alone, and blocks until ctx is done. It also applies them at the
// start: without endpoints, no other event would cause the endpoint list to be polled.
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

// OpenRequests returns the number of requests that are not closed or have attempts in flight.
func (p *Picker) OpenRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// StopAfter limits the deadlines of all requests, because the process exits when remaining has elapsed.
func (p *Picker) StopAfter(remaining Duration) {
	p.update(func(b *Balancer) {
		p.stopAt = min(p.stopAt, b.now.Add(remaining))
		b.limitDeadlines(p.stopAt.Add(-b.config.timingMargin))
	})
}

// limitDeadlines limits the deadlines of all open requests to the given time.
func (b *Balancer) limitDeadlines(latest Time) {
	for id := range b.requests.newestFirst() {
		req := b.requests.get(id)
		req.deadline = min(req.deadline, latest)
		b.due.scheduleReview(req.deadline)
	}
}

// CancelAll cancels all attempts that are still in flight because the process is exiting and their results are no
// longer needed. Otherwise the process would keep running until the deadlines of its clients.
func (p *Picker) CancelAll() { p.cancelAll(ErrAttemptCanceled) }

// WouldMissStopDeadline reports whether a request that arrives now might not complete before the process exits:
// according to its size hint, or to the median size without one, it needs more than stopConfidence of the time that is
// left.
func (p *Picker) WouldMissStopDeadline(arrival Arrival) (misses bool) {
	p.read(func(b *Balancer) {
		size := arrival.size()
		if size == 0 {
			size = b.sizes.Median()
		}
		misses = float64(size) > stopConfidence*float64(p.stopAt.Sub(b.now))
	})
	return misses
}

// WorkerCounts returns the number of workers in the endpoint list, and the number of these that are currently ejected,
// individually or with their zone.
func (p *Picker) WorkerCounts() (listed, ejected int) {
	p.read(func(b *Balancer) { listed, ejected = b.countWorkers() })
	return listed, ejected
}

// AwaitPoll blocks until the endpoint list is due to be polled. It returns the error of ctx if that is done first.
func (p *Picker) AwaitPoll(ctx context.Context) error {
	select {
	case <-p.pollDue:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NextLoadProbe blocks until a worker is due to be probed. It returns the error of ctx if that is done first.
func (p *Picker) NextLoadProbe(ctx context.Context) (WorkerID, error) {
	select {
	case id := <-p.probes:
		return id, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// NextLoadUpdates blocks until there are loads to send to peers. It returns the error of ctx if that is done first.
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

// UpdateEndpoints applies an endpoint list.
func (p *Picker) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	p.update(func(b *Balancer) { b.UpdateEndpoints(entries, extent, source) })
}

// ReportWatchEnded records that the endpoint list could not be fetched or is no longer watched. It clears a pending
// poll signal, because the list would otherwise be polled again without a delay.
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

// ReceiveLoad records the number of attempts that a peer has in flight at a worker. It ignores workers that have not
// been in an endpoint list of this dispatcher.
func (p *Picker) ReceiveLoad(from PeerID, load WorkerLoad) {
	p.update(func(b *Balancer) {
		if int(load.Worker) < len(b.workers) {
			b.ReceiveLoad(from, load)
		}
	})
}

// assignID assigns a request an ID that is not in use.
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

// releaseID frees the ID of a request.
func (p *Picker) releaseID(id RequestID) {
	p.handles[id] = nil
	p.freeIDs = append(p.freeIDs, id)
	p.openCount--
}

// sendDeadline returns the time by which the latest attempt of a request must be sent, or zero for no limit: the time
// when the dedup window of the first earlier attempt that may run closes. Without this limit, an attempt that is decided
// on within the window could be sent after it if its connection is established late.
func (p *Picker) sendDeadline(id RequestID) time.Time {
	var noLimit time.Time
	b := p.balancer
	req := b.requests.get(id)
	op := &b.operations.byID[req.operation]
	if op.idempotency != IdempotentByKey {
		return noLimit
	}
	for n := range len(req.attempts) - 1 { // attempts are in the order in which they were sent
		if earlier := &req.attempts[n]; earlier.mayRun() {
			untilExpiry := b.dedupExpiresAt(op, earlier).Sub(b.now)
			return time.Now().Add(untilExpiry.Standard())
		}
	}
	return noLimit
}

// signal wakes the reader of a channel of capacity 1, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
