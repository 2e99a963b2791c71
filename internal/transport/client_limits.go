package transport

import (
	"container/list"
	"context"
	"sync"
	"time"

	"canvasroute/internal/lifecycle"
)

// spareDivisor is the ratio of the connection limit to the number of spare slots.
const spareDivisor = 16

// clientLimiter limits the number of open client connections. It tracks the state of each connection and sets the read
// deadline for that state. If no slot is free for a new connection, it evicts an open one, see evictionRank.
type clientLimiter struct {
	freed     chan struct{} // receives an element when a slot is released
	lifecycle *lifecycle.State

	mu        sync.Mutex                // guards the fields below
	limit     int                       // maximum number of admitted connections
	spare     int                       // additional slots for connections that are being rejected or evicted
	slots     map[*Conn]*clientSlot     // the slots of the open connections
	counted   int                       // number of slots that count toward limit
	evictable [evictionRanks]*list.List // queues of *Conn by eviction rank, longest in its state first
}

// clientSlot is the state of one client connection.
type clientSlot struct {
	state                 clientState
	stateSince            time.Time // time of the last change of state
	awaitingFirstResponse bool      // no response has been sent yet
	useful                bool      // a request was accepted: its response was not a client error
	admission             admissionResult
	evicted               bool // it is being closed in favor of another connection

	queue   *list.List    // the queue of clientLimiter.evictable that contains it, nil if not evictable
	element *list.Element // the connection's element in queue
}

// countsTowardLimit reports whether a connection counts toward the limit. Rejected and evicted connections occupy spare
// slots instead.
func (s *clientSlot) countsTowardLimit() bool { return !s.evicted && s.admission == admitted }

// admissionResult is the result of checking a new connection against the limit.
type admissionResult uint8

const (
	admitted  admissionResult = iota
	overLimit                 // the connection is closed after one response, see Server.exchange
)

// clientState is the stage of the request cycle that a client connection is in.
type clientState uint8

const (
	stateIdle    clientState = iota // between requests
	stateReading                    // part of a request has been received
	stateServing                    // a complete request was read; its response has not been sent yet
)

// newClientLimiter returns a limiter for limit connections. The phase of state determines whether idle connections are
// kept open.
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

// spareSlots returns the number of spare slots for a limit. It is at least 1.
func spareSlots(limit int) int { return max(limit/spareDivisor, 1) }

// waitForCapacity waits until a slot, regular or spare, is free for one more connection, or until ctx ends. While it
// waits, it evicts connections. Spare slots are freed without eviction, because their connections are being closed.
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

// setLimit changes the limit. If more connections are open, it evicts connections at once, as long as idle ones are
// left. Others are evicted when new connections are accepted.
func (l *clientLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.spare = spareSlots(limit)
	for l.counted > l.limit && l.hasEvictableIdle() {
		l.evictOne()
	}
}

// openCount returns the number of open connections, including those in spare slots.
func (l *clientLimiter) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// acquire assigns a slot to a new connection and sets the timeout of its first request. At the limit it evicts another
// connection. If none can be evicted, it returns overLimit.
func (l *clientLimiter) acquire(c *Conn) admissionResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	admission := admitted
	if l.counted >= l.limit && !l.evictOne() {
		admission = overLimit
	}
	slot := &clientSlot{stateSince: time.Now(), awaitingFirstResponse: true, admission: admission}
	l.slots[c] = slot
	l.countSlot(slot)
	l.enqueue(c, slot)
	c.SetReadTimeout(firstRequestTimeout)
	if l.closesIdle() {
		c.SetReadTimeout(finalRequestTimeout)
	}
	return admission
}

// release frees the slot of a closed connection.
func (l *clientLimiter) release(c *Conn) {
	l.mu.Lock()
	if slot := l.slots[c]; slot != nil {
		l.uncountSlot(slot)
		slot.removeFromQueue()
	}
	delete(l.slots, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// countSlot increments counted if the slot counts toward the limit. It is called after a change of the slot. The caller
// must hold the lock.
func (l *clientLimiter) countSlot(slot *clientSlot) {
	if slot.countsTowardLimit() {
		l.counted++
	}
}

// uncountSlot reverts countSlot. It is called before a change of the slot. The caller must hold the lock.
func (l *clientLimiter) uncountSlot(slot *clientSlot) {
	if slot.countsTowardLimit() {
		l.counted--
	}
}

// markIdle records that a response was sent, and sets the idle timeout. The state change and the check of the lifecycle
// phase happen under the same lock, so that a connection can't miss a phase change: either shortenDeadlines finds it
// idle, or markIdle finds the new phase.
func (l *clientLimiter) markIdle(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slots[c]
	l.uncountSlot(slot)
	slot.state = stateIdle
	slot.stateSince = time.Now()
	slot.awaitingFirstResponse = false
	slot.evicted = false
	l.countSlot(slot)
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

// markReading records that the first byte of a request was received, and sets the deadline for the rest of the request.
// The deadline is not extended for an evicted connection, nor for a first request, whose timeout counts from accept.
func (l *clientLimiter) markReading(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.setState(c, stateReading)
	switch {
	case slot.evicted: // its deadline is unchanged
	case l.closesIdle():
		c.SetReadTimeout(finalRequestTimeout)
	case slot.awaitingFirstResponse: // its deadline is unchanged
	case slot.useful:
		c.SetReadTimeout(requestReadTimeout)
	default:
		c.SetReadTimeout(firstRequestTimeout)
	}
}

// markServing records that a complete request was read. The connection can't be evicted until the response has been
// sent.
func (l *clientLimiter) markServing(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setState(c, stateServing)
}

// setState changes the state of a connection and returns its slot. The caller must hold the lock.
func (l *clientLimiter) setState(c *Conn, state clientState) *clientSlot {
	slot := l.slots[c]
	slot.state = state
	slot.stateSince = time.Now()
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

// isReading reports whether part of a request has been received.
func (l *clientLimiter) isReading(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots[c].state == stateReading
}

// closesIdle reports whether idle connections are closed in the current lifecycle phase.
func (l *clientLimiter) closesIdle() bool {
	return !l.lifecycle.PhaseAt(time.Now()).KeepsIdleConnections()
}

// interruptAll interrupts all connections regardless of their state. Their owners close them.
func (l *clientLimiter) interruptAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.slots {
		c.Interrupt()
	}
}

// shortenDeadlines sets short read deadlines for the connections that are idle or reading a request. Their owners close
// them when the deadlines pass. Connections on which a request is being served are closed after the response.
func (l *clientLimiter) shortenDeadlines() {
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
