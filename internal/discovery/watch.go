package discovery

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// watch opens a watch with one poll of the service and applies its lines until the watch ends. opened reports whether
// the service accepted the watch. The error is nil only if an open watch ended because ctx was canceled. cancel is the
// cancel function of ctx.
func (w *Watcher) watch(ctx context.Context, cancel context.CancelCauseFunc) (opened bool, err error) {
	address := w.beginWatch(cancel)
	conn, err := w.dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("poll of %s: %w", address, err)
	}
	defer context.AfterFunc(ctx, conn.Interrupt)()
	body, err := w.openWatch(conn)
	if err != nil {
		conn.CloseFor(closeReasonForOpenError(err), err)
		return false, fmt.Errorf("poll of %s: %w", address, err)
	}
	end := w.readWatch(ctx, conn, body)
	conn.CloseFor(end.closeReason, end.err)
	if end.err != nil {
		return true, fmt.Errorf("watch of %s: %w", address, end.err)
	}
	return true, nil
}

// beginWatch stores cancelWatch, for SetAddress to call, and returns the address to poll.
func (w *Watcher) beginWatch(cancelWatch context.CancelCauseFunc) (address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = cancelWatch
	return w.address
}

// dial opens a connection to the discovery service.
func (w *Watcher) dial(ctx context.Context, address string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, min(w.config.DialTimeout()*dialTimeoutFactor, headTimeout))
	defer cancel()
	return transport.Dial(ctx, address, transport.Discovery, w.log)
}

// openWatch requests a watch of the changes since the table's version, and returns the response body, which carries the
// lines of the watch. The error is a *statusError if the response has a status other than 200.
func (w *Watcher) openWatch(conn *transport.Conn) (protocol.Body, error) {
	startedAt := time.Now()
	poll := protocol.AppendGet(nil, protocol.WatchTarget(w.table.Version()))
	if err := conn.Send(headTimeout, poll); err != nil {
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
	if head.Status != http.StatusOK {
		return protocol.Body{}, newStatusError(head.Status, time.Since(startedAt))
	}
	conn.SetReadTimeout(firstLineTimeout - time.Since(startedAt))
	return body, nil
}

// readWatch reads an open watch and applies its lines until it ends.
func (w *Watcher) readWatch(ctx context.Context, conn *transport.Conn, body protocol.Body) watchOutcome {
	var reader protocol.LineReader
	var applyErr error
	readErr := conn.ReadPieces(&body, func(data []byte) (more bool) {
		reader.Write(data)
		applyErr = w.applyLines(&reader, conn)
		if len(reader.Remainder()) > maxLineBytes {
			applyErr = protocol.ErrTooLarge
		}
		return applyErr == nil
	})
	if line := reader.Remainder(); readErr != nil && applyErr == nil && len(line) > 0 {
		w.applyTruncatedLine(line)
	}
	return newWatchOutcome(ctx, readErr, applyErr)
}

// applyLines applies the complete lines received so far and stops at the first malformed one. Only a complete line
// extends the read timeout: bytes that never complete a line do not show that the service is alive.
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

// applyLine applies a line, which is a complete list or a list of changes. The error is protocol.ErrMalformed.
func (w *Watcher) applyLine(line []byte) error {
	list, err := protocol.ParseEndpointList(line)
	if err != nil {
		return err
	}
	w.Apply(list)
	return nil
}

// applyTruncatedLine applies the complete worker entries of a line that was cut off by a read error, such as a closed
// connection or a timeout. Otherwise a drain would be applied too late if the watches of a service are cut off
// repeatedly. The version of the table is unchanged, so that the next watch starts with the complete list again, and no
// missing worker is marked as gone.
func (w *Watcher) applyTruncatedLine(line []byte) {
	list, _ := protocol.ParseEndpointList(line)
	w.log.Warn().Int("bytes", len(line)).Int("workers", len(list.Endpoints)).Msg("endpoint watch cut within a line")
	if len(list.Endpoints) == 0 {
		return
	}
	list.Version = w.table.Version()
	list.Complete = false
	w.Apply(list)
}
