// Package loadgen is the testbed's load generator. It is open-loop: each call is sent at its scheduled time, regardless
// of the number of open calls. Calls that could not be sent on time are reported.
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

// FrontTier distributes calls to dispatchers like the platform's front tier: round-robin among the dispatchers whose
// health check succeeded. A dispatcher that does not respond is removed after a timeout.
type FrontTier struct {
	addresses      []string      // by dispatcher
	failureTimeout time.Duration // from the last successful health check to the removal
	healthClient   *http.Client

	mu           sync.Mutex
	dispatchers  []dispatcherState
	lastSelected int // index of the last selected dispatcher
}

// dispatcherState is the front tier's state of a dispatcher.
type dispatcherState struct {
	inRotation bool
	healthyAt  time.Time // time of the last successful health check; zero if there was none or Remove was called
	idleConns  []*conn
	generation int // incremented when the dispatcher fails; connections of earlier generations are not reused
}

// Timing of health checks.
const (
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// NewFrontTier returns a front tier for dispatchers at these addresses. A dispatcher is added to the rotation when its
// first health check succeeds.
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
	generation int  // of the dispatcher when the connection was opened
	wasUsed    bool // a response was received on the connection
	reusable   bool // the last response is complete and does not close the connection
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 2048

// Run checks the dispatchers' health until ctx ends, and then closes idle connections. It always returns nil.
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
		f.dispatchers[n].closeIdleConns()
	}
	return nil
}

// health is the result of a health check.
type health uint8

const (
	noResponse health = iota // the dispatcher did not respond in time or refused the connection
	healthy                  // the dispatcher accepts clients
	unhealthy                // the dispatcher responds that it does not accept clients, for example while it drains
)

// checkHealth checks the health of dispatcher n.
func (f *FrontTier) checkHealth(ctx context.Context, n int) health {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addresses[n]+"/_health", nil)
	if err != nil {
		return noResponse
	}
	response, err := f.healthClient.Do(request)
	if err != nil {
		return noResponse
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return unhealthy
	}
	return healthy
}

// updateHealth updates the state of dispatcher n after a health check. An unhealthy dispatcher is removed from the
// rotation at once, and clients continue to use their open connections. A dispatcher that does not respond is removed
// after the failure timeout: its idle connections are closed at once, and those in use when they are released.
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
		dispatcher.closeIdleConns()
	}
}

// IsReady reports whether all dispatchers are in rotation.
func (f *FrontTier) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.dispatchers, func(d dispatcherState) bool { return !d.inRotation })
}

// Remove removes a dispatcher from the rotation at once, for a planned restart. Clients continue to use their open
// connections.
func (f *FrontTier) Remove(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchers[n].inRotation = false
	f.dispatchers[n].healthyAt = time.Time{}
}

// closeIdleConns closes idle connections. Connections in use are closed when they are released. The caller holds the
// lock.
func (d *dispatcherState) closeIdleConns() {
	for _, c := range d.idleConns {
		c.Close()
	}
	d.idleConns = nil
	d.generation++
}

// selectDispatcher returns the next dispatcher in rotation. If none is in rotation, it returns the next of all
// dispatchers.
func (f *FrontTier) selectDispatcher() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.dispatchers {
		f.lastSelected = (f.lastSelected + 1) % len(f.dispatchers)
		if f.dispatchers[f.lastSelected].inRotation {
			return f.lastSelected
		}
	}
	f.lastSelected = (f.lastSelected + 1) % len(f.dispatchers)
	return f.lastSelected
}

// getConn returns an idle connection to dispatcher n, or opens one if there is none.
func (f *FrontTier) getConn(ctx context.Context, n int) (*conn, error) {
	if c := f.takeIdleConn(n); c != nil {
		return c, nil
	}
	return f.newConn(ctx, n)
}

// takeIdleConn removes and returns the most recently released idle connection to dispatcher n, or nil if there is none.
func (f *FrontTier) takeIdleConn(n int) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	dispatcher := &f.dispatchers[n]
	last := len(dispatcher.idleConns) - 1
	if last < 0 {
		return nil
	}
	c := dispatcher.idleConns[last]
	dispatcher.idleConns = dispatcher.idleConns[:last]
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

// release makes a connection to dispatcher n idle, or closes the connection if the dispatcher has failed since it was
// opened.
func (f *FrontTier) release(n int, c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dispatcher := &f.dispatchers[n]
	if c.generation != dispatcher.generation {
		c.Close()
		return
	}
	c.wasUsed = true
	dispatcher.idleConns = append(dispatcher.idleConns, c)
}
