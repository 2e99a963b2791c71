package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// standIn takes forwards, and plays what answer does with each connection once a forward is whole.
func standIn(t *testing.T, answer func(c net.Conn, r *http.Request)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					answer(c, r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// says answers each forward with the same text, and ends the connection if it is told to.
func says(text string, ends bool) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		io.WriteString(c, text)
		if ends {
			c.Close()
		}
	}
}

func chunked(lines ...string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		text += chunk(l)
	}
	return text
}

const (
	started = `{"id":"a1","from":"w","state":"started"}`
	done    = `{"id":"a1","from":"w","state":"done","result":"r"}`
	last    = "0\r\n\r\n"
)

// routerTo has one worker at an address, and three operations, the second one non-idempotent.
func routerTo(addr string) *Proxy { return routerBy(addr, func(*balancer.Config, *Config) {}) }

// routerBy is a router with other terms.
func routerBy(addr string, change func(*balancer.Config, *Config)) *Proxy {
	began := time.Now()
	decisions := balancer.Config{
		Dispatchers: 2, Kinds: 1, MaxAttempts: 1, Cancellation: true, Granularity: 20,
		ReportInFlight: -1, ReportQueue: -1, ReportFree: -1,
		Tenants: []balancer.TenantConfig{{Quota: 1e9}},
		Operations: []balancer.OperationConfig{
			{LatencyObjective: balancer.Second, Value: 1, Kind: -1},
			{LatencyObjective: balancer.Second, Value: 1, Kind: -1, Idempotency: balancer.NonIdempotent},
			{LatencyObjective: balancer.Second, Value: 1, Kind: -1, Idempotency: balancer.IdempotentByKey},
		},
	}
	known := protocol.Endpoint{ID: "w", Address: addr, State: protocol.Ready}
	terms := Config{
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
		FromUnix:         func(ms float64) balancer.Time { return balancer.Time(ms * 10) },
		InitialEndpoints: &protocol.EndpointList{Version: 7, Complete: true, Endpoints: []protocol.Endpoint{known}},
	}
	change(&decisions, &terms)
	f := balancer.NewShards(decisions, 1, 1, func() balancer.Time { return balancer.Second + spanOf(time.Since(began)) },
		func(string) {})
	return New(terms, f, transport.NewPool(4, time.Minute, zerolog.Nop()), nil, &lifecycle.State{}, zerolog.Nop())
}

func invocation(operation string) *protocol.Head {
	h, _, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline: 2\r\nReq-Kind: " +
		operation + "\r\n\r\n"))
	if err != nil {
		panic(err)
	}
	return &h
}

// outcome is what one forward to addr comes to.
func outcome(t *testing.T, addr string, ctx context.Context) (balancer.Outcome, string, int) {
	r, starts := routerTo(addr), 0
	inv, err := protocol.ParseRequest(invocation("idem"))
	assert.NoError(t, err)
	f := &passage{
		r: r, ctx: ctx, inv: inv, until: time.Now().Add(time.Second), now: r.now.Load(), sent: func() {},
		taken: func() {}, started: func() { starts++ },
		parked: make(chan struct{}, 1), verdict: make(chan bool, 1), gone: make(chan struct{}),
	}
	how, result, finish := f.run(0)
	if finish != nil {
		finish()
	}
	return how, result, starts
}

func TestWhatAWorkerAnswersIsAnOutcome(t *testing.T) {
	line := func(state string) string { return `{"id":"a1","state":"` + state + `"}` }
	for name, c := range map[string]struct {
		text string
		ends bool
		want balancer.Outcome
	}{
		"done":                  {chunked(started, done) + last, false, balancer.Succeeded},
		"done, then broken":     {chunked(started, done), true, balancer.Succeeded},
		"done without line end": {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + done, false, balancer.Succeeded},
		"done until the end":    {"HTTP/1.0 200 OK\r\n\r\n" + started + "\n" + done + "\n", true, balancer.Succeeded},
		"failed":                {chunked(started, line("failed")) + last, false, balancer.WorkerError},
		"500":                   {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", false, balancer.WorkerError},
		"returned":              {chunked(line("returned")) + last, false, balancer.Overloaded},
		"declined": {
			"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false,
			balancer.Overloaded,
		},
		"declined and closed": {
			"HTTP/1.1 504 No\r\nSrv-Declined: 1\r\nConnection: close\r\n\r\n", true,
			balancer.Overloaded,
		},
		"503 of another sort":  {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, balancer.WorkerError},
		"lost":                 {chunked(started, line("lost")) + last, false, balancer.ConnectionReset},
		"broken before a head": {"", true, balancer.ConnectionReset},
		"broken in the head":   {"HTTP/1.1 200", true, balancer.ConnectionReset},
		"broken after a start": {chunked(started), true, balancer.ConnectionReset},
		"ended without a last": {chunked(started, line("running")) + last, false, balancer.ConnectionReset},
		"no HTTP":              {"SSH-2.0-x\r\n\r\n", false, balancer.WorkerError},
		"bad chunk": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false,
			balancer.WorkerError,
		},
		"no JSON":               {chunked("<html>") + last, false, balancer.WorkerError},
		"of another invocation": {chunked(strings.Replace(done, "a1", "b2", 1)) + last, false, balancer.WorkerError},
		"endless head":          {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 20000), false, balancer.WorkerError},
		"endless line":          {chunked(strings.Repeat("a", protocol.MaxLineBytes)), false, balancer.WorkerError},
	} {
		how, result, _ := outcome(t, standIn(t, says(c.text, c.ends)), context.Background())
		assert.Equal(t, c.want, how, name)
		assert.Equal(t, how == balancer.Succeeded, result == "r", name)
	}
}

func TestStartIsTold(t *testing.T) {
	_, _, starts := outcome(t, standIn(t, says(chunked(started, done)+last, false)), context.Background())
	assert.Equal(t, 1, starts)
}

func TestForwardThatNeverCameUpNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	ln.Close()
	how, _, _ := outcome(t, ln.Addr().String(), context.Background())
	assert.Equal(t, balancer.ConnectionRefused, how, "its process is not there")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	how, _, _ = outcome(t, standIn(t, says("", true)), ctx)
	assert.Equal(t, balancer.NotSent, how, "called off before anything was sent")
}

func TestForwardCalledOffClosesItsConnection(t *testing.T) {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancelCause(context.Background())
	addr := standIn(t, func(c net.Conn, _ *http.Request) {
		cancel(balancer.ErrAttemptCanceled)
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	how, _, _ := outcome(t, addr, ctx)
	assert.Equal(t, balancer.Canceled, how)
	assert.ErrorIs(t, <-ended, io.EOF)
}

func TestSilentWorkerIsWaitedForUntilTheTimeIsUp(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	how, _, _ := outcome(t, standIn(t, func(c net.Conn, _ *http.Request) { c.Read(make([]byte, 1)) }), ctx)
	assert.Equal(t, balancer.TimedOut, how)
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	from := make(chan string, 2)
	r := routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
		from <- c.RemoteAddr().String()
		io.WriteString(c, chunked(done)+last)
	}))
	for range 2 {
		a := r.Serve(context.Background(), invocation("idem"), nil, time.Now())
		assert.Equal(t, &protocol.Response{Status: 200, Body: []byte("r")}, a)
		assert.NoError(t, r.forwards.Wait())
	}
	assert.Equal(t, <-from, <-from)
}

// Guards against a worker that is taken to be down because it has ended a connection that was kept for it.
func TestKeptConnectionThatEndsUnderAForwardSaysNothingOfTheWorker(t *testing.T) {
	var forwards atomic.Int32
	r := routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
		if forwards.Add(1) == 2 {
			c.Close()
			return
		}
		io.WriteString(c, chunked(done)+last)
	}))
	serve := func(operation string) int {
		defer func() { assert.NoError(t, r.forwards.Wait()) }()
		return r.Serve(context.Background(), invocation(operation), nil, time.Now()).Status
	}
	assert.Equal(t, 200, serve("idem"))
	time.Sleep(transport.SettleTime) // before that no kept connection will do
	assert.Equal(t, 502, serve("once"))
	assert.Equal(t, int64(1), r.counts.outcomes[balancer.ConnectionStale].Load())
	assert.Equal(t, 200, serve("idem"), "it gets the next one at once")
}
