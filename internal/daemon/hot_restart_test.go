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

// startProcessWith starts a process whose configuration reload reads again.
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
	hasStarted := func() bool { return strings.Contains(d.log.String(), `"message":"started"`) }
	assert.Eventually(t, hasStarted, 5*time.Second, time.Millisecond)
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
	awaitEnd(t, d.ended, 6*time.Second)
}

// startHealthChecks checks the health on new connections until stop, which returns how many checks passed and failed.
func startHealthChecks(url string) (stop func() (passed, failed int64)) {
	var passed, failed atomic.Int64
	var clients sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		clients.Go(func() {
			httpClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-done:
					return
				default:
				}
				response, err := httpClient.Get(url + "/_health")
				if err == nil && response.StatusCode == 200 {
					passed.Add(1)
				} else {
					failed.Add(1)
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
		return passed.Load(), failed.Load()
	}
}

// No connection in the listener's queue, no health check and no request in flight may be lost.
func TestHotRestartLosesNoConnectionAndNoRequest(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, 2*time.Second)
	predecessor := startProcess(t, config)
	inFlight := dialClient(t, url)
	idle := dialClient(t, url)
	inFlight.send("b1")
	predecessor.awaitAnswer(t, "DUMP", "svc.forwards=1\n")
	stop := startHealthChecks(url)
	successor := startProcess(t, config)
	assert.Contains(t, successor.log.String(), `"sockets":1`, "the listener")
	repeated := dialClient(t, url)
	repeated.send("b1")
	assert.Equal(t, 409, repeated.receive(t).status, "its ID is in flight at the other process")
	idle.send("i1") // on a connection that the predecessor has
	predecessor.awaitAnswer(t, "DUMP", "svc.forwards=2\n")
	signalledAt := time.Now()
	predecessor.stop(t)
	assert.Less(t, time.Since(signalledAt), 1500*time.Millisecond, "it does not wait for the requests that it has handed over")
	successor.awaitAnswer(t, "DUMP", "svc.outstanding=2\n")
	for _, c := range []*client{inFlight, idle} {
		c.assertResponse(t, 200, false, "its connection is open at the successor")
		c.send("again" + c.LocalAddr().String())
		assert.Equal(t, 200, c.receive(t).status)
	}
	passed, failed := stop()
	assert.Positive(t, passed)
	assert.Zero(t, failed)
	dump := runAdminCommand(t, successor.admin, "DUMP")
	assert.Contains(t, dump, "svc.outstanding=0\n")
	assert.Contains(t, dump, "svc.succeeded.render=4\n")
	assert.Contains(t, dump, "svc.forwards=2\n", "no attempt was repeated")
	third := startProcess(t, config) // a second hot restart in a row
	successor.stop(t)
	third.stop(t)
}

// The predecessor accepts again when the successor ends before it.
func TestPredecessorTakesBackWhenItsSuccessorDies(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, time.Millisecond)
	predecessor := startProcess(t, config)
	successor := startProcess(t, config)
	predecessor.awaitAnswer(t, "HEALTH", "error takes no clients: relieved\n")
	successor.stop(t)
	predecessor.awaitAnswer(t, "HEALTH", "done\n")
	c := dialClient(t, url)
	c.send("a1")
	c.assertResponse(t, 200, false)
	third := startProcess(t, config)
	assert.Contains(t, third.log.String(), "predecessor connected", "it has the rendezvous again")
	predecessor.stop(t)
	third.stop(t)
}

// A hot restart must not undo a drain. Commands are meant for the process that serves, whichever receives them.
func TestLeaveAndJoinAreForwardedToTheSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	predecessor := startProcess(t, config)
	successor := startProcess(t, config)
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "LEAVE"), "meant for the one that serves")
	drains := func() bool {
		return strings.Contains(runAdminCommand(t, successor.admin, "HEALTH"), "error takes no clients: leaving")
	}
	assert.Eventually(t, drains, time.Second, time.Millisecond)
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "JOIN"))
	successor.awaitAnswer(t, "HEALTH", "done\n")
	predecessor.stop(t)
	successor.stop(t)
}

// On a platform without Unix sockets both processes listen, and the predecessor shuts down as without a successor.
func TestWithoutRendezvousBothProcessesListen(t *testing.T) {
	t.Setenv("TMPDIR", filepath.Join(t.TempDir(), "none"))
	config, url := newTestConfig(t, time.Millisecond)
	predecessor, successor := startProcess(t, config), startProcess(t, config)
	assert.Contains(t, successor.log.String(), "hot restart unavailable")
	predecessor.awaitAnswer(t, "HEALTH", "done\n")
	predecessor.stop(t)
	for n := range 8 {
		c := dialClient(t, url)
		c.send(fmt.Sprint("a", n))
		assert.Equal(t, 200, c.receive(t).status)
	}
	successor.stop(t)
}
