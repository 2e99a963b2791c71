// Package loadgen is the testbed's load generator. It is open-loop: each call is sent at its time, however many are
// open. Calls that could not be sent on time are reported.
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

// FrontTier distributes calls over dispatchers as the platform's front tier does: round-robin over those whose health
// check succeeded. A dispatcher that does not answer is removed only after a timeout.
type FrontTier struct {
	addresses      []string
	failureTimeout time.Duration

	mu          sync.Mutex
	inRotation  []bool
	healthyAt   []time.Time // time of the last successful health check
	next        int
	idle        [][]*conn
	generations []int // incremented when a dispatcher fails: connections of earlier generations are closed, not reused

	healthClient *http.Client
}

// Timing of health checks.
const (
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// NewFrontTier returns a front tier for dispatchers at these addresses. A dispatcher is added once it is healthy.
func NewFrontTier(addresses []string, failureTimeout time.Duration) *FrontTier {
	n := len(addresses)
	return &FrontTier{
		addresses: addresses, failureTimeout: failureTimeout, healthClient: &http.Client{Transport: &http.Transport{}},
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

// Run checks the dispatchers' health until ctx ends.
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

// checkHealth reports whether a dispatcher answered that it is healthy, or answered that it is not.
func (f *FrontTier) checkHealth(ctx context.Context, n int) (healthy, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addresses[n]+"/_health", nil)
	if err != nil {
		return false, false
	}
	arrival, err := f.healthClient.Do(r)
	if err != nil {
		return false, false
	}
	arrival.Body.Close()
	return arrival.StatusCode == http.StatusOK, arrival.StatusCode != http.StatusOK
}

func (f *FrontTier) updateHealth(n int, healthy, refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case healthy:
		f.inRotation[n] = true
		f.healthyAt[n] = time.Now()
	case refused: // it drains: clients go on using their open connections
		f.inRotation[n] = false
	case f.inRotation[n] && time.Since(f.healthyAt[n]) > f.failureTimeout:
		f.inRotation[n] = false
		f.closeIdle(n)
	}
}

// Ready reports whether all dispatchers are in rotation.
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

// Remove takes a dispatcher out of rotation at once, for a planned restart. Clients go on using their open connections.
func (f *FrontTier) Remove(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inRotation[n] = false
	f.healthyAt[n] = time.Time{}
}

// closeIdle closes a dispatcher's idle connections. The caller holds the lock.
func (f *FrontTier) closeIdle(n int) {
	for _, c := range f.idle[n] {
		c.Close()
	}
	f.idle[n] = nil
	f.generations[n]++
}

// choose returns the next dispatcher in rotation; if there is none, the next of all.
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

// connect returns an idle connection, or opens one. With newConn it always opens one.
func (f *FrontTier) connect(ctx context.Context, n int, newConn bool) (*conn, error) {
	f.mu.Lock()
	if k := len(f.idle[n]); k > 0 && !newConn {
		c := f.idle[n][k-1]
		f.idle[n] = f.idle[n][:k-1]
		f.mu.Unlock()
		return c, nil
	}
	gen := f.generations[n]
	f.mu.Unlock()
	var dispatcher net.Dialer
	nc, err := dispatcher.DialContext(ctx, "tcp", f.addresses[n])
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
