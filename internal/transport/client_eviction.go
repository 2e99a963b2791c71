package transport

// evictionRank orders the connections that may be evicted by what would be lost with them. The lowest goes first.
//
// A connection is useful once a request on it was accepted. Clients that open many connections and send nothing on them,
// only invalid requests, or a request byte by byte therefore keep no other client out.
type evictionRank int

// The ranks, lowest first.
const (
	rankUnusedIdle    evictionRank = iota // no request was useful, none has begun
	rankUnusedReading                     // no request was useful, one has begun
	rankUsefulIdle
	rankUsefulReading
	evictionRanks // number of ranks
)

// evictionRank returns the rank of a connection. evictable is false for one that is owed a response or is evicted
// already.
func (s *clientSlot) evictionRank() (rank evictionRank, evictable bool) {
	switch {
	case s.useful && s.state == stateReading:
		rank = rankUsefulReading
	case s.useful:
		rank = rankUsefulIdle
	case s.state == stateReading:
		rank = rankUnusedReading
	default:
		rank = rankUnusedIdle
	}
	return rank, s.state != stateServing && !s.evicted
}

// removeFromQueue takes a connection out of the queue of its rank, if it is in one. It is called under the lock.
func (s *clientSlot) removeFromQueue() {
	if s.queue != nil {
		s.queue.Remove(s.element)
		s.queue, s.element = nil, nil
	}
}

// enqueue puts a connection whose state has just changed last in the queue of its rank. The first of a queue is the one
// that is longest in its state, so that an eviction costs the same however many connections are open. It is called under
// the lock.
func (l *clientLimiter) enqueue(c *Conn, slot *clientSlot) {
	slot.removeFromQueue()
	if rank, evictable := slot.evictionRank(); evictable {
		slot.queue = l.evictable[rank]
		slot.element = slot.queue.PushBack(c)
	}
}

// hasIdle reports whether an idle connection may be evicted. It is called under the lock.
func (l *clientLimiter) hasIdle() bool {
	return l.evictable[rankUnusedIdle].Len()+l.evictable[rankUsefulIdle].Len() > 0
}

// evictOne evicts the connection of the lowest rank that is longest in its state, and reports whether there was one. The
// connection gets a read deadline that leaves time for a request in transit, and its owner closes it then. It is called
// under the lock.
func (l *clientLimiter) evictOne() bool {
	for _, queue := range l.evictable {
		if queue.Len() == 0 {
			continue
		}
		c := queue.Front().Value.(*Conn)
		slot := l.slots[c]
		l.uncount(slot)
		slot.evicted = true
		slot.removeFromQueue()
		if slot.useful {
			c.SetReadTimeout(transitGrace)
		} else {
			c.SetReadTimeout(unusedTransitGrace)
		}
		return true
	}
	return false
}

// isEvicted reports whether a connection is being closed to make room for another one.
func (l *clientLimiter) isEvicted(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots[c].evicted
}
