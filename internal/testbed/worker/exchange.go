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

// Task is the body of an invocation in the testbed: what the worker is to do.
type Task struct {
	Operation int   `json:"operation"`
	WorkUs    int64 `json:"work_us"`
}

// maxTaskBytes bounds a body.
const maxTaskBytes = 64 << 10

// exchange is one forward that a worker has accepted: its lines go to the connection that it came on.
type exchange struct {
	lines   chan line
	attempt *history.Attempt
	muted   bool // it runs, and nothing more is told of it; under the server's lock
}

type line struct {
	state, result string
	last          bool
}

// dispatcherConn is one connection of a dispatcher. While a forward runs, a goroutine watches for what comes next: the
// end of the connection, by which a dispatcher gives the forward up, or the next message.
type dispatcherConn struct {
	net.Conn
	reader         *bufio.Reader
	next           chan error // from the goroutine that watches; nil if none does
	messageStarted bool       // the next message has begun already
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
	w.next, w.messageStarted = nil, false
	return err
}

// serveConn takes forwards from one connection until it ends.
func (s *Server) serveConn(c net.Conn, dispatcher int, process *incarnation) {
	defer process.removeConn(c)
	w := &dispatcherConn{Conn: c, reader: bufio.NewReader(c)}
	for {
		c.SetReadDeadline(time.Now().Add(s.fleet.config.Idle))
		if err := w.awaitMessage(); err != nil {
			return
		}
		first := s.fleet.clock()
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
			FirstByteAt: first, ReceivedAt: s.fleet.clock(),
		}, process) || r.Close {
			return
		}
	}
}

// handle answers one message, and tells whether the connection can go on.
func (s *Server) handle(c *dispatcherConn, r *http.Request, body []byte, f history.Attempt, process *incarnation) bool {
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
	record := s.fleet.history.AttemptReceived(id, f)
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
		return false // it has gone down meanwhile
	case e == nil:
		s.fleet.history.AttemptEnded(record, history.Returned, "", s.fleet.clock())
		return s.writeSimple(c, process, 503, "Srv-Declined: 1\r\n", nil)
	}
	return s.stream(c, id, e, process)
}

// parseTask reads a forward's body. ok is false for one that names no operation of the fleet, or no work.
func (s *Server) parseTask(body []byte) (task Task, ok bool) {
	if err := json.Unmarshal(body, &task); err != nil {
		return task, false
	}
	known := task.Operation >= 0 && task.Operation < len(s.fleet.operations)
	return task, known && task.WorkUs > 0
}

// writeSimple writes an answer of one piece.
func (s *Server) writeSimple(c net.Conn, process *incarnation, status int, fields string, body []byte) bool {
	if !process.waitWhilePaused() {
		return false
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields,
		len(body))
	_, err := c.Write(append([]byte(text), body...))
	return err == nil
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// stream writes an exchange's lines as chunks until the last one, or until the dispatcher gives it up.
func (s *Server) stream(c *dispatcherConn, id string, e *exchange, process *incarnation) bool {
	defer func() { // a process that ended with the last line unwritten: the first end of a forward counts
		if !process.waitWhilePaused() {
			s.fleet.history.AttemptEnded(e.attempt, history.Crashed, "", s.fleet.clock())
		}
	}()
	c.watch()
	next := c.next
	out := append(make([]byte, 0, 512), responseHead...)
	for {
		select {
		case l := <-e.lines: // what is at hand already goes along
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
			c.messageStarted, c.next, next = true, nil, nil
		case <-process.ended:
			return false
		}
	}
}

var endOfState = map[string]history.AttemptEnd{"done": history.Done, "returned": history.Returned, "lost": history.Crashed}

// finish writes the last line and the end of the chunks. The ledger has it before a byte leaves: else an
// answer could be seen before it was made.
func (s *Server) finish(c net.Conn, out []byte, e *exchange, l line, process *incarnation) bool {
	if !process.waitWhilePaused() {
		return false
	}
	if l.state != "returned" {
		s.fleet.history.AttemptEnded(e.attempt, endOfState[l.state], l.result, s.fleet.clock())
	}
	_, err := c.Write(append(out, "0\r\n\r\n"...))
	if l.state == "returned" && err == nil { // it proves something only once it has left
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

// loadReport is the load as the settings name it: in flight, queued, free slots.
func (s *Server) loadReport() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	running, queued := s.current.machine.Load()
	return fmt.Appendf(nil, `{"rif":%d,"q":%d,"x0":%d}`, running+queued, queued, s.kind.Cores-running)
}
