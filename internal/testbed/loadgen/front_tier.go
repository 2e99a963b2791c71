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

// FrontTier deals calls out among dispatchers, as the front before a tier does: it takes one in once its health
// is good, and notices only after a while that one has died.
type FrontTier struct {
	addresses      []string
	failureTimeout time.Duration

	mu          sync.Mutex
	inRotation  []bool
	healthyAt   []time.Time // when its health was last good
	next        int
	idle        [][]*conn
	generations []int // connections of an earlier count are of no more use

	healthClient *http.Client
}

// Health polling.
const (
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// NewFrontTier makes a front before dispatchers at these addresses, which notices a death after some time. None
// is taken in yet.
func NewFrontTier(addresses []string, notice time.Duration) *FrontTier {
	n := len(addresses)
	return &FrontTier{
		addresses: addresses, failureTimeout: notice, healthClient: &http.Client{Transport: &http.Transport{}},
		inRotation: make([]bool, n), healthyAt: make([]time.Time, n),
		idle: make([][]*conn, n), generations: make([]int, n),
	}
}

// conn is a client's connection to one dispatcher.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	generation int
	used       bool
}

// Run asks for the dispatchers' health until ctx ends.
func (f *FrontTier) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	for n := range f.addresses {
		checks.Go(func() {
			for ctx.Err() == nil {
				healthy, refused := f.checkHealth(ctx, n)
				f.updateHealth(n, healthy, refused)
				select {
				case <-time.After(healthCheckInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	checks.Wait()
	f.healthClient.CloseIdleConnections()
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.idle {
		f.closeIdle(n)
	}
	return nil
}

// checkHealth tells whether a dispatcher says yes, or says no in so many words.
func (f *FrontTier) checkHealth(ctx context.Context, n int) (healthy, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addresses[n]+"/_health", nil)
	if err != nil {
		return false, false
	}
	a, err := f.healthClient.Do(r)
	if err != nil {
		return false, false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK, a.StatusCode != http.StatusOK
}

func (f *FrontTier) updateHealth(n int, good, refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case good:
		f.inRotation[n], f.healthyAt[n] = true, time.Now()
	case refused: // it has been emptied: clients go on using the connections that they have
		f.inRotation[n] = false
	case f.inRotation[n] && time.Since(f.healthyAt[n]) > f.failureTimeout:
		f.inRotation[n] = false
		f.closeIdle(n)
	}
}

// Ready tells whether all dispatchers are taken in.
func (f *FrontTier) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range f.inRotation {
		if !in {
			return false
		}
	}
	return true
}

// Remove takes a dispatcher out at once: its restart is planned. What is open goes on, and clients go on using
// the connections that they have.
func (f *FrontTier) Remove(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inRotation[n] = false
	f.healthyAt[n] = time.Time{}
}

// closeIdle ends a dispatcher's idle connections. It runs under the lock.
func (f *FrontTier) closeIdle(n int) {
	for _, c := range f.idle[n] {
		c.Close()
	}
	f.idle[n] = nil
	f.generations[n]++
}

// choose deals out the next dispatcher, in turn among those that are in; if none is, among all.
func (f *FrontTier) choose() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.addresses {
		f.next = (f.next + 1) % len(f.addresses)
		if f.inRotation[f.next] {
			return f.next
		}
	}
	f.next = (f.next + 1) % len(f.addresses)
	return f.next
}

// connect takes an idle connection, or opens one.
func (f *FrontTier) connect(ctx context.Context, n int, fresh bool) (*conn, error) {
	f.mu.Lock()
	if k := len(f.idle[n]); k > 0 && !fresh {
		c := f.idle[n][k-1]
		f.idle[n] = f.idle[n][:k-1]
		f.mu.Unlock()
		return c, nil
	}
	gen := f.generations[n]
	f.mu.Unlock()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", f.addresses[n])
	if err != nil {
		return nil, fmt.Errorf("connecting to dispatcher %d: %w", n, err)
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, 2048), generation: gen}, nil
}

func (f *FrontTier) release(n int, c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.generation != f.generations[n] {
		c.Close()
		return
	}
	c.used = true
	f.idle[n] = append(f.idle[n], c)
}
