package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

func TestMalformedRequestsAreRefused(t *testing.T) {
	withTenant := func(p *Proxy) { p.settings.Load().tenants["o"] = 0 }
	for name, test := range map[string]struct {
		head   *protocol.Head
		change func(*Proxy)
	}{
		"unknown operation": {requestHead("unknown"), func(*Proxy) {}},
		"no operation":      {&protocol.Head{Method: "POST"}, func(*Proxy) {}},
		"no key":            {requestHead("keyed"), func(*Proxy) {}},
		"no tenant":         {requestHead("idem"), withTenant},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxy(peertest.ClosedAddress)
			test.change(p)
			assert.Equal(t, 400, serve(p, test.head).Status)
			assert.Equal(t, int64(0), p.counters.validated.Load())
			assert.Equal(t, int64(1), p.counters.invalid.Load())
		})
	}
}

// Workers identify a request by its ID alone, so a second request with the ID of an open one must not reach them.
func TestRequestWithOpenIDIsRefused(t *testing.T) {
	var p *Proxy
	secondStatus := 0
	p = newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		secondStatus = serve(p, requestHead("idem")).Status
		io.WriteString(conn, succeededText())
	}))
	for range 2 { // an ID can be reused after its request has ended
		response := serve(p, requestHead("idem"))
		assert.Equal(t, []int{200, 409}, []int{response.Status, secondStatus})
		assert.NoError(t, p.background.Wait())
	}
}

// A stopping process rejects a request that would not complete in time, because a request that is interrupted by the
// exit cannot always be rejected. It still serves requests that can complete in time.
func TestStoppingProcessRejectsOnlyRequestsItCannotFinish(t *testing.T) {
	p := newProxy(peertest.StartServer(t, peertest.RespondWith(succeededText())))
	p.settings.Load().unavailableRetryAfter = 2 * time.Second
	p.lifecycle.Stop(time.Now())
	p.SetStopTimeout(2 * time.Second)
	long := parseHead("Req-Id: a2\r\nReq-Kind: once\r\nReq-Cost: 1500000\r\n")
	assert.Equal(t, &protocol.Response{Status: 503, RetryAfter: 2 * time.Second}, serve(p, long))
	assert.Equal(t, 200, serve(p, requestHead("once")).Status)
}

func TestDisconnectedClientGetsNoResponse(t *testing.T) {
	for _, operation := range []string{"idem", "once"} {
		t.Run(operation, func(t *testing.T) {
			ctx, disconnect := context.WithCancel(context.Background())
			p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
				disconnect()
				_, _ = conn.Read(make([]byte, 1))
			}))
			assert.Nil(t, p.Serve(ctx, requestHead(operation), nil, time.Now()))
			assert.NoError(t, p.background.Wait())
			assert.Equal(t, 0, p.balancer.OpenRequests())
			assert.Equal(t, int64(1), p.counters.sent.Load(), "the request must not be sent again")
		})
	}
}

func TestNonIdempotentRequestFailsAfterReset(t *testing.T) {
	p := newProxy(peertest.StartServer(t, peertest.RespondAndClose("")))
	assert.Equal(t, 502, serve(p, requestHead("once")).Status)
}

func TestNonIdempotentRequestIsRejectedAfterDecline(t *testing.T) {
	p := newProxy(peertest.StartServer(t, peertest.RespondWith(declinedText)))
	assert.Equal(t, 429, serve(p, requestHead("once")).Status)
}

// sumMetrics sums the metrics by name.
func sumMetrics(p *Proxy) map[string]int64 {
	sum := map[string]int64{}
	for _, metric := range p.Metrics() {
		sum[metric.Name] += metric.Value
	}
	return sum
}

func sumEndedRequests(sum map[string]int64) int64 {
	return sum["succeeded"] + sum["declined"] + sum["aborted"]
}

// Each request is counted exactly once, whether it succeeds, fails, is declined, times out, arrives when the process is
// drained, or has a client that disconnects.
func TestEachAdmittedRequestIsCountedOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	texts := []string{
		peertest.CompleteResponse(`{"id":"a100","state":"done","result":"r"}`), "", peertest.ResponseStart(startedLine), failedText, declinedText,
	}
	p := newProxy(peertest.StartServer(t, func(conn net.Conn, request *http.Request) {
		mu.Lock()
		position := max(0, rng.IntN(40)-35) // nine in ten succeed
		text := strings.ReplaceAll(texts[position], "a100", request.Header.Get("Req-Id"))
		mu.Unlock()
		io.WriteString(conn, text)
		if text == "" {
			conn.Close()
		}
	}))
	var wg sync.WaitGroup
	validated, invalid := 0, 0
	for n := range 120 {
		operation := []string{"idem", "once", "unknown"}[n%3]
		head := parseHead(fmt.Sprintf("Req-Id: i%03d\r\nReq-Deadline: 0.3\r\nReq-Kind: %s\r\n", n, operation))
		if operation == "unknown" {
			invalid++
		} else {
			validated++
		}
		if n == 90 {
			p.lifecycle.Drain(time.Now().Add(-time.Hour)) // later requests are rejected
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+n*7%400)*time.Millisecond)
			defer cancel()
			p.Serve(ctx, head, nil, time.Now())
		})
		time.Sleep(time.Millisecond)
		assert.LessOrEqual(t, sumEndedRequests(sumMetrics(p)), int64(validated))
	}
	wg.Wait()
	assert.NoError(t, p.background.Wait())
	sum := sumMetrics(p)
	assert.Equal(t, int64(validated), sumEndedRequests(sum))
	assert.Zero(t, sum["outstanding"])
	assert.Equal(t, int64(invalid), p.counters.invalid.Load())
	for _, name := range []string{"succeeded", "declined", "aborted"} {
		assert.Positive(t, sum[name], name)
	}
	assert.Equal(t, p.counters.sent.Load(), sum["forwards"])
}

// slowWorker returns a worker that sends the response head after latency, and starts the first attempt only after
// queueing. attempts counts the attempts that it has received.
func slowWorker(latency, queueing time.Duration) (respond func(net.Conn, *http.Request), attempts *atomic.Int64) {
	attempts = &atomic.Int64{}
	return func(conn net.Conn, _ *http.Request) {
		first := attempts.Add(1) == 1
		time.Sleep(latency)
		io.WriteString(conn, peertest.ChunkedHead)
		if first {
			time.Sleep(queueing)
		}
		io.WriteString(conn, peertest.Chunk(startedLine)+peertest.Chunk(doneLine)+peertest.LastChunk)
	}, attempts
}

// If the latency objective is short compared to the network latency to a worker, each attempt could be hedged before
// the worker can report its start, until the limit of attempts is reached.
func TestAttemptAtDistantWorkerIsNotHedgedBeforeDelivery(t *testing.T) {
	for name, test := range map[string]struct {
		latency, queueing time.Duration // until the response head, and from there until the start
		attempts          int64
	}{
		"distant":          {80 * time.Millisecond, 0, 1},
		"in a local queue": {0, 150 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			worker, attempts := slowWorker(test.latency, test.queueing)
			other := peertest.StartServer(t, worker)
			p := newProxyWith(peertest.StartServer(t, worker), func(balancing *balancer.Config, config *Config) {
				balancing.Attempts.DeliveryNotices = true
				balancing.Attempts.StartNotices = true
				balancing.Attempts.Max = 4
				balancing.Attempts.Hedging = true
				balancing.Warmup.Window = 4 * balancer.Second
				for n := range balancing.Operations {
					balancing.Operations[n].LatencyObjective = balancer.Second / 5
				}
				endpoint := protocol.Endpoint{ID: "v", Address: other, State: protocol.Ready}
				config.InitialEndpoints.Endpoints = append(config.InitialEndpoints.Endpoints, endpoint)
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = p.balancer.Run(ctx, 0) }()
			assert.Equal(t, 200, peertest.Receive(t, startServe(ctx, p, requestHead("idem"))).Status)
			assert.Equal(t, test.attempts, attempts.Load())
		})
	}
}
