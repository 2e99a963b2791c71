package worker

import (
	"bufio"
	"encoding/json"
	"errors"
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
	Operation int   `json:"operation"` // index
	WorkUs    int64 `json:"work_us"`   // core time on a worker of standard speed, in microseconds
}

// Sizes of messages, in bytes.
const (
	maxTaskBytes       = 64 << 10 // of the body of a request
	typicalAnswerBytes = 512      // of an answer in chunks
	hexadecimal        = 16       // base of the length of a chunk
)

// Paths of the workers' protocol.
const (
	pathTask   = "/api"
	pathHealth = "/ping"
	pathLoad   = "/_load"
)

// The states of a job in the lines of an answer.
const (
	stateStarted  = "started"
	stateRunning  = "running" // half of the work is done
	stateDone     = "done"
	stateReturned = "returned" // the job was never started
)

// exchange is an accepted attempt. Its lines are written to the connection that it came on.
type exchange struct {
	lines   chan line
	attempt *history.Attempt
	muted   bool // nothing more is reported; guarded by the server's lock
}

// line is a line of an answer.
type line struct {
	state  string
	result string // of a job that is done
	last   bool   // the answer ends with this line
}

// dispatcherConn is a connection of a dispatcher. While an attempt runs, a goroutine waits for what comes next: the end
// of the connection, by which a dispatcher cancels the attempt, or the next message.
type dispatcherConn struct {
	net.Conn
	reader         *bufio.Reader
	next           chan error // result of the goroutine that waits; nil if there is none
	messageStarted bool       // the first byte of the next message is there
}

// watch starts the goroutine that waits for what comes next, unless it runs.
func (c *dispatcherConn) watch() {
	if c.next == nil {
		c.next = make(chan error, 1)
		go func() {
			_, err := c.reader.Peek(1)
			c.next <- err
		}()
	}
}

// awaitMessage waits for the first byte of the next message.
func (c *dispatcherConn) awaitMessage() (err error) {
	switch {
	case c.messageStarted:
	case c.next != nil:
		err = <-c.next
	default:
		_, err = c.reader.Peek(1)
	}
	c.next = nil
	c.messageStarted = false
	return err
}

// serveConn serves the attempts on one connection until it ends.
func (s *Server) serveConn(conn net.Conn, dispatcher int, process *incarnation) {
	defer process.removeConn(conn)
	c := &dispatcherConn{Conn: conn, reader: bufio.NewReader(conn)}
	for {
		c.SetReadDeadline(time.Now().Add(s.fleet.config.IdleTimeout))
		if err := c.awaitMessage(); err != nil {
			return
		}
		attempt := history.Attempt{
			Dispatcher:  dispatcher,
			Worker:      s.index,
			Incarnation: process.number,
			FirstByteAt: s.fleet.clock(),
		}
		received, err := readMessage(c.reader)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		attempt.ReceivedAt = s.fleet.clock()
		if reusable := s.handle(c, received, attempt, process); !reusable || received.Close {
			return
		}
	}
}

// errTaskTooLong means that the body of a request is longer than maxTaskBytes.
var errTaskTooLong = errors.New("task is too long")

// message is a request of a dispatcher with its body.
type message struct {
	*http.Request
	body []byte
}

// readMessage reads a request and its body.
func readMessage(reader *bufio.Reader) (message, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return message{}, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxTaskBytes+1))
	if err == nil && len(body) > maxTaskBytes {
		err = errTaskTooLong
	}
	return message{Request: request, body: body}, err
}

// handle answers one message. It reports whether the connection can be used for the next.
func (s *Server) handle(c *dispatcherConn, request message, attempt history.Attempt, process *incarnation) bool {
	id := request.Header.Get("Req-Id")
	isProbe := request.Method == http.MethodGet && s.fleet.config.Probes
	switch path := request.URL.Path; {
	case isProbe && path == pathHealth:
		return s.writeSimple(c, process, http.StatusOK, "", nil)
	case isProbe && path == pathLoad:
		return s.writeSimple(c, process, http.StatusOK, "", s.loadReport())
	case path != pathTask, id == "":
		return s.writeSimple(c, process, http.StatusNotFound, "", nil)
	}
	record := s.fleet.history.AttemptReceived(id, attempt)
	task, ok := s.parseTask(request.body)
	if !ok {
		s.fleet.history.AttemptEnded(record, history.Failed, "", s.fleet.clock())
		return s.writeSimple(c, process, http.StatusBadRequest, "", nil)
	}
	if !process.waitWhilePaused() {
		return false
	}
	if s.fleet.config.Instant {
		return s.finishInstantly(c, id, record, process)
	}
	accepted, err := s.offer(s.job(id, request.Header.Get("Idempotency-Key"), task), record, process)
	switch {
	case errors.Is(err, errDeclined):
		s.fleet.history.AttemptEnded(record, history.Returned, "", s.fleet.clock())
		return s.writeSimple(c, process, http.StatusServiceUnavailable, "Srv-Declined: 1\r\n", nil)
	case err != nil:
		return false
	}
	return s.stream(c, id, accepted, process)
}

// finishInstantly answers an attempt whose job takes no time.
func (s *Server) finishInstantly(c net.Conn, id string, record *history.Attempt, process *incarnation) bool {
	done := line{state: stateDone, result: id, last: true}
	s.fleet.history.AttemptStarted(record, s.fleet.clock())
	return s.finish(c, appendLine([]byte(responseHead), id, s.name, done), &exchange{attempt: record}, done, process)
}

// parseTask parses a body. ok is false if the operation is unknown or there is no work.
func (s *Server) parseTask(body []byte) (task Task, ok bool) {
	if err := json.Unmarshal(body, &task); err != nil {
		return task, false
	}
	isKnown := task.Operation >= 0 && task.Operation < len(s.fleet.operations)
	return task, isKnown && task.WorkUs > 0
}

// writeSimple writes an answer that is not chunked, with additional header fields. It reports whether the connection
// can be used for the next message.
func (s *Server) writeSimple(c net.Conn, process *incarnation, status int, fields string, body []byte) bool {
	if !process.waitWhilePaused() {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields, len(body))
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}

// responseHead is the head of an answer in chunks.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// stream writes the lines of an exchange as chunks until the last one, or until the dispatcher cancels. It reports
// whether the connection can be used for the next message.
func (s *Server) stream(c *dispatcherConn, id string, accepted *exchange, process *incarnation) bool {
	defer func() { // covers a process that ended before the last line was written: only the first end counts
		if !process.waitWhilePaused() {
			s.fleet.history.AttemptEnded(accepted.attempt, history.Crashed, "", s.fleet.clock())
		}
	}()
	c.watch()
	next := c.next
	out := append(make([]byte, 0, typicalAnswerBytes), responseHead...)
	for {
		select {
		case l := <-accepted.lines: // lines that are ready are written together
			if out = appendLine(out, id, s.name, l); l.last {
				return s.finish(c, out, accepted, l, process)
			}
			continue
		default:
		}
		if len(out) > 0 {
			if !process.waitWhilePaused() {
				return false
			}
			if _, err := c.Write(out); err != nil {
				s.abandon(id, accepted, process)
				return false
			}
			out = out[:0]
		}
		select {
		case l := <-accepted.lines:
			if out = appendLine(out, id, s.name, l); l.last {
				return s.finish(c, out, accepted, l, process)
			}
		case err := <-next:
			if err != nil {
				s.abandon(id, accepted, process)
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

// finish writes the last line and the end of the chunks. It reports whether the connection can be used for the next
// message. A result is recorded before it is sent, as the client's answer could otherwise be recorded first. A return
// is recorded once it has been sent, as only then it proves that the attempt never ran.
func (s *Server) finish(c net.Conn, out []byte, accepted *exchange, l line, process *incarnation) bool {
	if !process.waitWhilePaused() {
		return false
	}
	if l.state == stateDone {
		s.fleet.history.AttemptEnded(accepted.attempt, history.Done, l.result, s.fleet.clock())
	}
	_, err := c.Write(append(out, "0\r\n\r\n"...))
	if l.state == stateReturned && err == nil {
		s.fleet.history.AttemptEnded(accepted.attempt, history.Returned, "", s.fleet.clock())
	}
	return err == nil
}

// appendLine appends a line of the answer to a request, as a chunk. from is the worker's name.
func appendLine(b []byte, id, from string, l line) []byte {
	var text []byte
	text = append(append(append(text, `{"id":"`...), id...), `","from":"`...)
	text = append(append(append(text, from...), `","state":"`...), l.state...)
	switch l.state {
	case stateRunning:
		text = append(text, `","share":0.5}`...)
	case stateDone:
		text = append(append(append(text, `","result":"`...), l.result...), `"}`...)
	default:
		text = append(text, `"}`...)
	}
	b = strconv.AppendInt(b, int64(len(text)+1), hexadecimal)
	return append(append(append(b, "\r\n"...), text...), "\n\r\n"...)
}

// loadReport returns the load report under the names that the settings announce: in flight, queued, free slots.
func (s *Server) loadReport() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	running, queued := s.current.machine.Load()
	return fmt.Appendf(nil, `{"rif":%d,"q":%d,"x0":%d}`, running+queued, queued, s.kind.Cores-running)
}
