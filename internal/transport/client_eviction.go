package transport

// Eviction ranks, lowest first: what would be lost with a connection.
const (
	rankUnusedIdle = iota
	rankUnusedReading
	rankUsefulIdle
	rankUsefulReading
	evictionRanks
)

// evictionRank is the rank of a connection; ok is false for one that may not be evicted.
func (s *clientSlot) evictionRank() (rank int, ok bool) {
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

func (s *clientSlot) removeFromQueue() {
	if s.queue != nil {
		s.queue.Remove(s.element)
		s.queue, s.element = nil, nil
	}
}

// enqueue puts a connection whose state has just changed last in the queue of its rank, under the lock. So the one
// that is longest in its state is found at once: in a flood of connections each costs the same, however many are open.
func (l *clientLimiter) enqueue(c *Conn, slot *clientSlot) {
	slot.removeFromQueue()
	if rank, ok := slot.evictionRank(); ok {
		slot.queue = l.evictable[rank]
		slot.element = slot.queue.PushBack(c)
	}
}

// hasIdle reports whether an idle connection may be evicted. It is called under the lock.
func (l *clientLimiter) hasIdle() bool {
	return l.evictable[rankUnusedIdle].Len()+l.evictable[rankUsefulIdle].Len() > 0
}

// evictOne ends the connection of the lowest rank that is longest in its state, after a grace for a request in transit.
// It returns false where none may be evicted. Clients that open many connections and send nothing on them, nothing
// useful, or a request byte by byte go first, so that they keep no other client out. It is called under the lock.
func (l *clientLimiter) evictOne() bool {
	for _, queue := range l.evictable {
		if queue.Len() == 0 {
			continue
		}
		c := queue.Front().Value.(*Conn)
		slot := l.slots[c]
		l.addToCount(slot, -1)
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

func (l *clientLimiter) isEvicted(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slots[c].evicted
}
