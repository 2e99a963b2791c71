package transport

import (
	"container/list"
	"context"
	"sync"
	"time"

	"canvasroute/internal/lifecycle"
)

// How long a connection that has to make room still has for a message on its way to it.
const (
	evictionGrace       = 50 * time.Millisecond
	silentEvictionGrace = 5 * time.Millisecond // where nothing of use has ever come: clients ask as they connect
)

// clientLimiter is the room that clients' connections share.
type clientLimiter struct {
	limit     int
	spare     int // beyond most, for those that are answered as overfull or on their way out
	freed     chan struct{}
	lifecycle *lifecycle.State

	mu        sync.Mutex
	slots     map[*Conn]*clientSlot
	counted   int                       // of those held, the ones that neither came beyond the budget nor are to end
	evictable [evictionRanks]*list.List // connections that may have to make room, by rank, the longest at it first
}

// clientSlot is what a client's connection does, and since when.
type clientSlot struct {
	state         clientState
	since         time.Time
	awaitingFirst bool // its first message is still to be answered
	useful        bool // it has brought an invocation that was taken
	overLimit     bool // it came beyond the budget
	evicted       bool // it is to end for another one's sake

	queue   *list.List // of those that may have to make room, nil if it has to stay
	element *list.Element
}

type clientState uint8

const (
	stateIdle clientState = iota // idle between messages
	stateReading
	stateServing // a whole message has been taken: it is owed an answer
)

func newClientLimiter(most int, state *lifecycle.State) *clientLimiter {
	s := &clientLimiter{
		limit: most, lifecycle: state, spare: max(most/16, 1), freed: make(chan struct{}, 1),
		slots: map[*Conn]*clientSlot{},
	}
	for r := range s.evictable {
		s.evictable[r] = list.New()
	}
	return s
}

// waitForCapacity blocks until one more connection fits, or ctx ends. What fills the spare places is on its way out.
func (s *clientLimiter) waitForCapacity(ctx context.Context) {
	for {
		s.mu.Lock()
		fits := len(s.slots) < s.limit+s.spare
		if !fits {
			s.evictOne()
		}
		s.mu.Unlock()
		if fits {
			return
		}
		select {
		case <-s.freed:
		case <-time.After(evictionGrace):
		case <-ctx.Done():
			return
		}
	}
}

// setLimit sets how many may be kept from now on. Those beyond it end as others come, or one by one as they turn
// idle.
func (s *clientLimiter) setLimit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.spare = most, max(most/16, 1)
	for s.counted > s.limit && s.evictable[0].Len()+s.evictable[2].Len() > 0 && s.evictOne() {
	}
}

func (s *clientLimiter) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots)
}

// acquire gives a new connection a place, another one's if need be. It tells whether it came beyond the budget.
func (s *clientLimiter) acquire(c *Conn) (over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	over = s.counted >= s.limit && !s.evictOne()
	p := &clientSlot{since: time.Now(), awaitingFirst: true, overLimit: over}
	s.slots[c] = p
	s.addToCount(p, 1)
	s.enqueue(c, p)
	c.SetTimeout(firstRequestTimeout)
	if s.closesIdle() {
		c.SetTimeout(finalRequestTimeout)
	}
	return over
}

func (s *clientLimiter) release(c *Conn) {
	s.mu.Lock()
	if p := s.slots[c]; p != nil {
		s.addToCount(p, -1)
		p.removeFromQueue()
	}
	delete(s.slots, c)
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// ranks are: unproven ones that stand idle, and that bring a message; then proven ones alike.
const evictionRanks = 4

// evictionRank orders connections by what would be lost with them; false for one that has to stay.
func (p *clientSlot) evictionRank() (rank int, may bool) {
	if p.state == stateReading {
		rank = 1
	}
	if p.useful {
		rank += 2
	}
	return rank, p.state != stateServing && !p.evicted
}

// addToCount keeps the number of those that are kept; it is called before and after what changes that.
func (s *clientLimiter) addToCount(p *clientSlot, by int) {
	if !p.evicted && !p.overLimit {
		s.counted += by
	}
}

func (p *clientSlot) removeFromQueue() {
	if p.queue != nil {
		p.queue.Remove(p.element)
		p.queue, p.element = nil, nil
	}
}

// enqueue puts a connection last among those of its rank, as what it does has just begun. So the one that has
// done what it does longest is found at once: a flood of connections costs the same for each, whatever is
// held.
func (s *clientLimiter) enqueue(c *Conn, p *clientSlot) {
	p.removeFromQueue()
	if rank, may := p.evictionRank(); may {
		p.queue = s.evictable[rank]
		p.element = p.queue.PushBack(c)
	}
}

// evictOne ends the connection of least rank that has longest done what it does, under the lock. It guards
// against clients that open many connections and bring nothing on them, or nothing of use, or bring it byte
// by byte: those go first, so that they keep no other out.
func (s *clientLimiter) evictOne() bool {
	for _, l := range s.evictable {
		if l.Len() == 0 {
			continue
		}
		last := l.Front().Value.(*Conn)
		p, within := s.slots[last], silentEvictionGrace
		if p.useful {
			within = evictionGrace
		}
		s.addToCount(p, -1)
		p.evicted = true
		p.removeFromQueue()
		last.SetTimeout(within)
		return true
	}
	return false
}

// markIdle marks a connection idle, and bounds that. It is one step with the look at whether all are to end:
// else one that turns idle just then would be waited for as long as usual.
func (s *clientLimiter) markIdle(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.slots[c]
	s.addToCount(p, -1)
	p.state, p.since, p.awaitingFirst, p.evicted = stateIdle, time.Now(), false, false
	s.addToCount(p, 1)
	s.enqueue(c, p)
	switch {
	case s.closesIdle():
		c.SetTimeout(evictionGrace)
	case p.useful:
		c.SetTimeout(idleTimeout)
	default:
		c.SetTimeout(firstRequestTimeout)
	}
}

// turn marks what a connection does next. One that is to end is not read on; a first message has to be whole
// in time from connecting, however late it begins.
func (s *clientLimiter) turn(c *Conn, to clientState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.slots[c]
	p.state, p.since = to, time.Now()
	s.enqueue(c, p)
	switch {
	case to != stateReading || p.evicted:
	case s.closesIdle():
		c.SetTimeout(finalRequestTimeout)
	case p.awaitingFirst:
	case p.useful:
		c.SetTimeout(requestReadTimeout)
	default:
		c.SetTimeout(firstRequestTimeout)
	}
}

// markUseful marks that a connection has brought an invocation that was taken.
func (s *clientLimiter) markUseful(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots[c].useful = true
	s.enqueue(c, s.slots[c])
}

func (s *clientLimiter) isEvicted(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots[c].evicted
}

// isReading tells whether a message has come in part.
func (s *clientLimiter) isReading(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots[c].state == stateReading
}

// closesIdle tells whether idle connections end.
func (s *clientLimiter) closesIdle() bool {
	return !s.lifecycle.PhaseAt(time.Now()).KeepsIdleConnections()
}

// interruptAll ends all, whatever they do.
func (s *clientLimiter) interruptAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.slots {
		c.Interrupt()
	}
}

// closeIdle ends the idle connections, and those about a message soon.
func (s *clientLimiter) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, p := range s.slots {
		switch p.state {
		case stateIdle:
			c.SetTimeout(evictionGrace)
		case stateReading:
			c.SetTimeout(finalRequestTimeout)
		}
	}
}
