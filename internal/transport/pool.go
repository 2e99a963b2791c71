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

const (
	// idleDivisor divides the workers' idle timeout into the time that the pool keeps an idle connection. A worker may
	// close one sooner than configured, and whether it has processed a message that was then sent can't be known.
	idleDivisor = 4

	// SettleTime is how long after a response a second one may still come.
	SettleTime = 50 * time.Millisecond

	expiryChecksPerIdle = 16 // checks for expired connections in the time that one may be idle
	minExpiryInterval   = 10 * time.Millisecond
)

// ErrPoolExhausted reports that no connection became free in time and none could be opened within the limit.
var ErrPoolExhausted = errors.New("connection pool exhausted")

// errDialInvalidated reports a connection that came up while CloseIdle was called for its address.
var errDialInvalidated = errors.New("address invalidated while connecting")

// Freshness is what an attempt requires of the connection it is sent on.
type Freshness uint8

// The values of Freshness.
const (
	AnyConnection Freshness = iota // any idle connection or a new one
	Settled                        // no connection that was used less than SettleTime ago: a late second response has no id
	VerifiedOnly                   // as Settled, and only a new one while reused connections are suspect
)

// Pool holds the connections to workers, idle ones by address and those in use, within a limit. It is safe for use by
// several goroutines.
type Pool struct {
	log     zerolog.Logger
	maxIdle time.Duration
	slots   chan struct{} // one element for each connection, and for each withheld slot

	mu           sync.Mutex
	withheld     int // slots that SetLimit has taken away
	closed       bool
	idle         map[string][]*Conn // by address, the latest used last
	inUse        map[*Conn]string   // the address of each
	closeOnPut   map[*Conn]bool     // in use, and stale
	dialing      map[*pendingDial]bool
	waiters      []*waiter // for a slot, first come first
	suspectUntil time.Time // until then workers may close reused connections under a message

	testHooks poolTestHooks
}

// poolTestHooks are functions that tests set to force an order of events.
type poolTestHooks struct {
	afterDial func() // runs once a connection is open and before the pool knows it
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	addr        string
	invalidated bool // CloseIdle was called meanwhile: it may lead to the worker's predecessor at the address
}

// NewPool makes a pool of at most limit connections to workers that close an idle connection after workerIdleTimeout.
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

// Get returns an idle connection to an address that is fresh enough, or a new one. Where all slots are taken it waits
// for one until ctx ends, and then returns ErrPoolExhausted. The caller returns the connection by Put, or closes it.
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

// dial opens a connection in a slot that the caller has acquired. On errors the slot is free again; one that came up
// while its address was invalidated is errDialInvalidated.
func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	pending := &pendingDial{addr: addr}
	p.mu.Lock()
	p.dialing[pending] = true
	p.mu.Unlock()
	nc, err := dialTCP(ctx, addr)
	if err != nil {
		p.finishDial(pending)
		<-p.slots
		return nil, err
	}
	if p.testHooks.afterDial != nil {
		p.testHooks.afterDial()
	}
	c := p.track(nc, addr, true)
	p.finishDial(pending)
	if pending.invalidated {
		c.CloseFor(Stale, nil)
		return nil, errDialInvalidated
	}
	return c, nil
}

// finishDial forgets a dial; nothing changes it afterwards.
func (p *Pool) finishDial(pending *pendingDial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, pending)
}

// track makes the pool's connection of an open one that is in use. holdsSlot says that it gives a slot back when it is
// closed.
func (p *Pool) track(nc net.Conn, addr string, holdsSlot bool) (c *Conn) {
	c = newConn(nc, Worker, addr, p.log, func() {
		if holdsSlot {
			<-p.slots
		}
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

// Put returns a connection on which a response was read completely. The first waiter that it satisfies gets it. Where
// it satisfies none it is closed to give its slot to the first of them; without waiters it stays idle.
func (p *Pool) Put(c *Conn) {
	c.clearDeadlines()
	p.mu.Lock()
	reason := p.reasonToClose(c)
	delete(p.closeOnPut, c)
	if reason != "" {
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
	if reason != "" {
		c.CloseFor(reason, nil)
	}
}

// reasonToClose is why a connection that is put back can't be used again, "" if it can. It is called under the lock.
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
	return ""
}

// SetLimit changes how many connections there may be, up to the limit that the pool was made with. Connections in use
// stay, so a lower limit may be reached only in part: it has to be set again as connections are closed.
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
		<-p.slots
		p.withheld--
	}
}

// OpenConnections is the number of slots taken by connections, those that are being opened among them.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) - p.withheld
}

// Run closes idle connections that have expired until ctx ends. Then it closes all idle ones, and those in use are
// closed as they are put back. The error is always nil.
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
