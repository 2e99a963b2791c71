package admin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// MaxConnections is the maximum number of open connections. The process reserves as many file descriptors for them.
const MaxConnections = 16

// Time limits on waiting for a caller.
const (
	commandTimeout = 2 * time.Second        // from the accept to the end of the command line
	lingerTimeout  = 250 * time.Millisecond // for the caller to close the connection after the response
)

// pastDeadline is a read deadline that interrupts a read immediately.
var pastDeadline = time.Unix(1, 0)

// connection is a caller's connection that occupies a slot.
type connection struct {
	conn    net.Conn
	evicted bool // the wait for the caller was interrupted; guarded by connectionSlots.mu
}

// connectionSlots limits the number of connections and selects the one to evict when a new caller needs a slot.
// Connections that have received their response are evicted first, starting with the one answered last. Next are those
// that have not sent a command, starting with the oldest. A connection whose command is being run or answered is never
// evicted. Callers that connect and send nothing therefore cannot block others.
type connectionSlots struct {
	mu         sync.Mutex
	slotsInUse int           // number of connections that are not released yet
	evictable  []*connection // in eviction order
	freed      chan struct{} // receives a value when a slot is released or a connection becomes evictable
}

func newConnectionSlots() *connectionSlots {
	return &connectionSlots{freed: make(chan struct{}, 1)}
}

// awaitFreeSlot waits until a slot is free, evicting a connection if necessary. It returns false when ctx is done.
func (s *connectionSlots) awaitFreeSlot(ctx context.Context) bool {
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

// freeOrEvict reports whether a slot is free. If not, it evicts a connection, whose slot becomes free on release.
func (s *connectionSlots) freeOrEvict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotsInUse < MaxConnections {
		return true
	}
	if len(s.evictable) > 0 {
		s.evictable[0].evict()
		s.evictable = s.evictable[1:]
	}
	return false
}

// evict interrupts the wait for the caller, after which the connection's goroutine releases the slot. The caller of
// evict must hold connectionSlots.mu.
func (c *connection) evict() {
	c.evicted = true
	c.conn.SetReadDeadline(pastDeadline)
}

// addConnection assigns a slot to a connection that has not sent its command yet.
func (s *connectionSlots) addConnection(conn net.Conn) *connection {
	c := &connection{conn: conn}
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotsInUse++
	s.evictable = append(s.evictable, c)
	return c
}

// pin prevents the eviction of a connection, either while its command is run and answered or because its slot is being
// released.
func (s *connectionSlots) pin(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := slices.Index(s.evictable, c); n >= 0 {
		s.evictable = slices.Delete(s.evictable, n, n+1)
	}
}

// linger gives the caller lingerTimeout to close the connection after the response. Until then the connection is the
// next one to be evicted. linger returns false if the connection was evicted before it was pinned.
func (s *connectionSlots) linger(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.evicted {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	s.evictable = slices.Insert(s.evictable, 0, c)
	s.signalFreed() // awaitFreeSlot can evict this connection
	return true
}

// release closes a connection and frees its slot.
func (s *connectionSlots) release(c *connection) {
	c.conn.Close()
	s.pin(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotsInUse--
	s.signalFreed()
}

// signalFreed makes awaitFreeSlot check for a free slot again. One value in the channel is enough for any number of
// changes since its last check.
func (s *connectionSlots) signalFreed() {
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
