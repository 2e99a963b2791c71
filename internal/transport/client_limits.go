package transport

import (
	"container/list"
	"context"
	"sync"
	"time"

	"canvasroute/internal/lifecycle"
)

// spareDivisor of the limit is the share of connections beyond it that may be open for a moment.
const spareDivisor = 16

// clientLimiter limits how many client connections are open, knows the state of each, sets their read deadlines by it,
// and evicts the least useful ones where a new one needs a slot.
type clientLimiter struct {
	limit     int
	spare     int // slots beyond limit, for connections that are rejected or are being closed
	freed     chan struct{}
	lifecycle *lifecycle.State

	mu        sync.Mutex
	slots     map[*Conn]*clientSlot
	counted   int                       // slots that count toward limit: neither beyond it nor evicted
	evictable [evictionRanks]*list.List // *Conn by eviction rank, the one longest in its state first
}

// clientSlot is the state of a client's connection.
type clientSlot struct {
	state         clientState
	since         time.Time // of state
	awaitingFirst bool      // the first request hasn't been answered
	useful        bool      // a request on it was accepted, rather than rejected as the client's fault
	overLimit     bool      // it was accepted beyond the limit, and is closed after one response
	evicted       bool      // it is being closed to make room

	queue   *list.List // of clientLimiter.evictable that it is in, nil if it may not be evicted
	element *list.Element
}

type clientState uint8

const (
	stateIdle    clientState = iota // between requests
	stateReading                    // part of a request has come
	stateServing                    // a complete request was read, and is owed a response
)

func newClientLimiter(limit int, state *lifecycle.State) *clientLimiter {
	l := &clientLimiter{
		limit:     limit,
		spare:     spareSlots(limit),
		freed:     make(chan struct{}, 1),
		lifecycle: state,
		slots:     map[*Conn]*clientSlot{},
	}
	for rank := range l.evictable {
		l.evictable[rank] = list.New()
	}
	return l
}

func spareSlots(limit int) int { return max(limit/spareDivisor, 1) }

// waitForCapacity blocks until there is a slot for one more connection, a spare one too, or ctx ends. It evicts
// connections meanwhile; those in the spare slots are on their way out.
func (l *clientLimiter) waitForCapacity(ctx context.Context) {
	for {
		l.mu.Lock()
		available := len(l.slots) < l.limit+l.spare
		if !available {
			l.evictOne()
		}
		l.mu.Unlock()
		if available {
			return
		}
		select {
		case <-l.freed:
		case <-time.After(transitGrace):
		case <-ctx.Done():
			return
		}
	}
}

// setLimit changes the limit. Idle connections beyond it are evicted now, others as new ones come.
func (l *clientLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.spare = spareSlots(limit)
	for l.counted > l.limit && l.hasIdle() && l.evictOne() {
	}
}

// open is the number of open connections.
func (l *clientLimiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// acquire gives a new connection a slot, evicting another one if need be. overLimit is true where none could be
// evicted: the connection only gets a response that says so.
func (l *clientLimiter) acquire(c *Conn) (overLimit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	overLimit = l.counted >= l.limit && !l.evictOne()
	slot := &clientSlot{since: time.Now(), awaitingFirst: true, overLimit: overLimit}
	l.slots[c] = slot
	l.addToCount(slot, 1)
	l.enqueue(c, slot)
	c.SetReadTimeout(firstRequestTimeout)
	if l.closesIdle() {
		c.SetReadTimeout(finalRequestTimeout)
	}
	return overLimit
}

// release gives a closed connection's slot back.
func (l *clientLimiter) release(c *Conn) {
	l.mu.Lock()
	if slot := l.slots[c]; slot != nil {
		l.addToCount(slot, -1)
		slot.removeFromQueue()
	}
	delete(l.slots, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// addToCount keeps counted right. It is called with -1 before and 1 after a change of what counts; under the lock.
func (l *clientLimiter) addToCount(slot *clientSlot, by int) {
	if !slot.evicted && !slot.overLimit {
		l.counted += by
	}
}

// markIdle records that a response was sent, and sets the idle timeout. Both and the check whether idle connections
// are closed are one step under the lock: closeIdle either sees the connection idle, or is seen here.
func (l *clientLimiter) markIdle(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slots[c]
	l.addToCount(slot, -1)
	slot.state = stateIdle
	slot.since = time.Now()
	slot.awaitingFirst = false
	slot.evicted = false
	l.addToCount(slot, 1)
	l.enqueue(c, slot)
	switch {
	case l.closesIdle():
		c.SetReadTimeout(transitGrace)
	case slot.useful:
		c.SetReadTimeout(idleTimeout)
	default:
		c.SetReadTimeout(firstRequestTimeout)
	}
}

// markReading records that a request's first byte has come, and sets the deadline for the rest. An evicted connection
// gets no more time, nor does a first request: its timeout counts from accept, however late it begins.
func (l *clientLimiter) markReading(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.setState(c, stateReading)
	switch {
	case slot.evicted:
	case l.closesIdle():
		c.SetReadTimeout(finalRequestTimeout)
	case slot.awaitingFirst:
	case slot.useful:
		c.SetReadTimeout(requestReadTimeout)
	default:
		c.SetReadTimeout(firstRequestTimeout)
	}
}

// markServing records that a complete request was read: the connection isn't evicted before its response.
func (l *clientLimiter) markServing(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setState(c, stateServing)
}

func (l *clientLimiter) setState(c *Conn, state clientState) *clientSlot {
	slot := l.slots[c]
	slot.state = state
	slot.since = time.Now()
	l.enqueue(c, slot)
	return slot
}

// markUseful records that a request on the connection was accepted.
func (l *clientLimiter) markUseful(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slots[c]
	slot.useful = true
	l.enqueue(c, slot)
}

// isReading reports whether part of a request has come.
func (l *clientLimiter) isReading(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots[c].state == stateReading
}

// closesIdle reports whether idle connections are closed in the process's present phase.
func (l *clientLimiter) closesIdle() bool {
	return !l.lifecycle.PhaseAt(time.Now()).KeepsIdleConnections()
}

// interruptAll ends all connections at once, whatever their state.
func (l *clientLimiter) interruptAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.slots {
		c.Interrupt()
	}
}

// closeIdle ends the idle connections after a grace, and those that are reading a request soon.
func (l *clientLimiter) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, slot := range l.slots {
		switch slot.state {
		case stateIdle:
			c.SetReadTimeout(transitGrace)
		case stateReading:
			c.SetReadTimeout(finalRequestTimeout)
		}
	}
}
