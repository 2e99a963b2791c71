// Package loadgen is the testbed's load generator on sockets. It is open-loop: each call goes out at its time,
// however many are still open, and what it could not send on time it reports.
package loadgen

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Front deals calls out among dispatchers, as the front before a tier does: it takes one in once its health
// is good, and notices only after a while that one has died.
type Front struct {
	addresses []string
	notice    time.Duration

	mu   sync.Mutex
	in   []bool
	good []time.Time // when its health was last good
	next int
	idle [][]*conn
	gen  []int // connections of an earlier count are of no more use

	health *http.Client
}

// Health polling.
const (
	askEvery  = 100 * time.Millisecond
	askWithin = time.Second
)

// NewFront makes a front before dispatchers at these addresses, which notices a death after some time. None
// is taken in yet.
func NewFront(addresses []string, notice time.Duration) *Front {
	n := len(addresses)
	return &Front{
		addresses: addresses, notice: notice, health: &http.Client{Transport: &http.Transport{}},
		in: make([]bool, n), good: make([]time.Time, n),
		idle: make([][]*conn, n), gen: make([]int, n),
	}
}

// conn is a client's connection to one dispatcher.
type conn struct {
	net.Conn
	in   *bufio.Reader
	gen  int
	used bool
}

// Run asks for the dispatchers' health until ctx ends.
func (f *Front) Run(ctx context.Context) error {
	var asking sync.WaitGroup
	for n := range f.addresses {
		asking.Go(func() {
			for ctx.Err() == nil {
				yes, no := f.ask(ctx, n)
				f.healthy(n, yes, no)
				select {
				case <-time.After(askEvery):
				case <-ctx.Done():
				}
			}
		})
	}
	asking.Wait()
	f.health.CloseIdleConnections()
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.idle {
		f.drop(n)
	}
	return nil
}

// ask tells whether a dispatcher says yes, or says no in so many words.
func (f *Front) ask(ctx context.Context, n int) (yes, no bool) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addresses[n]+"/_health", nil)
	if err != nil {
		return false, false
	}
	a, err := f.health.Do(r)
	if err != nil {
		return false, false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK, a.StatusCode != http.StatusOK
}

func (f *Front) healthy(n int, good, no bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case good:
		f.in[n], f.good[n] = true, time.Now()
	case no: // it has been emptied: clients go on using the connections that they have
		f.in[n] = false
	case f.in[n] && time.Since(f.good[n]) > f.notice:
		f.in[n] = false
		f.drop(n)
	}
}

// Ready tells whether all dispatchers are taken in.
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range f.in {
		if !in {
			return false
		}
	}
	return true
}

// Leave takes a dispatcher out at once: its restart is planned. What is open goes on, and clients go on using
// the connections that they have.
func (f *Front) Leave(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.in[n] = false
	f.good[n] = time.Time{}
}

// drop ends a dispatcher's idle connections. It runs under the lock.
func (f *Front) drop(n int) {
	for _, c := range f.idle[n] {
		c.Close()
	}
	f.idle[n] = nil
	f.gen[n]++
}

// choose deals out the next dispatcher, in turn among those that are in; if none is, among all.
func (f *Front) choose() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.addresses {
		f.next = (f.next + 1) % len(f.addresses)
		if f.in[f.next] {
			return f.next
		}
	}
	f.next = (f.next + 1) % len(f.addresses)
	return f.next
}

// get takes an idle connection, or opens one.
func (f *Front) get(ctx context.Context, n int, fresh bool) (*conn, error) {
	f.mu.Lock()
	if k := len(f.idle[n]); k > 0 && !fresh {
		c := f.idle[n][k-1]
		f.idle[n] = f.idle[n][:k-1]
		f.mu.Unlock()
		return c, nil
	}
	gen := f.gen[n]
	f.mu.Unlock()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", f.addresses[n])
	if err != nil {
		return nil, fmt.Errorf("connecting to dispatcher %d: %w", n, err)
	}
	return &conn{Conn: nc, in: bufio.NewReaderSize(nc, 2048), gen: gen}, nil
}

func (f *Front) put(n int, c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.gen != f.gen[n] {
		c.Close()
		return
	}
	c.used = true
	f.idle[n] = append(f.idle[n], c)
}
