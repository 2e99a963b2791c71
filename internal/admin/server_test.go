package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/protocol"
)

// fakeHandler counts calls of Drain and Rejoin.
type fakeHandler struct {
	drains  int
	rejoins int
}

func (h *fakeHandler) Health() error { return errors.New("takes no clients: leaving") }

func (h *fakeHandler) Drain() error {
	h.drains++
	return nil
}

func (h *fakeHandler) Rejoin() error {
	h.rejoins++
	return errors.New("the process ends")
}

func (h *fakeHandler) Metrics() []protocol.Metric {
	return []protocol.Metric{{Name: "succeeded", Operation: "C", Value: 812}, {Name: "outstanding", Value: 14}}
}

// startServer runs a server until the test ends.
func startServer(t *testing.T) (addr string, handler *fakeHandler) {
	t.Helper()
	handler = &fakeHandler{}
	server, err := Listen("127.0.0.1:0", handler, zerolog.Nop())
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return server.listener.Addr().String(), handler
}

// dial connects to a server.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn.(*net.TCPConn)
}

// exchange sends a text and reads the whole response.
func exchange(t *testing.T, addr, text string) string {
	t.Helper()
	conn := dial(t, addr)
	io.WriteString(conn, text)
	return readAll(t, conn)
}

func readAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	response, err := io.ReadAll(conn)
	assert.NoError(t, err)
	return string(response)
}

func TestEachCommandIsAnswered(t *testing.T) {
	const accepted = "must be HEALTH, DUMP, LEAVE or JOIN\n"
	addr, handler := startServer(t)
	for _, c := range []struct{ name, text, want string }{
		{"dump", "DUMP\n", "done\nsvc.succeeded.C=812\nsvc.outstanding=14\nend\n"},
		{"health with CRLF", "HEALTH\r\n", "error takes no clients: leaving\n"},
		{"lines after the first are ignored", "LEAVE\nJOIN\nJOIN\n", "done\n"},
		{"join", "JOIN\n", "error the process ends\n"},
		{"empty line", "\n", "error malformed: an empty line, " + accepted},
		{"lowercase command", "leave\n", `error malformed: unknown call "leave", ` + accepted},
		{"long line without a newline", strings.Repeat("x", 100000), "error malformed: a line of more than 256 bytes\n"},
		{"long line", strings.Repeat("HEALTH ", 40) + "\n", "error malformed: a line of more than 256 bytes\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, exchange(t, addr, c.text))
		})
	}
	assert.Equal(t, []int{1, 1}, []int{handler.drains, handler.rejoins}, "only one line is read from a connection")
}

func TestIncompleteCommandIsNotRun(t *testing.T) {
	addr, handler := startServer(t)
	closing := dial(t, addr)
	io.WriteString(closing, "LEAVE")
	assert.NoError(t, closing.CloseWrite())
	assert.Equal(t, "error the line has no end\n", readAll(t, closing))
	startedAt := time.Now()
	assert.Equal(t, "error no whole line came in time\n", exchange(t, addr, "LEAVE"))
	assert.InDelta(t, commandTimeout.Seconds(), time.Since(startedAt).Seconds(), 0.5)
	assert.Zero(t, handler.drains)
}

// Callers that send nothing or do not read must not delay the response to another one.
func TestIdleConnectionsDoNotBlockOtherCallers(t *testing.T) {
	addr, _ := startServer(t)
	for n := range 100 {
		conn := dial(t, addr)
		if n%3 == 0 {
			io.WriteString(conn, "DUMP\n")
		}
	}
	startedAt := time.Now()
	assert.Contains(t, exchange(t, addr, "DUMP\n"), "end\n")
	assert.Less(t, time.Since(startedAt), time.Second)
}

// A command line may arrive just as its connection is evicted or its timeout expires.
func TestCommandThatArrivesAsItsWaitEndsIsAnswered(t *testing.T) {
	server, err := Listen("127.0.0.1:0", &fakeHandler{}, zerolog.Nop())
	assert.NoError(t, err)
	defer server.listener.Close()
	caller := dial(t, server.listener.Addr().String())
	conn, err := server.listener.Accept()
	assert.NoError(t, err)
	c := server.slots.addConnection(conn)
	io.WriteString(caller, "DUMP\n")
	awaitUnread(t, conn.(*net.TCPConn), len("DUMP\n"))
	server.slots.evictAll()
	go func() {
		server.serve(c)
		server.slots.release(c)
	}()
	assert.Contains(t, readAll(t, caller), "end\n")
}

// awaitUnread waits until a number of bytes has arrived on a connection, without reading them.
func awaitUnread(t *testing.T, conn *net.TCPConn, want int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	assert.NoError(t, err)
	assert.Eventually(t, func() bool {
		n := 0
		err := raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, want+1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		assert.NoError(t, err)
		return n == want
	}, 5*time.Second, time.Millisecond)
}

func TestAddressInUseIsAnError(t *testing.T) {
	addr, _ := startServer(t)
	_, err := Listen(addr, &fakeHandler{}, zerolog.Nop())
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	assert.ErrorContains(t, err, "admin server")
}
