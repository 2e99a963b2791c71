package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/balancertest"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

const unavailableResponse = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"

// startService starts a discovery service that responds to each poll with text and leaves the connection open. polled
// receives a value for each poll.
func startService(t *testing.T, text string) (address string, polled <-chan bool) {
	t.Helper()
	polls := make(chan bool, 16)
	return peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		polls <- true
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}), polls
}

// emptyList returns a line that changes only the version of the list.
func emptyList(version int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, version)
}

// newWatcher returns a Watcher of the service at an address. Its table has version 7 and one worker, number 0, with ID
// "w" at peertest.ClosedAddress. After a failure, its balancer waits long before it polls again, because there is
// another dispatcher. Only a changed address is polled immediately.
func newWatcher(address string) *Watcher {
	return newWatcherWithWorker(address, peertest.ClosedAddress)
}

// newWatcherWithWorker is newWatcher with another address of the worker.
func newWatcherWithWorker(address, workerAddress string) *Watcher {
	balancerConfig := balancertest.Config()
	balancerConfig.Discovery = balancer.DiscoveryConfig{Poll: true, MaxPollInterval: 1000 * balancer.Second}
	shards := balancertest.NewShards(balancerConfig)
	pool := transport.NewPool(4, time.Minute, zerolog.Nop())
	config := Config{Address: address, DialTimeout: func() time.Duration { return time.Second }}
	w := NewWatcher(config, newTable(), shards, pool, zerolog.Nop())
	endpoint := protocol.Endpoint{ID: "w", Address: workerAddress, State: protocol.Ready}
	w.ApplyInitialList(&protocol.EndpointList{Version: 7, Complete: true, Endpoints: []protocol.Endpoint{endpoint}}, nil)
	return w
}

// newTable returns an empty table.
func newTable(zones ...string) *Table {
	fromUnixMillis := func(millis float64) balancer.Time { return balancer.Time(millis * balancer.Second / 1000) }
	return NewTable(zones, nil, fromUnixMillis, zerolog.Nop())
}

// runWatcher runs a Watcher and its balancer until the test ends.
func runWatcher(t *testing.T, w *Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 2)
	go func() { stopped <- w.Run(ctx) }()
	go func() { stopped <- w.balancer.Run(ctx, 0) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, peertest.Receive(t, stopped))
		assert.NoError(t, peertest.Receive(t, stopped))
	})
}

// awaitVersion waits until a list with the given version is applied.
func awaitVersion(t *testing.T, w *Watcher, version int64) {
	t.Helper()
	assert.Eventually(t, func() bool { return w.table.Version() == version }, peertest.EventTimeout, peertest.PollInterval)
}
