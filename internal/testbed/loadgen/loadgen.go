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

// Generator sends the calls of a schedule.
type Generator struct {
	Operations []workload.Operation
	Tenants    []workload.Tenant
	Seed       uint64
	Retries    int           // per call, by the client
	RetryWait  time.Duration // before a retry, if the answer has no Retry-After
	MaxOpen    int           // concurrent calls; calls beyond are reported as unsent
	FrontTier  *FrontTier
	History    *history.Log
	Recorder   *metrics.Recorder
	Clock      func() time.Duration // time since the start of the experiment

	open atomic.Int64
}

// Run sends each arrival at its time, and returns when all calls are over. When ctx ends, no more calls are sent, and
// open ones count as interrupted.
func (g *Generator) Run(ctx context.Context, schedule []workload.Arrival) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(time.Hour) // waitUntil resets it
	defer timer.Stop()
	for n, arrival := range schedule {
		if !g.waitUntil(ctx, arrival.At, timer) {
			return
		}
		if g.open.Add(1) > int64(g.MaxOpen) {
			g.open.Add(-1)
			g.recordUnsent(arrival)
			continue
		}
		calls.Go(func() {
			defer g.open.Add(-1)
			g.call(ctx, n, arrival)
		})
	}
}

// waitUntil waits until a time since the start of the experiment. It reports false if ctx has ended.
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

// recordUnsent records a call that is not sent, as too many are open.
func (g *Generator) recordUnsent(arrival workload.Arrival) {
	g.Recorder.Record(metrics.Call{
		Operation:    arrival.Operation,
		Tenant:       arrival.Tenant,
		Intended:     arrival.At,
		Sent:         arrival.At,
		Ended:        arrival.At,
		Work:         arrival.Work,
		Outcome:      history.Unsent,
		ValueOffered: g.valueOf(arrival),
	})
}

// valueOf returns the billed value of a call that succeeds in time.
func (g *Generator) valueOf(arrival workload.Arrival) float64 {
	return g.Operations[arrival.Operation].Value * arrival.Work.Seconds()
}

// Open returns the number of open calls.
func (g *Generator) Open() int { return int(g.open.Load()) }

// answer is how one request ended.
type answer struct {
	outcome    history.Outcome
	status     int           // 0 if there was no answer
	result     string        // body of a successful answer
	retryAfter time.Duration // 0: the answer has no Retry-After
}

// call sends a request and its retries, and records the call. Its number is n.
func (g *Generator) call(ctx context.Context, n int, arrival workload.Arrival) {
	operation := &g.Operations[arrival.Operation]
	call := metrics.Call{
		Operation:    arrival.Operation,
		Tenant:       arrival.Tenant,
		Intended:     arrival.At,
		Sent:         g.Clock(),
		Work:         arrival.Work,
		ValueOffered: g.valueOf(arrival),
	}
	for try := 0; ; try++ {
		last := g.sendRequest(ctx, n, try, arrival, operation)
		call.Outcome = last.outcome
		call.Requests = try + 1
		if !mayRetry(last.outcome, operation) || try >= g.Retries || !g.waitBeforeRetry(ctx, n, try, last.retryAfter) {
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

// mayRetry reports whether a client retries: always if the request was rejected or not received, else only if the
// operation may run again.
func mayRetry(outcome history.Outcome, operation *workload.Operation) bool {
	switch outcome {
	case history.Throttled, history.Unreachable:
		return true
	case history.Errored, history.Unanswered, history.Broken:
		return operation.Idempotency != workload.NonIdempotent
	}
	return false
}

// waitBeforeRetry waits for the answer's Retry-After. Without one it waits for once to twice RetryWait, as jitter keeps
// clients from retrying all at once. It reports false if ctx ends first.
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

// sendRequest sends request number try of call n, under an ID of its own.
func (g *Generator) sendRequest(ctx context.Context, n, try int, arrival workload.Arrival, operation *workload.Operation) answer {
	id := RequestID(g.Seed, n, try)
	timeout := operation.Timeout.Std()
	deadline := g.Clock() + timeout
	dispatcher := g.FrontTier.choose()
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
	got, err := g.exchange(ctx, request, dispatcher, message, g.FrontTier.idleConn)
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
	deadlineDecimals    = 3   // of the seconds in Req-Deadline
)

// encodeRequest returns the request as sent. The body is a worker.Task.
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

// errIdleConnEnded means that a connection that had been idle ended before any byte of the answer. From the client's
// view the dispatcher closed it between two messages.
var errIdleConnEnded = errors.New("idle connection has ended")

// connector returns a connection to a dispatcher: FrontTier.idleConn or newConn.
type connector func(ctx context.Context, dispatcher int) (*conn, error)

// exchange sends a message on a connection and returns its answer. The error is errIdleConnEnded or nil.
func (g *Generator) exchange(ctx context.Context, request *history.Request, dispatcher int, message []byte,
	connect connector,
) (answer, error) {
	c, err := connect(ctx, dispatcher)
	if err != nil {
		if ctx.Err() != nil {
			return answer{outcome: outcomeOfEnd(ctx)}, nil
		}
		return answer{outcome: history.Unreachable}, nil
	}
	stopInterrupt := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // ends the reading and writing
	got, err := g.roundTrip(ctx, request, c, message)
	if stopInterrupt() && c.reusable {
		g.FrontTier.release(dispatcher, c)
	} else {
		c.Close()
	}
	return got, err
}

// roundTrip does what exchange does on an open connection. It sets whether the connection is reusable.
func (g *Generator) roundTrip(ctx context.Context, request *history.Request, c *conn, message []byte) (answer, error) {
	c.reusable = false
	_, err := c.Write(message)
	if err == nil {
		g.History.RequestSent(request, g.Clock())
		_, err = c.reader.Peek(1)
	}
	switch {
	case err == nil:
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return answer{outcome: outcomeOfEnd(ctx)}, nil
	case c.used:
		return answer{outcome: history.Broken}, errIdleConnEnded
	default:
		return answer{outcome: history.Broken}, nil
	}
	got, err := c.readAnswer()
	switch {
	case err == nil:
		return got, nil
	case ctx.Err() != nil:
		return answer{outcome: outcomeOfEnd(ctx)}, nil
	}
	return answer{outcome: history.Broken}, nil
}

// readAnswer reads a complete answer, and sets whether the connection is reusable.
func (c *conn) readAnswer() (answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	c.reusable = !response.Close
	return parseAnswer(response, body), nil
}

// outcomeOfEnd returns the outcome of a request whose context has ended: by its timeout, or with the experiment.
func outcomeOfEnd(ctx context.Context) history.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return history.Interrupted
	}
	return history.Unanswered
}

// maxRetryAfterSeconds bounds the Retry-After that clients respect.
const maxRetryAfterSeconds = 3600

// parseAnswer returns what a response says.
func parseAnswer(response *http.Response, body []byte) answer {
	got := answer{outcome: history.Errored, status: response.StatusCode}
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
