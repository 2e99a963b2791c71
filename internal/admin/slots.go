package admin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// MaxConnections is how many connections are open at once. The process sets as many descriptors aside for them.
const MaxConnections = 16

// Bounds on waiting for a caller.
const (
	commandTimeout = 2 * time.Second        // from the accept to the end of the command's line
	lingerTimeout  = 250 * time.Millisecond // for the caller to close the connection after the answer
)

// longPast is a read deadline that interrupts a read at once.
var longPast = time.Unix(1, 0)

// connection is a caller's connection that uses a slot.
type connection struct {
	conn    net.Conn
	evicted bool // the wait for the caller was interrupted; guarded by connectionSlots.mu
}

// connectionSlots bounds the number of connections, and chooses which one another caller replaces. First come those whose
// caller has its answer, the last one answered before the others. Then come those that have not sent a command, the one
// that waits longest first. A connection whose command is being run or answered is not evicted. So callers that connect
// and send nothing keep no other caller out.
type connectionSlots struct {
	mu        sync.Mutex
	inUse     int           // slots of connections that are not released
	evictable []*connection // in the order of eviction
	freed     chan struct{} // has a value when a slot was released, or a connection became evictable
}

func newConnectionSlots() *connectionSlots {
	return &connectionSlots{freed: make(chan struct{}, 1)}
}

// await waits until a slot is free, and evicts a connection where none is. It reports false when ctx has ended.
func (s *connectionSlots) await(ctx context.Context) bool {
	for {
		if s.freeOrEvict() {
			return ctx.Err() == nil
		}
		select {
		case <-s.freed:
		case <-ctx.Done():
			return false
		}
	}
}

// freeOrEvict reports whether a slot is free. If none is, it evicts a connection, whose slot is free after release.
func (s *connectionSlots) freeOrEvict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse < MaxConnections {
		return true
	}
	if len(s.evictable) > 0 {
		s.evictable[0].evict()
		s.evictable = s.evictable[1:]
	}
	return false
}

// evict interrupts the wait for the caller. The connection's goroutine then releases its slot. The caller holds
// connectionSlots.mu.
func (c *connection) evict() {
	c.evicted = true
	c.conn.SetReadDeadline(longPast)
}

// add uses a slot for a connection that has not sent its command yet.
func (s *connectionSlots) add(conn net.Conn) *connection {
	c := &connection{conn: conn}
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse++
	s.evictable = append(s.evictable, c)
	return c
}

// pin protects a connection from eviction while its command is run and answered.
func (s *connectionSlots) pin(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := slices.Index(s.evictable, c); n >= 0 {
		s.evictable = slices.Delete(s.evictable, n, n+1)
	}
}

// linger gives a caller that has its answer lingerTimeout to close the connection, which is the next one to be evicted
// meanwhile. It reports false for a connection that was evicted before it was pinned.
func (s *connectionSlots) linger(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.evicted {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	s.evictable = slices.Insert(s.evictable, 0, c)
	s.wake() // a goroutine that awaits a slot can evict this one
	return true
}

// release closes a connection and frees its slot.
func (s *connectionSlots) release(c *connection) {
	c.conn.Close()
	s.pin(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
	s.wake()
}

// wake has await look for a slot again. One value in the channel is enough for all reasons since its last look.
func (s *connectionSlots) wake() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// evictAll evicts all connections that are not pinned.
func (s *connectionSlots) evictAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.evictable {
		c.evict()
	}
}
