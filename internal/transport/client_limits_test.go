package transport

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
)

// If the count or a queue were not updated on a change of state, the limit would stay wrong permanently, or a
// connection could be evicted while its request is being served.
func TestLimiterStaysConsistentUnderRandomOperations(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	limiter := newClientLimiter(20, &lifecycle.State{})
	var conns []*Conn
	for range 4000 {
		if len(conns) == 0 || rng.IntN(6) == 0 {
			pipe, peer := net.Pipe()
			defer peer.Close()
			conn := newConn(pipe, Client, "", zerolog.Nop(), nil)
			limiter.acquire(conn)
			conns = append(conns, conn)
			continue
		}
		n := rng.IntN(len(conns))
		conn := conns[n]
		switch rng.IntN(6) {
		case 0:
			limiter.markIdle(conn)
		case 1:
			limiter.markReading(conn)
		case 2:
			limiter.markServing(conn)
		case 3: // the sequence before the response to an accepted request
			limiter.markServing(conn)
			limiter.markUseful(conn)
		case 4:
			limiter.release(conn)
			conns = append(conns[:n], conns[n+1:]...)
		case 5:
			limiter.mu.Lock()
			limiter.evictOne()
			limiter.mu.Unlock()
		}
		assertLimiterConsistent(t, limiter)
		if t.Failed() {
			return
		}
	}
}

// assertLimiterConsistent checks that the count and the queues match the states of the slots, and that each queue is
// ordered by the time of the last state change.
func assertLimiterConsistent(t *testing.T, limiter *clientLimiter) {
	t.Helper()
	counted, queued := 0, 0
	for conn, slot := range limiter.slots {
		if !slot.evicted && slot.admission == admitted {
			counted++
		}
		rank, isEvictable := slot.evictionRank()
		assert.Equal(t, isEvictable, slot.queue != nil)
		if isEvictable {
			queued++
			assert.Same(t, limiter.evictable[rank], slot.queue)
			assert.Same(t, conn, slot.element.Value)
		}
	}
	for _, queue := range limiter.evictable {
		queued -= queue.Len()
		for e := queue.Front(); e != nil && e.Next() != nil; e = e.Next() {
			assert.False(t, limiter.slots[e.Next().Value.(*Conn)].stateSince.Before(limiter.slots[e.Value.(*Conn)].stateSince))
		}
	}
	assert.Zero(t, queued)
	assert.Equal(t, counted, limiter.counted)
}

// BenchmarkAcquireAtTheLimit measures the cost of a connection during a flood, which must not grow with the number of
// slots.
func BenchmarkAcquireAtTheLimit(b *testing.B) {
	limiter := newClientLimiter(5000, &lifecycle.State{})
	pipe, peer := net.Pipe()
	defer peer.Close()
	for range 5000 {
		limiter.acquire(newConn(pipe, Client, "", zerolog.Nop(), nil))
	}
	began := time.Now()
	for b.Loop() {
		conn := newConn(pipe, Client, "", zerolog.Nop(), nil)
		limiter.acquire(conn)
		limiter.release(conn)
	}
	b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(b.N), "ns/connection")
}
