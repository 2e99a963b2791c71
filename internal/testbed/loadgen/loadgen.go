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

// Sender plays a schedule.
type Sender struct {
	Operations []workload.Operation
	Customers  []workload.Customer
	Seed       uint64
	Retries    int           // by a client on its own, after what may be tried again
	Wait       time.Duration // before one, where the answer does not say
	MostOpen   int           // calls open at once: what comes beyond is reported as unsent
	Front      *Front
	Ledger     *history.Ledger
	Recorder   *metrics.Recorder
	Clock      func() time.Duration // since the experiment's start

	open atomic.Int64
}

// Run sends each arrival at its time, and returns when all calls are over. When ctx ends, what has not been
// sent is left, and what is open counts as interrupted.
func (s *Sender) Run(ctx context.Context, schedule []workload.Arrival) {
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
		c := metrics.Call{Operation: a.Operation, Customer: a.Customer, Intended: a.At, Work: a.Work}
		if s.open.Add(1) > int64(s.MostOpen) {
			s.open.Add(-1)
			c.Kind, c.Sent, c.Ended = history.Unsent, a.At, a.At
			c.Asked = s.Operations[a.Operation].Value * a.Work.Seconds()
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
func (s *Sender) Open() int { return int(s.open.Load()) }

// answer is how one try ended.
type answer struct {
	kind     history.Kind
	status   int
	result   string
	comeBack time.Duration
}

// call carries one call through, with its client's retries.
func (s *Sender) call(ctx context.Context, n int, a workload.Arrival, c metrics.Call) {
	o := &s.Operations[a.Operation]
	c.Sent = s.Clock()
	for try := 0; ; try++ {
		got := s.try(ctx, n, try, a, o)
		c.Kind, c.Tries = got.kind, try+1
		if !again(got.kind, o) || try >= s.Retries || !s.pause(ctx, n, try, got.comeBack) {
			break
		}
	}
	c.Ended = s.Clock()
	c.Asked = o.Value * a.Work.Seconds()
	if c.Kind == history.Succeeded {
		allowed := o.Objective.D() + time.Duration(o.Stretch*float64(a.Work))
		if c.InTime = c.Ended-a.At <= allowed; c.InTime {
			c.Earned = c.Asked
		} else {
			c.Earned = c.Asked * o.Tardy
		}
	}
	s.Recorder.Record(c)
}

// again tells whether a client tries once more: always where it was sent away, else only where the operation
// may run again.
func again(k history.Kind, o *workload.Operation) bool {
	switch k {
	case history.Throttled, history.Unreachable:
		return true
	case history.Errored, history.Unanswered, history.Broken:
		return o.Repeat != workload.NonIdempotent
	}
	return false
}

// pause waits before a retry as long as the answer says, or between once and twice the usual wait. The chance
// in it guards against clients that all come back at once.
func (s *Sender) pause(ctx context.Context, n, try int, comeBack time.Duration) bool {
	wait := comeBack
	if more := unit.Chance(s.Seed, fmt.Sprint("retry ", n, " ", try)).Float64(); wait == 0 {
		wait = time.Duration((1 + more) * float64(s.Wait))
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// try hands the invocation in once, under an id of its own.
func (s *Sender) try(ctx context.Context, n, try int, a workload.Arrival, o *workload.Operation) answer {
	id := ID(s.Seed, n, try)
	until := s.Clock() + o.Timeout.D()
	d := s.Front.choose()
	record := s.Ledger.Tried(id, a.Operation, d, until)
	if o.Repeat == workload.Deduplicated {
		s.Ledger.Keyed(record, a.Key, try > 0 || a.Retry)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout.D())
	defer cancel()
	message := s.message(id, a, o, try > 0)
	got, crossed := s.exchange(ctx, record, d, message, false)
	if crossed { // the dispatcher closed it between two messages: once more on a new one
		s.Ledger.Moved(record, s.Clock())
		got, _ = s.exchange(ctx, record, d, message, true)
	}
	s.Ledger.Ended(record, got.kind, got.status, got.result, s.Clock())
	return got
}

// ID is what a try is sent under.
func ID(seed uint64, n, try int) string {
	return fmt.Sprintf("%04x%08x%04x", uint16(seed), uint32(n), uint16(try))
}

// message is what goes over the wire. The body tells the worker what to do.
func (s *Sender) message(id string, a workload.Arrival, o *workload.Operation, retry bool) []byte {
	body := fmt.Appendf(nil, `{"operation":%d,"work_us":%d}`, a.Operation, a.Work.Microseconds())
	b := make([]byte, 0, 512)
	b = append(b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: "...)
	b = append(append(append(b, id...), "\r\nReq-Kind: "...), o.Name...)
	b = append(b, "\r\nReq-Deadline: "...)
	b = strconv.AppendFloat(b, o.Timeout.D().Seconds(), 'f', 3, 64)
	if len(s.Customers) > 0 {
		b = append(append(b, "\r\nReq-Owner: "...), s.Customers[a.Customer].Name...)
	}
	if a.Hint > 0 {
		b = strconv.AppendInt(append(b, "\r\nReq-Cost: "...), a.Hint.Microseconds(), 10)
	}
	if retry || a.Retry {
		b = append(b, "\r\nReq-Retry: 1"...)
	}
	if o.Repeat == workload.Deduplicated {
		b = fmt.Appendf(b, "\r\nIdempotency-Key: %016x", a.Key)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// exchange sends a message and reads its answer. crossed tells of a kept connection that ended with nothing
// heard.
func (s *Sender) exchange(ctx context.Context, record *history.Try, d int, message []byte,
	fresh bool,
) (got answer, crossed bool) {
	c, err := s.Front.get(ctx, d, fresh)
	if err != nil {
		if ctx.Err() != nil {
			return answer{kind: s.gaveUp(ctx)}, false
		}
		return answer{kind: history.Unreachable}, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	got, crossed, keep := s.talk(ctx, record, c, message)
	if stop() && keep {
		s.Front.put(d, c)
	} else {
		c.Close()
	}
	return got, crossed
}

func (s *Sender) talk(ctx context.Context, record *history.Try, c *conn, message []byte) (got answer,
	crossed, keep bool,
) {
	_, err := c.Write(message)
	if err == nil {
		s.Ledger.Sent(record, s.Clock())
		_, err = c.in.Peek(1)
	}
	if err != nil {
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return answer{kind: s.gaveUp(ctx)}, false, false
		}
		return answer{kind: history.Broken}, c.used, false
	}
	r, err := http.ReadResponse(c.in, nil)
	if err == nil {
		defer r.Body.Close()
		var body []byte
		if body, err = io.ReadAll(r.Body); err == nil {
			return read(r, body), false, !r.Close
		}
	}
	if ctx.Err() != nil {
		return answer{kind: s.gaveUp(ctx)}, false, false
	}
	return answer{kind: history.Broken}, false, false
}

func (s *Sender) gaveUp(ctx context.Context) history.Kind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return history.Interrupted
	}
	return history.Unanswered
}

func read(r *http.Response, body []byte) answer {
	got := answer{kind: history.Errored, status: r.StatusCode}
	switch r.StatusCode {
	case http.StatusOK:
		got.kind, got.result = history.Succeeded, string(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		got.kind = history.Throttled
		if after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil && after > 0 {
			got.comeBack = time.Duration(min(after, 3600) * float64(time.Second))
		}
	}
	return got
}
