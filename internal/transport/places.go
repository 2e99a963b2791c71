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
	crossWithin  = 50 * time.Millisecond
	silentWithin = 5 * time.Millisecond // where nothing of use has ever come: clients ask as they connect
)

// places is the room that clients' connections share.
type places struct {
	most  int
	spare int // beyond most, for those that are answered as overfull or on their way out
	freed chan struct{}
	drain *lifecycle.State

	mu    sync.Mutex
	held  map[*Conn]*place
	kept  int               // of those held, the ones that neither came beyond the budget nor are to end
	yield [ranks]*list.List // connections that may have to make room, by rank, the longest at it first
}

// place is what a client's connection does, and since when.
type place struct {
	doing   doing
	since   time.Time
	first   bool // its first message is still to be answered
	proven  bool // it has brought an invocation that was taken
	over    bool // it came beyond the budget
	evicted bool // it is to end for another one's sake

	in *list.List // of those that may have to make room, nil if it has to stay
	at *list.Element
}

type doing uint8

const (
	standing doing = iota // idle between messages
	reading
	answering // a whole message has been taken: it is owed an answer
)

func newPlaces(most int, state *lifecycle.State) *places {
	s := &places{
		most: most, drain: state, spare: max(most/16, 1), freed: make(chan struct{}, 1),
		held: map[*Conn]*place{},
	}
	for r := range s.yield {
		s.yield[r] = list.New()
	}
	return s
}

// wait blocks until one more connection fits, or ctx ends. What fills the spare places is on its way out.
func (s *places) wait(ctx context.Context) {
	for {
		s.mu.Lock()
		fits := len(s.held) < s.most+s.spare
		if !fits {
			s.evict()
		}
		s.mu.Unlock()
		if fits {
			return
		}
		select {
		case <-s.freed:
		case <-time.After(crossWithin):
		case <-ctx.Done():
			return
		}
	}
}

// bound sets how many may be kept from now on. Those beyond it end as others come, or one by one as they turn
// idle.
func (s *places) bound(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.spare = most, max(most/16, 1)
	for s.kept > s.most && s.yield[0].Len()+s.yield[2].Len() > 0 && s.evict() {
	}
}

func (s *places) heldNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// admit gives a new connection a place, another one's if need be. It tells whether it came beyond the budget.
func (s *places) admit(c *Conn) (over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	over = s.kept >= s.most && !s.evict()
	p := &place{since: time.Now(), first: true, over: over}
	s.held[c] = p
	s.count(p, 1)
	s.queue(c, p)
	c.SetTimeout(firstWithin)
	if s.retired() {
		c.SetTimeout(lastWithin)
	}
	return over
}

func (s *places) leave(c *Conn) {
	s.mu.Lock()
	if p := s.held[c]; p != nil {
		s.count(p, -1)
		p.leave()
	}
	delete(s.held, c)
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// ranks are: unproven ones that stand idle, and that bring a message; then proven ones alike.
const ranks = 4

// rank orders connections by what would be lost with them; false for one that has to stay.
func (p *place) rank() (rank int, may bool) {
	if p.doing == reading {
		rank = 1
	}
	if p.proven {
		rank += 2
	}
	return rank, p.doing != answering && !p.evicted
}

// count keeps the number of those that are kept; it is called before and after what changes that.
func (s *places) count(p *place, by int) {
	if !p.evicted && !p.over {
		s.kept += by
	}
}

func (p *place) leave() {
	if p.in != nil {
		p.in.Remove(p.at)
		p.in, p.at = nil, nil
	}
}

// queue puts a connection last among those of its rank, as what it does has just begun. So the one that has
// done what it does longest is found at once: a flood of connections costs the same for each, whatever is
// held.
func (s *places) queue(c *Conn, p *place) {
	p.leave()
	if rank, may := p.rank(); may {
		p.in = s.yield[rank]
		p.at = p.in.PushBack(c)
	}
}

// evict ends the connection of least rank that has longest done what it does, under the lock. It guards
// against clients that open many connections and bring nothing on them, or nothing of use, or bring it byte
// by byte: those go first, so that they keep no other out.
func (s *places) evict() bool {
	for _, l := range s.yield {
		if l.Len() == 0 {
			continue
		}
		last := l.Front().Value.(*Conn)
		p, within := s.held[last], silentWithin
		if p.proven {
			within = crossWithin
		}
		s.count(p, -1)
		p.evicted = true
		p.leave()
		last.SetTimeout(within)
		return true
	}
	return false
}

// stand marks a connection idle, and bounds that. It is one step with the look at whether all are to end:
// else one that turns idle just then would be waited for as long as usual.
func (s *places) stand(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.held[c]
	s.count(p, -1)
	p.doing, p.since, p.first, p.evicted = standing, time.Now(), false, false
	s.count(p, 1)
	s.queue(c, p)
	switch {
	case s.retired():
		c.SetTimeout(crossWithin)
	case p.proven:
		c.SetTimeout(idleWithin)
	default:
		c.SetTimeout(firstWithin)
	}
}

// turn marks what a connection does next. One that is to end is not read on; a first message has to be whole
// in time from connecting, however late it begins.
func (s *places) turn(c *Conn, to doing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.held[c]
	p.doing, p.since = to, time.Now()
	s.queue(c, p)
	switch {
	case to != reading || p.evicted:
	case s.retired():
		c.SetTimeout(lastWithin)
	case p.first:
	case p.proven:
		c.SetTimeout(askWithin)
	default:
		c.SetTimeout(firstWithin)
	}
}

// prove marks that a connection has brought an invocation that was taken.
func (s *places) prove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[c].proven = true
	s.queue(c, s.held[c])
}

func (s *places) isEvicted(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[c].evicted
}

// isReading tells whether a message has come in part.
func (s *places) isReading(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[c].doing == reading
}

// retired tells whether idle connections end.
func (s *places) retired() bool { return !s.drain.PhaseAt(time.Now()).KeepsIdleConnections() }

// cut ends all, whatever they do.
func (s *places) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.held {
		c.Interrupt()
	}
}

// retire ends the idle connections, and those about a message soon.
func (s *places) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, p := range s.held {
		switch p.doing {
		case standing:
			c.SetTimeout(crossWithin)
		case reading:
			c.SetTimeout(lastWithin)
		}
	}
}
