package discovery

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// watch polls the service once, and applies the lines of the watch until it ends. opened reports whether the service
// accepted the watch. The error is nil only where ctx ended an open watch. stop ends ctx.
func (w *Watcher) watch(ctx context.Context, stop context.CancelCauseFunc) (opened bool, err error) {
	address := w.beginWatch(stop)
	conn, err := w.dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("poll of %s: %w", address, err)
	}
	defer context.AfterFunc(ctx, conn.Interrupt)()
	body, err := w.open(conn)
	if err != nil {
		conn.CloseFor(openCloseReason(err), err)
		return false, fmt.Errorf("poll of %s: %w", address, err)
	}
	ended := w.follow(ctx, conn, body)
	conn.CloseFor(ended.closeReason, ended.err)
	if ended.err != nil {
		return true, fmt.Errorf("watch of %s: %w", address, ended.err)
	}
	return true, nil
}

// beginWatch returns the address to poll. From then on SetAddress calls stop.
func (w *Watcher) beginWatch(stop context.CancelCauseFunc) (address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = stop
	return w.address
}

// dial opens a connection to the service.
func (w *Watcher) dial(ctx context.Context, address string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, min(w.config.DialTimeout()*dialTimeoutFactor, headTimeout))
	defer cancel()
	return transport.Dial(ctx, address, transport.Discovery, w.log)
}

// open requests a watch from the version of the table on, and returns the body that brings its lines. The error is a
// statusError where the service answers with another status than 200.
func (w *Watcher) open(conn *transport.Conn) (protocol.Body, error) {
	began := time.Now()
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
		return protocol.Body{}, newStatusError(head.Status, time.Since(began))
	}
	conn.SetReadTimeout(firstLineTimeout - time.Since(began))
	return body, nil
}

// follow applies the lines of a watch until it ends.
func (w *Watcher) follow(ctx context.Context, conn *transport.Conn, body protocol.Body) endedWatch {
	var reader protocol.LineReader
	var applyErr error
	readErr := conn.ReadChunks(&body, func(data []byte) (more bool) {
		reader.Write(data)
		applyErr = w.applyLines(&reader, conn)
		if len(reader.Remainder()) > maxLineBytes {
			applyErr = protocol.ErrTooLarge
		}
		return applyErr == nil
	})
	if line := reader.Remainder(); readErr != nil && applyErr == nil && len(line) > 0 {
		w.applyTruncated(line)
	}
	return endOfWatch(ctx, readErr, applyErr)
}

// applyLines applies the complete lines that have come, up to the first malformed one. Only a complete line extends the
// read timeout: single bytes, which may come without end, don't show that the service is alive.
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

// applyLine applies a list, or a change to it. The error is protocol.ErrMalformed.
func (w *Watcher) applyLine(line []byte) error {
	list, err := protocol.ParseEndpointList(line)
	if err != nil {
		return err
	}
	w.Apply(list)
	return nil
}

// applyTruncated applies the workers that are complete in a line within which the connection ended. Otherwise a drain
// would be learned too late from a service whose watches are cut again and again. The version stays, so that the next
// watch brings the whole list again, and no worker counts as gone.
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
