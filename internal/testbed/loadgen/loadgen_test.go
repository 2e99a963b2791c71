package loadgen

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/metrics"
	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

const ms = time.Millisecond

// newTestGenerator returns a generator that sends calls to one address, by default for one operation.
func newTestGenerator(address string, operations ...workload.Operation) *Generator {
	startedAt := time.Now()
	if len(operations) == 0 {
		operations = []workload.Operation{{
			Name: "status", LatencyObjective: unit.Duration(time.Second),
			Timeout: unit.Duration(10 * time.Second), Value: 1,
		}}
	}
	return &Generator{
		Operations: operations,
		Seed:       1,
		MaxOpen:    10000,
		RetryWait:  5 * ms,
		History:    history.New(),
		FrontTier:  NewFrontTier([]string{address}, time.Second),
		Recorder:   metrics.NewRecorder(time.Second, len(operations), 0),
		Clock:      func() time.Duration { return time.Since(startedAt) },
	}
}

// summary returns the summary of the recorded calls.
func (g *Generator) summary() metrics.Summary {
	names := []string{}
	for _, operation := range g.Operations {
		names = append(names, operation.Name)
	}
	return g.Recorder.Summary(names, nil)
}

// arrivalsEvery returns a schedule with a constant gap between arrivals.
func arrivalsEvery(gap, duration time.Duration) (schedule []workload.Arrival) {
	for at := time.Duration(0); at < duration; at += gap {
		schedule = append(schedule, workload.Arrival{At: at, Work: ms})
	}
	return schedule
}

// Guards against coordinated omission. A server pauses from 0.5 s to 1.5 s and delays each of the 200 calls scheduled
// in that interval until the end of the pause. The schedule has 400 calls in 2 s, 5 ms apart, and call k of the pause
// waits 1000 - 5k ms. p99 is the 396th latency in ascending order; four latencies are higher, so it is 980 ms. p90 is
// the 360th, 800 ms. p50 is the 200th, which is the highest latency of a call that was not delayed.
func TestLatencyIsMeasuredFromTheIntendedTimeDuringAPause(t *testing.T) {
	startedAt := time.Now()
	from, to := startedAt.Add(500*ms), startedAt.Add(1500*ms)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if now := time.Now(); now.After(from) && now.Before(to) {
			time.Sleep(time.Until(to))
		}
	}))
	defer server.Close()
	generator := newTestGenerator(strings.TrimPrefix(server.URL, "http://"))
	generator.Clock = func() time.Duration { return time.Since(startedAt) }
	generator.Run(context.Background(), arrivalsEvery(5*ms, 2*time.Second))
	got := generator.summary()
	assert.EqualValues(t, 400, got.All.Count)
	assert.InDelta(t, 980, got.All.P99, 100)
	assert.InDelta(t, 800, got.All.P90, 100)
	assert.Less(t, got.All.P50, 60.0)
	assert.InDelta(t, 1000, got.All.Max, 100)
	assert.EqualValues(t, 400, got.Total.Outcomes["succeeded"])
}

// Calls to a paused dispatcher must be sent and recorded with the full client timeout as latency. Otherwise, a pause
// would not show in the latencies.
func TestPausedDispatcherStillReceivesCalls(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // Accept is never called: the kernel establishes the connections
	assert.NoError(t, err)
	defer ln.Close()
	generator := newTestGenerator(ln.Addr().String(), workload.Operation{
		Name: "status", LatencyObjective: 1,
		Timeout: unit.Duration(300 * ms),
	})
	generator.Run(context.Background(), arrivalsEvery(2*ms, 400*ms))
	got := generator.summary()
	assert.EqualValues(t, 200, got.Total.Outcomes["unanswered"])
	assert.Zero(t, got.Generator.Unsent)
	assert.GreaterOrEqual(t, got.All.P50, 299.0, "a call ended before its timeout")
	assert.Len(t, generator.History.Check(history.RuleConfig{Operations: []history.Operation{{}}}), 200, "not every request was reported as lost")
}

func TestOverloadedGeneratorIsReported(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * ms) }))
	defer server.Close()
	generator := newTestGenerator(strings.TrimPrefix(server.URL, "http://"))
	generator.MaxOpen = 2
	generator.Run(context.Background(), arrivalsEvery(ms, 100*ms))
	got := generator.summary()
	assert.False(t, got.Generator.Trusted)
	assert.Positive(t, got.Generator.Unsent)
	assert.EqualValues(t, 100, got.Total.Calls, "not every call was counted")
	recorder := metrics.NewRecorder(time.Second, 1, 0)
	recorder.Record(metrics.Call{Outcome: history.Succeeded, Sent: 20 * ms, Ended: 21 * ms})
	late := recorder.Summary([]string{"status"}, nil)
	assert.Equal(t, "1 of 1 calls were sent more than 10ms late", late.Generator.Reason)
}

func TestClientsRetryAsTheOperationAllows(t *testing.T) {
	statuses := map[string][]int{"safe": {502, 200}, "once": {502, 200}, "rejected": {503, 503, 200}}
	received, keys := map[string]*atomic.Int32{}, make(chan string, 10)
	for name := range statuses {
		received[name] = &atomic.Int32{}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get("Req-Kind")
		retry := int(received[name].Add(1)) - 1
		assert.Equal(t, retry > 0, r.Header.Get("Req-Retry") == "1")
		if keys <- r.Header.Get("Idempotency-Key"); statuses[name][retry] == 503 {
			w.Header().Set("Retry-After", "0.05")
		}
		w.WriteHeader(statuses[name][retry])
	}))
	defer server.Close()
	var operations []workload.Operation
	for _, operation := range []workload.Operation{
		{Name: "safe", Idempotency: workload.Idempotent},
		{Name: "once", Idempotency: workload.NonIdempotent},
		{Name: "rejected", Idempotency: workload.IdempotentByKey},
	} {
		operation.LatencyObjective = unit.Duration(time.Second)
		operation.Timeout = unit.Duration(time.Second)
		operations = append(operations, operation)
	}
	generator := newTestGenerator(strings.TrimPrefix(server.URL, "http://"), operations...)
	generator.Retries = 2
	generator.Run(context.Background(), []workload.Arrival{{Operation: 0}, {Operation: 1}, {Operation: 2, Key: 9}})
	got := generator.summary()
	assert.Equal(t, map[string]int64{"succeeded": 2, "errored": 1}, got.Total.Outcomes)
	assert.EqualValues(t, 1, received["once"].Load(), "a request that may have run was retried")
	assert.GreaterOrEqual(t, got.Operations[2].Latency.Max, 100.0, "a retry did not wait for Retry-After")
	close(keys)
	seen := map[string]int{}
	for key := range keys {
		seen[key]++
	}
	assert.Equal(t, map[string]int{"": 3, "0000000000000009": 3}, seen, "retries must have the key of the first request")
}

func TestRequestOnAClosedIdleConnectionIsSentAgainOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1024))
			if n < 2 { // responds once and closes after the next message; later connections close after the first
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				c.Read(make([]byte, 1024))
			}
			c.Close()
		}
	}()
	generator := newTestGenerator(ln.Addr().String())
	for range 4 { // sequentially: on a busy machine, the second call could otherwise start before the first has ended
		generator.Run(context.Background(), []workload.Arrival{{}})
	}
	assert.Equal(t, map[string]int64{"succeeded": 2, "broken": 2}, generator.summary().Total.Outcomes,
		"call 1 succeeds; call 2 succeeds on a new connection; calls 3 and 4 fail on new connections that end")
}

func TestCancelledContextInterruptsOpenCallsAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	generator := newTestGenerator(ln.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*ms, cancel)
	startedAt := time.Now()
	generator.Run(ctx, arrivalsEvery(10*ms, time.Minute))
	assert.Less(t, time.Since(startedAt), 2*time.Second)
	got := generator.summary()
	assert.Equal(t, got.Total.Calls, got.Total.Outcomes["interrupted"])
	assert.Positive(t, got.Total.Calls)
	assert.Empty(t, generator.History.Check(history.RuleConfig{Operations: []history.Operation{{}}}), "interrupted calls were reported as violations")
}

func TestFrontTierDetectsAFailureAfterTheTimeoutAndARecoveryAtOnce(t *testing.T) {
	var responds, unhealthy atomic.Bool
	responds.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case unhealthy.Load():
			w.WriteHeader(503)
		case !responds.Load():
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	frontTier := NewFrontTier([]string{strings.TrimPrefix(server.URL, "http://")}, 400*ms)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- frontTier.Run(ctx) }()
	assert.Eventually(t, frontTier.IsReady, 5*time.Second, ms)
	failedAt := time.Now()
	responds.Store(false)
	assert.Eventually(t, func() bool { return !frontTier.IsReady() }, 5*time.Second, ms)
	assert.GreaterOrEqual(t, time.Since(failedAt), 300*ms)
	responds.Store(true)
	assert.Eventually(t, frontTier.IsReady, 5*time.Second, ms)
	unhealthy.Store(true)
	failedAt = time.Now()
	assert.Eventually(t, func() bool { return !frontTier.IsReady() }, 5*time.Second, ms)
	assert.Less(t, time.Since(failedAt), 300*ms, "a dispatcher that responds with 503 was not removed at once")
	cancel()
	assert.NoError(t, <-done)
}
