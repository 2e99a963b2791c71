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

// startReloadable starts a process with a configuration file, in which reload replaces a text before it signals.
func startReloadable(t *testing.T, workerDelay time.Duration, cores float64) (dispatcher *testProcess, url string,
	reload func(old, replacement string),
) {
	t.Helper()
	config, url := newTestConfig(t, workerDelay)
	config.Cores = cores
	config.PeerListen = ""
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.NewReplacer("127.0.0.1:8080", config.Listen, "127.0.0.1:8500", "127.0.0.1:9", `"peers":true`,
		`"peers":false`).Replace(testConfiguration)
	dispatcher = startProcessWith(t, config, func() (*Config, error) { return ReloadConfig(fakeEnv("LB_CONFIG", path)) })
	return dispatcher, url, func(old, replacement string) {
		assert.NoError(t, os.WriteFile(path+".new", []byte(strings.Replace(text, old, replacement, 1)), 0o600))
		assert.NoError(t, os.Rename(path+".new", path))
		select {
		case dispatcher.signals.reload <- syscall.SIGHUP:
		default: // one is waiting to be answered, as with a signal
		}
	}
}

// All shards must have the settings of the last file, however fast the files follow each other.
func TestTenReloadsWithinASecondEndWithTheLastFile(t *testing.T) {
	dispatcher, url, reload := startReloadable(t, 300*time.Millisecond, 2)
	open := dialClient(t, url)
	open.send("o1")
	dispatcher.awaitAnswer(t, "DUMP", "svc.forwards=1\n")
	for n := range 10 {
		reload(`"name":"render"`, fmt.Sprintf(`"name":"render%d"`, n))
		time.Sleep(50 * time.Millisecond)
	}
	dispatcher.awaitAnswer(t, "DUMP", "svc.succeeded.render9=0\n")
	status, _, _ := open.receive(t)
	assert.Equal(t, 200, status, "its operation is gone, the request is not")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "LEAVE"))
	reload(`"maxForwards":3`, `"maxForwards":1`)
	dispatcher.awaitAnswer(t, "DUMP", "svc.sighup_rejected=0\n")
	assert.Eventually(t, func() bool { return strings.Contains(dispatcher.log.String(), `"forwards":1,`) }, time.Second,
		time.Millisecond, "also while it drains")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "JOIN"))
	for n := range 4 { // by each shard
		c := dialClient(t, url)
		c.send(fmt.Sprint("r", n))
		status, _, _ = c.receive(t)
		assert.Equal(t, 200, status, "render is back")
	}
	dispatcher.stop(t)
}

// A new process that cannot serve must not take over; one that serves leaves reloads to each process itself.
func TestSuccessorThatCannotStartLeavesThePredecessorServing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dispatcher, url, reload := startReloadable(t, time.Millisecond, 1)
	config, _ := newTestConfig(t, time.Millisecond)
	config.Listen, config.PeerListen, config.AdminListen = strings.TrimPrefix(url, "http://"), "", dispatcher.admin
	err := serve(&config, nil, dispatcher.signals, zerolog.Nop())
	assert.ErrorContains(t, err, "admin server")
	dispatcher.awaitAnswer(t, "HEALTH", "done\n")
	next := startProcess(t, config)
	dispatcher.awaitAnswer(t, "HEALTH", "relieved")
	reload(`"maxForwards":3`, `"maxForwards":0`)
	dispatcher.awaitAnswer(t, "DUMP", "svc.sighup_rejected=1\n")
	reload(`"maxForwards":3`, `"maxForwards":2`)
	dispatcher.awaitAnswer(t, "DUMP", "svc.sighup_applied=1\n")
	dispatcher.stop(t)
	c := dialClient(t, url)
	c.send("a1")
	status, _, _ := c.receive(t)
	assert.Equal(t, 200, status)
	next.stop(t)
}

// A drain must neither cut a long request, nor take one that is not complete in time, nor leave the client of a pipelined
// one without a sign.
func TestDrainOfOpenConnections(t *testing.T) {
	dispatcher, url, _ := startReloadable(t, 4*time.Second, 1)
	long, half, two := dialClient(t, url), dialClient(t, url), dialClient(t, url)
	long.send("l1")
	io.WriteString(half, "POST /api HTTP/1.1\r\nReq-Id: h1\r\nReq-Kind: render\r\nContent-Length: 2\r\n\r\na")
	two.send("t1")
	two.send("t2")
	dispatcher.awaitAnswer(t, "DUMP", "svc.outstanding=2\n")
	assert.Equal(t, "done\n", runAdminCommand(t, dispatcher.admin, "LEAVE"))
	status, closes, _ := half.receive(t)
	assert.Equal(t, []any{408, true}, []any{status, closes}, "it was never complete")
	for _, c := range []*client{long, two} {
		status, closes, _ = c.receive(t)
		assert.Equal(t, []any{200, true}, []any{status, closes})
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "the second one was not begun, and its client sees that")
	}
	dispatcher.awaitAnswer(t, "DUMP", "svc.outstanding=0\n")
	assert.Contains(t, runAdminCommand(t, dispatcher.admin, "DUMP"), "svc.forwards=2\n")
	assert.Greater(t, 4*time.Second, lifecycle.DrainGrace)
	dispatcher.stop(t)
}

// Beside a program without hot restart, a second listener's queue must not open unnoticed.
func TestAddressInUseByProgramWithoutHotRestart(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	ln, err := net.Listen("tcp", config.Listen)
	assert.NoError(t, err)
	defer ln.Close()
	config.AdminListen = freeAddress(t)
	err = serve(&config, nil, newSignals(), zerolog.Nop())
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	assert.ErrorContains(t, err, config.Listen)
}

// Operators must not wait behind clients.
func TestOperatorsAreAnsweredWhileAllClientConnectionsAreInUse(t *testing.T) {
	dispatcher, url, _ := startReloadable(t, time.Millisecond, 1)
	var conns []net.Conn
	for range 700 {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		assert.NoError(t, err)
		conns = append(conns, c)
	}
	for range 50 {
		began := time.Now()
		assert.Contains(t, runAdminCommand(t, dispatcher.admin, "DUMP"), "end\n")
		assert.Less(t, time.Since(began), time.Second)
	}
	for _, c := range conns {
		c.Close()
	}
	dispatcher.stop(t)
}
