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

// A connection counted or ranked by an earlier state would make the limit wrong for good, or be evicted
// although it is owed a response.
func TestLimiterStaysConsistentUnderRandomOperations(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := newClientLimiter(20, &lifecycle.State{})
	var conns []*Conn
	for range 4000 {
		if len(conns) == 0 || rng.IntN(6) == 0 {
			pipe, peer := net.Pipe()
			defer peer.Close()
			c := newConn(pipe, Client, "", zerolog.Nop(), nil)
			l.acquire(c)
			conns = append(conns, c)
			continue
		}
		n := rng.IntN(len(conns))
		c := conns[n]
		switch rng.IntN(6) {
		case 0:
			l.markIdle(c)
		case 1:
			l.markReading(c)
		case 2:
			l.markServing(c)
		case 3: // as before the response to an accepted request
			l.markServing(c)
			l.markUseful(c)
		case 4:
			l.release(c)
			conns = append(conns[:n], conns[n+1:]...)
		case 5:
			l.mu.Lock()
			l.evictOne()
			l.mu.Unlock()
		}
		assertLimiterConsistent(t, l)
		if t.Failed() {
			return
		}
	}
}

// assertLimiterConsistent checks that the count and the queues are as the slots' states say, and that each queue is
// in the order of since.
func assertLimiterConsistent(t *testing.T, l *clientLimiter) {
	t.Helper()
	counted, queued := 0, 0
	for c, slot := range l.slots {
		if !slot.evicted && !slot.overLimit {
			counted++
		}
		rank, ok := slot.evictionRank()
		assert.Equal(t, ok, slot.queue != nil)
		if ok {
			queued++
			assert.Same(t, l.evictable[rank], slot.queue)
			assert.Same(t, c, slot.element.Value)
		}
	}
	for _, queue := range l.evictable {
		queued -= queue.Len()
		for e := queue.Front(); e != nil && e.Next() != nil; e = e.Next() {
			assert.False(t, l.slots[e.Next().Value.(*Conn)].since.Before(l.slots[e.Value.(*Conn)].since))
		}
	}
	assert.Zero(t, queued)
	assert.Equal(t, counted, l.counted)
}

// BenchmarkAcquireAtTheLimit is the cost of a connection in a flood: it must not grow with the number of slots.
func BenchmarkAcquireAtTheLimit(b *testing.B) {
	l := newClientLimiter(5000, &lifecycle.State{})
	pipe, peer := net.Pipe()
	defer peer.Close()
	for range 5000 {
		l.acquire(newConn(pipe, Client, "", zerolog.Nop(), nil))
	}
	began := time.Now()
	for b.Loop() {
		c := newConn(pipe, Client, "", zerolog.Nop(), nil)
		l.acquire(c)
		l.release(c)
	}
	b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(b.N), "ns/connection")
}
