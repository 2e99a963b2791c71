package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/balancertest"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// Lines and complete responses of a worker to the request with ID a1.
const (
	startedLine  = `{"id":"a1","from":"w","state":"started"}`
	doneLine     = `{"id":"a1","from":"w","state":"done","result":"r"}`
	failedText   = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	declinedText = "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
)

// succeededText returns the response to an attempt that succeeds immediately.
func succeededText() string { return peertest.CompleteResponse(doneLine) }

// startCountingWorker starts a worker at which all attempts succeed. attempts counts the attempts received completely.
func startCountingWorker(t *testing.T) (address string, attempts *atomic.Int32) {
	t.Helper()
	attempts = &atomic.Int32{}
	return peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		attempts.Add(1)
		io.WriteString(conn, succeededText())
	}), attempts
}

// startHangingWorker starts a worker that never responds. received receives a value for each attempt.
func startHangingWorker(t *testing.T) (address string, received <-chan bool) {
	t.Helper()
	attempts := make(chan bool, 1)
	return peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		attempts <- true
		_, _ = conn.Read(make([]byte, 1))
	}), attempts
}

// unresponsiveAddress returns an address at which connections are never accepted, because the listener's queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	assert.NoError(t, err)
	assert.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	assert.NoError(t, err)
	for range 4 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return listener.Addr().String()
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the listener's queue is not full after 4 connections")
	return ""
}

// newProxy returns a proxy with one worker with ID w at address, and three operations: idem is idempotent, once is
// non-idempotent, and keyed is idempotent by key.
func newProxy(address string) *Proxy {
	return newProxyWith(address, func(*balancer.Config, *Config) {})
}

// newProxyWith is like newProxy, but applies change to the configuration.
func newProxyWith(address string, change func(*balancer.Config, *Config)) *Proxy {
	balancing := balancertest.Config()
	balancing.Attempts.Cancellation = true
	for _, idempotency := range []balancer.Idempotency{balancer.NonIdempotent, balancer.IdempotentByKey} {
		operation := balancing.Operations[0]
		operation.Idempotency = idempotency
		balancing.Operations = append(balancing.Operations, operation)
	}
	worker := protocol.Endpoint{ID: "w", Address: address, State: protocol.Ready}
	config := Config{
		Operations: []Operation{
			{Name: "idem", DefaultTimeout: 2 * time.Second},
			{Name: "once", DefaultTimeout: 2 * time.Second},
			{Name: "keyed", DefaultTimeout: 2 * time.Second, RequiresKey: true},
		},
		DialTimeout: time.Second,
		Peers: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:7001"),
			netip.MustParseAddrPort("127.0.0.2:7001"),
		},
		FromUnix:         func(millis float64) balancer.Time { return balancer.Time(millis * balancer.Second / 1000) },
		InitialEndpoints: &protocol.EndpointList{Version: 7, Complete: true, Endpoints: []protocol.Endpoint{worker}},
	}
	change(&balancing, &config)
	shards := balancertest.NewShards(balancing)
	pool := transport.NewPool(4, time.Minute, zerolog.Nop())
	return New(config, shards, pool, nil, &lifecycle.State{}, zerolog.Nop())
}

// withoutCancellation allows neither cancellation nor hedging.
func withoutCancellation(balancing *balancer.Config, _ *Config) {
	balancing.Attempts.Cancellation = false
}

// withPersistedKeys makes zones deduplicate requests of the operation keyed, so that r persists their keys.
func withPersistedKeys(r Recovery) func(*balancer.Config, *Config) {
	return func(balancing *balancer.Config, config *Config) {
		withoutCancellation(balancing, config)
		balancing.Operations[2].DedupScope = balancer.ScopeZone
		config.Operations[2].DedupScope = balancer.ScopeZone
		config.Recovery = r
	}
}

// withDedupWindow makes zones deduplicate requests of the operation keyed within a window.
func withDedupWindow(window balancer.Duration) func(*balancer.Config, *Config) {
	return func(balancing *balancer.Config, config *Config) {
		balancing.Attempts.Max = 4
		balancing.Operations[2].DedupWindow = window
		balancing.Operations[2].DedupScope = balancer.ScopeZone
		config.Operations[2].DedupScope = balancer.ScopeZone
		config.DialTimeout = time.Minute
	}
}

// parseHead parses a request head with the given header fields.
func parseHead(fields string) *protocol.Head {
	parsed, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\n" + fields + "\r\n"))
	if err != nil {
		panic(err)
	}
	return &parsed.Head
}

// requestHead returns the head of a request with ID a1 for an operation.
func requestHead(operation string) *protocol.Head {
	return parseHead("Req-Id: a1\r\nReq-Deadline: 2\r\nReq-Kind: " + operation + "\r\n")
}

// keyedHead returns the head of a request with ID a1 and an idempotency key for the operation keyed.
func keyedHead() *protocol.Head {
	return parseHead("Req-Id: a1\r\nReq-Kind: keyed\r\nIdempotency-Key: k\r\n")
}

// serve calls p.Serve and returns the response.
func serve(p *Proxy, h *protocol.Head) *protocol.Response {
	return p.Serve(context.Background(), h, nil, time.Now())
}

// startServe calls p.Serve on a new goroutine. The returned channel receives the response.
func startServe(ctx context.Context, p *Proxy, h *protocol.Head) <-chan *protocol.Response {
	responses := make(chan *protocol.Response, 1)
	arrivedAt := time.Now()
	go func() { responses <- p.Serve(ctx, h, nil, arrivedAt) }()
	return responses
}

// awaitAttempts waits until no attempt is in flight.
func awaitAttempts(t *testing.T, p *Proxy) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.background.Wait() }()
	assert.NoError(t, peertest.Receive(t, ended))
}

// outcomeCount returns the number of attempts that ended with an outcome.
func outcomeCount(p *Proxy, outcome balancer.Outcome) int64 {
	return p.counters.outcomes[outcome].Load()
}

// updateWorker applies an update of the endpoint list that sets fields of worker w.
func updateWorker(t *testing.T, p *Proxy, fields string) {
	t.Helper()
	list, err := protocol.ParseEndpointList([]byte(`{"seq":9,"whole":false,"hosts":[{"host":"w",` + fields + `}]}`))
	assert.NoError(t, err)
	p.discovery.Apply(list)
}

// fakeRecovery is a Recovery that admits all requests. PriorExecution and PersistKey call the functions in its fields.
type fakeRecovery struct {
	priorExecution func()
	persistKey     func() error
	persisted      atomic.Int32 // number of calls of PersistKey
}

func (f *fakeRecovery) Ready() error          { return nil }
func (f *fakeRecovery) EndpointsReceived()    {}
func (f *fakeRecovery) EndpointsUnavailable() {}
func (f *fakeRecovery) Admit(balancer.Arrival) RecoveryAdmission {
	return RecoveryAdmission{Admitted: true, Done: func(bool) {}}
}

func (f *fakeRecovery) PriorExecution(KeyedRequest) (*PriorExecution, error) {
	f.priorExecution()
	return nil, nil
}

func (f *fakeRecovery) PersistKey(context.Context, KeyRecord) error {
	f.persisted.Add(1)
	return f.persistKey()
}
