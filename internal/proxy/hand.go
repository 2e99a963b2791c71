package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// parkWithin bounds the wait for a forward's goroutine to stop reading.
const parkWithin = 100 * time.Millisecond

// MigratedRequest is an invocation that is under way, as one process of this dispatcher hands it to another. Its
// sockets come with it: the client's, and one for each forward that is out.
type MigratedRequest struct {
	Request        *protocol.Request        `json:"Invocation"`
	Balancing      balancer.MigratedRequest `json:"Decided"`
	Workers        []string                 `json:"Hosts"`   // the workers of its forwards
	Pipelined      []byte                   `json:"Early"`   // what the client has sent beyond it
	Received       [][]byte                 `json:"Came"`    // on each forward's connection since it was sent
	Reused         []bool                   `json:"Used"`    // those connections were used before
	CloseRequested bool                     `json:"Closes"`  // the client's connection ends with the answer
	AcceptsInterim bool                     `json:"Interim"` // the client takes interim answers
}

// Migrator takes what is handed over, with the client's socket and those of the forwards that are out, by
// their numbers.
type Migrator func(h *MigratedRequest, client syscall.Conn, forwards map[int]syscall.Conn) error

// carrying is an invocation on its way, and what is to be known to hand it over.
type carrying struct {
	inv             *protocol.Request
	now             *settings // that it came under
	ticket          *balancer.RequestHandle
	until           time.Time
	closes, interim bool

	mu       sync.Mutex
	passages map[int]*passage // that are out
	handed   *MigratedRequest // set before Pick tells so
	parked   map[int]*passage
	carrier  Migrator
}

func (c *carrying) add(n int, p *passage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passages == nil {
		c.passages = map[int]*passage{}
	}
	c.passages[n] = p
}

func (c *carrying) drop(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.passages, n)
}

func (c *carrying) isHanded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handed != nil
}

func (c *carrying) out() map[int]*passage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.passages)
}

// ExportAll hands over what is open, as far as it can be just now: each of its forwards waits for its worker.
// What cannot goes on here. It is to be called again until all is over.
func (r *Proxy) ExportAll(to Migrator) {
	r.underWay.Range(func(key, _ any) bool {
		r.hand(key.(*carrying), to)
		return true
	})
}

// hand stops the reading of each forward, and takes the invocation out of the decisions. From then on its
// goroutine does the rest. Where either cannot be done now, reading goes on from the start of what has come:
// nothing is lost by it.
func (r *Proxy) hand(c *carrying, to Migrator) {
	if c.isHanded() {
		return
	}
	parked := map[int]*passage{}
	resume := func() {
		for _, p := range parked {
			p.verdict <- false
		}
	}
	for n, p := range c.out() {
		if !p.park() {
			resume()
			return
		}
		parked[n] = p
	}
	h := &MigratedRequest{Request: c.inv, CloseRequested: c.closes, AcceptsInterim: c.interim}
	c.mu.Lock()
	decided, ok := c.ticket.Export(len(parked))
	if ok {
		h.Balancing = decided
		c.handed, c.parked, c.carrier = h, parked, to
		for _, f := range decided.Attempts {
			h.Workers = append(h.Workers, r.fleet.id(f.Worker))
		}
	}
	c.mu.Unlock()
	if !ok {
		resume()
	}
}

// handOver sends what hand has prepared. Without a successor that takes it the invocation has an unknown
// outcome.
func (r *Proxy) handOver(ctx context.Context, c *carrying) *protocol.Response {
	c.mu.Lock()
	h, parked, to := c.handed, c.parked, c.carrier
	c.mu.Unlock()
	sockets, err := r.gather(h, parked)
	client, early, ok := transport.Detach(ctx)
	if h.Pipelined = early; !ok && err == nil {
		err = errNoSocket
	}
	if err == nil && ctx.Err() == nil {
		err = to(h, client, sockets)
	}
	for _, p := range parked {
		p.verdict <- true
	}
	switch {
	case ctx.Err() != nil:
		r.counts.Left.Add(1)
		return nil
	case err != nil:
		r.log.Warn().Err(err).Str("id", c.inv.ID).Msg("not handed over")
		r.counts.Errored.Add(1)
		return &protocol.Response{Status: 502}
	}
	r.counts.Handed.Add(1)
	return protocol.Migrated
}

var errNoSocket = errors.New("a connection that has no socket")

func (r *Proxy) gather(h *MigratedRequest, parked map[int]*passage) (map[int]syscall.Conn, error) {
	sockets := map[int]syscall.Conn{}
	h.Received, h.Reused = make([][]byte, len(h.Balancing.Attempts)), make([]bool, len(h.Balancing.Attempts))
	for n, p := range parked {
		came, err := p.conn.Recorded()
		if err != nil {
			return nil, err
		}
		h.Received[n], h.Reused[n], sockets[n] = came, p.used, p.conn.Socket()
		if sockets[n] == nil {
			return nil, errNoSocket
		}
	}
	return sockets, nil
}

// abandon lets go of what hand has prepared, as the client has left: the forwards that were parked are called
// off.
func (r *Proxy) abandon(c *carrying) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handed != nil {
		for _, p := range c.parked {
			p.verdict <- true
		}
		c.parked = nil
	}
}

// park makes a forward that waits for its worker stop reading. It returns false for one that is elsewhere on
// its way.
func (p *passage) park() bool {
	p.mu.Lock()
	if p.conn == nil {
		p.mu.Unlock()
		return false
	}
	p.asked = true
	p.conn.StopReading()
	p.mu.Unlock()
	select {
	case <-p.parked:
		return true
	case <-p.gone:
		return false
	case <-time.After(parkWithin):
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = false
	select {
	case <-p.parked: // just now
		return true
	default:
		return false
	}
}

// hear reads the worker's answer, and lets itself be parked meanwhile. handed tells that another process
// reads on.
//
//nolint:revive // receiver-naming: p and f are brought together when the package is restructured
func (f *passage) hear(conn *transport.Conn) (how balancer.Outcome, result string, body protocol.Body,
	handed bool, err error,
) {
	f.mu.Lock()
	f.conn = conn
	f.mu.Unlock()
	defer close(f.gone)
	for {
		how, result, body, err = f.read(conn, f.used)
		stopped := err != nil && transport.CloseReasonOf(err) == transport.TooSlow && f.ctx.Err() == nil &&
			!conn.Interrupted()
		f.mu.Lock()
		if !stopped {
			f.conn = nil
			f.mu.Unlock()
			return how, result, body, false, err
		}
		if f.asked {
			f.asked = false
			f.parked <- struct{}{} // under the lock: park must not miss it and leave us waiting for its word
			f.mu.Unlock()
			if <-f.verdict {
				return 0, "", body, true, nil
			}
		} else {
			f.mu.Unlock()
		}
		if again := conn.Rewind(); again != nil {
			return f.lost(again), "", body, false, again
		}
	}
}

// Import goes on with what a predecessor has handed over; finish is to be run for the client, on whose
// connection its answer is to go.
func (r *Proxy) Import(text json.RawMessage, forwards map[int]net.Conn) (h *MigratedRequest,
	finish func(context.Context) *protocol.Response, err error,
) {
	h = &MigratedRequest{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, nil, fmt.Errorf("an invocation handed over: %w", err)
	}
	for n := range h.Balancing.Attempts {
		w, known := r.fleet.byID(h.Workers[n])
		if !known {
			return h, nil, fmt.Errorf("an invocation handed over: worker %q is not known here", h.Workers[n])
		}
		h.Balancing.Attempts[n].Worker = w
	}
	r.tally.name(h.Request.Operation)
	return h, func(ctx context.Context) *protocol.Response {
		return r.counted(h.Request.Operation, func() *protocol.Response { return r.goOn(ctx, h, forwards) })
	}, nil
}

func (r *Proxy) goOn(ctx context.Context, h *MigratedRequest, forwards map[int]net.Conn) *protocol.Response {
	inv := h.Request
	r.ids.take(inv.ID)
	defer r.ids.close(inv.ID)
	ticket, contexts := r.facade.Import(h.Balancing)
	c := &carrying{
		inv: inv, now: r.now.Load(), ticket: ticket, until: h.Balancing.Deadline, closes: h.CloseRequested,
		interim: h.AcceptsInterim,
	}
	result := make(chan string, 1)
	for n, nc := range forwards {
		tgt := h.Balancing.Attempts[n].Worker
		conn := r.pool.Import(nc, r.fleet.address(tgt), h.Received[n])
		choice := balancer.Decision{Action: balancer.SendAttempt, Worker: tgt, Attempt: n, Ctx: contexts[n]}
		p := r.passage(c, choice)
		p.used = h.Reused[n]
		r.forwards.Go(func() error {
			r.finish(c, choice, p, result, func() (balancer.Outcome, string, func()) { return p.resume(conn) })
			return nil
		})
	}
	return r.pursue(ctx, c, result)
}
