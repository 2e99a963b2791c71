package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// idlePart of the time that the other side lets a connection idle is as long as we keep one: the other side
// may end it sooner, and what is written to it then has perhaps run.
const idlePart = 4

// doubtTimes of the idle time is for how long kept connections are doubted after one has ended unasked.
const doubtTimes = 6

// Pool holds the connections to workers, within a budget.
type Pool struct {
	log      zerolog.Logger
	idleMost time.Duration
	places   chan struct{}
	reserved int // places that nobody here may have, under mu

	mu    sync.Mutex
	idle  map[string][]*Conn // by address, the latest used last
	shut  bool
	stale map[*Conn]bool // out, and not to be kept
	out   map[*Conn]string

	doubted time.Time // until then kept connections may end under a message
}

// NewPool makes a pool of that many connections, to servers that keep an idle one for idle at the latest.
func NewPool(most int, idle time.Duration, log zerolog.Logger) *Pool {
	return &Pool{log: log, idleMost: idle / idlePart, places: make(chan struct{}, most),
		idle: map[string][]*Conn{}, stale: map[*Conn]bool{}, out: map[*Conn]string{}}
}

// ErrNoPlace is a budget that is used up.
var ErrNoPlace = errors.New("no connection left in the budget")

// Get takes an idle connection to an address, or opens one within ctx. One that has to be sure is new while
// kept ones are doubted. It guards against a kept connection that ends under a message, which may then have
// run.
func (p *Pool) Get(ctx context.Context, addr string, sure bool) (*Conn, error) {
	if !sure || !p.doubts() {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	if err := p.place(ctx); err != nil {
		return nil, err
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		<-p.places
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return p.keep(nc, addr, true), nil
}

// place waits for a place in the budget; the connection that is idle longest makes room.
func (p *Pool) place(ctx context.Context) error {
	select {
	case p.places <- struct{}{}:
		return nil
	default:
	}
	if c := p.oldest(); c != nil {
		c.End(OverBudget, nil)
	}
	select {
	case p.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoPlace
	}
}

func (p *Pool) oldest() (oldest *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleFrom.Before(oldest.idleFrom) {
			oldest = conns[0]
		}
	}
	if oldest != nil {
		p.drop(oldest.addr, 0)
	}
	return oldest
}

// drop takes the n-th idle connection of an address out. It runs under the lock.
func (p *Pool) drop(addr string, n int) *Conn {
	conns := p.idle[addr]
	c := conns[n]
	if conns = append(conns[:n:n], conns[n+1:]...); len(conns) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = conns
	}
	return c
}

func (p *Pool) takeIdle(addr string) *Conn {
	for {
		p.mu.Lock()
		var c *Conn
		if n := len(p.idle[addr]); n > 0 {
			c = p.drop(addr, n-1)
			p.out[c] = addr
		}
		p.mu.Unlock()
		if c == nil || c.alive() && time.Since(c.idleFrom) < p.idleMost {
			return c
		}
		p.retire(c)
	}
}

// retire ends an idle connection by what is found on it. One that the other side ended this early shows that
// it may end more of them.
func (p *Pool) retire(c *Conn) {
	if c.alive() {
		c.End(IdleRetired, nil)
		return
	}
	c.End(PeerClosed, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubted = time.Now().Add(doubtTimes * idlePart * p.idleMost)
}

func (p *Pool) doubts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.doubted)
}

// Doubt tells that a kept connection to an address has ended under a message. The other idle ones to it end:
// a new one shows whether anybody is there.
func (p *Pool) Doubt(addr string) {
	p.mu.Lock()
	p.doubted = time.Now().Add(doubtTimes * idlePart * p.idleMost)
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		c.End(StaleRetired, nil)
	}
}

// Bound sets how many connections there may be from now on, up to those it was made with. What is out beyond
// that is let be: the bound is reached as connections end, so it is to be set again meanwhile.
func (p *Pool) Bound(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for want := cap(p.places) - most; p.reserved < want; p.reserved++ {
		select {
		case p.places <- struct{}{}:
		default:
			return
		}
	}
	for want := max(cap(p.places)-most, 0); p.reserved > want; p.reserved-- {
		<-p.places
	}
}

// Held is how many connections there are.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.places) - p.reserved
}

// Put gives a connection back that both sides are done with.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	stale := p.stale[c]
	keep := !p.shut && !stale && c.in.Len() == 0
	delete(p.out, c)
	delete(p.stale, c)
	if keep {
		c.nc.SetDeadline(time.Time{})
		c.idleFrom = time.Now()
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	switch {
	case keep:
	case stale:
		c.End(StaleRetired, nil)
	case c.in.Len() > 0:
		c.End(Malformed, nil)
	default:
		c.End(Ending, nil)
	}
}

// Forget ends the idle connections to an address, and keeps none that is out now.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	for c, to := range p.out {
		if to == addr {
			p.stale[c] = true
		}
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.End(StaleRetired, nil)
	}
}

// Bury ends every connection to an address that was opened before a moment: the process that it led to has
// ended by then. It guards against a machine that vanished and came back: nothing ever comes on those.
func (p *Pool) Bury(addr string, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, to := range p.out {
		if to == addr && c.opened.Before(before) {
			c.dead.Store(true)
			c.Interrupt()
		}
	}
}

// Run retires idle connections until ctx ends, and then ends them all.
func (p *Pool) Run(ctx context.Context) error {
	ticks := time.NewTicker(max(p.idleMost/16, 10*time.Millisecond))
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			for _, c := range p.overdue(false) {
				p.retire(c)
			}
		case <-ctx.Done():
			for _, c := range p.overdue(true) {
				c.End(Ending, nil)
			}
			return nil
		}
	}
}

func (p *Pool) overdue(all bool) (conns []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = p.shut || all
	for addr, idle := range p.idle {
		for n := len(idle) - 1; n >= 0; n-- {
			if c := idle[n]; all || time.Since(c.idleFrom) >= p.idleMost || !c.alive() {
				conns = append(conns, p.drop(addr, n))
			}
		}
	}
	return conns
}
