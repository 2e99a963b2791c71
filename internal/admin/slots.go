package admin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// MaxConnections is how many connections are held at once: as many descriptors are set aside, beside the listener's.
// When all are held and another caller comes, one that has its answer is closed, or else the one that has gone longest
// without sending a command: callers that connect and send nothing keep nobody out.
const MaxConnections = 16

// Bounds on waiting for a caller.
const (
	commandTimeout = 2 * time.Second        // from the accept to the end of the command's line
	lingerTimeout  = 250 * time.Millisecond // for the caller to close the connection after the answer
)

// longPast is a deadline that interrupts a read at once.
var longPast = time.Unix(1, 0)

// connection is a caller's connection that holds a slot.
type connection struct {
	conn    net.Conn
	evicted bool // its slot is wanted; guarded by connectionSlots.mu
}

// connectionSlots bounds the number of connections. A slot is free again after release.
type connectionSlots struct {
	mu        sync.Mutex
	inUse     int
	evictable []*connection // in the order of eviction: those answered, then those without a command, the oldest first
	freed     chan struct{} // a slot may be had: by release or by eviction
}

func newConnectionSlots() *connectionSlots {
	return &connectionSlots{freed: make(chan struct{}, 1)}
}

// await waits until a slot is free, and evicts a connection where none is. It returns false when ctx has ended.
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

// freeOrEvict reports whether a slot is free. If none is, it interrupts the next evictable connection.
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

// evict interrupts the wait for the caller. The connection's goroutine then ends it.
func (c *connection) evict() {
	c.evicted = true
	c.conn.SetReadDeadline(longPast)
}

// add takes a slot for a connection that has not sent its command yet.
func (s *connectionSlots) add(conn net.Conn) *connection {
	c := &connection{conn: conn}
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse++
	s.evictable = append(s.evictable, c)
	return c
}

// pin protects a connection from eviction while its command is run.
func (s *connectionSlots) pin(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := slices.Index(s.evictable, c); n >= 0 {
		s.evictable = slices.Delete(s.evictable, n, n+1)
	}
}

// linger gives a caller that has its answer some time to close the connection; meanwhile it is the next one to be
// evicted. It returns false for one that is evicted already.
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

func (s *connectionSlots) wake() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// evictAll interrupts all connections that have not sent a command, and those that linger.
func (s *connectionSlots) evictAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.evictable {
		c.evict()
	}
}
