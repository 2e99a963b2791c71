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
)

// process is a dispatcher that runs beside others in the test's own process, with signals of its own.
type process struct {
	heard *signals
	mgmt  string
	log   *syncBuffer
	ended chan error
}

func begun(t *testing.T, p Config) *process { return begunWith(t, p, nil) }

func begunWith(t *testing.T, p Config, anew func() (*Config, error)) *process {
	d := &process{
		heard: &signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)},
		mgmt:  freeAddress(t), log: &syncBuffer{}, ended: make(chan error, 1),
	}
	p.AdminListen = d.mgmt
	go func() { d.ended <- Run(&p, anew, d.heard, zerolog.New(d.log)) }()
	started := func() bool { return strings.Contains(d.log.String(), `"message":"started"`) }
	assert.Eventually(t, started, 5*time.Second, time.Millisecond)
	d.says(t, "HEALTH", "done\n")
	return d
}

// says waits for an answer to a call.
func (d *process) says(t *testing.T, call, want string) {
	says := func() bool { return strings.Contains(called(t, d.mgmt, call), want) }
	assert.Eventually(t, says, 5*time.Second, time.Millisecond, want)
}

func (d *process) end(t *testing.T) {
	d.heard.end <- syscall.SIGTERM
	select {
	case err := <-d.ended:
		assert.NoError(t, err)
	case <-time.After(6 * time.Second):
		t.Fatal("it does not end")
	}
}

// knocking makes clients come and go on new connections until stop, and counts what is not served.
func knocking(url string) (stop func() (served, lost int64)) {
	var good, bad atomic.Int64
	var g sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		g.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-done:
					return
				default:
				}
				a, err := c.Get(url + "/_health")
				if err == nil && a.StatusCode == 200 {
					good.Add(1)
				} else {
					bad.Add(1)
				}
				if err == nil {
					a.Body.Close()
				}
			}
		})
	}
	return func() (int64, int64) {
		close(done)
		g.Wait()
		return good.Load(), bad.Load()
	}
}

// Guards against connections that wait in the old process's queue when it closes, against a moment in which
// nobody says yes, and against work that the old process had taken.
func TestUpgradeLosesNoConnectionAndNoInvocation(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	p, url := placed(t, 2*time.Second)
	old := begun(t, p)
	busy, idle := connected(t, url), connected(t, url)
	busy.asks("b1")
	old.says(t, "DUMP", "svc.forwards=1\n")
	stop := knocking(url)
	next := begun(t, p)
	assert.Contains(t, next.log.String(), `"sockets":1`, "the listener")
	again := connected(t, url)
	again.asks("b1")
	status, _, _ := again.hears(t)
	assert.Equal(t, 409, status, "its id is open at the other process")
	idle.asks("i1") // on a connection that the old one has
	old.says(t, "DUMP", "svc.forwards=2\n")
	began := time.Now()
	old.end(t)
	assert.Less(t, time.Since(began), 1500*time.Millisecond, "it does not wait for what it has handed over")
	next.says(t, "DUMP", "svc.outstanding=2\n")
	for _, c := range []*client{busy, idle} {
		status, closes, _ := c.hears(t)
		assert.Equal(t, []any{200, false}, []any{status, closes}, "its connection goes on at the new one")
		c.asks("again" + c.LocalAddr().String())
		status, _, _ = c.hears(t)
		assert.Equal(t, 200, status)
	}
	served, lost := stop()
	assert.Positive(t, served)
	assert.Zero(t, lost)
	dump := called(t, next.mgmt, "DUMP")
	assert.Contains(t, dump, "svc.outstanding=0\n")
	assert.Contains(t, dump, "svc.succeeded.render=4\n")
	assert.Contains(t, dump, "svc.forwards=2\n", "what was handed over was not sent again")
	third := begun(t, p) // two in a row
	next.end(t)
	third.end(t)
}

// Guards against a dispatcher that nobody is left of: the old one accepts again when the new one dies before
// its end.
func TestOldProcessGoesOnWhenItsSuccessorDies(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	p, url := placed(t, time.Millisecond)
	old := begun(t, p)
	next := begun(t, p)
	old.says(t, "HEALTH", "error takes no clients: relieved\n")
	next.end(t)
	old.says(t, "HEALTH", "done\n")
	c := connected(t, url)
	c.asks("a1")
	status, closes, _ := c.hears(t)
	assert.Equal(t, []any{200, false}, []any{status, closes})
	third := begun(t, p)
	assert.Contains(t, third.log.String(), "predecessor met", "it has the meeting place again")
	old.end(t)
	third.end(t)
}

// Guards against a drain that an upgrade undoes, and a call that is made to the wrong one of both.
func TestLeaveHoldsForTheSuccessorToo(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	p, _ := placed(t, time.Millisecond)
	old := begun(t, p)
	next := begun(t, p)
	assert.Equal(t, "done\n", called(t, old.mgmt, "LEAVE"), "meant for the one that serves")
	left := func() bool {
		return strings.Contains(called(t, next.mgmt, "HEALTH"), "error takes no clients: leaving")
	}
	assert.Eventually(t, left, time.Second, time.Millisecond)
	assert.Equal(t, "done\n", called(t, old.mgmt, "JOIN"))
	next.says(t, "HEALTH", "done\n")
	old.end(t)
	next.end(t)
}

// Guards against a platform without Unix sockets: both processes listen, and the old one drains as at any end.
func TestWithoutAMeetingPlaceBothProcessesListen(t *testing.T) {
	t.Setenv("TMPDIR", filepath.Join(t.TempDir(), "none"))
	p, url := placed(t, time.Millisecond)
	old, next := begun(t, p), begun(t, p)
	assert.Contains(t, next.log.String(), "no successor can take over from here")
	old.says(t, "HEALTH", "done\n")
	old.end(t)
	for n := range 8 {
		c := connected(t, url)
		c.asks(fmt.Sprint("a", n))
		status, _, _ := c.hears(t)
		assert.Equal(t, 200, status)
	}
	next.end(t)
}
