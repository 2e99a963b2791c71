// Package peertest provides HTTP servers for tests. They listen on the loopback address and respond with literal bytes,
// so that a test controls where a message is cut off or malformed.
package peertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// EventTimeout limits the wait for an expected event.
	EventTimeout = 5 * time.Second
	// PollInterval is the interval between two checks of a condition that is expected to become true.
	PollInterval = time.Millisecond
	// ClosedAddress is an address that refuses connections.
	ClosedAddress = "127.0.0.1:1"
)

// Start and end of a response with a chunked body.
const (
	ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	LastChunk   = "0\r\n\r\n"
)

// Chunk returns a line, including a newline, as one chunk of a body.
func Chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// ResponseStart returns the start of a chunked response: the head, and the lines as the first chunks of the body.
func ResponseStart(lines ...string) string {
	text := ChunkedHead
	for _, line := range lines {
		text += Chunk(line)
	}
	return text
}

// CompleteResponse returns a complete chunked response: the head, and a body with the lines.
func CompleteResponse(lines ...string) string { return ResponseStart(lines...) + LastChunk }

// A Responder responds to a request after its body has been read. It may write any bytes to conn, and may close it.
type Responder func(conn net.Conn, request *http.Request)

// RespondWith returns a Responder that writes text in response to each request and leaves the connection open.
func RespondWith(text string) Responder {
	return func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// RespondAndClose returns a Responder that writes text in response to a request and then closes the connection.
func RespondAndClose(text string) Responder {
	return func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, text)
		conn.Close()
	}
}

// StartServer starts a server that calls respond for each request, and returns its address. It accepts connections
// until the test ends.
func StartServer(t *testing.T, respond Responder) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(conn, respond)
		}
	}()
	return listener.Addr().String()
}

// serveConnection responds to the requests on a connection until either side closes it.
func serveConnection(conn net.Conn, respond Responder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // if the body is cut off, the test intends it
		respond(conn, request)
	}
}

// Receive returns the next value of a channel. It fails the test if none is received within EventTimeout.
func Receive[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(EventTimeout):
		t.Fatal("no value received within the timeout")
	}
	return value
}
