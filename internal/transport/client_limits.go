package transport

import (
	"container/list"
	"context"
	"sync"
	"time"

	"canvasroute/internal/lifecycle"
)

// spareDivisor divides the limit into the number of connections beyond it that may be open for a moment.
const spareDivisor = 16

// clientLimiter limits how many client connections are open. It has the state of each, which decides its read deadline.
// Where a new connection needs a slot, it evicts the least useful one, see evictionRank.
type clientLimiter struct {
	freed     chan struct{} // has an element after a slot was released
	lifecycle *lifecycle.State

	mu        sync.Mutex                // guards what follows
	limit     int                       // slots for connections that are served
	spare     int                       // slots beyond limit, for connections that are rejected or are being closed
	slots     map[*Conn]*clientSlot     // of the open connections
	counted   int                       // slots that count toward limit
	evictable [evictionRanks]*list.List // *Conn by eviction rank, the one longest in its state first
}

// clientSlot is the state of a client's connection.
type clientSlot struct {
	state         clientState
	since         time.Time // when it got into state
	awaitingFirst bool      // the first request hasn't been answered
	useful        bool      // a request on it was accepted, rather than rejected as the client's fault
	admission     admissionResult
	evicted       bool // it is being closed to make room

	queue   *list.List    // the one of clientLimiter.evictable that it is in, nil if it may not be evicted
	element *list.Element // in queue
}

// countsTowardLimit reports whether a connection keeps another one out. One that is rejected or evicted is in a spare
// slot.
func (s *clientSlot) countsTowardLimit() bool { return !s.evicted && s.admission == admitted }

// admissionResult says whether a new connection was within the limit.
type admissionResult uint8

const (
	admitted  admissionResult = iota
	overLimit                 // it gets one response that says so, and is closed
)

// clientState says what the server waits for on a client's connection.
type clientState uint8

const (
	stateIdle    clientState = iota // between requests
	stateReading                    // part of a request has come
	stateServing                    // a complete request was read, and is owed a response
)

// newClientLimiter returns a limiter of limit connections. state says whether connections may be idle.
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

// spareSlots returns how many connections beyond a limit may be open.
func spareSlots(limit int) int { return max(limit/spareDivisor, 1) }

// waitForCapacity waits until there is a slot for one more connection, which may be a spare one, or until ctx ends.
// Meanwhile it evicts connections; those in the spare slots are being closed.
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

// setLimit changes the limit. Idle connections beyond it are evicted now, others when new ones come.
func (l *clientLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.spare = spareSlots(limit)
	for l.counted > l.limit && l.hasIdle() {
		l.evictOne()
	}
}

// open returns the number of open connections, with those in spare slots.
func (l *clientLimiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// acquire gives a new connection a slot and sets the timeout of its first request. At the limit it evicts another one;
// the result is overLimit where none may be evicted.
func (l *clientLimiter) acquire(c *Conn) admissionResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	admission := admitted
	if l.counted >= l.limit && !l.evictOne() {
		admission = overLimit
	}
	slot := &clientSlot{since: time.Now(), awaitingFirst: true, admission: admission}
	l.slots[c] = slot
	l.count(slot)
	l.enqueue(c, slot)
	c.SetReadTimeout(firstRequestTimeout)
	if l.closesIdle() {
		c.SetReadTimeout(finalRequestTimeout)
	}
	return admission
}

// release gives back the slot of a closed connection.
func (l *clientLimiter) release(c *Conn) {
	l.mu.Lock()
	if slot := l.slots[c]; slot != nil {
		l.uncount(slot)
		slot.removeFromQueue()
	}
	delete(l.slots, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// count adds a slot to counted if it counts toward the limit. It is called under the lock, after a change of the slot.
func (l *clientLimiter) count(slot *clientSlot) {
	if slot.countsTowardLimit() {
		l.counted++
	}
}

// uncount undoes count. It is called under the lock, before a change of the slot.
func (l *clientLimiter) uncount(slot *clientSlot) {
	if slot.countsTowardLimit() {
		l.counted--
	}
}

// markIdle records that a response was sent, and sets the idle timeout. It does so under one lock with the check whether
// idle connections are closed: either closeIdle finds the connection idle, or markIdle finds the later phase.
func (l *clientLimiter) markIdle(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slots[c]
	l.uncount(slot)
	slot.state = stateIdle
	slot.since = time.Now()
	slot.awaitingFirst = false
	slot.evicted = false
	l.count(slot)
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
// gets no more time. Nor does a first request, whose timeout counts from accept.
func (l *clientLimiter) markReading(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.setState(c, stateReading)
	switch {
	case slot.evicted: // its deadline stays
	case l.closesIdle():
		c.SetReadTimeout(finalRequestTimeout)
	case slot.awaitingFirst: // its deadline stays
	case slot.useful:
		c.SetReadTimeout(requestReadTimeout)
	default:
		c.SetReadTimeout(firstRequestTimeout)
	}
}

// markServing records that a complete request was read. The connection isn't evicted before its response.
func (l *clientLimiter) markServing(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setState(c, stateServing)
}

// setState records a change of a connection's state. It is called under the lock.
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

// isReading reports whether a part of a request has come.
func (l *clientLimiter) isReading(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots[c].state == stateReading
}

// closesIdle reports whether idle connections are closed in the process's present phase.
func (l *clientLimiter) closesIdle() bool {
	return !l.lifecycle.PhaseAt(time.Now()).KeepsIdleConnections()
}

// interruptAll interrupts all connections, whatever their state; their owners close them.
func (l *clientLimiter) interruptAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.slots {
		c.Interrupt()
	}
}

// closeIdle sets short read deadlines for the connections that are idle or reading a request; their owners close them
// then. Those that are owed a response are closed after it.
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
