package transport

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// ErrPoolExhausted reports that no connection became free in time and none could be opened within the limit.
var ErrPoolExhausted = errors.New("connection pool exhausted")

// errDialInvalidated reports a connection for whose address CloseIdle was called while it was being opened.
var errDialInvalidated = errors.New("address invalidated while connecting")

// Freshness is what an attempt requires of the connection on which it is sent.
type Freshness uint8

// The values of Freshness.
const (
	AnyConnection Freshness = iota // any idle connection or a new one
	Settled                        // none that was used less than SettleTime ago
	VerifiedOnly                   // as Settled, and only a new one while reused connections are suspect
)

// Pool has the connections to workers, idle or in use, and limits their number. It is safe for use by several goroutines.
type Pool struct {
	log     zerolog.Logger
	maxIdle time.Duration // for which a connection is kept idle
	slots   chan struct{} // one element for each connection, and for each withheld slot

	mu           sync.Mutex
	withheld     int // slots that SetLimit has taken away
	closed       bool
	idle         map[string][]*Conn // by address, the latest used last
	inUse        map[*Conn]string   // the address of each
	closeOnPut   map[*Conn]bool     // in use, and stale
	dialing      map[*pendingDial]bool
	waiters      []*waiter // for a slot, first come first
	suspectUntil time.Time // until then a worker may close a reused connection while a message is sent on it

	testHooks poolTestHooks
}

// poolTestHooks are functions that tests set to force an order of events.
type poolTestHooks struct {
	afterDial func() // runs once a connection is open, before the pool has it
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	addr        string
	invalidated bool // CloseIdle was called meanwhile: the connection may lead to another process at the address
}

// NewPool returns a pool of at most limit connections to workers that close an idle connection after workerIdleTimeout.
func NewPool(limit int, workerIdleTimeout time.Duration, log zerolog.Logger) *Pool {
	return &Pool{
		log:        log,
		maxIdle:    workerIdleTimeout / idleDivisor,
		slots:      make(chan struct{}, limit),
		idle:       map[string][]*Conn{},
		inUse:      map[*Conn]string{},
		closeOnPut: map[*Conn]bool{},
		dialing:    map[*pendingDial]bool{},
	}
}

// Get returns an idle connection to an address that is fresh enough, or a new one. The caller then owns it, until it
// calls Put or CloseFor. Where all slots are taken, Get waits for one until ctx ends. The error is then
// ErrPoolExhausted; others are those of connecting.
func (p *Pool) Get(ctx context.Context, addr string, need Freshness) (*Conn, error) {
	for {
		if need != VerifiedOnly || !p.reuseIsSuspect() {
			if c := p.takeReusable(addr, need); c != nil {
				return c, nil
			}
		}
		granted, err := p.acquireSlot(ctx, addr, need)
		if granted != nil || err != nil {
			return granted, err
		}
		c, err := p.dial(ctx, addr)
		if !errors.Is(err, errDialInvalidated) {
			return c, err
		}
	}
}

// dial opens a connection in a slot that the caller has acquired. After an error the slot is free again. The error is
// errDialInvalidated where CloseIdle was called for the address meanwhile.
func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	pending := &pendingDial{addr: addr}
	p.mu.Lock()
	p.dialing[pending] = true
	p.mu.Unlock()
	nc, err := dialTCP(ctx, addr)
	if err != nil {
		p.finishDial(pending)
		p.releaseSlot()
		return nil, err
	}
	if p.testHooks.afterDial != nil {
		p.testHooks.afterDial()
	}
	c := p.track(nc, addr, p.releaseSlot)
	p.finishDial(pending)
	if pending.invalidated {
		c.CloseFor(Stale, nil)
		return nil, errDialInvalidated
	}
	return c, nil
}

// finishDial removes a dial; nothing changes it afterwards.
func (p *Pool) finishDial(pending *pendingDial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, pending)
}

// releaseSlot gives back a connection's slot. The first goroutine that waits for one gets it.
func (p *Pool) releaseSlot() { <-p.slots }

// track adds an open connection, which is in use. releaseSlot is called when it is closed.
func (p *Pool) track(nc net.Conn, addr string, releaseSlot func()) (c *Conn) {
	c = newConn(nc, Worker, addr, p.log, func() {
		releaseSlot()
		p.mu.Lock()
		delete(p.inUse, c)
		delete(p.closeOnPut, c)
		p.mu.Unlock()
	})
	p.mu.Lock()
	p.inUse[c] = addr
	p.mu.Unlock()
	return c
}

// Put gives back a connection on which a response was read completely. The first waiter that it satisfies gets it. Where
// it satisfies none of them, it is closed for its slot. Without waiters it stays idle.
func (p *Pool) Put(c *Conn) {
	c.clearDeadlines()
	p.mu.Lock()
	reason := p.reasonToClose(c)
	delete(p.closeOnPut, c)
	if reason != staysOpen {
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
	if reason != staysOpen {
		c.CloseFor(reason, nil)
	}
}

// reasonToClose returns why a connection that is put back can't be used again, staysOpen if it can. It is called under
// the lock.
func (p *Pool) reasonToClose(c *Conn) CloseReason {
	switch {
	case p.closeOnPut[c]:
		return Stale
	case c.Interrupted(): // perhaps by CloseOpenedBefore
		return AttemptCanceled
	case c.readBuf.Len() > 0:
		return Malformed
	case p.closed:
		return Stopping
	case len(p.waiters) > 0 && !slices.ContainsFunc(p.waiters, c.satisfies):
		return Evicted
	}
	return staysOpen
}

// SetLimit changes how many connections there may be, up to the limit of NewPool. Connections in use stay. A lower limit
// may therefore be reached only in part; the caller sets it again as connections are closed.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := cap(p.slots) - limit
	for p.withheld < target {
		select {
		case p.slots <- struct{}{}:
			p.withheld++
		default:
			return
		}
	}
	for p.withheld > max(target, 0) {
		p.releaseSlot()
		p.withheld--
	}
}

// OpenConnections returns the number of connections, with those that are being opened.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) - p.withheld
}

// Run closes idle connections that have expired, until ctx ends. Then it closes all idle ones; Put closes those in use.
// The error is always nil.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(max(p.maxIdle/expiryChecksPerIdle, minExpiryInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, c := range p.removeExpired() {
				p.closeIdleConn(c)
			}
		case <-ctx.Done():
			for _, c := range p.closeForGood() {
				c.CloseFor(Stopping, nil)
			}
			return nil
		}
	}
}

// closeForGood marks the pool closed and removes all idle connections.
func (p *Pool) closeForGood() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return p.removeIdleWhere(func(*Conn) bool { return true })
}
