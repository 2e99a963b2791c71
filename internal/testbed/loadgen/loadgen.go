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

// Generator plays a schedule.
type Generator struct {
	Operations []workload.Operation
	Tenants    []workload.Tenant
	Seed       uint64
	Retries    int           // by a client on its own, after what may be tried again
	RetryWait  time.Duration // before one, where the answer does not say
	MaxOpen    int           // calls open at once: what comes beyond is reported as unsent
	FrontTier  *FrontTier
	History    *history.Log
	Recorder   *metrics.Recorder
	Clock      func() time.Duration // since the experiment's start

	open atomic.Int64
}

// Run sends each arrival at its time, and returns when all calls are over. When ctx ends, what has not been
// sent is left, and what is open counts as interrupted.
func (s *Generator) Run(ctx context.Context, schedule []workload.Arrival) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n, a := range schedule {
		if wait := a.At - s.Clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		c := metrics.Call{Operation: a.Operation, Tenant: a.Tenant, Intended: a.At, Work: a.Work}
		if s.open.Add(1) > int64(s.MaxOpen) {
			s.open.Add(-1)
			c.Outcome, c.Sent, c.Ended = history.Unsent, a.At, a.At
			c.ValueOffered = s.Operations[a.Operation].Value * a.Work.Seconds()
			s.Recorder.Record(c)
			continue
		}
		calls.Go(func() {
			defer s.open.Add(-1)
			s.call(ctx, n, a, c)
		})
	}
}

// Open is how many calls are open.
func (s *Generator) Open() int { return int(s.open.Load()) }

// answer is how one try ended.
type answer struct {
	outcome    history.Outcome
	status     int
	result     string
	retryAfter time.Duration
}

// call carries one call through, with its client's retries.
func (s *Generator) call(ctx context.Context, n int, a workload.Arrival, c metrics.Call) {
	o := &s.Operations[a.Operation]
	c.Sent = s.Clock()
	for try := 0; ; try++ {
		got := s.sendRequest(ctx, n, try, a, o)
		c.Outcome, c.Tries = got.outcome, try+1
		if !mayRetry(got.outcome, o) || try >= s.Retries || !s.waitBeforeRetry(ctx, n, try, got.retryAfter) {
			break
		}
	}
	c.Ended = s.Clock()
	c.ValueOffered = o.Value * a.Work.Seconds()
	if c.Outcome == history.Succeeded {
		allowed := o.LatencyObjective.Std() + time.Duration(o.Stretch*float64(a.Work))
		if c.InTime = c.Ended-a.At <= allowed; c.InTime {
			c.ValueEarned = c.ValueOffered
		} else {
			c.ValueEarned = c.ValueOffered * o.LateShare
		}
	}
	s.Recorder.Record(c)
}

// mayRetry tells whether a client tries once more: always where it was sent away, else only where the operation
// may run again.
func mayRetry(k history.Outcome, o *workload.Operation) bool {
	switch k {
	case history.Throttled, history.Unreachable:
		return true
	case history.Errored, history.Unanswered, history.Broken:
		return o.Idempotency != workload.NonIdempotent
	}
	return false
}

// waitBeforeRetry waits before a retry as long as the answer says, or between once and twice the usual wait. The chance
// in it guards against clients that all come back at once.
func (s *Generator) waitBeforeRetry(ctx context.Context, n, try int, retryAfter time.Duration) bool {
	wait := retryAfter
	if more := unit.RandomStream(s.Seed, fmt.Sprint("retry ", n, " ", try)).Float64(); wait == 0 {
		wait = time.Duration((1 + more) * float64(s.RetryWait))
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest hands the invocation in once, under an id of its own.
func (s *Generator) sendRequest(ctx context.Context, n, try int, a workload.Arrival, o *workload.Operation) answer {
	id := RequestID(s.Seed, n, try)
	until := s.Clock() + o.Timeout.Std()
	d := s.FrontTier.choose()
	record := s.History.RequestOpened(id, a.Operation, d, until)
	if o.Idempotency == workload.IdempotentByKey {
		s.History.SetKey(record, a.Key, try > 0 || a.Retry)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout.Std())
	defer cancel()
	message := s.encodeRequest(id, a, o, try > 0)
	got, connectionClosed := s.exchange(ctx, record, d, message, false)
	if connectionClosed { // the dispatcher closed it between two messages: once more on a new one
		s.History.RequestResent(record, s.Clock())
		got, _ = s.exchange(ctx, record, d, message, true)
	}
	s.History.RequestEnded(record, got.outcome, got.status, got.result, s.Clock())
	return got
}

// RequestID is what a try is sent under.
func RequestID(seed uint64, n, try int) string {
	return fmt.Sprintf("%04x%08x%04x", uint16(seed), uint32(n), uint16(try))
}

// encodeRequest is what goes over the wire. The body tells the worker what to do.
func (s *Generator) encodeRequest(id string, a workload.Arrival, o *workload.Operation, retry bool) []byte {
	body := fmt.Appendf(nil, `{"operation":%d,"work_us":%d}`, a.Operation, a.Work.Microseconds())
	b := make([]byte, 0, 512)
	b = append(b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: "...)
	b = append(append(append(b, id...), "\r\nReq-Kind: "...), o.Name...)
	b = append(b, "\r\nReq-Deadline: "...)
	b = strconv.AppendFloat(b, o.Timeout.Std().Seconds(), 'f', 3, 64)
	if len(s.Tenants) > 0 {
		b = append(append(b, "\r\nReq-Owner: "...), s.Tenants[a.Tenant].Name...)
	}
	if a.Hint > 0 {
		b = strconv.AppendInt(append(b, "\r\nReq-Cost: "...), a.Hint.Microseconds(), 10)
	}
	if retry || a.Retry {
		b = append(b, "\r\nReq-Retry: 1"...)
	}
	if o.Idempotency == workload.IdempotentByKey {
		b = fmt.Appendf(b, "\r\nIdempotency-Key: %016x", a.Key)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// exchange sends a message and reads its answer. crossed tells of a kept connection that ended with nothing
// heard.
func (s *Generator) exchange(ctx context.Context, record *history.Request, d int, message []byte,
	fresh bool,
) (got answer, connectionClosed bool) {
	c, err := s.FrontTier.connect(ctx, d, fresh)
	if err != nil {
		if ctx.Err() != nil {
			return answer{outcome: s.outcomeOfEnd(ctx)}, false
		}
		return answer{outcome: history.Unreachable}, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	got, connectionClosed, keep := s.roundTrip(ctx, record, c, message)
	if stop() && keep {
		s.FrontTier.release(d, c)
	} else {
		c.Close()
	}
	return got, connectionClosed
}

func (s *Generator) roundTrip(ctx context.Context, record *history.Request, c *conn, message []byte) (got answer,
	connectionClosed, keep bool,
) {
	_, err := c.Write(message)
	if err == nil {
		s.History.RequestSent(record, s.Clock())
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return answer{outcome: s.outcomeOfEnd(ctx)}, false, false
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
		return answer{outcome: s.outcomeOfEnd(ctx)}, false, false
	}
	return answer{outcome: history.Broken}, false, false
}

func (s *Generator) outcomeOfEnd(ctx context.Context) history.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return history.Interrupted
	}
	return history.Unanswered
}

func parseAnswer(r *http.Response, body []byte) answer {
	got := answer{outcome: history.Errored, status: r.StatusCode}
	switch r.StatusCode {
	case http.StatusOK:
		got.outcome, got.result = history.Succeeded, string(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		got.outcome = history.Throttled
		if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil && after > 0 {
			got.retryAfter = time.Duration(min(after, 3600) * float64(time.Second))
		}
	}
	return got
}
