package worker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"canvasroute/internal/testbed/history"
)

// Task is the body of a request in the testbed: the work that it stands for.
type Task struct {
	Operation int   `json:"operation"`
	WorkUs    int64 `json:"work_us"`
}

// maxTaskBytes bounds the body of a request.
const maxTaskBytes = 64 << 10

// exchange is an accepted attempt. Its lines are written to the connection that it came on.
type exchange struct {
	lines   chan line
	attempt *history.Attempt
	muted   bool // nothing more is reported; guarded by the server's lock
}

type line struct {
	state, result string
	last          bool
}

// dispatcherConn is a connection of a dispatcher. While an attempt runs, a goroutine waits for what comes next: the end
// of the connection, by which a dispatcher cancels the attempt, or the next message.
type dispatcherConn struct {
	net.Conn
	reader         *bufio.Reader
	next           chan error // result of the goroutine that waits; nil if there is none
	messageStarted bool       // the first byte of the next message is there
}

func (w *dispatcherConn) watch() {
	if w.next == nil {
		w.next = make(chan error, 1)
		go func() {
			_, err := w.reader.Peek(1)
			w.next <- err
		}()
	}
}

// awaitMessage waits for the first byte of the next message.
func (w *dispatcherConn) awaitMessage() (err error) {
	switch {
	case w.messageStarted:
	case w.next != nil:
		err = <-w.next
	default:
		_, err = w.reader.Peek(1)
	}
	w.next = nil
	w.messageStarted = false
	return err
}

// serveConn serves the attempts on one connection until it ends.
func (s *Server) serveConn(c net.Conn, dispatcher int, process *incarnation) {
	defer process.removeConn(c)
	w := &dispatcherConn{Conn: c, reader: bufio.NewReader(c)}
	for {
		c.SetReadDeadline(time.Now().Add(s.fleet.config.IdleTimeout))
		if err := w.awaitMessage(); err != nil {
			return
		}
		firstByteAt := s.fleet.clock()
		r, err := http.ReadRequest(w.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxTaskBytes+1))
		if err != nil || len(body) > maxTaskBytes {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !s.handle(w, r, body, history.Attempt{
			Dispatcher: dispatcher, Worker: s.index, Incarnation: process.number,
			FirstByteAt: firstByteAt, ReceivedAt: s.fleet.clock(),
		}, process) || r.Close {
			return
		}
	}
}

// handle answers one message. It reports whether the connection can be used for the next.
func (s *Server) handle(c *dispatcherConn, r *http.Request, body []byte, attempt history.Attempt, process *incarnation) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/ping" && s.fleet.config.Probes:
		return s.writeSimple(c, process, 200, "", nil)
	case r.Method == http.MethodGet && r.URL.Path == "/_load" && s.fleet.config.Probes:
		return s.writeSimple(c, process, 200, "", s.loadReport())
	case r.URL.Path != "/api":
		return s.writeSimple(c, process, 404, "", nil)
	}
	id := r.Header.Get("Req-Id")
	if id == "" {
		return s.writeSimple(c, process, 404, "", nil)
	}
	record := s.fleet.history.AttemptReceived(id, attempt)
	task, ok := s.parseTask(body)
	if !ok {
		s.fleet.history.AttemptEnded(record, history.Failed, "", s.fleet.clock())
		return s.writeSimple(c, process, 400, "", nil)
	}
	if !process.waitWhilePaused() {
		return false
	}
	if s.fleet.config.Instant {
		l := line{state: "done", result: id, last: true}
		s.fleet.history.AttemptStarted(record, s.fleet.clock())
		return s.finish(c, appendLine([]byte(responseHead), id, s.name, l), &exchange{attempt: record}, l, process)
	}
	e, ok := s.offer(id, r.Header.Get("Idempotency-Key"), task, record, process)
	switch {
	case !ok:
		return false // the process has ended meanwhile
	case e == nil:
		s.fleet.history.AttemptEnded(record, history.Returned, "", s.fleet.clock())
		return s.writeSimple(c, process, 503, "Srv-Declined: 1\r\n", nil)
	}
	return s.stream(c, id, e, process)
}

// parseTask parses a body. ok is false if the operation is unknown or there is no work.
func (s *Server) parseTask(body []byte) (task Task, ok bool) {
	if err := json.Unmarshal(body, &task); err != nil {
		return task, false
	}
	known := task.Operation >= 0 && task.Operation < len(s.fleet.operations)
	return task, known && task.WorkUs > 0
}

// writeSimple writes an answer that is not chunked.
func (s *Server) writeSimple(c net.Conn, process *incarnation, status int, fields string, body []byte) bool {
	if !process.waitWhilePaused() {
		return false
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields, len(body))
	_, err := c.Write(append([]byte(text), body...))
	return err == nil
}

// responseHead is the head of an answer in chunks.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// stream writes the lines of an exchange as chunks until the last one, or until the dispatcher cancels.
func (s *Server) stream(c *dispatcherConn, id string, e *exchange, process *incarnation) bool {
	defer func() { // covers a process that ended before the last line was written: only the first end counts
		if !process.waitWhilePaused() {
			s.fleet.history.AttemptEnded(e.attempt, history.Crashed, "", s.fleet.clock())
		}
	}()
	c.watch()
	next := c.next
	out := append(make([]byte, 0, 512), responseHead...)
	for {
		select {
		case l := <-e.lines: // lines that are ready are written together
			if out = appendLine(out, id, s.name, l); l.last {
				return s.finish(c, out, e, l, process)
			}
			continue
		default:
		}
		if len(out) > 0 {
			if !process.waitWhilePaused() {
				return false
			}
			if _, err := c.Write(out); err != nil {
				s.abandon(id, e, process)
				return false
			}
			out = out[:0]
		}
		select {
		case l := <-e.lines:
			if out = appendLine(out, id, s.name, l); l.last {
				return s.finish(c, out, e, l, process)
			}
		case err := <-next:
			if err != nil {
				s.abandon(id, e, process)
				return false
			}
			c.messageStarted = true
			c.next = nil
			next = nil
		case <-process.ended:
			return false
		}
	}
}

var endOfState = map[string]history.AttemptEnd{"done": history.Done, "returned": history.Returned, "lost": history.Crashed}

// finish writes the last line and the end of the chunks. The result is recorded before it is sent: the client's answer
// could otherwise be recorded before the worker's result.
func (s *Server) finish(c net.Conn, out []byte, e *exchange, l line, process *incarnation) bool {
	if !process.waitWhilePaused() {
		return false
	}
	if l.state != "returned" {
		s.fleet.history.AttemptEnded(e.attempt, endOfState[l.state], l.result, s.fleet.clock())
	}
	_, err := c.Write(append(out, "0\r\n\r\n"...))
	if l.state == "returned" && err == nil { // proves that the attempt never ran only once it has been sent
		s.fleet.history.AttemptEnded(e.attempt, history.Returned, "", s.fleet.clock())
	}
	return err == nil
}

func appendLine(b []byte, id, from string, l line) []byte {
	var text []byte
	text = append(append(append(text, `{"id":"`...), id...), `","from":"`...)
	text = append(append(append(text, from...), `","state":"`...), l.state...)
	switch l.state {
	case "running":
		text = append(text, `","share":0.5}`...)
	case "done":
		text = append(append(append(text, `","result":"`...), l.result...), `"}`...)
	default:
		text = append(text, `"}`...)
	}
	b = strconv.AppendInt(b, int64(len(text)+1), 16)
	return append(append(append(b, "\r\n"...), text...), "\n\r\n"...)
}

// loadReport is the load under the names that the settings announce: in flight, queued, free slots.
func (s *Server) loadReport() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	running, queued := s.current.machine.Load()
	return fmt.Appendf(nil, `{"rif":%d,"q":%d,"x0":%d}`, running+queued, queued, s.kind.Cores-running)
}
