package discovery

import (
	"bufio"
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
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

const (
	eventTimeout = 5 * time.Second // bounds the wait for an event that is sure to come
	pollInterval = time.Millisecond

	// closedAddress is an address at which nobody listens.
	closedAddress = "127.0.0.1:1"
	lastChunk     = "0\r\n\r\n"
	unavailable   = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	chunkedHead   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// startServer accepts connections and calls respond for each request on them. It returns its address.
func startServer(t *testing.T, respond func(c net.Conn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRequests(c, respond)
		}
	}()
	return listener.Addr().String()
}

func serveRequests(c net.Conn, respond func(c net.Conn, r *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(c, request)
	}
}

// startService is a discovery service that responds to each poll with text and leaves the connection open. polled
// receives a value for each poll.
func startService(t *testing.T, text string) (address string, polled <-chan bool) {
	t.Helper()
	polls := make(chan bool, 16)
	return startServer(t, func(c net.Conn, _ *http.Request) {
		polls <- true
		io.WriteString(c, text)
		io.Copy(io.Discard, c)
	}), polls
}

// chunked is a response whose body has the lines as its first chunks.
func chunked(lines ...string) string {
	text := chunkedHead
	for _, line := range lines {
		text += fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
	}
	return text
}

// emptyList is a line that changes nothing but the version of the list.
func emptyList(version int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, version)
}

// newWatcher returns a Watcher at an address, whose list of version 7 has worker 0 with ID "w" at closedAddress. Its
// balancer polls again late after a failure, as there is another dispatcher: only a change of the address is followed at
// once.
func newWatcher(address string) *Watcher { return newWatcherOf(address, closedAddress) }

// newWatcherOf is newWatcher with the worker's address.
func newWatcherOf(address, workerAddress string) *Watcher {
	began := time.Now()
	clock := func() balancer.Time {
		return balancer.Time(balancer.Second).Add(balancer.DurationOf(time.Since(began)))
	}
	shards := balancer.NewShards(balancer.Config{
		Dispatchers: 2, Kinds: 1, MaxAttempts: 1, Granularity: 20, ReportInFlight: -1, ReportQueue: -1, ReportFree: -1,
		Tenants:       []balancer.TenantConfig{{Quota: 1e9}},
		Operations:    []balancer.OperationConfig{{LatencyObjective: balancer.Second, Value: 1, Kind: balancer.AnyKind}},
		PollEndpoints: true, MaxPollInterval: 1000 * balancer.Second,
	}, 1, 1, clock, func(balancer.Event) {})
	pool := transport.NewPool(4, time.Minute, zerolog.Nop())
	config := Config{Address: address, DialTimeout: func() time.Duration { return time.Second }}
	w := NewWatcher(config, newTable(), shards, pool, zerolog.Nop())
	endpoint := protocol.Endpoint{ID: "w", Address: workerAddress, State: protocol.Ready}
	w.Seed(&protocol.EndpointList{Version: 7, Complete: true, Endpoints: []protocol.Endpoint{endpoint}}, nil)
	return w
}

// newTable returns an empty table.
func newTable(zones ...string) *Table {
	fromUnix := func(ms float64) balancer.Time { return balancer.Time(ms * balancer.Second / 1000) }
	return NewTable(zones, nil, fromUnix, zerolog.Nop())
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
		assert.NoError(t, receive(t, stopped))
		assert.NoError(t, receive(t, stopped))
	})
}

// receive returns the next value of a channel.
func receive[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(eventTimeout):
		t.Fatal("no value within the timeout")
	}
	return value
}

// awaitVersion waits until a list of a version is applied.
func awaitVersion(t *testing.T, w *Watcher, version int64) {
	t.Helper()
	assert.Eventually(t, func() bool { return w.table.Version() == version }, eventTimeout, pollInterval)
}
