package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// testTimeout limits waits for events that occur soon unless the test fails.
const testTimeout = 5 * time.Second

// Requests for an echoHandler and a gatedHandler.
const (
	echoRequest  = "POST /api HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
	gatedRequest = "POST /gate HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
)

// connPair returns a loopback connection under test, the socket of its peer, and the log of the connection.
func connPair(t *testing.T) (*Conn, *net.TCPConn, *bytes.Buffer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	assert.NoError(t, err)
	nc, err := ln.Accept()
	assert.NoError(t, err)
	log := &bytes.Buffer{}
	conn := newConn(nc, Worker, "w", zerolog.New(log), nil)
	t.Cleanup(func() { conn.CloseFor(Stopping, nil); peer.Close() })
	return conn, peer.(*net.TCPConn), log
}

// startWorker listens at a loopback address until the test ends. The channel receives the accepted connections.
func startWorker(t *testing.T) (addr string, accepted <-chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- nc
		}
	}()
	return ln.Addr().String(), conns
}

// mustGet gets a connection to an address with the policy AnyConnection.
func mustGet(t *testing.T, pool *Pool, addr string) *Conn {
	t.Helper()
	return mustGetWithPolicy(t, pool, addr, AnyConnection)
}

func mustGetWithPolicy(t *testing.T, pool *Pool, addr string, policy ReusePolicy) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pool.Get(ctx, addr, policy)
	assert.NoError(t, err)
	return conn
}

// echoHandler responds with the body of the request: for the path /later after a delay, for other paths immediately.
// For the path /wait it blocks until the request is canceled. It rejects the path /none.
type echoHandler struct {
	canceled chan error    // receives the cancellation cause of each request to /wait
	delay    time.Duration // delay of responses to /later
}

func newEchoHandler() *echoHandler { return &echoHandler{canceled: make(chan error, 1)} }

func (e *echoHandler) RespondToHead(head *protocol.Head) *protocol.Response {
	if head.Path() == "/none" {
		return &protocol.Response{Status: 404}
	}
	return nil
}

func (e *echoHandler) Serve(ctx context.Context, head *protocol.Head, body []byte, _ time.Time) *protocol.Response {
	switch head.Path() {
	case "/wait":
		<-ctx.Done()
		e.canceled <- context.Cause(ctx)
		return nil
	case "/later":
		select {
		case <-time.After(e.delay):
		case <-ctx.Done():
			return nil
		}
	}
	return &protocol.Response{Status: 200, Body: body}
}

func (e *echoHandler) RejectOverBudget(*protocol.Head) *protocol.Response {
	return &protocol.Response{Status: 503}
}

func (e *echoHandler) RejectMalformed(err error) *protocol.Response {
	return protocol.RejectionForError(err)
}

// gatedHandler is an echoHandler that blocks requests to /gate until the test sends their response to release.
type gatedHandler struct {
	echoHandler
	requested chan *Conn // receives the connection of each request to /gate
	release   chan *protocol.Response
}

func newGatedHandler() *gatedHandler {
	return &gatedHandler{requested: make(chan *Conn, 2), release: make(chan *protocol.Response, 2)}
}

func (g *gatedHandler) Serve(ctx context.Context, head *protocol.Head, body []byte, receivedAt time.Time,
) *protocol.Response {
	if head.Path() != "/gate" {
		return g.echoHandler.Serve(ctx, head, body, receivedAt)
	}
	g.requested <- ctx.Value(clientConnKey{}).(*Conn)
	return <-g.release
}

func listenLoopback(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := ListenClients("127.0.0.1:0", ListenOptions{})
	assert.NoError(t, err)
	return ln
}

// newTestServer returns a server that is not running, so connections wait in the listener's queue.
func newTestServer(ln *net.TCPListener, limit int, handler Handler) *Server {
	return NewServer(ln, limit, 1<<20, handler, &lifecycle.State{}, zerolog.Nop())
}

// startServer runs a server with an echoHandler until the test ends or calls stop, which waits until Run has returned.
func startServer(t *testing.T, limit int) (server *Server, handler *echoHandler, stop func()) {
	t.Helper()
	handler = newEchoHandler()
	server = newTestServer(listenLoopback(t), limit, handler)
	cancel, ended := runServer(server)
	stop = func() {
		cancel()
		select {
		case err := <-ended:
			assert.NoError(t, err)
			ended <- nil
		case <-time.After(testTimeout):
			t.Error("server did not stop in time")
		}
	}
	t.Cleanup(stop)
	return server, handler, stop
}

// startGatedServer runs a server with a gatedHandler until stop is called. The channel ended receives the error of Run.
func startGatedServer(t *testing.T) (server *Server, handler *gatedHandler, stop context.CancelFunc, ended <-chan error) {
	t.Helper()
	handler = newGatedHandler()
	server = newTestServer(listenLoopback(t), 4, handler)
	stop, ended = runServer(server)
	t.Cleanup(stop)
	return server, handler, stop, ended
}

func runServer(server *Server) (stop context.CancelFunc, ended chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	return cancel, ended
}

// runWithCanceledContext calls Run with a canceled context and waits until it returns.
func runWithCanceledContext(t *testing.T, server *Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, server.Run(ctx))
}

// connect opens a client connection to a server.
func connect(t *testing.T, server *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", server.ln.Addr().String())
	assert.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// clientResponse is a response as parsed by net/http.
type clientResponse struct {
	status int
	body   string
	closes bool // the response has Connection: close
}

// roundTrip sends text, which may be empty, and reads the next response.
func roundTrip(t *testing.T, client net.Conn, reader *bufio.Reader, text string) clientResponse {
	t.Helper()
	_, err := io.WriteString(client, text)
	assert.NoError(t, err)
	return readResponse(t, reader)
}

func readResponse(t *testing.T, reader *bufio.Reader) clientResponse {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if !assert.NoError(t, err) {
		return clientResponse{closes: true}
	}
	body, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
	return clientResponse{response.StatusCode, string(body), response.Close}
}

// readFinalResponse reads the next final response and skips interim ones.
func readFinalResponse(t *testing.T, reader *bufio.Reader) clientResponse {
	t.Helper()
	for {
		response := readResponse(t, reader)
		if response.status != 100 {
			return response
		}
	}
}
