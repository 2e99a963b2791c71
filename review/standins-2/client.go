package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an id that no request had before.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)+time.Now().Unix()<<24) }

// request is a client's request.
type request struct {
	id       string
	kind     string
	key      string
	deadline time.Duration
	body     string        // "" for a short one
	cost     time.Duration // 0 for no guess
}

// bytes returns the request as it is sent.
func (r request) bytes() []byte {
	key := ""
	if r.key != "" {
		key = "Idempotency-Key: " + r.key + "\r\n"
	}
	if r.cost > 0 {
		key += fmt.Sprintf("Req-Cost: %d\r\n", r.cost.Microseconds())
	}
	body := r.body
	if body == "" {
		body = "input of " + r.id
	}
	return fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline: %.3f\r\n"+
		"%sContent-Length: %d\r\n\r\n%s", r.id, r.kind, r.deadline.Seconds(), key, len(body), body)
}

// answer is what a client got for a request.
type answer struct {
	status     int // 0 for no whole answer
	body       string
	retryAfter time.Duration
	closes     bool // the dispatcher closes the connection after it
	sentAt     time.Time
	at         time.Time // of the last byte, or of the end of the connection
	err        error
}

func (a answer) refused() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader) (a answer) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	a.at = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	a.status = response.StatusCode
	a.closes = response.Close
	a.body = string(body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	a.retryAfter = time.Duration(seconds * float64(time.Second))
	return a
}

// send sends a request on a new connection and waits for the answer, for as long as patience.
func send(env *environment, address string, r request, patience time.Duration) answer {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return answer{err: err, sentAt: time.Now(), at: time.Now()}
	}
	defer conn.Close()
	sentAt := time.Now()
	if _, err := conn.Write(r.bytes()); err != nil {
		return answer{err: err, sentAt: sentAt, at: time.Now()}
	}
	conn.SetReadDeadline(sentAt.Add(patience))
	a := readAnswer(bufio.NewReader(conn))
	a.sentAt = sentAt
	env.noteAt(a.at, "client: %s key %q sent at %.3f, status %d after %.3f s, Retry-After %v, error %v", r.id, r.key,
		env.seconds(sentAt), a.status, a.at.Sub(sentAt).Seconds(), a.retryAfter, a.err)
	return a
}
