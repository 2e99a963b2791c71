package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Tests of single dispatcher processes with a list service that fails in some way.

// loneProcess is one dispatcher process, its worker, and the address of its list service.
type loneProcess struct {
	listen, discovery, worker string
	config                    string
	cmd                       *exec.Cmd
	others                    string // further entries of its list, as JSON
}

// addresses counts the addresses assigned. Each has a loopback host of its own, so that no outgoing connection takes its
// port.
var addresses atomic.Int64

func freeAddress(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 40+os.Getpid()%100, n/250, 1+n%250))
	assert.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// endpointList returns the list with the worker and the others.
func (l *loneProcess) endpointList(seq int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"w","dial":%q,"health":"Ready","born_ms":0}%s]}`, seq, l.worker, l.others)
}

// newLoneProcess writes the configuration of a process, and starts its worker. Its list service is not started.
func newLoneProcess(t *testing.T, sockets int, known bool) *loneProcess {
	t.Helper()
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, answerDone)
	l := &loneProcess{listen: freeAddress(t), discovery: freeAddress(t), worker: ln.Addr().String()}
	list := ""
	if known {
		list = `"known":` + l.endpointList(1) + ","
	}
	l.config = filepath.Join(t.TempDir(), "c.json")
	assert.NoError(t, os.WriteFile(l.config, fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"1",%s
"limits":{"sockets":%d},"settings":{"balancers":1,"policyLimits":{"maxForwards":2},
"operations":[{"name":"a","repeat":"idempotent","latencyObjectiveS":1,"clientTimeoutS":3,"billedValue":1}]}}`,
		l.listen, l.discovery, list, sockets), 0o600))
	return l
}

// start starts the process with a limit on descriptors.
func (l *loneProcess) start(t *testing.T, sockets int) (startedAt time.Time) {
	t.Helper()
	l.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, os.Args[0]))
	l.cmd.Env = append(os.Environ(), "LB_CONFIG="+l.config, "TMPDIR="+filepath.Dir(l.config))
	assert.NoError(t, l.cmd.Start())
	t.Cleanup(func() {
		_ = l.cmd.Process.Kill()
		_ = l.cmd.Wait()
	})
	return time.Now()
}

// awaitReady waits until the health check succeeds.
func (l *loneProcess) awaitReady(t *testing.T, within time.Duration) {
	t.Helper()
	one := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(t, func() bool {
		a, err := one.Get("http://" + l.listen + "/_health")
		if err != nil {
			return false
		}
		defer a.Body.Close()
		return a.StatusCode == 200
	}, within, 20*time.Millisecond, "the process is not ready")
}

// send sends one request over a connection of its own.
func (l *loneProcess) send(id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", l.listen, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: a\r\nReq-Deadline: 2\r\nContent-Length: 0\r\n\r\n", id)
	b := make([]byte, 12)
	if _, err := io.ReadFull(c, b); err != nil {
		return 0, err
	}
	_, err = fmt.Sscanf(string(b), "HTTP/1.1 %d", &status)
	return status, err
}

// serveDiscovery starts the list service with a handler, and counts the calls.
func (l *loneProcess) serveDiscovery(t *testing.T, calls *atomic.Int64, answer http.HandlerFunc) {
	t.Helper()
	serve(t, listen(t, l.discovery), func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer(w, r)
	})
}

// serveWatch is a handler that writes the list, and an empty line each second.
func (l *loneProcess) serveWatch(w http.ResponseWriter, r *http.Request) {
	for line := l.endpointList(2); ; line = "" {
		fmt.Fprintln(w, line)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// A restarted process must become ready while its list service is down, unresponsive or overloaded.
func TestRestartedProcessIsReadyInTimeWhateverItsListServiceDoes(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	busy := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(2 * time.Second):
			w.WriteHeader(503)
		case <-r.Context().Done():
		}
	}
	for name, answer := range map[string]func(*loneProcess) http.HandlerFunc{
		"up":     func(l *loneProcess) http.HandlerFunc { return l.serveWatch },
		"silent": func(*loneProcess) http.HandlerFunc { return silent },
		"busy":   func(*loneProcess) http.HandlerFunc { return busy },
		"down":   nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLoneProcess(t, 128, true)
			var calls atomic.Int64
			if answer != nil {
				l.serveDiscovery(t, &calls, answer(l))
			}
			for range 2 { // killed once, and started again
				startedAt := l.start(t, 128)
				l.awaitReady(t, 2*time.Second)
				t.Logf("ready after %v", time.Since(startedAt).Round(time.Millisecond))
				status, err := l.send("a1")
				assert.NoError(t, err)
				assert.Equal(t, 200, status)
				assert.NoError(t, l.cmd.Process.Kill())
				_ = l.cmd.Wait()
			}
		})
	}
	t.Run("no list known, service slow to come up", func(t *testing.T) {
		t.Parallel()
		l := newLoneProcess(t, 128, false)
		l.start(t, 128)
		time.Sleep(3 * time.Second)
		l.serveDiscovery(t, &atomic.Int64{}, l.serveWatch)
		l.awaitReady(t, 6*time.Second)
	})
}

// While idle clients use up the descriptors and the list service is down, there must be one left for a client with a
// request, the call for the list, a connection to a worker and the health check.
func TestIdleClientsThatFillTheDescriptorsKeepNobodyOut(t *testing.T) {
	const sockets, idle = 96, 300
	l := newLoneProcess(t, sockets, true)
	l.start(t, sockets)
	l.awaitReady(t, 6*time.Second)
	refused := l.fillDescriptors(t, idle)
	assert.Eventually(t, func() bool { return refused.Load() > idle }, 10*time.Second, time.Millisecond, "the descriptors are full")
	l.sendAll(t, "down-", 20)
	l.awaitReady(t, time.Second)
	var calls atomic.Int64
	back := time.Now()
	l.serveDiscovery(t, &calls, l.serveWatch)
	assert.Eventually(t, func() bool { return calls.Load() > 0 }, 6*time.Second, time.Millisecond, "the list is polled")
	t.Logf("polled %v after the list service is back, %d descriptors open, %d connections refused",
		time.Since(back).Round(time.Millisecond), l.descriptors(t), refused.Load())
	l.sendAll(t, "up-", 20)
	l.awaitReady(t, time.Second)
	assert.LessOrEqual(t, l.descriptors(t), sockets)
	assert.NoError(t, l.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, l.cmd.Wait(), "%s", strings.TrimSpace(l.listen))
}

// fillDescriptors keeps a number of idle clients connected until the end of the test. Each connects again as soon as its
// connection is closed. It returns the number of connections refused or closed so far.
func (l *loneProcess) fillDescriptors(t *testing.T, idle int) *atomic.Int64 {
	t.Helper()
	filling, refused := make(chan struct{}), &atomic.Int64{}
	t.Cleanup(func() { close(filling) })
	for range idle {
		go func() {
			for {
				c, err := net.DialTimeout("tcp", l.listen, time.Second)
				if err == nil {
					go func() { <-filling; c.Close() }()
					_, err = c.Read(make([]byte, 1))
					c.Close()
				}
				if err != nil {
					refused.Add(1)
				}
				select {
				case <-filling:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
	return refused
}

// descriptors returns the number of descriptors that the process has open, 0 if it has ended.
func (l *loneProcess) descriptors(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.cmd.Process.Pid))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		assert.NoError(t, err)
	}
	return len(files)
}

// sendAll sends requests with IDs of a prefix, one after the other. Each must succeed.
func (l *loneProcess) sendAll(t *testing.T, prefix string, count int) {
	t.Helper()
	for n := range count {
		status, err := l.send(fmt.Sprint(prefix, n))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
	}
}

// serve starts an HTTP server, which the end of the test closes.
func serve(t *testing.T, ln net.Listener, handler http.HandlerFunc) *http.Server {
	t.Helper()
	s := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return s
}

// listen listens on an address. A process that a parallel test starts has a copy of each open listener from its fork to
// its exec, so that the port of one that has just been closed may be in use for a moment: listen tries for a second.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	for limit := time.Now().Add(time.Second); ; {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return ln
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(limit) {
			assert.NoError(t, err)
			t.FailNow()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// answerDone is a worker that answers at once.
func answerDone(w http.ResponseWriter, r *http.Request) {
	json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
}

// sendUntil sends requests to processes, each of which must succeed, until the function returned is called.
func sendUntil(t *testing.T, processes []*loneProcess) (stop func()) {
	t.Helper()
	sending, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, l := range processes {
		clients.Go(func() {
			for n := 0; sending.Err() == nil; n++ {
				status, err := l.send(fmt.Sprint("a", n))
				assert.NoError(t, err)
				assert.Equal(t, 200, status)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// After calls for the list were refused, timed out or cut off, each of several processes must apply a drain in time: from
// 6 s after the list is available again, plus the grace, nothing is sent to the worker.
func TestDrainIsKnownInTimeAtEachProcessWhateverBecameOfCallsBefore(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{
		"refused": nil,
		"silent":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"busy": func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1900 * time.Millisecond)
			w.WriteHeader(503)
		},
		"cut within a line": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, `{"seq":9,"whole":true,"hosts":[`)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testDrainAfterFailingCalls(t, failing)
		})
	}
}

// testDrainAfterFailingCalls drains a worker while the list service answers with a handler, or refuses connections
// for nil.
func testDrainAfterFailingCalls(t *testing.T, failing http.HandlerFunc) {
	t.Helper()
	const processes, grace = 3, time.Second
	var last atomic.Int64 // when the draining worker received its last request
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, func(w http.ResponseWriter, r *http.Request) {
		last.Store(time.Now().UnixNano())
		answerDone(w, r)
	})
	entry := `,{"host":"v","dial":"` + ln.Addr().String() + `","health":%q,"born_ms":0}`
	var all []*loneProcess
	var up, down []*http.Server
	for range processes {
		l := newLoneProcess(t, 128, true)
		l.others = fmt.Sprintf(entry, "Ready")
		up = append(up, serve(t, listen(t, l.discovery), l.serveWatch))
		l.start(t, 128)
		l.awaitReady(t, 6*time.Second)
		all = append(all, l)
	}
	defer sendUntil(t, all)()
	assert.Eventually(t, func() bool { return last.Load() > 0 }, 3*time.Second, time.Millisecond, "the worker is used")
	for n, l := range all { // the list services fail, and the worker starts to drain meanwhile
		up[n].Close()
		if failing != nil {
			down = append(down, serve(t, listen(t, l.discovery), failing))
		}
	}
	time.Sleep(5 * time.Second)
	for _, s := range down {
		s.Close()
	}
	for _, l := range all {
		l.others = fmt.Sprintf(entry, "Terminating")
		serve(t, listen(t, l.discovery), l.serveWatch)
	}
	back := time.Now()
	time.Sleep(6*time.Second + grace)
	known := time.Unix(0, last.Load()).Sub(back)
	t.Logf("the last request reached it %v after the list services are back", known.Round(time.Millisecond))
	assert.Less(t, known, 6*time.Second)
}
