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

// settled is a process whose configuration stands in a file, which turn replaces.
func settled(t *testing.T, wait time.Duration, cores float64) (d *process, url string,
	turn func(old, with string),
) {
	p, url := placed(t, wait)
	p.Cores, p.PeerListen = cores, ""
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.NewReplacer("127.0.0.1:8080", p.Listen, "127.0.0.1:8500", "127.0.0.1:9", `"peers":true`,
		`"peers":false`).Replace(configuration)
	d = begunWith(t, p, func() (*Config, error) { return ReloadConfig(environment("LB_CONFIG", path)) })
	return d, url, func(old, with string) {
		assert.NoError(t, os.WriteFile(path+".new", []byte(strings.Replace(text, old, with, 1)), 0o600))
		assert.NoError(t, os.Rename(path+".new", path))
		select {
		case d.heard.reload <- syscall.SIGHUP:
		default: // one is waiting to be answered, as with a signal
		}
	}
}

// Guards against settings of which instances have taken different ones, and against a file that is read too
// early.
func TestSettingsThatChangeTenTimesInASecondEndAsTheLastFileSays(t *testing.T) {
	d, url, turn := settled(t, 300*time.Millisecond, 2)
	open := connected(t, url)
	open.asks("o1")
	d.says(t, "DUMP", "svc.forwards=1\n")
	for n := range 10 {
		turn(`"name":"render"`, fmt.Sprintf(`"name":"render%d"`, n))
		time.Sleep(50 * time.Millisecond)
	}
	d.says(t, "DUMP", "svc.succeeded.render9=0\n")
	status, _, _ := open.hears(t)
	assert.Equal(t, 200, status, "its class is gone, it is not")
	assert.Equal(t, "done\n", called(t, d.mgmt, "LEAVE"))
	turn(`"maxForwards":3`, `"maxForwards":1`)
	d.says(t, "DUMP", "svc.sighup_rejected=0\n")
	assert.Eventually(t, func() bool { return strings.Contains(d.log.String(), `"forwards":1,`) }, time.Second,
		time.Millisecond, "also while it is emptied")
	assert.Equal(t, "done\n", called(t, d.mgmt, "JOIN"))
	for n := range 4 { // by each instance
		c := connected(t, url)
		c.asks(fmt.Sprint("r", n))
		status, _, _ = c.hears(t)
		assert.Equal(t, 200, status, "render is back")
	}
	d.end(t)
}

// Guards against a new process that takes over and then cannot serve, and one that is told of new settings
// too early.
func TestNewProcessThatCannotStartLeavesTheOldOneServing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	d, url, turn := settled(t, time.Millisecond, 1)
	p, _ := placed(t, time.Millisecond)
	p.Listen, p.PeerListen, p.AdminListen = strings.TrimPrefix(url, "http://"), "", d.mgmt
	err := Run(&p, nil, d.heard, zerolog.Nop())
	assert.ErrorContains(t, err, "listening for operators")
	d.says(t, "HEALTH", "done\n")
	next := begun(t, p)
	d.says(t, "HEALTH", "relieved")
	turn(`"maxForwards":3`, `"maxForwards":0`)
	d.says(t, "DUMP", "svc.sighup_rejected=1\n")
	turn(`"maxForwards":3`, `"maxForwards":2`)
	d.says(t, "DUMP", "svc.sighup_applied=1\n")
	d.end(t)
	c := connected(t, url)
	c.asks("a1")
	status, _, _ := c.hears(t)
	assert.Equal(t, 200, status)
	next.end(t)
}

// Guards against a drain that cuts a long invocation, takes one that was not whole in time, or leaves a
// client that sent two at once without a word.
func TestWhatIsOnOpenConnectionsWhenTheDispatcherIsEmptied(t *testing.T) {
	d, url, _ := settled(t, 4*time.Second, 1)
	long, half, two := connected(t, url), connected(t, url), connected(t, url)
	long.asks("l1")
	io.WriteString(half, "POST /api HTTP/1.1\r\nReq-Id: h1\r\nReq-Kind: render\r\nContent-Length: 2\r\n\r\na")
	two.asks("t1")
	two.asks("t2")
	d.says(t, "DUMP", "svc.outstanding=2\n")
	assert.Equal(t, "done\n", called(t, d.mgmt, "LEAVE"))
	status, closes, _ := half.hears(t)
	assert.Equal(t, []any{408, true}, []any{status, closes}, "it was never whole")
	for _, c := range []*client{long, two} {
		status, closes, _ = c.hears(t)
		assert.Equal(t, []any{200, true}, []any{status, closes})
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "the second one was not begun, and its client can tell")
	}
	d.says(t, "DUMP", "svc.outstanding=0\n")
	assert.Contains(t, called(t, d.mgmt, "DUMP"), "svc.forwards=2\n")
	assert.Greater(t, 4*time.Second, lifecycle.AcceptAfterStop)
	d.end(t)
}

// Guards against a silent second queue beside a program that knows nothing of upgrades: it is told as what it
// is.
func TestAnOldProgramWithoutUpgradesIsAFaultThatNamesTheAddress(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	p, _ := placed(t, time.Millisecond)
	ln, err := net.Listen("tcp", p.Listen)
	assert.NoError(t, err)
	defer ln.Close()
	p.AdminListen = freeAddress(t)
	err = Run(&p, nil, &signals{}, zerolog.Nop())
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	assert.ErrorContains(t, err, p.Listen)
}

// Guards against an operators' door that waits behind clients.
func TestOperatorsAreAnsweredWhileTheClientsSideIsFull(t *testing.T) {
	d, url, _ := settled(t, time.Millisecond, 1)
	var conns []net.Conn
	for range 700 {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		assert.NoError(t, err)
		conns = append(conns, c)
	}
	for range 50 {
		began := time.Now()
		assert.Contains(t, called(t, d.mgmt, "DUMP"), "end\n")
		assert.Less(t, time.Since(began), time.Second)
	}
	for _, c := range conns {
		c.Close()
	}
	d.end(t)
}
