package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// testAttemptResult is the result of an attempt at a test worker.
type testAttemptResult struct {
	outcome balancer.Outcome
	result  string
	starts  int // number of reported starts
}

// newTestAttempt returns an attempt whose events are discarded.
func newTestAttempt(t *testing.T, p *Proxy, h *protocol.Head) *attempt {
	t.Helper()
	request, err := protocol.ParseRequest(h)
	assert.NoError(t, err)
	ignore := func() {}
	return &attempt{
		proxy: p, request: request, settings: p.settings.Load(), deadline: time.Now().Add(time.Minute),
		events: attemptEvents{sent: ignore, delivered: ignore, started: ignore, rejectOrFail: ignore}, pause: newReadPause(),
	}
}

// runTestAttempt runs one attempt at the worker with an address.
func runTestAttempt(ctx context.Context, t *testing.T, address string) testAttemptResult {
	t.Helper()
	a := newTestAttempt(t, newProxy(address), requestHead("idem"))
	var ended testAttemptResult
	a.events.started = func() { ended.starts++ }
	result := a.run(ctx, 0)
	if result.finish != nil {
		result.finish()
	}
	ended.outcome = result.outcome
	ended.result = result.result
	return ended
}

func TestResponseDecidesOutcome(t *testing.T) {
	line := func(state string) string { return `{"id":"a1","state":"` + state + `"}` }
	for name, test := range map[string]struct {
		respond peertest.Responder
		want    balancer.Outcome
	}{
		"done":                 {peertest.RespondWith(peertest.CompleteResponse(startedLine, doneLine)), balancer.Succeeded},
		"done, then closed":    {peertest.RespondAndClose(peertest.ResponseStart(startedLine, doneLine)), balancer.Succeeded},
		"done without newline": {peertest.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + doneLine), balancer.Succeeded},
		"done, body until EOF": {peertest.RespondAndClose("HTTP/1.0 200 OK\r\n\r\n" + startedLine + "\n" + doneLine + "\n"), balancer.Succeeded},
		"failed":               {peertest.RespondWith(peertest.CompleteResponse(startedLine, line("failed"))), balancer.WorkerError},
		"500":                  {peertest.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"), balancer.WorkerError},
		"returned":             {peertest.RespondWith(peertest.CompleteResponse(line("returned"))), balancer.Overloaded},
		"declined":             {peertest.RespondWith(declinedText), balancer.Overloaded},
		"declined and closed": {
			peertest.RespondAndClose("HTTP/1.1 504 No\r\nSrv-Declined: 1\r\nConnection: close\r\n\r\n"), balancer.Overloaded,
		},
		"503 without decline": {peertest.RespondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), balancer.WorkerError},
		"lost":                {peertest.RespondWith(peertest.CompleteResponse(startedLine, line("lost"))), balancer.ConnectionReset},
		"closed before head":  {peertest.RespondAndClose(""), balancer.ConnectionReset},
		"closed within head":  {peertest.RespondAndClose("HTTP/1.1 200"), balancer.ConnectionReset},
		"closed after start":  {peertest.RespondAndClose(peertest.ResponseStart(startedLine)), balancer.ConnectionReset},
		"no final state":      {peertest.RespondWith(peertest.CompleteResponse(startedLine, line("running"))), balancer.ConnectionReset},
		"not HTTP":            {peertest.RespondWith("SSH-2.0-x\r\n\r\n"), balancer.WorkerError},
		"malformed chunk":     {peertest.RespondWith(peertest.ChunkedHead + "zz\r\n"), balancer.WorkerError},
		"not JSON":            {peertest.RespondWith(peertest.CompleteResponse("<html>")), balancer.WorkerError},
		"other request ID":    {peertest.RespondWith(peertest.CompleteResponse(strings.Replace(doneLine, "a1", "b2", 1))), balancer.WorkerError},
		"endless head":        {peertest.RespondWith("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 20000)), balancer.WorkerError},
		"endless line":        {peertest.RespondWith(peertest.ResponseStart(strings.Repeat("a", protocol.MaxLineBytes))), balancer.WorkerError},
	} {
		t.Run(name, func(t *testing.T) {
			ended := runTestAttempt(context.Background(), t, peertest.StartServer(t, test.respond))
			assert.Equal(t, test.want, ended.outcome)
			assert.Equal(t, test.want == balancer.Succeeded, ended.result == "r")
		})
	}
}

func TestAttemptStartIsReported(t *testing.T) {
	worker := peertest.StartServer(t, peertest.RespondWith(peertest.CompleteResponse(startedLine, doneLine)))
	assert.Equal(t, 1, runTestAttempt(context.Background(), t, worker).starts)
}

func TestAttemptWithoutConnectionWasNotExecuted(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		ended := runTestAttempt(context.Background(), t, peertest.ReserveAddress(t))
		assert.Equal(t, balancer.ConnectionRefused, ended.outcome)
	})
	t.Run("canceled before it was sent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ended := runTestAttempt(ctx, t, peertest.StartServer(t, peertest.RespondAndClose("")))
		assert.Equal(t, balancer.NotSent, ended.outcome)
	})
}

func TestCanceledAttemptClosesItsConnection(t *testing.T) {
	closed := make(chan error, 1)
	ctx, cancel := context.WithCancelCause(context.Background())
	address := peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		cancel(balancer.ErrAttemptCanceled)
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	assert.Equal(t, balancer.Canceled, runTestAttempt(ctx, t, address).outcome)
	assert.ErrorIs(t, <-closed, io.EOF)
}

func TestSilentWorkerTimesOut(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	address, _ := startHangingWorker(t)
	assert.Equal(t, balancer.TimedOut, runTestAttempt(ctx, t, address).outcome)
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	clients := make(chan string, 2)
	p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		clients <- conn.RemoteAddr().String()
		io.WriteString(conn, succeededText())
	}))
	for range 2 {
		assert.Equal(t, &protocol.Response{Status: 200, Body: []byte("r")}, serve(p, requestHead("idem")))
		assert.NoError(t, p.background.Wait())
	}
	assert.Equal(t, <-clients, <-clients)
}

// A response without a request ID on a reused connection may be a late second one to an earlier request. If the
// connection were reused, a non-idempotent request could get the response to this request and be executed twice.
func TestConnectionIsNotReusedAfterAnUnattributedResponse(t *testing.T) {
	for name, test := range map[string]struct{ operation, text string }{
		"declined":            {"idem", declinedText},
		"500":                 {"idem", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"},
		"503 without decline": {"idem", "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"},
		"non-idempotent":      {"once", declinedText},
		"keyed":               {"keyed", declinedText},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
				if requests.Add(1) == 1 {
					io.WriteString(conn, succeededText())
					return
				}
				io.WriteString(conn, test.text)
			}))
			run := func(operation string) {
				a := newTestAttempt(t, p, parseHead("Req-Id: a1\r\nIdempotency-Key: k\r\nReq-Kind: "+operation+"\r\n"))
				a.reusePolicy = transport.AnyConnection
				a.run(context.Background(), 0).finish()
			}
			run("idem")
			assert.Equal(t, 1, p.pool.OpenConnections())
			run(test.operation)
			assert.Equal(t, 0, p.pool.OpenConnections())
		})
	}
}

// A probe that gets a late second response to an attempt must not return its connection either, as the load report is
// still to come.
func TestConnectionIsNotReusedAfterAProbeGetsAnotherResponse(t *testing.T) {
	for name, text := range map[string]string{"done": succeededText(), "declined": declinedText} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			respond := func(conn net.Conn, _ *http.Request) {
				if requests.Add(1) == 1 {
					io.WriteString(conn, succeededText())
					return
				}
				io.WriteString(conn, text)
			}
			p := newProxyWith(peertest.StartServer(t, respond), func(_ *balancer.Config, config *Config) {
				config.ReportFields = []string{"rif"}
			})
			newTestAttempt(t, p, requestHead("idem")).run(context.Background(), 0).finish()
			assert.Equal(t, 1, p.pool.OpenConnections())
			p.probe(context.Background(), 0)
			assert.Equal(t, 0, p.pool.OpenConnections())
		})
	}
}

// The only request of a new connection is the one that a response without a request ID belongs to.
func TestConnectionIsReusedAfterAFirstResponseWithoutRequestID(t *testing.T) {
	p := newProxy(peertest.StartServer(t, peertest.RespondWith(declinedText)))
	newTestAttempt(t, p, requestHead("idem")).run(context.Background(), 0).finish()
	assert.Equal(t, 1, p.pool.OpenConnections())
}

// A worker must not be ejected for closing an idle connection.
func TestClosedReusedConnectionIsNotWorkerFailure(t *testing.T) {
	var attempts atomic.Int32
	p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		if attempts.Add(1) == 2 {
			conn.Close()
			return
		}
		io.WriteString(conn, succeededText())
	}))
	status := func(head *protocol.Head) int {
		defer func() { assert.NoError(t, p.background.Wait()) }()
		return serve(p, head).Status
	}
	assert.Equal(t, 200, status(requestHead("idem")))
	time.Sleep(transport.SettleTime) // the operation once uses an idle connection only after this time
	assert.Equal(t, 502, status(parseHead("Req-Id: a2\r\nReq-Deadline: 2\r\nReq-Kind: once\r\n")))
	assert.Equal(t, int64(1), outcomeCount(p, balancer.ConnectionStale))
	assert.Equal(t, 200, status(requestHead("idem")), "the worker must receive the next request immediately")
}

// A machine that crashes and restarts has lost its attempts without closing their connections.
func TestAttemptAtRestartedWorkerIsReset(t *testing.T) {
	for name, migrates := range map[string]bool{
		"without migration": false,
		// If requests can be migrated, reads may be stopped and resumed.
		"with migration": true,
	} {
		t.Run(name, func(t *testing.T) {
			address, received := startHangingWorker(t)
			p := newProxy(address)
			p.config.MigratesRequests = migrates
			responses := startServe(context.Background(), p, requestHead("once"))
			peertest.Receive(t, received)
			startedAt := time.Now()
			updateWorker(t, p, restartFields(startedAt.Add(time.Second)))
			assert.Equal(t, 502, peertest.Receive(t, responses).Status)
			assert.Less(t, time.Since(startedAt), time.Second, "must not wait for the client's timeout")
			assert.EqualValues(t, 1, outcomeCount(p, balancer.ConnectionReset))
		})
	}
}

// If no connection is established within the dial timeout, the worker cannot have executed the attempt.
func TestConnectTimesOut(t *testing.T) {
	p := newProxyWith(unresponsiveAddress(t), func(_ *balancer.Config, config *Config) {
		config.DialTimeout = 20 * time.Millisecond
	})
	a := newTestAttempt(t, p, keyedHead())
	outcomes := make(chan balancer.Outcome, 1)
	go func() { outcomes <- a.run(context.Background(), 0).outcome }()
	assert.Equal(t, balancer.NoConnection, peertest.Receive(t, outcomes))
	assert.Zero(t, p.pool.OpenConnections(), "the dial must no longer count against the connection limit")
}

// The wait for a connection ends with the dedup window, because the attempt must not be sent after it.
func TestConnectEndsWithDedupWindow(t *testing.T) {
	p := newProxyWith(unresponsiveAddress(t), withDedupWindow(balancer.Second))
	a := newTestAttempt(t, p, keyedHead())
	a.sendBy = time.Now().Add(50 * time.Millisecond)
	outcomes := make(chan balancer.Outcome, 1)
	go func() { outcomes <- a.run(context.Background(), 0).outcome }()
	assert.Equal(t, balancer.NotSent, peertest.Receive(t, outcomes), "the timeout is not a failure of the worker")
	assert.Zero(t, p.pool.OpenConnections())
}

// The timeout that a worker receives must exclude the time that the request has waited and the time to connect, for the
// first attempt and for retries.
func TestWorkerTimeoutIsAtMostRemainingClientTimeout(t *testing.T) {
	timeouts, remaining := make(chan string, 4), make(chan time.Duration, 4)
	arrivedAt := time.Now().Add(-500 * time.Millisecond)
	p := newProxyWith(peertest.StartServer(t, func(conn net.Conn, request *http.Request) {
		timeouts <- request.Header.Get("Req-Deadline")
		text := failedText
		if len(timeouts) > 1 {
			text = succeededText()
		}
		io.WriteString(conn, text)
	}), func(balancing *balancer.Config, _ *Config) { balancing.Attempts.Max = 4 })
	p.hooks.beforeSend = func() {
		time.Sleep(50 * time.Millisecond)
		remaining <- time.Until(arrivedAt.Add(2 * time.Second)) // the client's timeout is 2 s
	}
	responses := make(chan *protocol.Response, 1)
	go func() { responses <- p.Serve(context.Background(), requestHead("idem"), nil, arrivedAt) }()
	assert.Equal(t, 200, peertest.Receive(t, responses).Status)
	awaitAttempts(t, p)
	assert.Len(t, timeouts, 2)
	for range 2 {
		assertTimeoutWithin(t, peertest.Receive(t, timeouts), peertest.Receive(t, remaining))
	}
}
