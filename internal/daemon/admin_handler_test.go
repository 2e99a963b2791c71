package daemon

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
)

// A drained dispatcher must finish the requests that it has taken, take no more, and keep no connection.
func TestLeaveDrainsAndJoinTakesClientsAgain(t *testing.T) {
	admin := freeAddress(t)
	long := 2 * lifecycle.DrainGrace
	url, _, ended := startDispatcher(t, long, nil, func(p *Config) { p.AdminListen, p.MaxClientTimeout = admin, 3*time.Second })
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "HEALTH"))
	idle, busy, late := dialClient(t, url), dialClient(t, url), dialClient(t, url)
	busy.send("b1")
	assert.Eventually(t, func() bool { return strings.Contains(runAdminCommand(t, admin, "DUMP"), "svc.outstanding=1\n") },
		time.Second, 10*time.Millisecond)
	left := time.Now()
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "LEAVE"))
	assert.Equal(t, "error takes no clients: leaving\n", runAdminCommand(t, admin, "HEALTH"))
	a, err := http.Get(url + "/_health")
	assert.NoError(t, err)
	a.Body.Close()
	assert.Equal(t, []any{503, true}, []any{a.StatusCode, a.Close})
	_, err = idle.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, lifecycle.DrainGrace.Seconds(), time.Since(left).Seconds(), 0.3, "clients may use it until then")
	_, err = late.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	late = dialClient(t, url)
	late.send("l1")
	status, closes, retryAfter := late.receive(t)
	assert.Equal(t, []any{503, true, "2"}, []any{status, closes, retryAfter}, "at once, with when to retry")
	assert.Less(t, time.Since(left), long-time.Second)
	status, closes, _ = busy.receive(t)
	assert.Equal(t, []any{200, true}, []any{status, closes}, "a request in flight is neither cut nor shortened")
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "JOIN"))
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "HEALTH"))
	again := dialClient(t, url)
	again.send("a1")
	status, closes, _ = again.receive(t)
	assert.Equal(t, []any{200, false}, []any{status, closes})
	assertMetrics(t, admin,
		"svc.succeeded.render=2", "svc.declined.render=1", "svc.aborted.render=0", "svc.forwards=2", "svc.outstanding=0",
		"svc.discovered=1", "svc.ejected=0", "svc.sighup_applied=0", "svc.sighup_rejected=0")
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "LEAVE"))
	assert.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	ends := func() bool { return runAdminCommand(t, admin, "JOIN") == "error the process ends\n" }
	assert.Eventually(t, ends, time.Second, time.Millisecond)
	assert.NoError(t, <-ended)
}

// assertMetrics checks that the answer to DUMP has lines.
func assertMetrics(t *testing.T, admin string, lines ...string) {
	t.Helper()
	dump := runAdminCommand(t, admin, "DUMP")
	for _, line := range lines {
		assert.Contains(t, dump, "\n"+line+"\n")
	}
}
