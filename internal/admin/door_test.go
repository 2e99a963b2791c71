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

type fakeHandler struct{ left, joined int }

func (d *fakeHandler) Health() error { return errors.New("takes no clients: leaving") }
func (d *fakeHandler) Drain() error  { d.left++; return nil }
func (d *fakeHandler) Rejoin() error { d.joined++; return errors.New("the process ends") }
func (d *fakeHandler) Metrics() []protocol.Metric {
	return []protocol.Metric{{Name: "succeeded", Operation: "C", Value: 812}, {Name: "outstanding", Value: 14}}
}

func opened(t *testing.T) (addr string, desk *fakeHandler) {
	desk = &fakeHandler{}
	d, err := Listen("127.0.0.1:0", desk, zerolog.Nop())
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return d.ln.Addr().String(), desk
}

// call sends a text, ends its sending if it is told to, and reads the answer to its end.
func call(t *testing.T, addr, text string, ends bool) string {
	c, err := net.Dial("tcp", addr)
	assert.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, text)
	if ends {
		assert.NoError(t, c.(*net.TCPConn).CloseWrite())
	}
	b, err := io.ReadAll(c)
	assert.NoError(t, err)
	return string(b)
}

func TestEachCallHasItsAnswer(t *testing.T) {
	const must = "must be HEALTH, DUMP, LEAVE or JOIN\n"
	addr, desk := opened(t)
	for text, want := range map[string]string{
		"DUMP\n":                             "done\nsvc.succeeded.C=812\nsvc.outstanding=14\nend\n",
		"HEALTH\r\n":                         "error takes no clients: leaving\n",
		"LEAVE\nJOIN\nJOIN\n":                "done\n",
		"JOIN\n":                             "error the process ends\n",
		"\n":                                 "error malformed: an empty line, " + must,
		"leave\n":                            `error malformed: unknown call "leave", ` + must,
		strings.Repeat("x", 100000):          "error malformed: a line of more than 256 bytes\n",
		strings.Repeat("HEALTH ", 40) + "\n": "error malformed: a line of more than 256 bytes\n",
	} {
		assert.Equal(t, want, call(t, addr, text, false), text[:min(len(text), 20)])
	}
	assert.Equal(t, []int{1, 1}, []int{desk.left, desk.joined}, "one line to a connection")
}

func TestHalfACallIsNotDone(t *testing.T) {
	addr, desk := opened(t)
	assert.Equal(t, "error the line has no end\n", call(t, addr, "LEAVE", true))
	began := time.Now()
	assert.Equal(t, "error no whole line came in time\n", call(t, addr, "LEAVE", false))
	assert.InDelta(t, lineWithin.Seconds(), time.Since(began).Seconds(), 0.5)
	assert.Zero(t, desk.left)
}

// Guards against callers that connect and say nothing, or do not read: a good one among them is answered in
// time.
func TestSilentCallersKeepNoOtherOut(t *testing.T) {
	addr, _ := opened(t)
	for n := range 100 {
		c, err := net.Dial("tcp", addr)
		assert.NoError(t, err)
		defer c.Close()
		if n%3 == 0 {
			io.WriteString(c, "DUMP\n")
		}
	}
	began := time.Now()
	assert.Contains(t, call(t, addr, "DUMP\n", false), "end\n")
	assert.Less(t, time.Since(began), time.Second)
}

// A line comes as its caller's place is wanted by another, or its time is up.
func TestLineThatCrossesTheEndOfItsWaitIsAnswered(t *testing.T) {
	d, err := Listen("127.0.0.1:0", &fakeHandler{}, zerolog.Nop())
	assert.NoError(t, err)
	defer d.ln.Close()
	caller, err := net.Dial("tcp", d.ln.Addr().String())
	assert.NoError(t, err)
	defer caller.Close()
	conn, err := d.ln.Accept()
	assert.NoError(t, err)
	c := d.enter(conn)
	io.WriteString(caller, "DUMP\n")
	assert.Eventually(t, func() bool { // the line is there, and was not read
		raw, err := conn.(*net.TCPConn).SyscallConn()
		assert.NoError(t, err)
		n := 0
		err = raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 8), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		assert.NoError(t, err)
		return n == len("DUMP\n")
	}, 5*time.Second, time.Millisecond)
	d.hurry()
	go func() {
		d.attend(c)
		d.leave(c)
	}()
	answer, err := io.ReadAll(caller)
	assert.NoError(t, err)
	assert.Contains(t, string(answer), "end\n")
}

func TestAnAddressInUseIsAFault(t *testing.T) {
	addr, _ := opened(t)
	_, err := Listen(addr, &fakeHandler{}, zerolog.Nop())
	assert.ErrorContains(t, err, "admin server")
}
