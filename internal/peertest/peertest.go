// Package peertest plays the other side of HTTP connections in tests. Its servers listen on loopback and answer with
// literal bytes, so that a test decides where a message is cut or malformed.
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
	// EventTimeout bounds the wait for an event that is sure to come.
	EventTimeout = 5 * time.Second
	// PollInterval is the time between two checks of a condition that is to become true.
	PollInterval = time.Millisecond
	// ClosedAddress is an address at which nobody listens.
	ClosedAddress = "127.0.0.1:1"
)

// The start and the end of a response with a chunked body.
const (
	ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	LastChunk   = "0\r\n\r\n"
)

// Chunk returns a line, with its line end, as one chunk of a body.
func Chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// Chunked returns the start of a response: its head, and the lines as the first chunks of its body.
func Chunked(lines ...string) string {
	text := ChunkedHead
	for _, line := range lines {
		text += Chunk(line)
	}
	return text
}

// Complete returns a complete response: its head, and a body of the lines.
func Complete(lines ...string) string { return Chunked(lines...) + LastChunk }

// A Responder answers a request once its body has ended. It writes to the connection what it likes, and may close it.
type Responder func(conn net.Conn, request *http.Request)

// RespondWith returns a Responder that writes the same text each time and leaves the connection open.
func RespondWith(text string) Responder {
	return func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// RespondAndClose returns a Responder that writes the same text each time and then closes the connection.
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

// serveConnection answers the requests of one connection until either side ends it.
func serveConnection(conn net.Conn, respond Responder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // a body that is cut off is the test's own doing
		respond(conn, request)
	}
}

// Receive returns the next value of a channel. Without one within EventTimeout it fails the test.
func Receive[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(EventTimeout):
		t.Fatal("no value within the timeout")
	}
	return value
}
