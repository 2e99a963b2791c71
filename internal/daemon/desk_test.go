package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
)

// called makes one call at the operators' door.
func called(t *testing.T, addr, call string) string {
	c, err := net.Dial("tcp", addr)
	if !assert.NoError(t, err) {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, call)
	b, err := io.ReadAll(c)
	assert.NoError(t, err)
	return string(b)
}

// client is one connection of a client's.
type client struct {
	net.Conn
	in *bufio.Reader
}

func connected(t *testing.T, url string) *client {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// asks hands in one invocation.
func (c *client) asks(id string) {
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: render\r\nReq-Deadline: 9\r\n"+
		"Content-Length: 0\r\n\r\n", id)
}

// hears reads one answer.
func (c *client) hears(t *testing.T) (status int, closes bool, comeBack string) {
	a, err := http.ReadResponse(c.in, nil)
	if !assert.NoError(t, err) {
		return 0, true, ""
	}
	io.Copy(io.Discard, a.Body)
	return a.StatusCode, a.Close, a.Header.Get("Retry-After")
}

// Guards against a drained dispatcher that loses what it has taken, holds connections, or takes more.
func TestLeaveEmptiesAndJoinTakesClientsAgain(t *testing.T) {
	mgmt := freeAddress(t)
	long := 2 * lifecycle.AcceptAfterStop
	url, _, ended := running(t, long, nil, func(p *Config) { p.AdminListen, p.MaxClientTimeout = mgmt, 3*time.Second })
	assert.Equal(t, "done\n", called(t, mgmt, "HEALTH"))
	idle, busy, late := connected(t, url), connected(t, url), connected(t, url)
	busy.asks("b1")
	assert.Eventually(t, func() bool { return strings.Contains(called(t, mgmt, "DUMP"), "svc.outstanding=1\n") },
		time.Second, 10*time.Millisecond)
	left := time.Now()
	assert.Equal(t, "done\n", called(t, mgmt, "LEAVE"))
	assert.Equal(t, "error takes no clients: leaving\n", called(t, mgmt, "HEALTH"))
	a, err := http.Get(url + "/_health")
	assert.NoError(t, err)
	a.Body.Close()
	assert.Equal(t, []any{503, true}, []any{a.StatusCode, a.Close})
	_, err = idle.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, lifecycle.AcceptAfterStop.Seconds(), time.Since(left).Seconds(), 0.3, "clients may use it until then")
	_, err = late.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	late = connected(t, url)
	late.asks("l1")
	status, closes, comeBack := late.hears(t)
	assert.Equal(t, []any{503, true, "2"}, []any{status, closes, comeBack}, "at once, with when to come back")
	assert.Less(t, time.Since(left), long-time.Second)
	status, closes, _ = busy.hears(t)
	assert.Equal(t, []any{200, true}, []any{status, closes}, "what was taken is neither cut nor shortened")
	assert.Equal(t, "done\n", called(t, mgmt, "JOIN"))
	assert.Equal(t, "done\n", called(t, mgmt, "HEALTH"))
	again := connected(t, url)
	again.asks("a1")
	status, closes, _ = again.hears(t)
	assert.Equal(t, []any{200, false}, []any{status, closes})
	dump := called(t, mgmt, "DUMP")
	for _, line := range []string{
		"svc.succeeded.render=2", "svc.declined.render=1", "svc.aborted.render=0",
		"svc.forwards=2",
		"svc.outstanding=0", "svc.discovered=1", "svc.ejected=0", "svc.sighup_applied=0", "svc.sighup_rejected=0",
	} {
		assert.Contains(t, dump, "\n"+line+"\n")
	}
	assert.Equal(t, "done\n", called(t, mgmt, "LEAVE"))
	assert.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	ends := func() bool { return called(t, mgmt, "JOIN") == "error the process ends\n" }
	assert.Eventually(t, ends, time.Second, time.Millisecond)
	assert.NoError(t, <-ended)
}
