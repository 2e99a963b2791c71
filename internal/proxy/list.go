package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// A watch brings a line every two seconds. Told or not, what the list service has to tell counts as told six
// seconds later, so a silent watch is given up while there is time to ask again.
const (
	silentAfter = 2700 * time.Millisecond
	busyAfter   = time.Second             // a call turned away later than that has waited in turn: it cost an answer
	slowAfter   = 700 * time.Millisecond  // a first call that is not answered then
	callWithin  = 2500 * time.Millisecond // for the head of a watch: the service answers 503 before
	firstWithin = 3500 * time.Millisecond // for its first line, from the call too
	mostList    = 8 << 20                 // one line
)

// place is where the list service is, and what ends the watch there.
type place struct {
	mu      sync.Mutex
	address string
	leave   context.CancelCauseFunc // nil while there is no watch
}

// errBusy is the end of a call that the list service turned away after it had waited.
var errBusy = errors.New("list: the service has too many callers")

// errMoved is the cause of the end of a watch on a list service that has moved.
var errMoved = errors.New("list: the service has moved")

// SetDiscoveryAddress watches the list at another address from now on, and at once. What is known of workers stays.
func (r *Proxy) SetDiscoveryAddress(address string) {
	r.place.mu.Lock()
	defer r.place.mu.Unlock()
	moved := r.place.address != address
	r.place.address = address
	switch {
	case !moved:
	case r.place.leave != nil:
		r.place.leave(errMoved)
	default:
		r.facade.ReportDiscoveryMoved()
	}
}

// follow watches the list whenever the decisions ask for it, and reports when a watch has ended.
func (r *Proxy) follow(ctx context.Context) error {
	for {
		if err := r.facade.AwaitPoll(ctx); err != nil {
			return nil
		}
		watching, leave := context.WithCancelCause(ctx)
		// A service that is down or has too many callers answers the first call late or never: a process that
		// has a list from before must not stand idle for as long.
		slow := time.AfterFunc(slowAfter, func() {
			if !r.settled.Load() && r.fleet.serves() {
				r.facade.ReportFirstPollSlow()
				r.settled.Store(true)
			}
		})
		answered, err := r.watch(watching, leave)
		slow.Stop()
		moved := r.watchEnded(watching, listEnd(answered, err))
		leave(nil)
		switch {
		case ctx.Err() != nil:
			return nil
		case moved:
			r.log.Info().Msg("list watch moves")
			continue
		}
		r.counts.WatchesLost.Add(1)
		r.log.Warn().Err(err).Msg("list watch lost")
		r.settled.Store(true)
		if r.terms.Recovery != nil {
			r.terms.Recovery.EndpointsUnavailable()
		}
	}
}

// listEnd tells the decisions' sorts of ends apart.
func listEnd(answered bool, err error) balancer.WatchEnd {
	switch {
	case errors.Is(err, errBusy):
		return balancer.WatchRejected
	case !answered:
		return balancer.WatchFailed
	case transport.CloseReasonOf(err) == transport.TooSlow:
		return balancer.WatchSilent
	}
	return balancer.WatchCut
}

// watchEnded reports the end of a watch, in one step with the look whether the service has moved. It guards
// against a move that comes as a watch is lost, and whose call would wait for as long as one to the old
// place.
func (r *Proxy) watchEnded(watching context.Context, how balancer.WatchEnd) (moved bool) {
	r.place.mu.Lock()
	defer r.place.mu.Unlock()
	r.place.leave = nil
	if r.beforeLost != nil {
		r.beforeLost()
	}
	if moved = errors.Is(context.Cause(watching), errMoved); moved {
		r.facade.ReportDiscoveryMoved()
	} else {
		r.facade.ReportWatchEnded(how)
	}
	return moved
}

// watch makes one call and takes its lines until it ends, with an error always. answered tells whether a
// watch had begun.
func (r *Proxy) watch(ctx context.Context, leave context.CancelCauseFunc) (answered bool, err error) {
	r.place.mu.Lock()
	r.place.leave = leave
	address := r.place.address
	r.place.mu.Unlock()
	dialing, cancel := context.WithTimeout(ctx, min(r.now.Load().dialWithin*4, callWithin))
	defer cancel()
	conn, err := transport.Dial(dialing, address, transport.Discovery, r.log)
	if err != nil {
		return false, err
	}
	defer context.AfterFunc(ctx, conn.Interrupt)()
	body, why, err := r.begin(conn)
	if answered = err == nil; answered {
		why, err = r.lines(ctx, conn, body)
	}
	conn.CloseFor(why, err)
	return answered, err
}

// begin asks for a watch; its lines are in the body.
func (r *Proxy) begin(conn *transport.Conn) (body protocol.Body, why transport.CloseReason, err error) {
	began := time.Now()
	ask := protocol.AppendGet(nil, protocol.WatchTarget(r.fleet.listVersion()))
	if err := conn.Send(callWithin, ask); err != nil {
		return body, transport.CloseReasonOf(err), err
	}
	conn.SetTimeout(callWithin)
	head, err := conn.ReadResponseHead()
	if err != nil {
		return body, transport.CloseReasonOf(err), err
	}
	if body, err = protocol.ResponseBody(&head); err != nil {
		return body, transport.Malformed, err
	}
	switch {
	case head.Status == 503 && time.Since(began) >= busyAfter:
		return body, transport.UnexpectedResponse, fmt.Errorf("%w: status %d", errBusy, head.Status)
	case head.Status != 200:
		return body, transport.UnexpectedResponse, fmt.Errorf("list: status %d", head.Status)
	}
	conn.SetTimeout(firstWithin - time.Since(began))
	return body, "", nil
}

func (r *Proxy) lines(ctx context.Context, conn *transport.Conn, body protocol.Body) (transport.CloseReason,
	error,
) {
	var in protocol.LineReader
	var broken error
	err := conn.ReadChunks(&body, func(data []byte) bool {
		in.Write(data)
		for line, whole := in.Next(); whole && broken == nil; line, whole = in.Next() {
			conn.SetTimeout(silentAfter) // by a whole line alone: bytes may dribble for ever
			if len(line) > 0 {
				broken = r.takeList(line)
			}
		}
		if len(in.Remainder()) > mostList {
			broken = protocol.ErrTooLarge
		}
		return broken == nil
	})
	if line := in.Remainder(); err != nil && broken == nil && len(line) > 0 {
		r.takeCut(line)
	}
	switch {
	case errors.Is(context.Cause(ctx), errMoved):
		return transport.StaleRetired, nil
	case ctx.Err() != nil:
		return transport.Stopping, nil
	case broken != nil:
		return transport.Malformed, broken
	case err == nil:
		return transport.CloseRequested, errors.New("list: the watch has ended")
	case transport.CloseReasonOf(err) == transport.TooSlow:
		return transport.WatchSilent, err
	}
	return transport.CloseReasonOf(err), err
}

// takeCut takes the workers that a line tells of before the connection ended within it. It guards against a
// service whose watches are cut again and again: what it has to tell counts as told, and a drain would be
// seen too late. The version stays, so that the next watch tells all of it again, and nothing is taken for
// gone.
func (r *Proxy) takeCut(line []byte) {
	l, _ := protocol.ParseEndpointList(line)
	r.log.Warn().Int("bytes", len(line)).Int("workers", len(l.Endpoints)).Msg("list watch cut within a line")
	if len(l.Endpoints) > 0 {
		l.Version, l.Complete = r.fleet.listVersion(), false
		r.told(l)
	}
}

func (r *Proxy) takeList(line []byte) error {
	l, err := protocol.ParseEndpointList(line)
	if err != nil {
		return err
	}
	r.told(l)
	return nil
}

func (r *Proxy) told(l protocol.EndpointList) {
	r.counts.Lists.Add(1)
	entries, old := r.fleet.take(&l)
	extent := balancer.ChangedEndpoints
	if l.Complete {
		extent = balancer.AllEndpoints
	}
	// First, as the decisions at once send to those that are listed anew: not on what led to the process
	// before.
	for _, o := range old {
		if r.pool.CloseIdle(o.address); !o.born.IsZero() {
			r.pool.CloseOpenedBefore(o.address, o.born)
		}
	}
	if r.beforeListed != nil {
		r.beforeListed()
	}
	r.facade.UpdateEndpoints(entries, extent, balancer.FromDiscovery)
	r.settled.Store(true)
	if r.terms.Recovery != nil {
		r.terms.Recovery.EndpointsReceived()
	}
}

// probes asks workers for their load reports where the decisions want them.
func (r *Proxy) probes(ctx context.Context) error {
	for {
		w, err := r.facade.NextProbe(ctx)
		if err != nil {
			return nil
		}
		r.forwards.Go(func() error {
			r.probe(ctx, w)
			return nil
		})
	}
}

func (r *Proxy) probe(ctx context.Context, w balancer.WorkerID) {
	ctx, cancel := context.WithTimeout(ctx, r.now.Load().dialWithin)
	defer cancel()
	conn, err := r.pool.Get(ctx, r.fleet.address(w), transport.AnyConnection)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	values, closes, err := r.loadReport(conn)
	switch {
	case !stop():
		conn.CloseFor(transport.AttemptCanceled, err)
	case err != nil:
		conn.CloseFor(transport.CloseReasonOf(err), err)
	case closes:
		conn.CloseFor(transport.CloseRequested, nil)
	default:
		r.pool.Put(conn)
	}
	if r.counts.Probes.Add(1); err == nil {
		r.facade.ReceiveLoadReport(w, values)
	}
}

func (r *Proxy) loadReport(conn *transport.Conn) (values []float64, closes bool, err error) {
	if err := conn.Send(r.now.Load().dialWithin, protocol.AppendGet(nil, protocol.PathLoad)); err != nil {
		return nil, false, err
	}
	head, err := conn.ReadResponseHead()
	if err != nil {
		return nil, false, err
	}
	frame, err := protocol.ResponseBody(&head)
	if err != nil {
		return nil, false, err
	}
	body, err := conn.ReadBody(frame, protocol.MaxBodyBytes)
	if err != nil || head.Status != 200 {
		return nil, true, err
	}
	values, err = protocol.ParseLoad(body, r.terms.Report)
	return values, head.CloseRequested() || frame.EndsWithConnection(), err
}
