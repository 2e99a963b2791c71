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

// mostTask bounds a body.
const mostTask = 64 << 10

// exchange is one forward that a worker has accepted: its lines go to the connection that it came on.
type exchange struct {
	lines   chan line
	forward *history.Forward
	silent  bool // it runs, and nothing more is told of it; under the server's lock
}

type line struct {
	state, result string
	last          bool
}

// wire is one connection of a dispatcher. While a forward runs, a goroutine watches for what comes next: the
// end of the connection, by which a dispatcher gives the forward up, or the next message.
type wire struct {
	net.Conn
	in    *bufio.Reader
	next  chan error // from the goroutine that watches; nil if none does
	early bool       // the next message has begun already
}

func (w *wire) watch() {
	if w.next == nil {
		w.next = make(chan error, 1)
		go func() {
			_, err := w.in.Peek(1)
			w.next <- err
		}()
	}
}

// await waits for the first byte of the next message.
func (w *wire) await() (err error) {
	switch {
	case w.early:
	case w.next != nil:
		err = <-w.next
	default:
		_, err = w.in.Peek(1)
	}
	w.next, w.early = nil, false
	return err
}

// serve takes forwards from one connection until it ends.
func (s *Server) serve(c net.Conn, dispatcher int, life *life) {
	defer life.drop(c)
	w := &wire{Conn: c, in: bufio.NewReader(c)}
	for {
		c.SetReadDeadline(time.Now().Add(s.fleet.terms.Idle))
		if err := w.await(); err != nil {
			return
		}
		first := s.fleet.clock()
		r, err := http.ReadRequest(w.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, mostTask+1))
		if err != nil || len(body) > mostTask {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !s.answer(w, r, body, history.Forward{
			Dispatcher: dispatcher, Worker: s.n, Life: life.n,
			First: first, Whole: s.fleet.clock(),
		}, life) || r.Close {
			return
		}
	}
}

// answer answers one message, and tells whether the connection can go on.
func (s *Server) answer(c *wire, r *http.Request, body []byte, f history.Forward, life *life) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/ping" && s.fleet.terms.Probes:
		return s.plain(c, life, 200, "", nil)
	case r.Method == http.MethodGet && r.URL.Path == "/_load" && s.fleet.terms.Probes:
		return s.plain(c, life, 200, "", s.report())
	case r.URL.Path != "/api":
		return s.plain(c, life, 404, "", nil)
	}
	id := r.Header.Get("Req-Id")
	if id == "" {
		return s.plain(c, life, 404, "", nil)
	}
	record := s.fleet.ledger.Received(id, f)
	task, ok := s.task(body)
	if !ok {
		s.fleet.ledger.Over(record, history.Failed, "", s.fleet.clock())
		return s.plain(c, life, 400, "", nil)
	}
	if !life.gate() {
		return false
	}
	if s.fleet.terms.Instant {
		l := line{state: "done", result: id, last: true}
		s.fleet.ledger.Started(record, s.fleet.clock())
		return s.finish(c, appendLine([]byte(head), id, s.name, l), &exchange{forward: record}, l, life)
	}
	e, ok := s.accept(id, r.Header.Get("Idempotency-Key"), task, record, life)
	switch {
	case !ok:
		return false // it has gone down meanwhile
	case e == nil:
		s.fleet.ledger.Over(record, history.Returned, "", s.fleet.clock())
		return s.plain(c, life, 503, "Srv-Declined: 1\r\n", nil)
	}
	return s.stream(c, id, e, life)
}

// task reads a forward's body. ok is false for one that names no operation of the fleet, or no work.
func (s *Server) task(body []byte) (task Task, ok bool) {
	if err := json.Unmarshal(body, &task); err != nil {
		return task, false
	}
	known := task.Operation >= 0 && task.Operation < len(s.fleet.operations)
	return task, known && task.WorkUs > 0
}

// plain writes an answer of one piece.
func (s *Server) plain(c net.Conn, life *life, status int, fields string, body []byte) bool {
	if !life.gate() {
		return false
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields,
		len(body))
	_, err := c.Write(append([]byte(text), body...))
	return err == nil
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// stream writes an exchange's lines as chunks until the last one, or until the dispatcher gives it up.
func (s *Server) stream(c *wire, id string, e *exchange, life *life) bool {
	defer func() { // a process that ended with the last line unwritten: the first end of a forward counts
		if !life.gate() {
			s.fleet.ledger.Over(e.forward, history.Crashed, "", s.fleet.clock())
		}
	}()
	c.watch()
	next := c.next
	out := append(make([]byte, 0, 512), head...)
	for {
		select {
		case l := <-e.lines: // what is at hand already goes along
			if out = appendLine(out, id, s.name, l); l.last {
				return s.finish(c, out, e, l, life)
			}
			continue
		default:
		}
		if len(out) > 0 {
			if !life.gate() {
				return false
			}
			if _, err := c.Write(out); err != nil {
				s.abandon(id, e, life)
				return false
			}
			out = out[:0]
		}
		select {
		case l := <-e.lines:
			if out = appendLine(out, id, s.name, l); l.last {
				return s.finish(c, out, e, l, life)
			}
		case err := <-next:
			if err != nil {
				s.abandon(id, e, life)
				return false
			}
			c.early, c.next, next = true, nil, nil
		case <-life.over:
			return false
		}
	}
}

var ends = map[string]history.End{"done": history.Done, "returned": history.Returned, "lost": history.Crashed}

// finish writes the last line and the end of the chunks. The ledger has it before a byte leaves: else an
// answer could be seen before it was made.
func (s *Server) finish(c net.Conn, out []byte, e *exchange, l line, life *life) bool {
	if !life.gate() {
		return false
	}
	if l.state != "returned" {
		s.fleet.ledger.Over(e.forward, ends[l.state], l.result, s.fleet.clock())
	}
	_, err := c.Write(append(out, "0\r\n\r\n"...))
	if l.state == "returned" && err == nil { // it proves something only once it has left
		s.fleet.ledger.Over(e.forward, history.Returned, "", s.fleet.clock())
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

// report is the load as the settings name it: in flight, queued, free slots.
func (s *Server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return nil
	}
	running, queued := s.life.machine.Load()
	return fmt.Appendf(nil, `{"rif":%d,"q":%d,"x0":%d}`, running+queued, queued, s.kind.Cores-running)
}
