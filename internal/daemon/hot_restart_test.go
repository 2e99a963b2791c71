package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/hotrestart"
	"canvasroute/internal/peertest"
)

// testProcess is a dispatcher that runs alongside others in the test process, with signals of its own.
type testProcess struct {
	signals *signals
	admin   string // admin address
	log     *syncBuffer
	ended   chan error
}

// startProcess starts a dispatcher and waits until it serves.
func startProcess(t *testing.T, config Config) *testProcess {
	t.Helper()
	return startProcessWithReload(t, config, nil)
}

// startProcessWithReload starts a dispatcher with a function that reloads its configuration.
func startProcessWithReload(t *testing.T, config Config, reload func() (*Config, error)) *testProcess {
	t.Helper()
	d := &testProcess{
		signals: newSignals(),
		admin:   peertest.ReserveAddress(t),
		log:     &syncBuffer{},
		ended:   make(chan error, 1),
	}
	config.AdminListen = d.admin
	go func() { d.ended <- serve(&config, reload, d.signals, zerolog.New(d.log)) }()
	hasStarted := func() bool { return strings.Contains(d.log.String(), `"message":"started"`) }
	assert.Eventually(t, hasStarted, 5*time.Second, time.Millisecond)
	d.awaitResponse(t, "HEALTH", "done\n")
	return d
}

// awaitResponse repeats a command until its response contains a text.
func (d *testProcess) awaitResponse(t *testing.T, command, want string) {
	t.Helper()
	containsText := func() bool { return strings.Contains(runAdminCommand(t, d.admin, command), want) }
	assert.Eventually(t, containsText, 5*time.Second, time.Millisecond, want)
}

// stop sends SIGTERM and waits for the exit.
func (d *testProcess) stop(t *testing.T) {
	t.Helper()
	d.signals.stop <- syscall.SIGTERM
	awaitExit(t, d.ended, 6*time.Second)
}

// startHealthChecks sends health checks on new connections until stop is called. stop returns the number of passed and
// failed checks.
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

// A hot restart must not lose a connection in the listen queue, a health check or a request in flight.
func TestHotRestartLosesNoConnectionAndNoRequest(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, 2*time.Second)
	predecessor := startProcess(t, config)
	inFlight := dialClient(t, url)
	idle := dialClient(t, url)
	inFlight.send("b1")
	predecessor.awaitResponse(t, "DUMP", "svc.forwards=1\n")
	stop := startHealthChecks(url)
	successor := startProcess(t, config)
	assert.Contains(t, successor.log.String(), `"sockets":1`, "the client listener")
	repeated := dialClient(t, url)
	repeated.send("b1")
	assert.Equal(t, 409, repeated.receive(t).status, "its ID is in flight at the other process")
	idle.send("i1") // on a connection of the predecessor
	predecessor.awaitResponse(t, "DUMP", "svc.forwards=2\n")
	signalledAt := time.Now()
	predecessor.stop(t)
	assert.Less(t, time.Since(signalledAt), 1500*time.Millisecond, "does not wait for requests that were handed over")
	successor.awaitResponse(t, "DUMP", "svc.outstanding=2\n")
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

// Clients that close their connections shortly before SIGTERM must not end the successor, nor cost other clients their
// responses.
func TestHotRestartSurvivesClientsThatLeave(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, time.Second)
	predecessor := startProcess(t, config)
	staying, leaving := make([]*client, 4), make([]*client, 4)
	for n := range staying {
		staying[n], leaving[n] = dialClient(t, url), dialClient(t, url)
		staying[n].send(fmt.Sprint("s", n))
		leaving[n].send(fmt.Sprint("l", n))
	}
	predecessor.awaitResponse(t, "DUMP", "svc.outstanding=8\n")
	successor := startProcess(t, config)
	for _, c := range leaving {
		c.Close()
		time.Sleep(2 * time.Millisecond) // the predecessor finds out in up to closePollInterval
	}
	predecessor.stop(t)
	for _, c := range staying {
		c.assertResponse(t, 200, false, "its connection is open at the successor")
	}
	successor.awaitResponse(t, "DUMP", "svc.outstanding=0\n")
	successor.stop(t)
}

// The predecessor must accept connections again if the successor exits first.
func TestPredecessorResumesServingAfterSuccessorExits(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, time.Millisecond)
	predecessor := startProcess(t, config)
	successor := startProcess(t, config)
	predecessor.awaitResponse(t, "HEALTH", "error takes no clients: relieved\n")
	successor.stop(t)
	predecessor.awaitResponse(t, "HEALTH", "done\n")
	c := dialClient(t, url)
	c.send("a1")
	c.assertResponse(t, 200, false)
	third := startProcess(t, config)
	assert.Contains(t, third.log.String(), "predecessor connected", "the predecessor listens on the control socket again")
	predecessor.stop(t)
	third.stop(t)
}

// A hot restart must not undo a drain. Commands apply to the serving process, regardless of which process receives
// them.
func TestLeaveAndJoinAreForwardedToTheSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	predecessor := startProcess(t, config)
	successor := startProcess(t, config)
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "LEAVE"), "applies to the serving process")
	drains := func() bool {
		return strings.Contains(runAdminCommand(t, successor.admin, "HEALTH"), "error takes no clients: leaving")
	}
	assert.Eventually(t, drains, time.Second, time.Millisecond)
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "JOIN"))
	successor.awaitResponse(t, "HEALTH", "done\n")
	predecessor.stop(t)
	successor.stop(t)
}

// connectAsSuccessor connects to a dispatcher as its successor does when it starts.
func connectAsSuccessor(t *testing.T, config Config) *hotrestart.Handover {
	t.Helper()
	handover, err := hotrestart.Connect(
		hotrestart.NewControlSocket(os.TempDir(), config.Name, config.Listen, config.PeerListen))
	if !assert.NoError(t, err) || !assert.NotNil(t, handover) {
		t.FailNow()
	}
	t.Cleanup(handover.Link.Close)
	for _, socket := range handover.Sockets {
		socket.Close()
	}
	return handover
}

// A LEAVE that is answered while a successor starts must reach the successor, whose snapshot is older.
func TestLeaveWhileTheSuccessorStartsReachesIt(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	predecessor := startProcess(t, config)
	successor := connectAsSuccessor(t, config)
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "LEAVE"))
	commands := make(chan string, 1)
	go func() {
		_ = successor.Link.Receive(hotrestart.Handler{
			Command: func(command hotrestart.Command) { commands <- command.Name },
		})
	}()
	assert.NoError(t, successor.Link.SendServing())
	assert.Equal(t, "LEAVE", peertest.Receive(t, commands))
	predecessor.stop(t)
}

// A LEAVE that a successor has answered must hold if the successor exits before its predecessor.
func TestDrainOutlivesTheSuccessorThatRanLeave(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	predecessor := startProcess(t, config)
	successor := startProcess(t, config)
	predecessor.awaitResponse(t, "HEALTH", "error takes no clients: relieved\n")
	assert.Equal(t, "done\n", runAdminCommand(t, successor.admin, "LEAVE"))
	successor.stop(t)
	resumed := func() bool { return strings.Contains(predecessor.log.String(), `"message":"successor ended"`) }
	assert.Eventually(t, resumed, 5*time.Second, time.Millisecond)
	assert.NotEqual(t, "done\n", runAdminCommand(t, predecessor.admin, "HEALTH"))
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "JOIN"))
	assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, "HEALTH"))
	predecessor.stop(t)
}

// A LEAVE that the predecessor forwards must be on disk when it is answered, and a JOIN must remove it.
func TestForwardedDrainIsPersisted(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	config.Fleet = readTestFleet(t, config)
	predecessor := startProcess(t, config)
	successor := startProcess(t, config)
	predecessor.awaitResponse(t, "HEALTH", "error takes no clients: relieved\n")
	for _, c := range []struct {
		command string
		drained bool
	}{{"LEAVE", true}, {"JOIN", false}, {"LEAVE", true}} {
		assert.Equal(t, "done\n", runAdminCommand(t, predecessor.admin, c.command))
		assert.Equal(t, c.drained, readStoredDrain(t, config))
	}
	predecessor.stop(t)
	successor.stop(t)
}

// If a client sends the ID of a request that the predecessor serves to the successor at the same moment, only one of the
// two requests may be served.
func TestSameIDAtBothProcessesIsServedOnce(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, 100*time.Millisecond)
	predecessor := startProcess(t, config)
	atPredecessor := dialClient(t, url)
	atPredecessor.send("warm-up")
	atPredecessor.assertResponse(t, 200, false)
	successor := startProcess(t, config)
	predecessor.awaitResponse(t, "HEALTH", "error takes no clients: relieved\n")
	atSuccessor := dialClient(t, url)
	atPredecessor.send("same")
	atSuccessor.send("same")
	statuses := []int{atPredecessor.receive(t).status, atSuccessor.receive(t).status}
	assert.ElementsMatch(t, []int{200, 409}, statuses)
	predecessor.stop(t)
	successor.stop(t)
}

// The client of a request that must not be executed twice may leave, and send its ID again to the other process of a hot
// restart.
func TestIDOfAClientThatLeftIsRefusedByTheSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, time.Second)
	config.Balancer.Operations[0].Idempotency = balancer.NonIdempotent
	predecessor := startProcess(t, config)
	leaving := dialClient(t, url)
	leaving.send("left")
	predecessor.awaitResponse(t, "DUMP", "svc.forwards=1\n")
	leaving.Close()
	predecessor.awaitResponse(t, "DUMP", "svc.outstanding=0\n")
	successor := startProcess(t, config)
	predecessor.awaitResponse(t, "HEALTH", "error takes no clients: relieved\n")
	assertRefused := func(explanation string) {
		again := dialClient(t, url)
		again.send("left")
		assert.Equal(t, 409, again.receive(t).status, explanation)
	}
	assertRefused("while both processes serve")
	predecessor.stop(t)
	successor.awaitResponse(t, "DUMP", "svc.forwards=0\n")
	assertRefused("after the predecessor has exited")
	successor.stop(t)
}

// On a platform without Unix sockets both processes listen, and the predecessor shuts down as if it had no successor.
func TestBothProcessesListenWithoutControlSocket(t *testing.T) {
	t.Setenv("TMPDIR", filepath.Join(t.TempDir(), "none"))
	config, url := newTestConfig(t, time.Millisecond)
	predecessor, successor := startProcess(t, config), startProcess(t, config)
	assert.Contains(t, successor.log.String(), "hot restart unavailable")
	predecessor.awaitResponse(t, "HEALTH", "done\n")
	predecessor.stop(t)
	for n := range 8 {
		c := dialClient(t, url)
		c.send(fmt.Sprint("a", n))
		assert.Equal(t, 200, c.receive(t).status)
	}
	successor.stop(t)
}
