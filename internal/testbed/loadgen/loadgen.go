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
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n, arrival := range schedule {
		if wait := arrival.At - g.Clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		c := metrics.Call{Operation: arrival.Operation, Tenant: arrival.Tenant, Intended: arrival.At, Work: arrival.Work}
		if g.open.Add(1) > int64(g.MaxOpen) {
			g.open.Add(-1)
			c.Outcome = history.Unsent
			c.Sent = arrival.At
			c.Ended = arrival.At
			c.ValueOffered = g.Operations[arrival.Operation].Value * arrival.Work.Seconds()
			g.Recorder.Record(c)
			continue
		}
		calls.Go(func() {
			defer g.open.Add(-1)
			g.call(ctx, n, arrival, c)
		})
	}
}

// Open returns the number of open calls.
func (g *Generator) Open() int { return int(g.open.Load()) }

// answer is how one request ended.
type answer struct {
	outcome    history.Outcome
	status     int
	result     string
	retryAfter time.Duration
}

// call sends a request and its retries, and records the call.
func (g *Generator) call(ctx context.Context, n int, arrival workload.Arrival, c metrics.Call) {
	o := &g.Operations[arrival.Operation]
	c.Sent = g.Clock()
	for try := 0; ; try++ {
		got := g.sendRequest(ctx, n, try, arrival, o)
		c.Outcome = got.outcome
		c.Tries = try + 1
		if !mayRetry(got.outcome, o) || try >= g.Retries || !g.waitBeforeRetry(ctx, n, try, got.retryAfter) {
			break
		}
	}
	c.Ended = g.Clock()
	c.ValueOffered = o.Value * arrival.Work.Seconds()
	if c.Outcome == history.Succeeded {
		allowed := o.LatencyObjective.Std() + time.Duration(o.Stretch*float64(arrival.Work))
		if c.InTime = c.Ended-arrival.At <= allowed; c.InTime {
			c.ValueEarned = c.ValueOffered
		} else {
			c.ValueEarned = c.ValueOffered * o.LateShare
		}
	}
	g.Recorder.Record(c)
}

// mayRetry reports whether a client retries: always if the request was rejected, else only if the operation may run
// again.
func mayRetry(k history.Outcome, o *workload.Operation) bool {
	switch k {
	case history.Throttled, history.Unreachable:
		return true
	case history.Errored, history.Unanswered, history.Broken:
		return o.Idempotency != workload.NonIdempotent
	}
	return false
}

// waitBeforeRetry waits for the answer's Retry-After, or for between once and twice RetryWait: the jitter keeps clients
// from retrying all at once. It reports false if ctx ends first.
func (g *Generator) waitBeforeRetry(ctx context.Context, n, try int, retryAfter time.Duration) bool {
	wait := retryAfter
	if more := unit.RandomStream(g.Seed, fmt.Sprint("retry ", n, " ", try)).Float64(); wait == 0 {
		wait = time.Duration((1 + more) * float64(g.RetryWait))
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends one request of a call, under an ID of its own.
func (g *Generator) sendRequest(ctx context.Context, n, try int, arrival workload.Arrival, o *workload.Operation) answer {
	id := RequestID(g.Seed, n, try)
	deadline := g.Clock() + o.Timeout.Std()
	dispatcher := g.FrontTier.choose()
	request := g.History.RequestOpened(id, arrival.Operation, dispatcher, deadline)
	if o.Idempotency == workload.IdempotentByKey {
		g.History.SetKey(request, arrival.Key)
	}
	if try > 0 || arrival.Retry {
		g.History.MarkRetry(request)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout.Std())
	defer cancel()
	message := g.encodeRequest(id, arrival, o, try > 0)
	got, connectionClosed := g.exchange(ctx, request, dispatcher, message, false)
	if connectionClosed { // the dispatcher closed the connection between two messages
		g.History.RequestResent(request, g.Clock())
		got, _ = g.exchange(ctx, request, dispatcher, message, true)
	}
	g.History.RequestEnded(request, got.outcome, got.status, got.result, g.Clock())
	return got
}

// RequestID returns the ID of request number try of call n.
func RequestID(seed uint64, n, try int) string {
	return fmt.Sprintf("%04x%08x%04x", uint16(seed), uint32(n), uint16(try))
}

// encodeRequest returns the request as sent. The body is a worker.Task.
func (g *Generator) encodeRequest(id string, arrival workload.Arrival, o *workload.Operation, retry bool) []byte {
	body := fmt.Appendf(nil, `{"operation":%d,"work_us":%d}`, arrival.Operation, arrival.Work.Microseconds())
	b := make([]byte, 0, 512)
	b = append(b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: "...)
	b = append(append(append(b, id...), "\r\nReq-Kind: "...), o.Name...)
	b = append(b, "\r\nReq-Deadline: "...)
	b = strconv.AppendFloat(b, o.Timeout.Std().Seconds(), 'f', 3, 64)
	if len(g.Tenants) > 0 {
		b = append(append(b, "\r\nReq-Owner: "...), g.Tenants[arrival.Tenant].Name...)
	}
	if arrival.Hint > 0 {
		b = strconv.AppendInt(append(b, "\r\nReq-Cost: "...), arrival.Hint.Microseconds(), 10)
	}
	if retry || arrival.Retry {
		b = append(b, "\r\nReq-Retry: 1"...)
	}
	if o.Idempotency == workload.IdempotentByKey {
		b = fmt.Appendf(b, "\r\nIdempotency-Key: %016x", arrival.Key)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// exchange sends a message and reads its answer. connectionClosed reports that a reused connection ended before any
// answer.
func (g *Generator) exchange(ctx context.Context, request *history.Request, dispatcher int, message []byte,
	newConn bool,
) (got answer, connectionClosed bool) {
	c, err := g.FrontTier.connect(ctx, dispatcher, newConn)
	if err != nil {
		if ctx.Err() != nil {
			return answer{outcome: g.outcomeOfEnd(ctx)}, false
		}
		return answer{outcome: history.Unreachable}, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	got, connectionClosed, keep := g.roundTrip(ctx, request, c, message)
	if stop() && keep {
		g.FrontTier.release(dispatcher, c)
	} else {
		c.Close()
	}
	return got, connectionClosed
}

func (g *Generator) roundTrip(ctx context.Context, request *history.Request, c *conn, message []byte) (got answer,
	connectionClosed, keep bool,
) {
	_, err := c.Write(message)
	if err == nil {
		g.History.RequestSent(request, g.Clock())
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return answer{outcome: g.outcomeOfEnd(ctx)}, false, false
		}
		return answer{outcome: history.Broken}, c.used, false
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		defer r.Body.Close()
		var body []byte
		if body, err = io.ReadAll(r.Body); err == nil {
			return parseAnswer(r, body), false, !r.Close
		}
	}
	if ctx.Err() != nil {
		return answer{outcome: g.outcomeOfEnd(ctx)}, false, false
	}
	return answer{outcome: history.Broken}, false, false
}

func (g *Generator) outcomeOfEnd(ctx context.Context) history.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return history.Interrupted
	}
	return history.Unanswered
}

func parseAnswer(r *http.Response, body []byte) answer {
	got := answer{outcome: history.Errored, status: r.StatusCode}
	switch r.StatusCode {
	case http.StatusOK:
		got.outcome = history.Succeeded
		got.result = string(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		got.outcome = history.Throttled
		if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil && after > 0 {
			got.retryAfter = time.Duration(min(after, 3600) * float64(time.Second))
		}
	}
	return got
}
