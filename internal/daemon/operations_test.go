package daemon

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
)

// reloadableProcess is a process with a configuration file that a test replaces.
type reloadableProcess struct {
	*testProcess
	url  string
	path string // of the configuration file
	text string // of the first configuration
}

// startReloadable starts a process with a configuration file.
func startReloadable(t *testing.T, workerDelay time.Duration, cores float64) *reloadableProcess {
	t.Helper()
	config, url := newTestConfig(t, workerDelay)
	config.Cores = cores
	config.PeerListen = ""
	path := filepath.Join(t.TempDir(), "config.json")
	return &reloadableProcess{
		testProcess: startProcessWith(t, config, func() (*Config, error) {
			return ReloadConfig(fakeEnv("LB_CONFIG", path))
		}),
		url:  url,
		path: path,
		text: standaloneConfiguration(config.Listen),
	}
}

// reload writes the first configuration with one text replaced, and signals the process.
func (p *reloadableProcess) reload(t *testing.T, old, replacement string) {
	t.Helper()
	writeFile(t, p.path+".new", strings.Replace(p.text, old, replacement, 1))
	assert.NoError(t, os.Rename(p.path+".new", p.path))
	select {
	case p.signals.reload <- syscall.SIGHUP:
	default: // one has not been handled yet, as with a real signal
	}
}

// All shards must have the settings of the last file, however fast the files follow each other.
func TestTenReloadsWithinASecondEndWithTheLastFile(t *testing.T) {
	dispatcher := startReloadable(t, 300*time.Millisecond, 2)
	inFlight := dialClient(t, dispatcher.url)
	inFlight.send("o1")
	dispatcher.awaitAnswer(t, "DUMP", "svc.forwards=1\n")
	for n := range 10 {
		dispatcher.reload(t, `"name":"render"`, fmt.Sprintf(`"name":"render%d"`, n))
		time.Sleep(50 * time.Millisecond)
	}
	dispatcher.awaitAnswer(t, "DUMP", "svc.succeeded.render9=0\n")
	assert.Equal(t, 200, inFlight.receive(t).status, "its operation is gone, the request is not")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "LEAVE"))
	dispatcher.reload(t, `"maxForwards":3`, `"maxForwards":1`)
	dispatcher.awaitAnswer(t, "DUMP", "svc.sighup_rejected=0\n")
	applied := func() bool { return strings.Contains(dispatcher.log.String(), `"forwards":1,`) }
	assert.Eventually(t, applied, time.Second, time.Millisecond, "also while it drains")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "JOIN"))
	for n := range 4 { // by each shard
		c := dialClient(t, dispatcher.url)
		c.send(fmt.Sprint("r", n))
		assert.Equal(t, 200, c.receive(t).status, "render is an operation again")
	}
	dispatcher.stop(t)
}

// A successor that cannot start must not take over. Beside one that serves, each process reloads for itself.
func TestSuccessorThatCannotStartLeavesThePredecessorServing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dispatcher := startReloadable(t, time.Millisecond, 1)
	config, _ := newTestConfig(t, time.Millisecond)
	config.Listen = strings.TrimPrefix(dispatcher.url, "http://")
	config.PeerListen = ""
	config.AdminListen = dispatcher.admin
	err := serve(&config, nil, dispatcher.signals, zerolog.Nop())
	assert.ErrorContains(t, err, "admin server")
	dispatcher.awaitAnswer(t, "HEALTH", "done\n")
	successor := startProcess(t, config)
	dispatcher.awaitAnswer(t, "HEALTH", "relieved")
	dispatcher.reload(t, `"maxForwards":3`, `"maxForwards":0`)
	dispatcher.awaitAnswer(t, "DUMP", "svc.sighup_rejected=1\n")
	dispatcher.reload(t, `"maxForwards":3`, `"maxForwards":2`)
	dispatcher.awaitAnswer(t, "DUMP", "svc.sighup_applied=1\n")
	dispatcher.stop(t)
	c := dialClient(t, dispatcher.url)
	c.send("a1")
	assert.Equal(t, 200, c.receive(t).status)
	successor.stop(t)
}

// A drain must not cut a long request, nor admit one that is not complete in time. The client of a pipelined request must
// see that it was not begun.
func TestDrainOfOpenConnections(t *testing.T) {
	dispatcher := startReloadable(t, 4*time.Second, 1)
	long := dialClient(t, dispatcher.url)
	incomplete := dialClient(t, dispatcher.url)
	pipelining := dialClient(t, dispatcher.url)
	long.send("l1")
	io.WriteString(incomplete, "POST /api HTTP/1.1\r\nReq-Id: h1\r\nReq-Kind: render\r\nContent-Length: 2\r\n\r\na")
	pipelining.send("t1")
	pipelining.send("t2")
	dispatcher.awaitAnswer(t, "DUMP", "svc.outstanding=2\n")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "LEAVE"))
	incomplete.assertResponse(t, 408, true, "it was never complete")
	for _, c := range []*client{long, pipelining} {
		c.assertResponse(t, 200, true)
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "the second one was not begun, and its client sees that")
	}
	dispatcher.awaitAnswer(t, "DUMP", "svc.outstanding=0\n")
	assert.Contains(t, runAdminCommand(t, dispatcher.admin, "DUMP"), "svc.forwards=2\n")
	assert.Greater(t, 4*time.Second, lifecycle.DrainGrace)
	dispatcher.stop(t)
}

// Where a program without hot restart has the address, the start must fail and not open a queue beside it.
func TestAddressInUseByProgramWithoutHotRestart(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	listener, err := net.Listen("tcp", config.Listen)
	assert.NoError(t, err)
	defer listener.Close()
	config.AdminListen = freeAddress(t)
	err = serve(&config, nil, newSignals(), zerolog.Nop())
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	assert.ErrorContains(t, err, config.Listen)
}

// Commands must not wait for connections of clients.
func TestOperatorsAreAnsweredWhileAllClientConnectionsAreInUse(t *testing.T) {
	dispatcher := startReloadable(t, time.Millisecond, 1)
	var conns []net.Conn
	for range 700 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.url, "http://"))
		assert.NoError(t, err)
		conns = append(conns, conn)
	}
	for range 50 {
		askedAt := time.Now()
		assert.Contains(t, runAdminCommand(t, dispatcher.admin, "DUMP"), "end\n")
		assert.Less(t, time.Since(askedAt), time.Second)
	}
	for _, conn := range conns {
		conn.Close()
	}
	dispatcher.stop(t)
}
