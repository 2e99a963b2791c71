package daemon

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// testProcess is a dispatcher that runs beside others in the test's own process, with signals of its own.
type testProcess struct {
	signals *signals
	admin   string // address
	log     *syncBuffer
	ended   chan error
}

// startProcess starts a process and waits until it serves.
func startProcess(t *testing.T, config Config) *testProcess {
	t.Helper()
	return startProcessWith(t, config, nil)
}

// startProcessWith starts a process that reload gives its configuration again.
func startProcessWith(t *testing.T, config Config, reload func() (*Config, error)) *testProcess {
	t.Helper()
	d := &testProcess{
		signals: newSignals(),
		admin:   freeAddress(t),
		log:     &syncBuffer{},
		ended:   make(chan error, 1),
	}
	config.AdminListen = d.admin
	go func() { d.ended <- serve(&config, reload, d.signals, zerolog.New(d.log)) }()
	started := func() bool { return strings.Contains(d.log.String(), `"message":"started"`) }
	assert.Eventually(t, started, 5*time.Second, time.Millisecond)
	d.awaitAnswer(t, "HEALTH", "done\n")
	return d
}

// awaitAnswer sends a command until its answer contains a text.
func (d *testProcess) awaitAnswer(t *testing.T, command, want string) {
	t.Helper()
	answered := func() bool { return strings.Contains(runAdminCommand(t, d.admin, command), want) }
	assert.Eventually(t, answered, 5*time.Second, time.Millisecond, want)
}

// stop sends SIGTERM and waits for the end.
func (d *testProcess) stop(t *testing.T) {
	t.Helper()
	d.signals.stop <- syscall.SIGTERM
	select {
	case err := <-d.ended:
		assert.NoError(t, err)
	case <-time.After(6 * time.Second):
		t.Fatal("it does not end")
	}
}

// startHealthChecks makes clients ask for the health on new connections until stop, which counts the answers.
func startHealthChecks(url string) (stop func() (served, failed int64)) {
	var good, bad atomic.Int64
	var clients sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-done:
					return
				default:
				}
				response, err := client.Get(url + "/_health")
				if err == nil && response.StatusCode == 200 {
					good.Add(1)
				} else {
					bad.Add(1)
				}
				if err == nil {
					response.Body.Close()
				}
			}
		})
	}
	return func() (int64, int64) {
		close(done)
		clients.Wait()
		return good.Load(), bad.Load()
	}
}

// Neither connections in the old process's queue, nor health in between, nor requests in flight may be lost.
func TestHotRestartLosesNoConnectionAndNoRequest(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, 2*time.Second)
	old := startProcess(t, config)
	busy, idle := dialClient(t, url), dialClient(t, url)
	busy.send("b1")
	old.awaitAnswer(t, "DUMP", "svc.forwards=1\n")
	stop := startHealthChecks(url)
	next := startProcess(t, config)
	assert.Contains(t, next.log.String(), `"sockets":1`, "the listener")
	again := dialClient(t, url)
	again.send("b1")
	status, _, _ := again.receive(t)
	assert.Equal(t, 409, status, "its ID is in flight at the other process")
	idle.send("i1") // on a connection that the old one has
	old.awaitAnswer(t, "DUMP", "svc.forwards=2\n")
	began := time.Now()
	old.stop(t)
	assert.Less(t, time.Since(began), 1500*time.Millisecond, "it does not wait for the requests that it has handed over")
	next.awaitAnswer(t, "DUMP", "svc.outstanding=2\n")
	for _, c := range []*client{busy, idle} {
		status, closes, _ := c.receive(t)
		assert.Equal(t, []any{200, false}, []any{status, closes}, "its connection goes on at the new one")
		c.send("again" + c.LocalAddr().String())
		status, _, _ = c.receive(t)
		assert.Equal(t, 200, status)
	}
	served, failed := stop()
	assert.Positive(t, served)
	assert.Zero(t, failed)
	dump := runAdminCommand(t, next.admin, "DUMP")
	assert.Contains(t, dump, "svc.outstanding=0\n")
	assert.Contains(t, dump, "svc.succeeded.render=4\n")
	assert.Contains(t, dump, "svc.forwards=2\n", "no attempt was repeated")
	third := startProcess(t, config) // two in a row
	next.stop(t)
	third.stop(t)
}

// The old process accepts again when the new one ends before it.
func TestPredecessorTakesBackWhenItsSuccessorDies(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, time.Millisecond)
	old := startProcess(t, config)
	next := startProcess(t, config)
	old.awaitAnswer(t, "HEALTH", "error takes no clients: relieved\n")
	next.stop(t)
	old.awaitAnswer(t, "HEALTH", "done\n")
	c := dialClient(t, url)
	c.send("a1")
	status, closes, _ := c.receive(t)
	assert.Equal(t, []any{200, false}, []any{status, closes})
	third := startProcess(t, config)
	assert.Contains(t, third.log.String(), "predecessor connected", "it has the rendezvous again")
	old.stop(t)
	third.stop(t)
}

// A hot restart must not undo a drain, and commands are the serving process's, whichever of both is sent them.
func TestLeaveAndJoinAreForwardedToTheSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	old := startProcess(t, config)
	next := startProcess(t, config)
	assert.Equal(t, "done\n", runAdminCommand(t, old.admin, "LEAVE"), "meant for the one that serves")
	left := func() bool {
		return strings.Contains(runAdminCommand(t, next.admin, "HEALTH"), "error takes no clients: leaving")
	}
	assert.Eventually(t, left, time.Second, time.Millisecond)
	assert.Equal(t, "done\n", runAdminCommand(t, old.admin, "JOIN"))
	next.awaitAnswer(t, "HEALTH", "done\n")
	old.stop(t)
	next.stop(t)
}

// On a platform without Unix sockets both processes listen, and the old one drains as at any end.
func TestWithoutRendezvousBothProcessesListen(t *testing.T) {
	t.Setenv("TMPDIR", filepath.Join(t.TempDir(), "none"))
	config, url := newTestConfig(t, time.Millisecond)
	old, next := startProcess(t, config), startProcess(t, config)
	assert.Contains(t, next.log.String(), "hot restart unavailable")
	old.awaitAnswer(t, "HEALTH", "done\n")
	old.stop(t)
	for n := range 8 {
		c := dialClient(t, url)
		c.send(fmt.Sprint("a", n))
		status, _, _ := c.receive(t)
		assert.Equal(t, 200, status)
	}
	next.stop(t)
}
