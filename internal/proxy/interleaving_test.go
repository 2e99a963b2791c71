package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// The tests in this file force an order of events that rarely occurs by itself (docs/crossings.md).

func TestNoAttemptIsSentAfterDisconnectDuringConnect(t *testing.T) {
	for _, operation := range []string{"idem", "once"} {
		t.Run(operation, func(t *testing.T) {
			address, attempts := startCountingWorker(t)
			p := newProxyWith(address, withoutCancellation)
			ctx, disconnect := context.WithCancel(context.Background())
			var responses <-chan *protocol.Response
			serving, disconnected := make(chan bool), make(chan bool)
			p.hooks.beforeSend = func() { // the connection is established
				<-serving
				disconnect()
				assert.Nil(t, peertest.Receive(t, responses))
				close(disconnected)
			}
			responses = startServe(ctx, p, requestHead(operation))
			close(serving)
			peertest.Receive(t, disconnected)
			awaitAttempts(t, p)
			assert.Zero(t, attempts.Load())
			assert.Equal(t, []int64{0, 1}, []int64{p.counters.sent.Load(), outcomeCount(p, balancer.NotSent)})
			assert.Zero(t, p.pool.OpenConnections(), "an interrupted connection must not be reused")
			assert.Equal(t, 0, p.balancer.OpenRequests())
		})
	}
}

// isDialing reports whether the pool is opening a connection, which already counts against the connection limit.
func isDialing(p *Proxy) bool { return p.pool.OpenConnections() == 1 }

func TestDisconnectEndsTheWaitForAConnection(t *testing.T) {
	withLongDial := func(balancing *balancer.Config, config *Config) {
		withoutCancellation(balancing, config)
		config.DialTimeout = time.Minute
	}
	disconnectWhile := func(t *testing.T, p *Proxy, waiting func() bool) {
		t.Helper()
		ctx, disconnect := context.WithCancel(context.Background())
		responses := startServe(ctx, p, requestHead("idem"))
		assert.Eventually(t, waiting, peertest.EventTimeout, peertest.PollInterval)
		disconnect()
		assert.Nil(t, peertest.Receive(t, responses))
		awaitAttempts(t, p)
		assert.Zero(t, p.counters.sent.Load())
	}
	t.Run("slow dial", func(t *testing.T) {
		p := newProxyWith(unresponsiveAddress(t), withLongDial)
		disconnectWhile(t, p, func() bool { return isDialing(p) })
	})
	t.Run("connection limit reached", func(t *testing.T) {
		p := newProxyWith(unresponsiveAddress(t), withLongDial)
		p.pool = transport.NewPool(1, time.Minute, zerolog.Nop())
		other := unresponsiveAddress(t)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := p.pool.Get(ctx, other, transport.AnyConnection)
			ended <- err
		}()
		assert.Eventually(t, func() bool { return isDialing(p) }, peertest.EventTimeout, peertest.PollInterval)
		disconnectWhile(t, p, func() bool { return p.balancer.OpenRequests() == 1 })
		cancel()
		assert.Error(t, peertest.Receive(t, ended))
	})
}

func TestNoAttemptIsSentAfterDisconnectWhileKeyIsPersisted(t *testing.T) {
	address, attempts := startCountingWorker(t)
	ctx, disconnect := context.WithCancel(context.Background())
	responses, disconnected := make(chan *protocol.Response, 1), make(chan bool)
	recovery := &fakeRecovery{priorExecution: func() {}, persistKey: func() error {
		disconnect()
		assert.Nil(t, peertest.Receive(t, responses))
		close(disconnected)
		return nil // the key is on disk, and the client has disconnected
	}}
	p := newProxyWith(address, withPersistedKeys(recovery))
	go func() { responses <- p.Serve(ctx, keyedHead(), nil, time.Now()) }()
	peertest.Receive(t, disconnected)
	awaitAttempts(t, p)
	assert.Zero(t, attempts.Load())
	assert.EqualValues(t, 1, recovery.persisted.Load())
}

// An update of the endpoint list is received after the balancer's decision and before the attempt is sent: the worker
// drains, is gone, or has a new address, so that another worker may use the old one.
func TestEndpointListUpdateDuringConnectPreventsSending(t *testing.T) {
	for name, fields := range map[string]string{
		"worker drains":  `"health":"Terminating"`,
		"worker is gone": `"health":"Gone"`,
		"new address":    `"health":"Ready","dial":"127.0.0.1:1"`,
	} {
		t.Run(name, func(t *testing.T) {
			address, attempts := startCountingWorker(t)
			p := newProxy(address)
			assert.Equal(t, 200, serve(p, requestHead("idem")).Status)
			awaitAttempts(t, p) // the connection becomes idle
			p.hooks.beforeSend = func() { updateWorker(t, p, fields) }
			assert.NotEqual(t, 200, peertest.Receive(t, startServe(context.Background(), p, requestHead("idem"))).Status)
			awaitAttempts(t, p)
			assert.EqualValues(t, 1, attempts.Load())
			assert.Zero(t, p.pool.OpenConnections(), "the connection must not be reused")
		})
	}
}

// restartFields returns the endpoint list fields of a worker that restarted at the given time.
func restartFields(at time.Time) string {
	return fmt.Sprintf(`"health":"Ready","born_ms":%d`, at.UnixMilli())
}

// assertTimeoutWithin checks that a timeout in seconds, as received by a worker, is at most the client's remaining
// time.
func assertTimeoutWithin(t *testing.T, text string, remaining time.Duration) {
	t.Helper()
	const rounding = 0.001 // seconds
	seconds, err := strconv.ParseFloat(text, 64)
	assert.NoError(t, err)
	assert.LessOrEqual(t, seconds, remaining.Seconds()+rounding)
	assert.Positive(t, seconds)
}

// The balancer decides on a retry within the dedup window, but the window closes before the attempt is sent.
func TestNothingIsSentAfterDedupWindow(t *testing.T) {
	var received atomic.Int32
	const window = time.Second
	address := peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		received.Add(1)
		io.WriteString(conn, failedText) // the attempt may have been executed
	})
	p := newProxyWith(address, withDedupWindow(balancer.DurationOf(window)))
	attempts := 0
	p.hooks.beforeSend = func() {
		attempts++
		if attempts > 1 {
			time.Sleep(window)
		}
	}
	assert.Equal(t, 502, peertest.Receive(t, startServe(context.Background(), p, keyedHead())).Status)
	awaitAttempts(t, p)
	assert.EqualValues(t, 1, received.Load(), "the worker would execute a second attempt again")
	assert.Greater(t, attempts, 1, "the balancer must have decided on a retry")
	assert.EqualValues(t, 1, outcomeCount(p, balancer.WorkerError))
}

// reconfigurableProxy is a proxy with its current configuration.
type reconfigurableProxy struct {
	*Proxy
	balancing balancer.Config
	config    Config
}

func newReconfigurableProxy(address string, change func(*balancer.Config, *Config)) *reconfigurableProxy {
	r := &reconfigurableProxy{}
	r.Proxy = newProxyWith(address, func(balancing *balancer.Config, config *Config) {
		change(balancing, config)
		r.balancing = *balancing
		r.config = *config
	})
	return r
}

func (r *reconfigurableProxy) setTenants(names ...string) {
	setTenants(&r.balancing, &r.config, names...)
	r.Reconfigure(r.config, r.balancing)
}

func setTenants(balancing *balancer.Config, config *Config, names ...string) {
	balancing.Quotas.Tenants = nil
	for _, name := range names {
		balancing.Quotas.Tenants = append(balancing.Quotas.Tenants, balancer.TenantConfig{Name: name, Quota: 1e9})
	}
	config.Tenants = names
}

// usage returns the quota usage of the tenants, by name.
func (r *reconfigurableProxy) usage() map[string]float64 {
	snapshot := r.SnapshotForDisk()
	byName := map[string]float64{}
	for n, name := range snapshot.Tenants {
		byName[name] = snapshot.Learned[0].Tenants[n].Usage
	}
	return byName
}

// Requests arrive while the balancer already uses the new settings and the proxy still looks up names in the previous
// ones. The new settings have fewer tenants at first, and then other tenants in another order.
func TestRequestDuringReconfigurationCountsForItsTenant(t *testing.T) {
	address, _ := startCountingWorker(t)
	r := newReconfigurableProxy(address, func(balancing *balancer.Config, config *Config) {
		setTenants(balancing, config, "a", "b", "c")
	})
	status := func(tenant string) int {
		return serve(r.Proxy, parseHead("Req-Id: a1\r\nReq-Kind: idem\r\nReq-Owner: "+tenant+"\r\n")).Status
	}
	r.hooks.beforeApplySettings = func() {
		assert.Equal(t, 200, status("b"), "the name must be looked up in the previous settings")
		assert.Equal(t, 200, status("c"))
	}
	r.setTenants("c")
	r.hooks.beforeApplySettings = nil
	assert.Equal(t, 400, status("b"))
	assert.Equal(t, 200, status("c"))
	usage := r.usage()
	assert.Greater(t, usage["c"], 1.9)
	assert.Less(t, usage["b"], 1.1)
	assert.Zero(t, usage["a"])
	r.setTenants("d", "b", "a")
	assert.Equal(t, 200, status("d"))
	usage = r.usage()
	assert.Greater(t, usage["c"], 1.9)
	assert.Less(t, usage["b"], 1.1)
	assert.Greater(t, usage["d"], 0.9)
	assert.LessOrEqual(t, usage["d"], 1.0)
}

// The operation of a request is removed from the settings while the request is in flight.
func TestRequestUsesSettingsAtItsArrival(t *testing.T) {
	address, attempts := startCountingWorker(t)
	recovery := &fakeRecovery{persistKey: func() error { return nil }}
	r := newReconfigurableProxy(address, withPersistedKeys(recovery))
	recovery.priorExecution = func() {
		r.balancing.Operations = r.balancing.Operations[:1]
		r.config.Operations = r.config.Operations[:1]
		r.Reconfigure(r.config, r.balancing)
	}
	assert.Equal(t, 200, serve(r.Proxy, keyedHead()).Status)
	assert.EqualValues(t, 1, recovery.persisted.Load(), "the key must be persisted under the previous settings")
	assert.EqualValues(t, 1, attempts.Load())
	assert.Equal(t, 400, serve(r.Proxy, keyedHead()).Status)
}

// The client of an attempt at a hanging worker has disconnected, and the settings do not allow cancellation.
func TestRunReturnsDespiteAttemptsOfDisconnectedClients(t *testing.T) {
	address, received := startHangingWorker(t)
	p := newProxyWith(address, withoutCancellation)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- p.Run(ctx) }()
	client, disconnect := context.WithCancel(context.Background())
	responses := startServe(client, p, parseHead("Req-Id: a1\r\nReq-Kind: idem\r\nReq-Deadline: 600\r\n"))
	peertest.Receive(t, received)
	isSent := func() bool { return p.counters.sent.Load() == 1 } // earlier, a disconnect prevents sending
	assert.Eventually(t, isSent, peertest.EventTimeout, peertest.PollInterval)
	disconnect()
	assert.Nil(t, peertest.Receive(t, responses))
	assert.Equal(t, 1, p.balancer.OpenRequests(), "the attempt must continue")
	stop()
	assert.NoError(t, peertest.Receive(t, stopped))
}

func TestEndlessResponseReleasesResourcesAfterDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		first, repeated string
		succeeds        bool
	}{
		"interim heads":         {"", "HTTP/1.1 103 Early\r\n\r\n", false},
		"empty lines":           {peertest.ResponseStart(), "1\r\n\n\r\n", false},
		"running":               {peertest.ResponseStart(), peertest.Chunk(`{"id":"a1","state":"running"}`), false},
		"bytes":                 {peertest.ResponseStart(), "1\r\n \r\n", false},
		"trailers after done":   {peertest.ResponseStart(doneLine) + "0\r\n", "A: b\r\n", true},
		"chunks after done":     {peertest.ResponseStart(doneLine), "1\r\n\n\r\n", true},
		"a body after a 500":    {"HTTP/1.1 500 No\r\nContent-Length: 9999999\r\n\r\n", "b", false},
		"a body after declined": {"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
				_, err := io.WriteString(conn, test.first)
				for err == nil {
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(conn, test.repeated)
				}
			}))
			startedAt := time.Now()
			response := serve(p, parseHead("Req-Id: a1\r\nReq-Kind: once\r\nReq-Deadline: 0.3\r\n"))
			assert.Equal(t, test.succeeds, response.Status == 200)
			assert.Less(t, time.Since(startedAt), 800*time.Millisecond)
			awaitAttempts(t, p)
			assert.Zero(t, p.pool.OpenConnections())
			assert.Equal(t, 0, p.balancer.OpenRequests())
		})
	}
}
