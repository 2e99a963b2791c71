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

// Guards against a connection that is counted or ranked as what it was: the budget would be wrong for good,
// or one that is owed an answer would make room.
func TestPlacesRankAndCountWhateverConnectionsDo(t *testing.T) {
	rng, s := rand.New(rand.NewPCG(1, 2)), newClientLimiter(20, &lifecycle.State{})
	var conns []*Conn
	for range 4000 {
		if len(conns) == 0 || rng.IntN(6) == 0 {
			a, b := net.Pipe()
			defer b.Close()
			c := newConn(a, Client, "", zerolog.Nop(), nil)
			s.acquire(c)
			conns = append(conns, c)
			continue
		}
		n := rng.IntN(len(conns))
		c := conns[n]
		switch rng.IntN(6) {
		case 0:
			s.markIdle(c)
		case 1:
			s.markReading(c)
		case 2:
			s.markServing(c)
		case 3:
			s.markServing(c) // as when its answer is at hand
			s.markUseful(c)
		case 4:
			s.release(c)
			conns = append(conns[:n], conns[n+1:]...)
		case 5:
			s.mu.Lock()
			s.evictOne()
			s.mu.Unlock()
		}
		assertLimiterConsistent(t, s)
		if t.Failed() {
			return
		}
	}
}

func assertLimiterConsistent(t *testing.T, s *clientLimiter) {
	kept, queued := 0, 0
	for c, p := range s.slots {
		if !p.evicted && !p.overLimit {
			kept++
		}
		rank, may := p.evictionRank()
		assert.Equal(t, may, p.queue != nil)
		if may {
			queued++
			assert.Same(t, s.evictable[rank], p.queue)
			assert.Same(t, c, p.element.Value)
		}
	}
	for _, l := range s.evictable {
		queued -= l.Len()
		for e := l.Front(); e != nil && e.Next() != nil; e = e.Next() {
			assert.False(t, s.slots[e.Next().Value.(*Conn)].since.Before(s.slots[e.Value.(*Conn)].since))
		}
	}
	assert.Zero(t, queued)
	assert.Equal(t, kept, s.counted)
}

// BenchmarkNewcomerWhereAllPlacesAreTaken is the cost of a connection in a flood: it must not grow with the
// places.
func BenchmarkNewcomerWhereAllPlacesAreTaken(b *testing.B) {
	s := newClientLimiter(5000, &lifecycle.State{})
	a, other := net.Pipe()
	defer other.Close()
	for range 5000 {
		s.acquire(newConn(a, Client, "", zerolog.Nop(), nil))
	}
	began := time.Now()
	for b.Loop() {
		c := newConn(a, Client, "", zerolog.Nop(), nil)
		s.acquire(c)
		s.release(c)
	}
	b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(b.N), "ns/newcomer")
}
