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

// Task is the JSON body of a testbed request. It describes the work that the request simulates.
type Task struct {
	Operation int   `json:"operation"` // index of the operation
	WorkUs    int64 `json:"work_us"`   // core time on a worker of standard speed, in microseconds
}

// Sizes of messages, in bytes, and the format of chunk lengths.
const (
	maxTaskBytes         = 64 << 10 // body of a request
	typicalResponseBytes = 512      // chunked response
	chunkLengthBase      = 16       // base in which the length of a chunk is written
)

// URL paths of the workers' protocol.
const (
	pathTask   = "/api"
	pathHealth = "/ping"
	pathLoad   = "/_load"
)

// States of a job in response lines.
const (
	stateStarted  = "started"
	stateRunning  = "running" // half of the work is done
	stateDone     = "done"
	stateReturned = "returned" // the job was never started
)

// exchange is an accepted attempt. Its response lines are written to the connection on which the attempt was received.
type exchange struct {
	lines   chan responseLine
	attempt *history.Attempt
	muted   bool // no further lines are written; guarded by the server's lock
}

// responseLine is a line of a response.
type responseLine struct {
	state  string
	result string // result of the job, for stateDone
	isLast bool   // the response ends with this line
}

// dispatcherConn is a connection from a dispatcher. While an attempt runs, a goroutine peeks at the connection. It
// detects the next message, and also the end of the connection, by which a dispatcher cancels the attempt.
type dispatcherConn struct {
	net.Conn
	reader       *bufio.Reader
	peekResult   chan error // result of the peeking goroutine; nil if none is running
	hasFirstByte bool       // the first byte of the next message has been received
}

// startPeek starts a goroutine that waits for the next byte or the end of the connection, unless one is running.
func (c *dispatcherConn) startPeek() {
	if c.peekResult == nil {
		c.peekResult = make(chan error, 1)
		go func() {
			_, err := c.reader.Peek(1)
			c.peekResult <- err
		}()
	}
}

// awaitMessage waits for the first byte of the next message. It returns an error if the connection ends first.
func (c *dispatcherConn) awaitMessage() (err error) {
	switch {
	case c.hasFirstByte:
	case c.peekResult != nil:
		err = <-c.peekResult
	default:
		_, err = c.reader.Peek(1)
	}
	c.peekResult = nil
	c.hasFirstByte = false
	return err
}

// serveConn serves the attempts on one connection until the connection ends.
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
		if reusable := s.handleMessage(c, received, attempt, process); !reusable || received.Close {
			return
		}
	}
}

// errTaskTooLong is returned if the body of a request is longer than maxTaskBytes.
var errTaskTooLong = errors.New("task is too long")

// message is an HTTP request from a dispatcher, with its body.
type message struct {
	*http.Request
	body []byte
}

// readMessage reads a request and its body. It returns errTaskTooLong if the body exceeds maxTaskBytes.
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

// handleMessage responds to one message. It reports whether the connection can be used for the next message.
func (s *Server) handleMessage(c *dispatcherConn, request message, attempt history.Attempt, process *incarnation) bool {
	id := request.Header.Get("Req-Id")
	isProbe := request.Method == http.MethodGet && s.fleet.config.Probes
	switch path := request.URL.Path; {
	case isProbe && path == pathHealth:
		return s.writeResponse(c, process, http.StatusOK, "", nil)
	case isProbe && path == pathLoad:
		return s.writeResponse(c, process, http.StatusOK, "", s.loadReport())
	case path != pathTask, id == "":
		return s.writeResponse(c, process, http.StatusNotFound, "", nil)
	}
	record := s.fleet.history.AttemptReceived(id, attempt)
	task, ok := s.parseTask(request.body)
	if !ok {
		s.fleet.history.AttemptEnded(record, history.Failed, "", s.fleet.clock())
		return s.writeResponse(c, process, http.StatusBadRequest, "", nil)
	}
	if !process.waitWhilePaused() {
		return false
	}
	if s.fleet.config.Instant {
		return s.finishInstantly(c, id, record, process)
	}
	accepted, err := s.offerJob(s.newJob(id, request.Header.Get("Idempotency-Key"), task), record, process)
	switch {
	case errors.Is(err, errDeclined):
		s.fleet.history.AttemptEnded(record, history.Returned, "", s.fleet.clock())
		return s.writeResponse(c, process, http.StatusServiceUnavailable, "Srv-Declined: 1\r\n", nil)
	case err != nil:
		return false
	}
	return s.streamResponse(c, id, accepted, process)
}

// finishInstantly writes the complete response to an attempt whose job takes no time. It reports whether the connection
// can be used for the next message.
func (s *Server) finishInstantly(c net.Conn, id string, record *history.Attempt, process *incarnation) bool {
	done := responseLine{state: stateDone, result: id, isLast: true}
	s.fleet.history.AttemptStarted(record, s.fleet.clock())
	return s.finishResponse(c, appendLine([]byte(responseHead), id, s.name, done), &exchange{attempt: record}, done, process)
}

// parseTask parses the body of a request. ok is false if the JSON is invalid, the operation is unknown or the work is
// not positive.
func (s *Server) parseTask(body []byte) (task Task, ok bool) {
	if err := json.Unmarshal(body, &task); err != nil {
		return task, false
	}
	isKnown := task.Operation >= 0 && task.Operation < len(s.fleet.operations)
	return task, isKnown && task.WorkUs > 0
}

// writeResponse writes a response that is not chunked, with additional header fields. It reports whether the connection
// can be used for the next message.
func (s *Server) writeResponse(c net.Conn, process *incarnation, status int, fields string, body []byte) bool {
	if !process.waitWhilePaused() {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields, len(body))
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}

// responseHead is the status line and the header of a chunked response.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// streamResponse writes the lines of an exchange as chunks until the last line, or until the dispatcher cancels the
// attempt. It reports whether the connection can be used for the next message.
func (s *Server) streamResponse(c *dispatcherConn, id string, accepted *exchange, process *incarnation) bool {
	// Records the crash of a process that ended before the last line was written. AttemptEnded ignores it if the end of
	// the attempt has been recorded before.
	defer func() {
		if !process.waitWhilePaused() {
			s.fleet.history.AttemptEnded(accepted.attempt, history.Crashed, "", s.fleet.clock())
		}
	}()
	c.startPeek()
	peekResult := c.peekResult
	out := append(make([]byte, 0, typicalResponseBytes), responseHead...)
	for {
		select {
		case l := <-accepted.lines: // available lines are written together
			if out = appendLine(out, id, s.name, l); l.isLast {
				return s.finishResponse(c, out, accepted, l, process)
			}
			continue
		default:
		}
		if len(out) > 0 {
			if !process.waitWhilePaused() {
				return false
			}
			if _, err := c.Write(out); err != nil {
				s.cancelJob(id, accepted, process)
				return false
			}
			out = out[:0]
		}
		select {
		case l := <-accepted.lines:
			if out = appendLine(out, id, s.name, l); l.isLast {
				return s.finishResponse(c, out, accepted, l, process)
			}
		case err := <-peekResult:
			if err != nil {
				s.cancelJob(id, accepted, process)
				return false
			}
			c.hasFirstByte = true
			c.peekResult = nil
			peekResult = nil
		case <-process.ended:
			return false
		}
	}
}

// finishResponse writes the buffered lines and the last chunk. It reports whether the connection can be used for the
// next message. A result is recorded before it is sent; otherwise, the client's response could be recorded first. A
// returned attempt is recorded after the line has been sent, because only then does the dispatcher have proof that the
// attempt never ran.
func (s *Server) finishResponse(c net.Conn, out []byte, accepted *exchange, l responseLine, process *incarnation) bool {
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

// appendLine appends a line of the response to request id, encoded as a chunk. from is the worker's name.
func appendLine(b []byte, id, from string, l responseLine) []byte {
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
	b = strconv.AppendInt(b, int64(len(text)+1), chunkLengthBase)
	return append(append(append(b, "\r\n"...), text...), "\n\r\n"...)
}

// loadReport returns the load report as JSON: the requests in flight, the queued requests and the free slots, under the
// names declared in the dispatchers' settings. It returns nil if the worker is down.
func (s *Server) loadReport() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	running, queued := s.current.machine.Load()
	return fmt.Appendf(nil, `{"rif":%d,"q":%d,"x0":%d}`, running+queued, queued, s.kind.Cores-running)
}
