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
	"canvasroute/internal/peertest"
)

// A drained dispatcher must complete the requests that it has admitted, admit no new ones, and keep no connection open.
func TestLeaveDrainsAndJoinAcceptsNewClients(t *testing.T) {
	admin := peertest.ReserveAddress(t)
	workerDelay := 2 * lifecycle.DrainGrace
	dispatcher := startDispatcher(t, workerDelay, nil, func(c *Config) {
		c.AdminListen = admin
		c.MaxClientTimeout = 3 * time.Second
	})
	url := dispatcher.url
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "HEALTH"))
	idle := dialClient(t, url)
	inFlight := dialClient(t, url)
	unused := dialClient(t, url)
	inFlight.send("b1")
	assert.Eventually(t, func() bool { return strings.Contains(runAdminCommand(t, admin, "DUMP"), "svc.outstanding=1\n") },
		time.Second, 10*time.Millisecond)
	drainedAt := time.Now()
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "LEAVE"))
	assert.Equal(t, "error takes no clients: leaving\n", runAdminCommand(t, admin, "HEALTH"))
	health, err := http.Get(url + "/_health")
	assert.NoError(t, err)
	health.Body.Close()
	assert.Equal(t, []any{503, true}, []any{health.StatusCode, health.Close})
	_, err = idle.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.InDelta(t, lifecycle.DrainGrace.Seconds(), time.Since(drainedAt).Seconds(), 0.3, "idle connections stay open until then")
	_, err = unused.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	late := dialClient(t, url)
	late.send("l1")
	assert.Equal(t, clientResponse{status: 503, closes: true, retryAfter: "2"}, late.receive(t),
		"rejected immediately, with a Retry-After header")
	assert.Less(t, time.Since(drainedAt), workerDelay-time.Second)
	inFlight.assertResponse(t, 200, true, "a request in flight is neither cut nor shortened")
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "JOIN"))
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "HEALTH"))
	afterJoin := dialClient(t, url)
	afterJoin.send("a1")
	afterJoin.assertResponse(t, 200, false)
	assertMetrics(t, admin,
		"svc.succeeded.render=2", "svc.declined.render=1", "svc.aborted.render=0", "svc.forwards=2", "svc.outstanding=0",
		"svc.discovered=1", "svc.ejected=0", "svc.sighup_applied=0", "svc.sighup_rejected=0")
	assert.Equal(t, "done\n", runAdminCommand(t, admin, "LEAVE"))
	assert.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	isStopping := func() bool { return runAdminCommand(t, admin, "JOIN") == "error the process ends\n" }
	assert.Eventually(t, isStopping, time.Second, time.Millisecond)
	assert.NoError(t, <-dispatcher.ended)
}

// assertMetrics checks that the DUMP response contains the lines.
func assertMetrics(t *testing.T, admin string, lines ...string) {
	t.Helper()
	dump := runAdminCommand(t, admin, "DUMP")
	for _, line := range lines {
		assert.Contains(t, dump, "\n"+line+"\n")
	}
}
