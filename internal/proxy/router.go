package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/admission"
	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// Operation is what is told of one operation by name.
type Operation struct {
	Name           string
	DefaultTimeout time.Duration       // a client's, where it tells none
	RequiresKey    bool                // workers drop repeats by a key, without which they can do nothing with it
	DedupScope     balancer.DedupScope // the group of workers that drops them
	DedupWindow    time.Duration       // for how long
}

// Config are what a router is told at its start.
type Config struct {
	Operations          []Operation
	Tenants, Zones      []string
	Kinds, Report       []string
	DialTimeout         time.Duration
	MaxRetryAfter       time.Duration // 0 where a throttled client may not be told when to come back
	Discovery           string
	Peers               []netip.AddrPort
	Position            int
	InitialEndpoints    *protocol.EndpointList
	PredecessorSnapshot json.RawMessage // what a predecessor knew, nil where there is none
	MigratesRequests    bool            // what is under way may be handed to a successor
	FromUnix            func(ms float64) balancer.Time
	Recovery            Recovery // nil where it is off
}

// Proxy answers invocations by way of workers.
type Proxy struct {
	terms     Config
	facade    *balancer.Shards
	pool      *transport.Pool
	datagrams *transport.Datagrams // nil where dispatchers may not talk
	log       zerolog.Logger
	fleet     fleet
	now       atomic.Pointer[settings]
	forwards  errgroup.Group
	heard     []stamp
	greeted   []time.Time // by process: when it was last greeted back
	counts    Counters
	tally     tally
	place     place
	ids       ids
	door      *admission.Controller

	settled atomic.Bool // the first call for the list has been answered, or has failed
	drain   *lifecycle.State

	spentTold balancer.Time // until when the other process of an upgrade knows what was sent
	underWay  sync.Map      // of *carrying, where it may
	heir      bool          // it goes on for another process, which peers know already

	// Set by tests, to come between two steps: new terms taken by the decisions and by the names; a list
	// taken by the names and the pool and by the decisions; a watch that has ended and its report; a
	// forward's connection and its message.
	beforeTold, beforeListed, beforeLost, beforeSent func()
}

// New makes a router and gives the facade the list that it starts with.
func New(t Config, f *balancer.Shards, p *transport.Pool, d *transport.Datagrams, state *lifecycle.State,
	log zerolog.Logger,
) *Proxy {
	r := &Proxy{
		terms: t, facade: f, pool: p, datagrams: d, drain: state, log: log,
		heard: make([]stamp, len(t.Peers)*f.Count()), greeted: make([]time.Time, len(t.Peers)),
		place: place{address: t.Discovery}, door: admission.New(float64(f.Count())),
		fleet: fleet{
			zones: numbered(t.Zones), kinds: numbered(t.Kinds), clock: t.FromUnix, log: log,
			numbers: map[string]balancer.WorkerID{}, tagged: map[uint16]balancer.WorkerID{},
		},
	}
	numbers := balancer.AssignedIDs{}
	for n := range t.Operations {
		numbers.Operations = append(numbers.Operations, balancer.OperationID(n))
	}
	for n := range t.Tenants {
		numbers.Tenants = append(numbers.Tenants, balancer.TenantID(n))
	}
	r.adjust(t, numbers)
	err := r.inherit(t.PredecessorSnapshot)
	if err != nil {
		log.Warn().Err(err).Msg("starting from nothing")
	}
	if t.InitialEndpoints != nil && !r.heir {
		entries, _ := r.fleet.take(t.InitialEndpoints)
		f.UpdateEndpoints(entries, balancer.AllEndpoints, balancer.FromBeforeStart)
	}
	return r
}

func numbered(names []string) map[string]int {
	m := map[string]int{}
	for n, name := range names {
		m[name] = n
	}
	return m
}

// Run follows the list and talks to peers until ctx ends; then it ends the forwards that are out: all clients
// have their answers.
func (r *Proxy) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for j := range r.facade.Count() {
		g.Go(func() error { return r.facade.Run(ctx, j) })
		if r.datagrams != nil || r.facade.Count() > 1 {
			g.Go(func() error { return r.tell(ctx, j) })
		}
	}
	g.Go(func() error { return r.beat(ctx) })
	g.Go(func() error { return r.follow(ctx) })
	g.Go(func() error { return r.probes(ctx) })
	if r.datagrams != nil {
		g.Go(func() error { return r.datagrams.Run(ctx, r.hear) })
	}
	err := g.Wait()
	r.facade.CancelAll()
	_ = r.forwards.Wait() // a forward reports its error to the decisions, and returns none
	return err
}

// StopWithin gives what is open until within to be answered, and what still comes: what would not be done by then
// is sent away, since begun it could not always be. Its client should come back late: clients still come here
// for a while, and where dispatchers are restarted in turn, another one may just be coming up.
func (r *Proxy) StopWithin(within time.Duration) {
	r.facade.StopAfter(balancer.Time(within / (time.Second / balancer.Second)))
}

// Check answers what can be answered by the head alone.
func (r *Proxy) Check(h *protocol.Head) *protocol.Response {
	switch path := h.Path(); {
	case path == protocol.PathHealth && (h.Method == "GET" || h.Method == "HEAD"):
		if r.list() != nil || !r.drain.PhaseAt(time.Now()).Healthy() {
			return &protocol.Response{Status: 503}
		}
		return &protocol.Response{Status: 200}
	case path == protocol.PathHealth:
		return r.turnedAway(&protocol.Response{Status: 405, Allow: "GET, HEAD"})
	case path != protocol.PathRequest:
		return r.turnedAway(&protocol.Response{Status: 404})
	case h.Method != "POST":
		return r.turnedAway(&protocol.Response{Status: 405, Allow: "POST"})
	}
	if !r.drain.PhaseAt(time.Now()).AdmitsRequests() {
		return r.sentAway(h)
	}
	if !r.door.Admit() { // nothing is known of it yet, nor has its body been read
		r.counts.AtDoor.Add(1)
		return r.sentAway(h)
	}
	return nil
}

// Ready is nil while this process takes clients, and else says why not.
func (r *Proxy) Ready() error {
	if phase := r.drain.PhaseAt(time.Now()); !phase.TakesClients() {
		return fmt.Errorf("%w: %v", errNotTaking, phase)
	}
	return r.list()
}

// list is nil where there are workers to be had.
func (r *Proxy) list() error {
	switch {
	case !r.settled.Load():
		return fmt.Errorf("%w: no list of workers yet", errNotTaking)
	case !r.fleet.serves():
		return fmt.Errorf("%w: no worker is listed", errNotTaking)
	}
	if r.terms.Recovery != nil {
		if err := r.terms.Recovery.Ready(); err != nil {
			return fmt.Errorf("%w: %w", errNotTaking, err)
		}
	}
	return nil
}

var errNotTaking = errors.New("takes no clients")

// sentAway throttles what was not taken, by its head alone where there is one.
func (r *Proxy) sentAway(h *protocol.Head) *protocol.Response {
	a := &protocol.Response{Status: 503, RetryAfter: r.now.Load().comeBackMost}
	if h != nil {
		if ends := r.tally.of(h.Operation()); ends != nil {
			ends.end(a)
		}
	}
	return a
}

func (r *Proxy) turnedAway(a *protocol.Response) *protocol.Response {
	r.counts.Malformed.Add(1)
	return a
}

// MalformedRequest answers what cannot be read.
func (r *Proxy) MalformedRequest(err error) *protocol.Response {
	return r.turnedAway(protocol.RejectionOf(err))
}

// OverBudget answers what comes on a connection beyond the budget: it was never sent anywhere.
func (r *Proxy) OverBudget(h *protocol.Head) *protocol.Response {
	r.counts.Overfull.Add(1)
	return r.sentAway(h)
}

// landing reads what the decisions need to know of an invocation.
func (now *settings) landing(inv *protocol.Request) (balancer.Arrival, error) {
	o, known := now.operations[inv.Operation]
	if !known {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown operation %.40q", protocol.ErrMalformed, inv.Operation)
	}
	if o.RequiresKey && inv.IdempotencyKey == "" {
		return balancer.Arrival{}, fmt.Errorf("%w: no Idempotency-Key", protocol.ErrMalformed)
	}
	c, known := now.customers[inv.Tenant]
	if !known && len(now.customers) > 0 {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown owner %.40q", protocol.ErrMalformed, inv.Tenant)
	}
	if inv.Timeout == 0 {
		inv.Timeout = o.DefaultTimeout
	}
	return balancer.Arrival{
		Operation: o.number, Tenant: c, Timeout: spanOf(inv.Timeout),
		SizeHint: balancer.Work(spanOf(inv.SizeHint)), Slots: inv.Slots,
	}, nil
}

func spanOf(d time.Duration) balancer.Time { return balancer.Time(d / (time.Second / balancer.Second)) }

// Serve carries one invocation through: it picks until there is an answer, and sends forwards meanwhile.
func (r *Proxy) Serve(ctx context.Context, h *protocol.Head, body []byte, came time.Time) *protocol.Response {
	inv, err := protocol.ParseRequest(h)
	if err != nil {
		return r.MalformedRequest(err)
	}
	now := r.now.Load() // once: it lands and ends under one set of settings
	l, err := now.landing(inv)
	if err != nil {
		return r.MalformedRequest(err)
	}
	if !r.ids.open(inv.ID) { // what another client waits for goes on undisturbed
		return r.turnedAway(&protocol.Response{Status: 409})
	}
	defer r.ids.close(inv.ID)
	inv.Body = body
	return r.counted(inv.Operation, func() *protocol.Response { return r.carry(ctx, now, inv, l, came, h) })
}

// carry brings an invocation that was taken to its answer, nil where its client has left.
func (r *Proxy) carry(ctx context.Context, now *settings, inv *protocol.Request, l balancer.Arrival,
	came time.Time, h *protocol.Head,
) *protocol.Response {
	phase := r.drain.PhaseAt(time.Now())
	cut := phase.IsStopping() && phase != lifecycle.StoppingHandedOff // what is under way ends with this process
	if !phase.AdmitsRequests() || cut && r.facade.MissesStop(l) {
		r.counts.Throttled.Add(1)
		return &protocol.Response{Status: 503, RetryAfter: now.comeBackMost}
	}
	land := func(past *balancer.PriorAttempt) *protocol.Response {
		c := &carrying{inv: inv, now: now, until: came.Add(inv.Timeout), closes: h.CloseRequested(), interim: h.AcceptsInterim()}
		if past == nil {
			c.ticket = r.facade.Submit(l)
		} else {
			c.ticket = r.facade.SubmitAfter(l, *past)
		}
		return r.pursue(ctx, c, make(chan string, 1))
	}
	if r.terms.Recovery == nil {
		return land(nil)
	}
	done, comeBack, ok := r.terms.Recovery.Admit(l)
	if !ok {
		r.counts.Throttled.Add(1)
		return &protocol.Response{Status: 503, RetryAfter: comeBack}
	}
	past, err := r.before(now, inv, h)
	if err != nil { // it may have run, so it may not be sent away as if it had not
		done(false)
		r.counts.Errored.Add(1)
		return &protocol.Response{Status: 502}
	}
	a := land(past)
	done(a != nil && a.Status == 200)
	return a
}

// pursue picks until there is an answer, and sends forwards meanwhile.
func (r *Proxy) pursue(ctx context.Context, c *carrying, result chan string) *protocol.Response {
	if r.terms.MigratesRequests {
		r.underWay.Store(c, nil)
		defer r.underWay.Delete(c)
	}
	for {
		choice, err := c.ticket.Pick(ctx)
		if err != nil {
			r.abandon(c)
			r.counts.Left.Add(1)
			return nil
		}
		switch choice.Action {
		case balancer.SendAttempt:
			r.forwards.Go(func() error {
				r.forward(c, choice, result)
				return nil
			})
		case balancer.RespondResult:
			r.counts.Succeeded.Add(1)
			return &protocol.Response{Status: 200, Body: []byte(<-result)}
		case balancer.RespondRejected:
			r.counts.Throttled.Add(1)
			return &protocol.Response{Status: 429, RetryAfter: choice.RetryAfter.Duration()}
		case balancer.RespondElsewhere:
			return r.handOver(ctx, c)
		default:
			r.counts.Errored.Add(1)
			return &protocol.Response{Status: 502}
		}
	}
}
