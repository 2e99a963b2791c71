package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// idleDivisor of the time that the other side lets a connection idle is as long as we keep one: the other side
// may end it sooner, and what is written to it then has perhaps run.
const idleDivisor = 4

// suspectFactor of the idle time is for how long kept connections are doubted after one has ended unasked.
const suspectFactor = 6

// Pool holds the connections to workers, within a budget.
type Pool struct {
	log      zerolog.Logger
	maxIdle  time.Duration
	slots    chan struct{}
	withheld int // places that nobody here may have, under mu

	mu         sync.Mutex
	idle       map[string][]*Conn // by address, the latest used last
	closed     bool
	closeOnPut map[*Conn]bool // out, and not to be kept
	inUse      map[*Conn]string
	dialing    map[*pendingDial]bool // under way
	waiters    []*waiter             // for a place, the first one first

	suspectUntil time.Time // until then kept connections may end under a message

	afterDial func() // set by tests: between a connection's coming up and its being known here
}

// Freshness is what a connection has to be for the message that goes on it.
type Freshness uint8

// The values of Need.
const (
	AnyConnection Freshness = iota // a kept one will do
	Settled                        // a kept one will do once a late second answer would have come: it bears no id
	VerifiedOnly                   // the same, and a new one while kept ones are doubted
)

// SettleTime is how long after an answer a second one may still come.
const SettleTime = 50 * time.Millisecond

// pendingDial is a connection that is coming up.
type pendingDial struct {
	addr        string
	invalidated bool // the address was forgotten meanwhile: it may lead to who was there before
}

// waiter waits for a place in the budget, and takes a connection that is put back instead.
type waiter struct {
	addr    string
	need    Freshness
	granted chan *Conn
}

// NewPool makes a pool of that many connections, to servers that keep an idle one for idle at the latest.
func NewPool(most int, idle time.Duration, log zerolog.Logger) *Pool {
	return &Pool{
		log: log, maxIdle: idle / idleDivisor, slots: make(chan struct{}, most),
		idle: map[string][]*Conn{}, closeOnPut: map[*Conn]bool{}, inUse: map[*Conn]string{}, dialing: map[*pendingDial]bool{},
	}
}

// ErrPoolExhausted is a budget that is used up.
var ErrPoolExhausted = errors.New("no connection left in the budget")

// Get takes an idle connection to an address, or opens one within ctx. One that has to be sure is new while
// kept ones are doubted. It guards against a kept connection that ends under a message, which may then have
// run. A connection that came up while its address was forgotten is given up for another.
func (p *Pool) Get(ctx context.Context, addr string, need Freshness) (*Conn, error) {
	for {
		if need != VerifiedOnly || !p.reuseIsSuspect() {
			if c := p.takeReusable(addr, need); c != nil {
				return c, nil
			}
		}
		c, err := p.acquireSlot(ctx, addr, need)
		if c == nil && err == nil {
			c, err = p.dial(ctx, addr)
		}
		if c != nil || err != nil {
			return c, err
		}
	}
}

// dial opens a connection, in a place that is taken already; nil without an error for one that may lead to
// who was at the address before.
func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	d := &pendingDial{addr: addr}
	p.mu.Lock()
	p.dialing[d] = true
	p.mu.Unlock()
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		delete(p.dialing, d)
		p.mu.Unlock()
		<-p.slots
		return nil, fmt.Errorf("connecting: %w", err)
	}
	if p.afterDial != nil {
		p.afterDial()
	}
	c := p.track(nc, addr, true)
	p.mu.Lock()
	delete(p.dialing, d)
	p.mu.Unlock()
	if d.invalidated {
		c.CloseFor(StaleRetired, nil)
		return nil, nil
	}
	return c, nil
}

// acquireSlot waits for a place in the budget; the connection that is idle longest makes room, and one that is put
// back meanwhile. That one is returned instead where it will do.
func (p *Pool) acquireSlot(ctx context.Context, addr string, need Freshness) (*Conn, error) {
	for {
		select {
		case p.slots <- struct{}{}:
			return nil, nil
		default:
		}
		c, err := p.waitForSlot(ctx, addr, need)
		if c == nil || c.alive() {
			return c, err
		}
		p.closeIdleConn(c)
	}
}

// waitForSlot takes a place, for which it returns nil, or a connection that is put back.
func (p *Pool) waitForSlot(ctx context.Context, addr string, need Freshness) (*Conn, error) {
	w := &waiter{addr: addr, need: need, granted: make(chan *Conn, 1)}
	p.mu.Lock()
	oldest := p.removeOldestIdle()
	p.waiters = append(p.waiters, w) // in one step with the look: what is put back from now on is seen
	p.mu.Unlock()
	if oldest != nil {
		oldest.CloseFor(OverBudget, nil)
	}
	select {
	case p.slots <- struct{}{}:
		p.cancelWait(w)
		return nil, nil
	case c := <-w.granted:
		return c, nil
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, ErrPoolExhausted
	}
}

// cancelWait ends a wait; a connection that was handed to it just now goes back.
func (p *Pool) cancelWait(w *waiter) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(other *waiter) bool { return other == w })
	p.mu.Unlock()
	select {
	case c := <-w.granted:
		p.Put(c)
	default:
	}
}

// removeOldestIdle takes out the connection that is idle longest. It runs under the lock.
func (p *Pool) removeOldestIdle() (oldest *Conn) {
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	if oldest != nil {
		p.removeIdle(oldest.addr, 0)
	}
	return oldest
}

// removeIdle takes the n-th idle connection of an address out. It runs under the lock.
func (p *Pool) removeIdle(addr string, n int) *Conn {
	conns := p.idle[addr]
	c := conns[n]
	if conns = append(conns[:n:n], conns[n+1:]...); len(conns) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = conns
	}
	return c
}

func (p *Pool) takeReusable(addr string, need Freshness) *Conn {
	for {
		p.mu.Lock()
		var c *Conn
		n := len(p.idle[addr]) - 1
		for n >= 0 && need != AnyConnection && time.Since(p.idle[addr][n].idleSince) < SettleTime {
			n--
		}
		if n >= 0 {
			c = p.removeIdle(addr, n)
			p.inUse[c] = addr
		}
		p.mu.Unlock()
		if c == nil || c.alive() && time.Since(c.idleSince) < p.maxIdle {
			return c
		}
		p.closeIdleConn(c)
	}
}

// closeIdleConn ends an idle connection by what is found on it. One that the other side ended this early shows that
// it may end more of them.
func (p *Pool) closeIdleConn(c *Conn) {
	if c.alive() {
		c.CloseFor(IdleRetired, nil)
		return
	}
	c.CloseFor(PeerClosed, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectUntil = time.Now().Add(suspectFactor * idleDivisor * p.maxIdle)
}

func (p *Pool) reuseIsSuspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspectUntil)
}

// MarkSuspect tells that a kept connection to an address has ended under a message. The other idle ones to it end:
// a new one shows whether anybody is there.
func (p *Pool) MarkSuspect(addr string) {
	p.mu.Lock()
	p.suspectUntil = time.Now().Add(suspectFactor * idleDivisor * p.maxIdle)
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		c.CloseFor(StaleRetired, nil)
	}
}

// SetLimit sets how many connections there may be from now on, up to those it was made with. What is out beyond
// that is let be: the bound is reached as connections end, so it is to be set again meanwhile.
func (p *Pool) SetLimit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for want := cap(p.slots) - most; p.withheld < want; p.withheld++ {
		select {
		case p.slots <- struct{}{}:
		default:
			return
		}
	}
	for want := max(cap(p.slots)-most, 0); p.withheld > want; p.withheld-- {
		<-p.slots
	}
}

// OpenConnections is how many connections there are.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) - p.withheld
}

// Put gives a connection back that both sides are done with. It goes to one that waits for a place, if it
// will do there; else it makes room for the first that waits.
func (p *Pool) Put(c *Conn) {
	c.setDeadline(c.nc.SetDeadline, time.Time{})
	p.mu.Lock()
	why, keep := p.closeReasonOnPut(c)
	delete(p.closeOnPut, c)
	if !keep {
		delete(p.inUse, c)
	} else if n := slices.IndexFunc(p.waiters, c.satisfies); n >= 0 {
		p.waiters[n].granted <- c
		p.waiters = slices.Delete(p.waiters, n, n+1)
	} else {
		delete(p.inUse, c)
		c.idleSince = time.Now()
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if !keep {
		c.CloseFor(why, nil)
	}
}

// satisfies tells whether a connection that has just been put back will do for one that waits.
func (c *Conn) satisfies(w *waiter) bool { return w.need == AnyConnection && w.addr == c.addr }

// closeReasonOnPut tells why a connection is not to be kept. It runs under the lock.
func (p *Pool) closeReasonOnPut(c *Conn) (why CloseReason, keep bool) {
	switch {
	case p.closeOnPut[c]:
		return StaleRetired, false
	case c.Interrupted(): // perhaps as it was buried
		return AttemptCanceled, false
	case c.readBuf.Len() > 0:
		return Malformed, false
	case p.closed:
		return Stopping, false
	case len(p.waiters) > 0 && !slices.ContainsFunc(p.waiters, c.satisfies):
		return OverBudget, false
	}
	return "", true
}

// CloseIdle ends the idle connections to an address, and keeps none that is out now.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	for c, to := range p.inUse {
		if to == addr {
			p.closeOnPut[c] = true
		}
	}
	for d := range p.dialing {
		d.invalidated = d.invalidated || d.addr == addr
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.CloseFor(StaleRetired, nil)
	}
}

// CloseOpenedBefore ends every connection to an address that was opened before a moment: the process that it led to has
// ended by then. It guards against a machine that vanished and came back: nothing ever comes on those.
func (p *Pool) CloseOpenedBefore(addr string, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, to := range p.inUse {
		if to == addr && c.openedAt.Before(before) {
			c.peerProcessEnded.Store(true)
			c.Interrupt()
		}
	}
}

// Run retires idle connections until ctx ends, and then ends them all.
func (p *Pool) Run(ctx context.Context) error {
	ticks := time.NewTicker(max(p.maxIdle/16, 10*time.Millisecond))
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			for _, c := range p.removeExpired(false) {
				p.closeIdleConn(c)
			}
		case <-ctx.Done():
			for _, c := range p.removeExpired(true) {
				c.CloseFor(Stopping, nil)
			}
			return nil
		}
	}
}

func (p *Pool) removeExpired(all bool) (conns []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || all
	for addr, idle := range p.idle {
		for n := len(idle) - 1; n >= 0; n-- {
			if c := idle[n]; all || time.Since(c.idleSince) >= p.maxIdle || !c.alive() {
				conns = append(conns, p.removeIdle(addr, n))
			}
		}
	}
	return conns
}
