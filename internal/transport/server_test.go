package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// echoHandler answers with the body, or not before its client has left where the path is /wait.
type echoHandler struct {
	left  chan error
	after time.Duration // the wait where the path is /later
}

func (e *echoHandler) Check(h *protocol.Head) *protocol.Response {
	if h.Path() == "/none" {
		return &protocol.Response{Status: 404}
	}
	return nil
}

func (e *echoHandler) Serve(ctx context.Context, h *protocol.Head, body []byte, _ time.Time) *protocol.Response {
	if h.Path() == "/wait" {
		<-ctx.Done()
		e.left <- context.Cause(ctx)
		return nil
	}
	if h.Path() == "/later" {
		select {
		case <-time.After(e.after):
		case <-ctx.Done():
			return nil
		}
	}
	return &protocol.Response{Status: 200, Body: body}
}

func (e *echoHandler) OverBudget(*protocol.Head) *protocol.Response {
	return &protocol.Response{Status: 503}
}

func (e *echoHandler) MalformedRequest(err error) *protocol.Response {
	return protocol.RejectionOf(err)
}

// startServer runs a server until the test ends.
func startServer(t *testing.T, most int) (*Server, *echoHandler, func()) {
	e := &echoHandler{left: make(chan error, 1)}
	ln, err := ListenClients("127.0.0.1:0", nil, false)
	assert.NoError(t, err)
	s := NewServer(ln, most, 1<<20, e, &lifecycle.State{}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	end := func() {
		cancel()
		select {
		case err := <-ended:
			assert.NoError(t, err)
			ended <- nil
		case <-time.After(5 * time.Second):
			t.Error("the server does not end")
		}
	}
	t.Cleanup(end)
	return s, e, end
}

func connect(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.ln.Addr().String())
	assert.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

// roundTrip sends text and reads one answer by the standard library's reader.
func roundTrip(t *testing.T, c net.Conn, r *bufio.Reader, text string) (status int, body string, closes bool) {
	_, err := io.WriteString(c, text)
	assert.NoError(t, err)
	a, err := http.ReadResponse(r, nil)
	if !assert.NoError(t, err) {
		return 0, "", true
	}
	b, err := io.ReadAll(a.Body)
	assert.NoError(t, err)
	return a.StatusCode, string(b), a.Close
}

const echoRequest = "POST /api HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"

func TestServerAnswersOneAfterTheOther(t *testing.T) {
	s, _, _ := startServer(t, 4)
	c, r := connect(t, s)
	for _, text := range []string{
		echoRequest,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", echoRequest,
	} {
		status, body, closes := roundTrip(t, c, r, text)
		assert.Equal(t, []any{200, "ab", false}, []any{status, body, closes})
	}
	status, _, closes := roundTrip(t, c, r, "POST /none HTTP/1.1\r\nContent-Length: 2\r\n\r\nab")
	assert.Equal(t, []any{404, false}, []any{status, closes})
	_, _, closes = roundTrip(t, c, r, "POST /api HTTP/1.1\r\nConnection: close\r\n\r\n")
	assert.True(t, closes)
}

func TestServerTurnsBadInputAway(t *testing.T) {
	s, _, _ := startServer(t, 4)
	for text, want := range map[string]int{
		"NONSENSE\r\n\r\n": 400,
		"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n":                    400,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":     400,
		"POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n":                413,
		"POST /none HTTP/1.1\r\nContent-Length: 70000\r\n\r\n":               404,
		"POST /api HTTP/1.1\r\nA: " + strings.Repeat("a", 9000) + "\r\n\r\n": 431,
	} {
		c, r := connect(t, s)
		status, _, closes := roundTrip(t, c, r, text)
		assert.Equal(t, []any{want, true}, []any{status, closes}, text[:min(len(text), 60)])
	}
}

func TestServerAsksForABodyThatWaits(t *testing.T) {
	s, _, _ := startServer(t, 4)
	c, r := connect(t, s)
	io.WriteString(c, "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := r.ReadString('\n')
	assert.NoError(t, err)
	assert.Contains(t, line, "100 Continue")
	_, err = r.ReadString('\n')
	assert.NoError(t, err)
	status, body, _ := roundTrip(t, c, r, "ab")
	assert.Equal(t, []any{200, "ab"}, []any{status, body})
}

// Guards against a wait for a body that its client does not send before it has been asked to.
func TestServerTurnsAwayWithoutABodyThatWaits(t *testing.T) {
	s, _, _ := startServer(t, 4)
	c, r := connect(t, s)
	status, _, closes := roundTrip(t, c, r, "POST /none HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	assert.Equal(t, []any{404, true}, []any{status, closes})
}

// Guards against a reset, for the rest of a body that is not read, that throws the answer away.
func TestAnswerArrivesBesideABodyThatIsTooLarge(t *testing.T) {
	s, _, _ := startServer(t, 4)
	for _, path := range []string{"/api", "/none"} {
		c, r := connect(t, s)
		body := strings.Repeat("a", 100000)
		go c.Write([]byte("POST " + path + " HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + body))
		time.Sleep(20 * time.Millisecond)
		status, _, _ := roundTrip(t, c, r, "")
		assert.Equal(t, map[string]int{"/api": 413, "/none": 404}[path], status)
	}
}

func TestClientThatClosesHasLeft(t *testing.T) {
	s, e, _ := startServer(t, 4)
	c, _ := connect(t, s)
	io.WriteString(c, "POST /wait HTTP/1.1\r\nContent-Length: 2\r\n\r\nab")
	c.Close()
	assert.ErrorIs(t, <-e.left, errClientClosed)
}

// Guards against a client whose answer is lost as it has said that it sends nothing more; one that has closed
// has left.
func TestClientThatEndsItsSendingStillGetsItsAnswer(t *testing.T) {
	s, e, _ := startServer(t, 4)
	e.after = 100 * time.Millisecond
	half, r := connect(t, s)
	io.WriteString(half, "POST /later HTTP/1.1\r\nContent-Length: 2\r\n\r\nab")
	assert.NoError(t, half.(*net.TCPConn).CloseWrite())
	a, err := http.ReadResponse(r, nil) // the standard library passes the interim answer over
	assert.NoError(t, err)
	for a.StatusCode == 100 {
		a, err = http.ReadResponse(r, nil)
		assert.NoError(t, err)
	}
	b, err := io.ReadAll(a.Body)
	assert.NoError(t, err)
	assert.Equal(t, []any{200, "ab"}, []any{a.StatusCode, string(b)})
	old, _ := connect(t, s)
	io.WriteString(old, "POST /wait HTTP/1.0\r\nContent-Length: 2\r\n\r\nab")
	assert.NoError(t, old.(*net.TCPConn).CloseWrite())
	assert.ErrorIs(t, <-e.left, errClientClosed, "it takes no interim answer, so that nothing tells the two apart")
}

func TestServerBeyondItsBudget(t *testing.T) {
	s, e, _ := startServer(t, 1)
	busy, _ := connect(t, s)
	io.WriteString(busy, "POST /wait HTTP/1.1\r\n\r\n")
	holds := func() bool {
		s.clients.mu.Lock()
		defer s.clients.mu.Unlock()
		for _, p := range s.clients.slots {
			return p.state == stateServing
		}
		return false
	}
	assert.Eventually(t, holds, 5*time.Second, time.Millisecond)
	c, r := connect(t, s)
	status, _, closes := roundTrip(t, c, r, echoRequest)
	assert.Equal(t, []any{503, true}, []any{status, closes})
	busy.Close()
	<-e.left //nolint:errcheck // only its end is waited for
}

func TestIdleConnectionMakesRoom(t *testing.T) {
	s, _, _ := startServer(t, 1)
	idle, r := connect(t, s)
	roundTrip(t, idle, r, echoRequest)
	c, r2 := connect(t, s)
	status, _, _ := roundTrip(t, c, r2, echoRequest)
	assert.Equal(t, 200, status)
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestConnectionThatBringsItsMessageByteByByteMakesRoom(t *testing.T) {
	s, _, _ := startServer(t, 1)
	slow, r := connect(t, s)
	io.WriteString(slow, "POST /a")
	assert.Eventually(t, func() bool {
		s.clients.mu.Lock()
		defer s.clients.mu.Unlock()
		for _, p := range s.clients.slots {
			return p.state == stateReading
		}
		return false
	}, 5*time.Second, time.Millisecond)
	c, r2 := connect(t, s)
	status, _, _ := roundTrip(t, c, r2, echoRequest)
	assert.Equal(t, 200, status)
	status, _, closes := roundTrip(t, slow, r, "")
	assert.Equal(t, []any{503, true}, []any{status, closes})
}

// Guards against a drain that waits for clients that ask for nothing.
func TestServerThatEndsLetsIdleConnectionsGoAtOnce(t *testing.T) {
	s, _, end := startServer(t, 4)
	c, r := connect(t, s)
	roundTrip(t, c, r, echoRequest)
	s.lifecycle.Stop(time.Now())
	_, _, closes := roundTrip(t, c, r, echoRequest)
	assert.True(t, closes)
	connect(t, s)
	slow, _ := connect(t, s)
	io.WriteString(slow, "POST /a")
	end()
}

// Guards against clients that connect by hundreds and say nothing, or half of something: they are told, or
// their connections end, soon after they connected.
func TestFirstMessageIsBoundFromConnecting(t *testing.T) {
	s, _, _ := startServer(t, 4)
	began := time.Now()
	_, silent := connect(t, s)
	half, r := connect(t, s)
	for range 3 {
		io.WriteString(half, "POST /a")
		time.Sleep(firstRequestTimeout / 4) // each byte does not begin it anew
	}
	_, err := silent.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	status, _, closes := roundTrip(t, half, r, "")
	assert.Equal(t, []any{408, true}, []any{status, closes})
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), 0.5)
}

// Guards against a body that is taken before its last byte, and one that is turned away though it came in
// time.
func TestBodyThatEndsAtTheWaitIsTaken(t *testing.T) {
	s, _, _ := startServer(t, 4)
	c, r := connect(t, s)
	never, r2 := connect(t, s)
	for _, half := range []net.Conn{c, never} {
		io.WriteString(half, strings.TrimSuffix(echoRequest, "b"))
	}
	time.Sleep(firstRequestTimeout - 100*time.Millisecond)
	status, body, _ := roundTrip(t, c, r, "b")
	assert.Equal(t, []any{200, "ab"}, []any{status, body})
	status, _, closes := roundTrip(t, never, r2, "")
	assert.Equal(t, []any{408, true}, []any{status, closes})
}

// Guards against a flood that keeps usual clients out: those of use stay, and new ones get in.
func TestSilentConnectionsKeepNoOtherOut(t *testing.T) {
	s, _, _ := startServer(t, 8)
	usual, r := connect(t, s)
	roundTrip(t, usual, r, echoRequest)
	for range 60 {
		connect(t, s)
	}
	began := time.Now()
	c, r2 := connect(t, s)
	status, _, _ := roundTrip(t, c, r2, echoRequest)
	assert.Equal(t, 200, status)
	assert.Less(t, time.Since(began), firstRequestTimeout/2)
	status, _, _ = roundTrip(t, usual, r, echoRequest)
	assert.Equal(t, 200, status)
}

// Guards against a client of no use so far that holds its place as long as one whose invocations are taken.
func TestConnectionThatBroughtNothingOfUseIsNotKept(t *testing.T) {
	s, _, _ := startServer(t, 8)
	c, r := connect(t, s)
	status, _, closes := roundTrip(t, c, r, "POST /none HTTP/1.1\r\n\r\n")
	assert.Equal(t, []any{404, false}, []any{status, closes})
	began := time.Now()
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, firstRequestTimeout.Seconds(), time.Since(began).Seconds(), 0.5)
}

// Guards against bodies that are announced on many connections and together exceed the memory limit.
func TestBodiesHeldAtOnceAreBounded(t *testing.T) {
	s, _, _ := startServer(t, 8)
	s.bodyBudget.available.Store(protocol.MaxBodyBytes)
	large, r := connect(t, s)
	io.WriteString(large, "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n")
	assert.Eventually(t, func() bool { return s.bodyBudget.available.Load() == 0 }, 5*time.Second, time.Millisecond)
	c, r2 := connect(t, s)
	status, _, closes := roundTrip(t, c, r2, echoRequest)
	assert.Equal(t, []any{503, true}, []any{status, closes})
	status, body, _ := roundTrip(t, large, r, strings.Repeat("a", protocol.MaxBodyBytes))
	assert.Equal(t, []int{200, protocol.MaxBodyBytes}, []int{status, len(body)})
	assert.Eventually(t, func() bool { return s.bodyBudget.available.Load() == protocol.MaxBodyBytes }, 5*time.Second,
		time.Millisecond, "all of it comes back, once the answer is on its way")
}

// Guards against chunked bodies that keep others out, as they may be long, for as long as they are worked on.
func TestChunkedBodyCountsByItsLengthOnceItIsWhole(t *testing.T) {
	s, e, _ := startServer(t, 8)
	s.bodyBudget.available.Store(protocol.MaxBodyBytes + 2)
	waits, _ := connect(t, s)
	io.WriteString(waits, "POST /wait HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	assert.Eventually(t, func() bool { return s.bodyBudget.available.Load() == protocol.MaxBodyBytes }, 5*time.Second,
		time.Millisecond)
	waits.Close()
	<-e.left //nolint:errcheck // only its end is waited for
	assert.Eventually(t, func() bool { return s.bodyBudget.available.Load() == protocol.MaxBodyBytes+2 }, 5*time.Second,
		time.Millisecond)
}
