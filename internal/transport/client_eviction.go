package transport

// evictionRank is the eviction priority of a connection. Connections with the lowest rank, whose loss costs least, are
// evicted first.
//
// A connection is useful once a request on it was accepted, and unused until then, even if requests on it were
// rejected. Therefore a client can't block others by opening many connections on which it sends nothing, only invalid
// requests, or a request byte by byte.
type evictionRank int

// The ranks, lowest first.
const (
	rankUnusedIdle    evictionRank = iota // no request accepted so far, none being read
	rankUnusedReading                     // no request accepted so far, one being read
	rankUsefulIdle
	rankUsefulReading
	evictionRanks // number of ranks
)

// evictionRank returns the rank of a connection. evictable is false if a request on it is being served or if it has
// been evicted already.
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

// removeFromQueue removes a connection from the queue of its rank, if it is in one. The caller must hold the lock.
func (s *clientSlot) removeFromQueue() {
	if s.queue != nil {
		s.queue.Remove(s.element)
		s.queue, s.element = nil, nil
	}
}

// enqueue appends a connection whose state has just changed to the queue of its rank. The front of each queue is
// therefore the connection that has been in its state longest, and the cost of an eviction doesn't depend on the number
// of open connections. The caller must hold the lock.
func (l *clientLimiter) enqueue(c *Conn, slot *clientSlot) {
	slot.removeFromQueue()
	if rank, evictable := slot.evictionRank(); evictable {
		slot.queue = l.evictable[rank]
		slot.element = slot.queue.PushBack(c)
	}
}

// hasEvictableIdle reports whether an idle connection can be evicted. The caller must hold the lock.
func (l *clientLimiter) hasEvictableIdle() bool {
	return l.evictable[rankUnusedIdle].Len()+l.evictable[rankUsefulIdle].Len() > 0
}

// evictOne evicts one connection and reports whether one could be evicted. Among the connections with the lowest rank,
// it selects the connection that has been in its state longest. It sets a read deadline that allows time for a request
// in transit; the owner closes the connection when the deadline passes. The caller must hold the lock.
func (l *clientLimiter) evictOne() bool {
	for _, queue := range l.evictable {
		if queue.Len() == 0 {
			continue
		}
		c := queue.Front().Value.(*Conn)
		slot := l.slots[c]
		l.uncountSlot(slot)
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

// isEvicted reports whether a connection has been evicted in favor of another one.
func (l *clientLimiter) isEvicted(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots[c].evicted
}
