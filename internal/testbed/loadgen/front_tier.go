// Package loadgen is the testbed's load generator. It is open-loop: each call is sent at its time, however many are
// open. Calls that could not be sent on time are reported.
package loadgen

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// FrontTier distributes calls over dispatchers as the platform's front tier does: round-robin over those whose health
// check succeeded. A dispatcher that does not answer is removed only after a timeout.
type FrontTier struct {
	addresses      []string      // by dispatcher
	failureTimeout time.Duration // since the last successful health check
	healthClient   *http.Client

	mu          sync.Mutex
	dispatchers []dispatcherState
	last        int // index of the dispatcher chosen last
}

// dispatcherState is what the front tier knows of a dispatcher.
type dispatcherState struct {
	inRotation bool
	healthyAt  time.Time // time of the last successful health check; zero: none counts
	idle       []*conn
	generation int // incremented when the dispatcher fails: connections of earlier generations are closed, not reused
}

// Timing of health checks.
const (
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// NewFrontTier returns a front tier for dispatchers at these addresses. A dispatcher is added once it is healthy.
func NewFrontTier(addresses []string, failureTimeout time.Duration) *FrontTier {
	return &FrontTier{
		addresses:      addresses,
		failureTimeout: failureTimeout,
		healthClient:   &http.Client{Transport: &http.Transport{}},
		dispatchers:    make([]dispatcherState, len(addresses)),
	}
}

// conn is a client's connection to one dispatcher.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	generation int  // of the dispatcher when it was opened
	used       bool // a request was answered on it
	reusable   bool // the last answer is complete, and leaves the connection open
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 2048

// Run checks the dispatchers' health until ctx ends.
func (f *FrontTier) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	for n := range f.addresses {
		checks.Go(func() {
			for ctx.Err() == nil {
				f.updateHealth(n, f.checkHealth(ctx, n))
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
	for n := range f.dispatchers {
		f.dispatchers[n].closeIdle()
	}
	return nil
}

// health is the result of a health check.
type health uint8

const (
	noAnswer  health = iota // the dispatcher has failed or is unresponsive
	healthy                 // it accepts clients
	unhealthy               // it answers that it does not, as while it drains
)

// checkHealth checks the health of dispatcher n.
func (f *FrontTier) checkHealth(ctx context.Context, n int) health {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addresses[n]+"/_health", nil)
	if err != nil {
		return noAnswer
	}
	response, err := f.healthClient.Do(request)
	if err != nil {
		return noAnswer
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return unhealthy
	}
	return healthy
}

// updateHealth applies the result of a health check of dispatcher n. Clients of an unhealthy one continue to use their
// open connections. One that does not answer is removed, with its connections, once the timeout has passed.
func (f *FrontTier) updateHealth(n int, result health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dispatcher := &f.dispatchers[n]
	switch {
	case result == healthy:
		dispatcher.inRotation = true
		dispatcher.healthyAt = time.Now()
	case result == unhealthy:
		dispatcher.inRotation = false
	case dispatcher.inRotation && time.Since(dispatcher.healthyAt) > f.failureTimeout:
		dispatcher.inRotation = false
		dispatcher.closeIdle()
	}
}

// Ready reports whether all dispatchers are in rotation.
func (f *FrontTier) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.dispatchers, func(d dispatcherState) bool { return !d.inRotation })
}

// Remove takes a dispatcher out of rotation at once, for a planned restart. Clients continue to use their open
// connections.
func (f *FrontTier) Remove(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchers[n].inRotation = false
	f.dispatchers[n].healthyAt = time.Time{}
}

// closeIdle closes idle connections, and has open ones closed when they are released. The caller holds the lock.
func (d *dispatcherState) closeIdle() {
	for _, c := range d.idle {
		c.Close()
	}
	d.idle = nil
	d.generation++
}

// choose returns the next dispatcher in rotation. If there is none, it returns the next of all.
func (f *FrontTier) choose() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.dispatchers {
		f.last = (f.last + 1) % len(f.dispatchers)
		if f.dispatchers[f.last].inRotation {
			return f.last
		}
	}
	f.last = (f.last + 1) % len(f.dispatchers)
	return f.last
}

// idleConn returns an idle connection to dispatcher n, or opens one if there is none.
func (f *FrontTier) idleConn(ctx context.Context, n int) (*conn, error) {
	if c := f.takeIdle(n); c != nil {
		return c, nil
	}
	return f.newConn(ctx, n)
}

// takeIdle returns the idle connection to dispatcher n that was released last, or nil.
func (f *FrontTier) takeIdle(n int) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	dispatcher := &f.dispatchers[n]
	last := len(dispatcher.idle) - 1
	if last < 0 {
		return nil
	}
	c := dispatcher.idle[last]
	dispatcher.idle = dispatcher.idle[:last]
	return c
}

// newConn opens a connection to dispatcher n.
func (f *FrontTier) newConn(ctx context.Context, n int) (*conn, error) {
	f.mu.Lock()
	generation := f.dispatchers[n].generation
	f.mu.Unlock()
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", f.addresses[n])
	if err != nil {
		return nil, fmt.Errorf("connecting to dispatcher %d: %w", n, err)
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferBytes), generation: generation}, nil
}

// release makes a connection to dispatcher n idle, or closes it if the dispatcher has failed since it was opened.
func (f *FrontTier) release(n int, c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dispatcher := &f.dispatchers[n]
	if c.generation != dispatcher.generation {
		c.Close()
		return
	}
	c.used = true
	dispatcher.idle = append(dispatcher.idle, c)
}
