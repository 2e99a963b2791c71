package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// A watch brings a line every two seconds. Six seconds after the service has listed a change, dispatchers are expected
// to go by it, whether the line reached them or not: a silent watch has to be given up while there is time to poll again.
const (
	lineTimeout       = 2700 * time.Millisecond // between two lines
	overloadedAfter   = time.Second             // a 503 later than that has waited in the service's queue, and cost it an answer
	headTimeout       = 2500 * time.Millisecond // to dial and for the head of the response; the service answers 503 before
	firstLineTimeout  = 3500 * time.Millisecond // from the poll to its first line
	dialTimeoutFactor = 4                       // times the dial timeout of workers, up to headTimeout
	maxLineBytes      = 8 << 20
)

// watch polls once and applies the lines of the watch until it ends, which is always an error. opened reports whether
// the service had accepted the watch.
func (w *Watcher) watch(ctx context.Context, stop context.CancelCauseFunc) (opened bool, err error) {
	w.mu.Lock()
	w.stop = stop
	address := w.address
	w.mu.Unlock()
	dialing, cancel := context.WithTimeout(ctx, min(w.config.DialTimeout()*dialTimeoutFactor, headTimeout))
	defer cancel()
	conn, err := transport.Dial(dialing, address, transport.Discovery, w.log)
	if err != nil {
		return false, err
	}
	defer context.AfterFunc(ctx, conn.Interrupt)()
	body, err := w.open(conn)
	if err != nil {
		conn.CloseFor(openCloseReason(err), err)
		return false, err
	}
	reason, err := w.follow(ctx, conn, body)
	conn.CloseFor(reason, err)
	return true, err
}

// statusError is the error of a poll that was answered with another status than 200.
type statusError struct {
	status     int
	overloaded bool // the poll has waited in the service's queue
}

func (e *statusError) Error() string {
	if e.overloaded {
		return fmt.Sprintf("discovery: service overloaded: status %d", e.status)
	}
	return fmt.Sprintf("discovery: status %d", e.status)
}

// openCloseReason classifies an error of open.
func openCloseReason(err error) transport.CloseReason {
	var refused *statusError
	if errors.As(err, &refused) {
		return transport.UnexpectedResponse
	}
	return transport.CloseReasonOf(err)
}

// open requests a watch and returns the body that brings its lines.
func (w *Watcher) open(conn *transport.Conn) (protocol.Body, error) {
	began := time.Now()
	request := protocol.AppendGet(nil, protocol.WatchTarget(w.table.Version()))
	if err := conn.Send(headTimeout, request); err != nil {
		return protocol.Body{}, err
	}
	conn.SetReadTimeout(headTimeout)
	head, err := conn.ReadResponseHead()
	if err != nil {
		return protocol.Body{}, err
	}
	body, err := protocol.ResponseBody(&head)
	if err != nil {
		return protocol.Body{}, err
	}
	if head.Status != 200 {
		overloaded := head.Status == 503 && time.Since(began) >= overloadedAfter
		return protocol.Body{}, &statusError{head.Status, overloaded}
	}
	conn.SetReadTimeout(firstLineTimeout - time.Since(began))
	return body, nil
}

// follow applies the lines of a watch until it ends, and returns why to close its connection.
func (w *Watcher) follow(ctx context.Context, conn *transport.Conn, body protocol.Body) (transport.CloseReason, error) {
	var reader protocol.LineReader
	var malformed error
	err := conn.ReadChunks(&body, func(data []byte) bool {
		reader.Write(data)
		malformed = w.applyLines(&reader, conn)
		if len(reader.Remainder()) > maxLineBytes {
			malformed = protocol.ErrTooLarge
		}
		return malformed == nil
	})
	if line := reader.Remainder(); err != nil && malformed == nil && len(line) > 0 {
		w.applyTruncated(line)
	}
	switch {
	case errors.Is(context.Cause(ctx), errMoved):
		return transport.Stale, nil
	case ctx.Err() != nil:
		return transport.Stopping, nil
	case malformed != nil:
		return transport.Malformed, malformed
	case err == nil:
		return transport.CloseRequested, errWatchEnded
	case transport.CloseReasonOf(err) == transport.TooSlow:
		return transport.WatchTimeout, err
	}
	return transport.CloseReasonOf(err), err
}

// applyLines applies the complete lines that have come, up to the first malformed one. Only a complete line shows that
// the service is alive: single bytes may come without end.
func (w *Watcher) applyLines(reader *protocol.LineReader, conn *transport.Conn) error {
	for line, complete := reader.Next(); complete; line, complete = reader.Next() {
		conn.SetReadTimeout(lineTimeout)
		if len(line) == 0 {
			continue
		}
		if err := w.applyLine(line); err != nil {
			return err
		}
	}
	return nil
}

func (w *Watcher) applyLine(line []byte) error {
	list, err := protocol.ParseEndpointList(line)
	if err != nil {
		return err
	}
	w.Apply(list)
	return nil
}

// applyTruncated applies the workers that stand complete in a line within which the connection ended. Otherwise a
// service whose watches are cut again and again would bring a drain too late. The version stays, so that the next watch
// brings the whole list again, and no worker counts as gone.
func (w *Watcher) applyTruncated(line []byte) {
	list, _ := protocol.ParseEndpointList(line)
	w.log.Warn().Int("bytes", len(line)).Int("workers", len(list.Endpoints)).Msg("endpoint watch cut within a line")
	if len(list.Endpoints) == 0 {
		return
	}
	list.Version = w.table.Version()
	list.Complete = false
	w.Apply(list)
}
