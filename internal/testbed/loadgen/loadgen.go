package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/metrics"
	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/testbed/workload"
)

// Generator sends the calls of a schedule. A call is the request of an arrival, together with its retries.
type Generator struct {
	Operations []workload.Operation
	Tenants    []workload.Tenant
	Seed       uint64
	Retries    int           // maximum number of retries per call
	RetryWait  time.Duration // minimum wait before a retry if the response has no Retry-After
	MaxOpen    int           // maximum number of concurrent calls; further calls are recorded as unsent
	FrontTier  *FrontTier
	History    *history.Log
	Recorder   *metrics.Recorder
	Clock      func() time.Duration // returns the time since the start of the experiment

	openCalls atomic.Int64
}

// Run sends each arrival at its scheduled time, and returns when all calls have ended. When ctx ends, Run sends no more
// calls, and open calls are recorded as interrupted.
func (g *Generator) Run(ctx context.Context, schedule []workload.Arrival) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(time.Hour) // reset by waitUntil
	defer timer.Stop()
	for n, arrival := range schedule {
		if !g.waitUntil(ctx, arrival.At, timer) {
			return
		}
		if g.openCalls.Add(1) > int64(g.MaxOpen) {
			g.openCalls.Add(-1)
			g.recordUnsent(arrival)
			continue
		}
		calls.Go(func() {
			defer g.openCalls.Add(-1)
			g.call(ctx, n, arrival)
		})
	}
}

// waitUntil waits until at, measured from the start of the experiment. It returns false if ctx has ended.
func (g *Generator) waitUntil(ctx context.Context, at time.Duration, timer *time.Timer) bool {
	wait := at - g.Clock()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordUnsent records a call that is not sent because MaxOpen calls are open.
func (g *Generator) recordUnsent(arrival workload.Arrival) {
	g.Recorder.Record(metrics.Call{
		Operation:    arrival.Operation,
		Tenant:       arrival.Tenant,
		Intended:     arrival.At,
		Sent:         arrival.At,
		Ended:        arrival.At,
		Work:         arrival.Work,
		Outcome:      history.Unsent,
		ValueOffered: g.billedValue(arrival),
	})
}

// billedValue returns the billed value of a call if it succeeds within its latency objective.
func (g *Generator) billedValue(arrival workload.Arrival) float64 {
	return g.Operations[arrival.Operation].Value * arrival.Work.Seconds()
}

// OpenCalls returns the number of open calls.
func (g *Generator) OpenCalls() int { return int(g.openCalls.Load()) }

// requestResult is the outcome of a request, with the parts of its response that are recorded.
type requestResult struct {
	outcome    history.Outcome
	status     int           // 0 if there was no response
	result     string        // body of a successful response
	retryAfter time.Duration // 0 if the response has no Retry-After
}

// call sends the request of call n and its retries, and records the call.
func (g *Generator) call(ctx context.Context, n int, arrival workload.Arrival) {
	operation := &g.Operations[arrival.Operation]
	call := metrics.Call{
		Operation:    arrival.Operation,
		Tenant:       arrival.Tenant,
		Intended:     arrival.At,
		Sent:         g.Clock(),
		Work:         arrival.Work,
		ValueOffered: g.billedValue(arrival),
	}
	for try := 0; ; try++ {
		result := g.sendRequest(ctx, n, try, arrival, operation)
		call.Outcome = result.outcome
		call.Requests = try + 1
		if !canRetry(result.outcome, operation) || try >= g.Retries || !g.waitBeforeRetry(ctx, n, try, result.retryAfter) {
			break
		}
	}
	call.Ended = g.Clock()
	if call.Outcome == history.Succeeded {
		objective := operation.LatencyObjective.Std() + time.Duration(operation.Stretch*float64(arrival.Work))
		call.InTime = call.Ended-arrival.At <= objective
		call.ValueEarned = call.ValueOffered
		if !call.InTime {
			call.ValueEarned *= operation.LateShare
		}
	}
	g.Recorder.Record(call)
}

// canRetry reports whether a client can retry a request: always if the request was rejected or not received, otherwise
// only if the operation may run again.
func canRetry(outcome history.Outcome, operation *workload.Operation) bool {
	switch outcome {
	case history.Throttled, history.Unreachable:
		return true
	case history.Errored, history.Unanswered, history.Broken:
		return operation.Idempotency != workload.NonIdempotent
	}
	return false
}

// waitBeforeRetry waits for the Retry-After of the response. If the response has none, it waits for RetryWait plus a
// random jitter of up to RetryWait, which prevents simultaneous retries of many clients. It returns false if ctx ends
// first.
func (g *Generator) waitBeforeRetry(ctx context.Context, n, try int, retryAfter time.Duration) bool {
	wait := retryAfter
	if wait == 0 {
		jitter := unit.RandomStream(g.Seed, fmt.Sprint("retry ", n, " ", try)).Float64()
		wait = time.Duration((1 + jitter) * float64(g.RetryWait))
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends request number try of call n with a unique ID and records its outcome.
func (g *Generator) sendRequest(ctx context.Context, n, try int, arrival workload.Arrival, operation *workload.Operation) requestResult {
	id := RequestID(g.Seed, n, try)
	timeout := operation.Timeout.Std()
	deadline := g.Clock() + timeout
	dispatcher := g.FrontTier.selectDispatcher()
	request := g.History.RequestOpened(id, arrival.Operation, dispatcher, deadline)
	if operation.Idempotency == workload.IdempotentByKey {
		g.History.SetKey(request, arrival.Key)
	}
	markedRetry := try > 0 || arrival.Retry
	if markedRetry {
		g.History.MarkRetry(request)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message := g.encodeRequest(id, arrival, operation, markedRetry)
	got, err := g.exchange(ctx, request, dispatcher, message, g.FrontTier.getConn)
	if errors.Is(err, errIdleConnEnded) {
		g.History.RequestResent(request, g.Clock())
		got, _ = g.exchange(ctx, request, dispatcher, message, g.FrontTier.newConn)
	}
	g.History.RequestEnded(request, got.outcome, got.status, got.result, g.Clock())
	return got
}

// RequestID returns the ID of request number try of call n.
func RequestID(seed uint64, n, try int) string {
	return fmt.Sprintf("%04x%08x%04x", uint16(seed), uint32(n), uint16(try))
}

const (
	typicalRequestBytes = 512 // size of a typical request
	deadlineDecimals    = 3   // number of decimals of the seconds in Req-Deadline
)

// encodeRequest returns the encoded HTTP request. Its body is a worker.Task.
func (g *Generator) encodeRequest(id string, arrival workload.Arrival, operation *workload.Operation, markedRetry bool) []byte {
	body := fmt.Appendf(nil, `{"operation":%d,"work_us":%d}`, arrival.Operation, arrival.Work.Microseconds())
	b := make([]byte, 0, typicalRequestBytes)
	b = append(b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: "...)
	b = append(append(append(b, id...), "\r\nReq-Kind: "...), operation.Name...)
	b = append(b, "\r\nReq-Deadline: "...)
	b = strconv.AppendFloat(b, operation.Timeout.Std().Seconds(), 'f', deadlineDecimals, 64)
	if len(g.Tenants) > 0 {
		b = append(append(b, "\r\nReq-Owner: "...), g.Tenants[arrival.Tenant].Name...)
	}
	if arrival.Hint > 0 {
		b = strconv.AppendInt(append(b, "\r\nReq-Cost: "...), arrival.Hint.Microseconds(), 10)
	}
	if markedRetry {
		b = append(b, "\r\nReq-Retry: 1"...)
	}
	if operation.Idempotency == workload.IdempotentByKey {
		b = fmt.Appendf(b, "\r\nIdempotency-Key: %016x", arrival.Key)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// errIdleConnEnded is returned if a reused connection ended before the first byte of the response. The client assumes
// that the dispatcher closed the connection while it was idle.
var errIdleConnEnded = errors.New("idle connection has ended")

// connectFunc returns a connection to a dispatcher: FrontTier.getConn or FrontTier.newConn.
type connectFunc func(ctx context.Context, dispatcher int) (*conn, error)

// exchange sends a message on a connection from connect and returns the result of the request. The error is
// errIdleConnEnded or nil.
func (g *Generator) exchange(ctx context.Context, request *history.Request, dispatcher int, message []byte,
	connect connectFunc,
) (requestResult, error) {
	c, err := connect(ctx, dispatcher)
	if err != nil {
		if ctx.Err() != nil {
			return requestResult{outcome: outcomeOfContextEnd(ctx)}, nil
		}
		return requestResult{outcome: history.Unreachable}, nil
	}
	stopInterrupt := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // interrupts reads and writes
	got, err := g.roundTrip(ctx, request, c, message)
	if stopInterrupt() && c.reusable {
		g.FrontTier.release(dispatcher, c)
	} else {
		c.Close()
	}
	return got, err
}

// roundTrip sends a message on an open connection and returns the result of the request. It sets c.reusable. The error
// is errIdleConnEnded or nil.
func (g *Generator) roundTrip(ctx context.Context, request *history.Request, c *conn, message []byte) (requestResult, error) {
	c.reusable = false
	_, err := c.Write(message)
	if err == nil {
		g.History.RequestSent(request, g.Clock())
		_, err = c.reader.Peek(1)
	}
	switch {
	case err == nil:
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return requestResult{outcome: outcomeOfContextEnd(ctx)}, nil
	case c.wasUsed:
		return requestResult{outcome: history.Broken}, errIdleConnEnded
	default:
		return requestResult{outcome: history.Broken}, nil
	}
	got, err := c.readResponse()
	switch {
	case err == nil:
		return got, nil
	case ctx.Err() != nil:
		return requestResult{outcome: outcomeOfContextEnd(ctx)}, nil
	}
	return requestResult{outcome: history.Broken}, nil
}

// readResponse reads a complete response and sets c.reusable. It returns an error if the response is incomplete or
// invalid.
func (c *conn) readResponse() (requestResult, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return requestResult{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return requestResult{}, err
	}
	c.reusable = !response.Close
	return parseResponse(response, body), nil
}

// outcomeOfContextEnd returns the outcome of a request whose context has ended: Interrupted if the experiment has
// ended, otherwise Unanswered.
func outcomeOfContextEnd(ctx context.Context) history.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return history.Interrupted
	}
	return history.Unanswered
}

// maxRetryAfterSeconds is the maximum Retry-After that clients respect. Longer ones are reduced to it.
const maxRetryAfterSeconds = 3600

// parseResponse returns the result of a request from its response and the response's body.
func parseResponse(response *http.Response, body []byte) requestResult {
	got := requestResult{outcome: history.Errored, status: response.StatusCode}
	switch response.StatusCode {
	case http.StatusOK:
		got.outcome = history.Succeeded
		got.result = string(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		got.outcome = history.Throttled
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
			got.retryAfter = time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
		}
	}
	return got
}
