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
	"canvasroute/internal/peertest"
)

// reloadableProcess is a process with a configuration file that tests can replace.
type reloadableProcess struct {
	*testProcess
	url  string
	path string // path of the configuration file
	text string // text of the initial configuration
}

// startReloadable starts a process with a configuration file.
func startReloadable(t *testing.T, workerDelay time.Duration, cores float64) *reloadableProcess {
	t.Helper()
	config, url := newTestConfig(t, workerDelay)
	config.Cores = cores
	config.PeerListen = ""
	path := filepath.Join(t.TempDir(), "config.json")
	return &reloadableProcess{
		testProcess: startProcessWithReload(t, config, func() (*Config, error) {
			return ReloadConfig(fakeEnv("LB_CONFIG", path))
		}),
		url:  url,
		path: path,
		text: standaloneConfiguration(config.Listen),
	}
}

// reload writes the initial configuration with one text replaced, and sends SIGHUP to the process.
func (p *reloadableProcess) reload(t *testing.T, old, replacement string) {
	t.Helper()
	writeFile(t, p.path+".new", strings.Replace(p.text, old, replacement, 1))
	assert.NoError(t, os.Rename(p.path+".new", p.path))
	select {
	case p.signals.reload <- syscall.SIGHUP:
	default: // drops the signal if one is pending, like the real signal handling
	}
}

// All shards must end up with the settings of the last file, however quickly the reloads follow each other.
func TestRapidReloadsApplyLastFile(t *testing.T) {
	dispatcher := startReloadable(t, 300*time.Millisecond, 2)
	inFlight := dialClient(t, dispatcher.url)
	inFlight.send("o1")
	dispatcher.awaitResponse(t, "DUMP", "svc.forwards=1\n")
	for n := range 10 {
		dispatcher.reload(t, `"name":"render"`, fmt.Sprintf(`"name":"render%d"`, n))
		time.Sleep(50 * time.Millisecond)
	}
	dispatcher.awaitResponse(t, "DUMP", "svc.succeeded.render9=0\n")
	assert.Equal(t, 200, inFlight.receive(t).status, "a request in flight is completed after its operation was removed")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "LEAVE"))
	dispatcher.reload(t, `"maxForwards":3`, `"maxForwards":1`)
	dispatcher.awaitResponse(t, "DUMP", "svc.sighup_rejected=0\n")
	applied := func() bool { return strings.Contains(dispatcher.log.String(), `"forwards":1,`) }
	assert.Eventually(t, applied, time.Second, time.Millisecond, "a reload is also applied while draining")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "JOIN"))
	for n := range 4 { // reaches each shard
		c := dialClient(t, dispatcher.url)
		c.send(fmt.Sprint("r", n))
		assert.Equal(t, 200, c.receive(t).status, "render is a valid operation again")
	}
	dispatcher.stop(t)
}

// A successor that fails to start must not take over. The two processes of a hot restart reload independently.
func TestSuccessorThatCannotStartLeavesThePredecessorServing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dispatcher := startReloadable(t, time.Millisecond, 1)
	config, _ := newTestConfig(t, time.Millisecond)
	config.Listen = strings.TrimPrefix(dispatcher.url, "http://")
	config.PeerListen = ""
	config.AdminListen = dispatcher.admin
	err := serve(&config, nil, dispatcher.signals, zerolog.Nop())
	assert.ErrorContains(t, err, "admin server")
	dispatcher.awaitResponse(t, "HEALTH", "done\n")
	successor := startProcess(t, config)
	dispatcher.awaitResponse(t, "HEALTH", "relieved")
	dispatcher.reload(t, `"maxForwards":3`, `"maxForwards":0`)
	dispatcher.awaitResponse(t, "DUMP", "svc.sighup_rejected=1\n")
	dispatcher.reload(t, `"maxForwards":3`, `"maxForwards":2`)
	dispatcher.awaitResponse(t, "DUMP", "svc.sighup_applied=1\n")
	dispatcher.stop(t)
	c := dialClient(t, dispatcher.url)
	c.send("a1")
	assert.Equal(t, 200, c.receive(t).status)
	successor.stop(t)
}

// A drain must neither abort a long request nor admit a request that is not completely received in time. A client must
// be able to detect that a pipelined request was not processed.
func TestDrainCompletesAdmittedRequestsAndClosesConnections(t *testing.T) {
	dispatcher := startReloadable(t, 4*time.Second, 1)
	long := dialClient(t, dispatcher.url)
	incomplete := dialClient(t, dispatcher.url)
	pipelining := dialClient(t, dispatcher.url)
	long.send("l1")
	io.WriteString(incomplete, "POST /api HTTP/1.1\r\nReq-Id: h1\r\nReq-Kind: render\r\nContent-Length: 2\r\n\r\na")
	pipelining.send("t1")
	pipelining.send("t2")
	dispatcher.awaitResponse(t, "DUMP", "svc.outstanding=2\n")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "LEAVE"))
	incomplete.assertResponse(t, 408, true, "the request was not received completely")
	for _, c := range []*client{long, pipelining} {
		c.assertResponse(t, 200, true)
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "the connection is closed without a response to a second request")
	}
	dispatcher.awaitResponse(t, "DUMP", "svc.outstanding=0\n")
	assert.Contains(t, runAdminCommand(t, dispatcher.admin, "DUMP"), "svc.forwards=2\n")
	assert.Greater(t, 4*time.Second, lifecycle.DrainGrace)
	dispatcher.stop(t)
}

// If a program without hot restart uses the address, the start must fail instead of opening a second listen queue.
func TestStartFailsIfAnotherProgramUsesTheAddress(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	listener, err := net.Listen("tcp", config.Listen)
	assert.NoError(t, err)
	defer listener.Close()
	config.AdminListen = peertest.ReserveAddress(t)
	err = serve(&config, nil, newSignals(), zerolog.Nop())
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	assert.ErrorContains(t, err, config.Listen)
}

// Admin commands must not wait for free client connections.
func TestAdminCommandsSucceedWhileAllClientConnectionsAreInUse(t *testing.T) {
	dispatcher := startReloadable(t, time.Millisecond, 1)
	var conns []net.Conn
	for range 700 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.url, "http://"))
		assert.NoError(t, err)
		conns = append(conns, conn)
	}
	for range 50 {
		sentAt := time.Now()
		assert.Contains(t, runAdminCommand(t, dispatcher.admin, "DUMP"), "end\n")
		assert.Less(t, time.Since(sentAt), time.Second)
	}
	for _, conn := range conns {
		conn.Close()
	}
	dispatcher.stop(t)
}
