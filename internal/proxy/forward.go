package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// endWithin bounds the wait for an answer's end after its last line has come.
const endWithin = 250 * time.Millisecond

// forward sends the invocation to one worker and reports what comes of it, once.
func (r *Proxy) forward(c *carrying, choice balancer.Decision, result chan<- string) {
	f := r.passage(c, choice)
	r.finish(c, choice, f, result, func() (balancer.Outcome, string, func()) { return f.run(choice.Worker) })
}

func (r *Proxy) passage(c *carrying, choice balancer.Decision) *passage {
	return &passage{
		r: r, ctx: choice.Ctx, inv: c.inv, now: c.now, until: c.until, sendBy: choice.SendBy,
		need:    needs[choice.Idempotency],
		started: func() { c.ticket.ReportStarted(choice.Attempt) }, withdraw: c.ticket.RejectOrFail,
		taken:  func() { c.ticket.ReportDelivered(choice.Attempt) },
		sent:   func() { c.ticket.ReportSent(choice.Attempt) },
		parked: make(chan struct{}, 1), verdict: make(chan bool, 1), gone: make(chan struct{}),
	}
}

// finish runs a forward and reports what comes of it.
func (r *Proxy) finish(c *carrying, choice balancer.Decision, f *passage, result chan<- string,
	run func() (balancer.Outcome, string, func()),
) {
	c.add(choice.Attempt, f)
	how, text, finish := run()
	c.drop(choice.Attempt)
	if f.handed { // another process reports
		finish()
		return
	}
	r.counts.outcome(how)
	if c.ticket.Report(choice.Attempt, how) {
		result <- text
	}
	if finish != nil {
		finish()
	}
}

// passage is one forward on its way.
type passage struct {
	r        *Proxy
	ctx      context.Context
	inv      *protocol.Request
	now      *settings
	until    time.Time
	sendBy   time.Time // its retry window closes then, zero where it has none
	need     transport.Freshness
	used     bool   // its connection had been used before
	taken    func() // its worker has it
	started  func()
	sent     func()
	withdraw func() // gives the invocation up
	handed   bool   // another process goes on with it

	mu      sync.Mutex
	conn    *transport.Conn // while it waits for its worker
	asked   bool            // it is to stop reading
	parked  chan struct{}   // it has
	verdict chan bool       // whether another process reads on
	gone    chan struct{}   // closed when it waits no more
}

// run returns the outcome, the result of a succeeded forward, and what is left to do for the connection after
// the outcome has been reported.
func (f *passage) run(tgt balancer.WorkerID) (how balancer.Outcome, result string, finish func()) {
	conn, err := f.connect(tgt)
	if err != nil {
		if f.ctx.Err() != nil || f.tooLate() {
			return balancer.NotSent, "", nil
		}
		if errors.Is(err, transport.ErrPoolExhausted) { // that says nothing of the worker
			f.r.log.Warn().Msg("no connection left in the budget")
			return balancer.NotSent, "", nil
		}
		f.r.log.Info().Str("side", "worker").Str("addr", f.r.fleet.address(tgt)).Str("reason", "not_up").
			Err(err).Msg("connection never came up")
		if errors.Is(err, syscall.ECONNREFUSED) {
			return balancer.ConnectionRefused, "", nil
		}
		return balancer.NoConnection, "", nil
	}
	if f.ctx.Err() != nil {
		f.r.pool.Put(conn)
		return balancer.NotSent, "", nil
	}
	if err := f.r.keep(f.ctx, f.now, f.inv, tgt); err != nil { // after a loss of power nobody would know where it went
		f.r.pool.Put(conn)
		f.r.log.Warn().Err(err).Msg("not sent: where it goes cannot be kept")
		f.withdraw()
		return balancer.NotSent, "", nil
	}
	if f.r.beforeSent != nil {
		f.r.beforeSent()
	}
	stop := context.AfterFunc(f.ctx, conn.Interrupt)
	// What came while the connection came up, or a disk was slow, holds: the client's leaving, the end of the
	// retry window, a drain, another process at the address. It is no word on the worker.
	if f.ctx.Err() != nil || f.tooLate() || !f.r.fleet.takes(tgt, conn.Addr()) {
		if !stop() { // it is interrupted, or will be just now: it must not be kept
			conn.Interrupt()
		}
		f.r.pool.Put(conn)
		return balancer.NotSent, "", nil
	}
	f.used = conn.Reused()
	if err := f.send(conn, protocol.AppendWorkerRequest(nil, f.inv, time.Until(f.until))); err != nil {
		stop()
		return f.unsent(conn, err)
	}
	f.sent()
	f.r.counts.Sent.Add(1)
	return f.await(conn, stop)
}

// needs is how sure a forward's connection has to be: what may not run again anywhere needs the surest, and
// what may in its group alone must not take another answer for its own.
var needs = map[balancer.Idempotency]transport.Freshness{
	balancer.Idempotent:      transport.AnyConnection,
	balancer.IdempotentByKey: transport.Settled, balancer.NonIdempotent: transport.VerifiedOnly,
}

// send sends the message. With an error it never ran: its last byte was not written.
func (f *passage) send(conn *transport.Conn, message []byte) error {
	if f.used && f.need != transport.AnyConnection {
		return conn.SendOnReused(f.now.dialWithin, message)
	}
	return conn.Send(f.now.dialWithin, message)
}

// tooLate tells whether its retry window has closed: sent now, its worker might run it a second time.
func (f *passage) tooLate() bool { return !f.sendBy.IsZero() && !time.Now().Before(f.sendBy) }

// resume goes on with a forward that another process had sent.
func (f *passage) resume(conn *transport.Conn) (how balancer.Outcome, result string, finish func()) {
	return f.await(conn, context.AfterFunc(f.ctx, conn.Interrupt))
}

// await waits for the worker's answer. stop ends the watch for the forward's own end.
func (f *passage) await(conn *transport.Conn, stop func() bool) (balancer.Outcome, string, func()) {
	if f.r.terms.MigratesRequests {
		conn.StartRecording()
	}
	how, result, body, handed, err := f.hear(conn)
	interrupted := !stop()
	conn.StopRecording()
	if f.handed = handed; handed {
		return 0, "", func() { conn.CloseFor(transport.Migrated, nil) }
	}
	return how, result, func() {
		if err == nil {
			// The answer's last chunk may still be on its way: without it the connection cannot be used
			// again.
			conn.SetTimeout(endWithin)
			err = conn.ReadChunks(&body, func([]byte) bool { return true })
		}
		switch {
		case err != nil:
			conn.CloseFor(f.reason(err, interrupted), err)
		case interrupted:
			conn.CloseFor(transport.AttemptCanceled, nil)
		default:
			f.r.pool.Put(conn)
		}
	}
}

// connect gets a connection within the time in which one comes up or never does, and within the retry window.
func (f *passage) connect(tgt balancer.WorkerID) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(f.ctx, f.now.dialWithin)
	defer cancel()
	if !f.sendBy.IsZero() {
		var closed context.CancelFunc
		ctx, closed = context.WithDeadline(ctx, f.sendBy)
		defer closed()
	}
	return f.r.pool.Get(ctx, f.r.fleet.address(tgt), f.need)
}

func (f *passage) unsent(conn *transport.Conn, err error) (balancer.Outcome, string, func()) {
	conn.CloseFor(f.reason(err, f.ctx.Err() != nil), err)
	if f.ctx.Err() != nil {
		return balancer.NotSent, "", nil
	}
	if conn.Reused() { // its end says nothing of the worker now
		f.r.pool.MarkSuspect(conn.Addr())
		return balancer.NotSent, "", nil
	}
	return balancer.NoConnection, "", nil
}

// reason tells why a connection ends with an error.
func (f *passage) reason(err error, interrupted bool) transport.CloseReason {
	switch {
	case interrupted:
		return transport.AttemptCanceled
	case errors.Is(err, errBroken):
		return transport.Malformed
	case errors.Is(err, errAsked):
		return transport.CloseRequested
	case errors.Is(err, errEarly):
		return transport.PeerAborted
	}
	return transport.CloseReasonOf(err)
}

var (
	errBroken = errors.New("broken answer")
	errEarly  = errors.New("answer ends without a last line")
	errAsked  = errors.New("the worker ends the connection")
)

// lost is the outcome of a forward that was sent and whose connection brings nothing more.
func (f *passage) lost(err error) balancer.Outcome {
	switch {
	case errors.Is(context.Cause(f.ctx), balancer.ErrAttemptCanceled):
		return balancer.Canceled
	case f.ctx.Err() != nil:
		return balancer.TimedOut
	case errors.Is(err, protocol.ErrMalformed), errors.Is(err, protocol.ErrTooLarge),
		errors.Is(err, protocol.ErrHeadTooLarge), errors.Is(err, errBroken):
		return balancer.WorkerError
	}
	return balancer.ConnectionReset
}

// read takes the worker's answer up to the line that ends the forward. A connection that was used before and
// ends with no answer at all may have ended before the forward was on it. With an error the connection is of
// no more use; without one the rest of body is still to come.
func (f *passage) read(conn *transport.Conn, used bool) (how balancer.Outcome, result string,
	body protocol.Body, err error,
) {
	head, err := conn.ReadResponseHead()
	if err != nil {
		if how = f.lost(err); how == balancer.ConnectionReset && used && conn.NothingReceived() {
			f.r.pool.MarkSuspect(conn.Addr())
			how = balancer.ConnectionStale
		}
		return how, "", body, err
	}
	if body, err = protocol.ResponseBody(&head); err != nil {
		return f.lost(err), "", body, err
	}
	if head.Status != 200 {
		how = balancer.WorkerError
		if protocol.Declined(&head) {
			how = balancer.Overloaded
		}
		if head.CloseRequested() || body.EndsWithConnection() {
			return how, "", body, errAsked
		}
		return how, "", body, nil
	}
	f.taken()
	var pending []byte
	broken := error(nil)
	err = conn.ReadChunks(&body, func(data []byte) bool {
		pending = append(pending, data...)
		for how == 0 && broken == nil {
			line, rest, whole := bytes.Cut(pending, []byte("\n"))
			if !whole {
				break
			}
			how, result, broken = f.line(bytes.TrimSpace(line))
			pending = rest
		}
		if len(pending) > protocol.MaxLineBytes {
			broken = fmt.Errorf("%w: line too long", errBroken)
		}
		return how == 0 && broken == nil
	})
	if last := bytes.TrimSpace(pending); err == nil && how == 0 && broken == nil && len(last) > 0 {
		how, result, broken = f.line(last)
	}
	switch {
	case broken != nil:
		return balancer.WorkerError, "", body, broken
	case how != 0 && head.CloseRequested():
		return how, result, body, errAsked
	case how != 0:
		return how, result, body, nil
	case err == nil:
		err = errEarly
	}
	return f.lost(err), "", body, err
}

// line takes one line of the worker's. The outcome is 0 while the forward goes on.
func (f *passage) line(b []byte) (how balancer.Outcome, result string, err error) {
	if len(b) == 0 {
		return 0, "", nil
	}
	l, err := protocol.ParseLine(b)
	if err != nil {
		return 0, "", fmt.Errorf("%w: %w", errBroken, err)
	}
	if l.ID != f.inv.ID { // what was made for another must not reach this client
		return 0, "", fmt.Errorf("%w: a line for %.40q", errBroken, l.ID)
	}
	switch l.State {
	case protocol.Started:
		f.started()
	case protocol.Done:
		return balancer.Succeeded, l.Result, nil
	case protocol.Failed:
		return balancer.WorkerError, "", nil
	case protocol.ReturnedUnstarted:
		return balancer.Overloaded, "", nil
	case protocol.Lost:
		return balancer.ConnectionReset, "", nil
	}
	return 0, "", nil
}
