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

// ErrPoolExhausted is returned by Get if its context ended before a connection or a slot became available.
var ErrPoolExhausted = errors.New("connection pool exhausted")

// errDialInvalidated is returned by dial if Invalidate was called for the address while the connection was being
// opened.
var errDialInvalidated = errors.New("address invalidated while connecting")

// ReusePolicy determines which connections may be used for an attempt.
type ReusePolicy uint8

// The values of ReusePolicy.
const (
	AnyConnection        ReusePolicy = iota // any idle connection, or a new one
	Settled                                 // an idle connection last used at least SettleTime ago, or a new one
	SettledUnlessSuspect                    // like Settled, but always a new one while reused connections are suspect
)

// Pool manages the idle and active connections to workers and limits their number. It is safe for concurrent use.
type Pool struct {
	log        zerolog.Logger
	maxIdle    time.Duration // maximum duration for which a connection is kept idle
	slots      chan struct{} // one element for each connection and each withheld slot
	recordings byteBudget    // memory for the recordings of all connections

	mu           sync.Mutex
	withheld     int // number of slots disabled by SetLimit
	closed       bool
	idle         map[string][]*Conn // by address, most recently used last
	inUse        map[*Conn]string   // address of each connection in use
	closeOnPut   map[*Conn]bool     // stale connections in use
	dialing      map[*pendingDial]bool
	waiters      []*waiter // goroutines waiting for a slot, in FIFO order
	suspectUntil time.Time // time until which reused connections are suspect, see isReuseSuspect

	testHooks poolTestHooks
}

// poolTestHooks are functions that tests set to force an order of events.
type poolTestHooks struct {
	afterDial func() // runs after a connection was opened, before it is added to the pool
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	addr        string
	invalidated bool // Invalidate was called for addr: the connection may lead to a previous process at that address
}

// NewPool returns a pool of at most limit connections to workers that close idle connections after workerIdleTimeout.
func NewPool(limit int, workerIdleTimeout time.Duration, log zerolog.Logger) *Pool {
	p := &Pool{
		log:        log,
		maxIdle:    workerIdleTimeout / idleDivisor,
		slots:      make(chan struct{}, limit),
		idle:       map[string][]*Conn{},
		inUse:      map[*Conn]string{},
		closeOnPut: map[*Conn]bool{},
		dialing:    map[*pendingDial]bool{},
	}
	p.SetRecordingLimit(defaultRecordingBytes)
	return p
}

// SetRecordingLimit limits the memory for the recordings of all connections. It must be called before Get.
func (p *Pool) SetRecordingLimit(bytes int64) { p.recordings.available.Store(bytes) }

// Get returns an idle connection to an address that satisfies policy, or a new one. The caller owns the connection
// until it calls Put or CloseFor. If all slots are in use, Get waits for one. It returns ErrPoolExhausted if ctx ends
// during this wait, and otherwise errors of connecting.
func (p *Pool) Get(ctx context.Context, addr string, policy ReusePolicy) (*Conn, error) {
	for {
		if policy != SettledUnlessSuspect || !p.isReuseSuspect() {
			if c := p.takeReusable(addr, policy); c != nil {
				return c, nil
			}
		}
		granted, err := p.acquireSlot(ctx, addr, policy)
		if granted != nil || err != nil {
			return granted, err
		}
		c, err := p.dial(ctx, addr)
		if !errors.Is(err, errDialInvalidated) {
			return c, err
		}
	}
}

// dial opens a connection in a slot that the caller has acquired. It releases the slot after an error. It returns
// errDialInvalidated if Invalidate was called for the address meanwhile.
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

// finishDial removes a pending dial. Its fields are not modified afterwards, so they can be read without the lock.
func (p *Pool) finishDial(pending *pendingDial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, pending)
}

// releaseSlot frees a slot. The goroutine that has waited longest for one gets it.
func (p *Pool) releaseSlot() { <-p.slots }

// track adds an open connection to those in use. releaseSlot is called when the connection is closed.
func (p *Pool) track(nc net.Conn, addr string, releaseSlot func()) (c *Conn) {
	c = newConn(nc, Worker, addr, p.log, func() {
		releaseSlot()
		p.mu.Lock()
		delete(p.inUse, c)
		delete(p.closeOnPut, c)
		p.mu.Unlock()
	})
	c.recordingBudget = &p.recordings
	p.mu.Lock()
	p.inUse[c] = addr
	p.mu.Unlock()
	return c
}

// Put returns a connection to the pool. Since Get, either nothing was sent on it or a complete response was read. A
// connection that can't be reused is closed (reasonToClose). Otherwise the first waiter that the connection satisfies
// gets it. If there are waiters but the connection satisfies none of them, it is closed to free its slot. If there are
// no waiters, it becomes idle.
func (p *Pool) Put(c *Conn) {
	c.clearDeadlines()
	p.mu.Lock()
	reason := p.reasonToClose(c)
	delete(p.closeOnPut, c)
	if reason != keepOpen {
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
	if reason != keepOpen {
		c.CloseFor(reason, nil)
	}
}

// reasonToClose returns the reason for which a returned connection can't be reused, or keepOpen if it can. The caller
// must hold the lock.
func (p *Pool) reasonToClose(c *Conn) CloseReason {
	switch {
	case p.closeOnPut[c]:
		return Stale
	case c.Interrupted(): // perhaps by InterruptOpenedBefore
		return AttemptCanceled
	case c.readBuf.Len() > 0:
		return Malformed
	case p.closed:
		return Stopping
	case len(p.waiters) > 0 && !slices.ContainsFunc(p.waiters, c.satisfies):
		return Evicted
	}
	return keepOpen
}

// SetLimit changes the maximum number of connections, up to the limit given to NewPool. Connections in use are not
// closed, so a lower limit may be reached only partially; the caller must set it again when connections have been
// closed.
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

// OpenConnections returns the number of connections, including those that are being opened.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) - p.withheld
}

// Run periodically closes expired idle connections until ctx ends. It then closes all idle connections; those in use
// are closed by Put. Run always returns nil.
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
			for _, c := range p.closeAndRemoveIdle() {
				c.CloseFor(Stopping, nil)
			}
			return nil
		}
	}
}

// closeAndRemoveIdle marks the pool as closed and removes all idle connections, which it returns.
func (p *Pool) closeAndRemoveIdle() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return p.removeIdleWhere(func(*Conn) bool { return true })
}
