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

	"canvasroute/internal/peertest"
)

// Helpers for tests of individual dispatcher processes.

// testDispatcher holds a dispatcher process, its addresses, and the addresses of its worker and its discovery service.
type testDispatcher struct {
	listen       string // address for clients
	discovery    string // address of the discovery service
	worker       string // address of the worker
	configPath   string // path of the configuration file
	otherWorkers string // further entries of the endpoint list, as JSON
	memoryMB     int    // memory limit in the configuration
	program      string // path of the program; by default the test program, which also is a dispatcher
	cmd          *exec.Cmd
}

// endpointList returns the endpoint list, with the worker and otherWorkers, under a version.
func (d *testDispatcher) endpointList(version int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"w","dial":%q,"health":"Ready","born_ms":0}%s]}`,
		version, d.worker, d.otherWorkers)
}

// newTestDispatcher starts a worker, and writes the configuration of a dispatcher whose initial endpoint list contains
// the worker. It starts neither the dispatcher nor the discovery service.
func newTestDispatcher(t *testing.T, sockets int) *testDispatcher {
	t.Helper()
	d := newTestDispatcherWithoutList(t, sockets)
	d.writeConfig(t, sockets, `"known":`+d.endpointList(1)+",")
	return d
}

// newTestDispatcherWithoutList is like newTestDispatcher, but the configuration contains no endpoint list.
func newTestDispatcherWithoutList(t *testing.T, sockets int) *testDispatcher {
	t.Helper()
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, answerDone)
	d := &testDispatcher{
		listen:     peertest.ReserveAddress(t),
		discovery:  peertest.ReserveAddress(t),
		worker:     ln.Addr().String(),
		configPath: filepath.Join(t.TempDir(), "c.json"),
		memoryMB:   192,
		program:    os.Args[0],
	}
	d.writeConfig(t, sockets, "")
	return d
}

// writeConfig writes the configuration file, with additional keys as JSON.
func (d *testDispatcher) writeConfig(t *testing.T, sockets int, additional string) {
	t.Helper()
	assert.NoError(t, os.WriteFile(d.configPath, fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"1",%s
"limits":{"sockets":%d,"memory_mb":%d},"settings":{"balancers":1,"policyLimits":{"maxForwards":2},
"operations":[{"name":"a","repeat":"idempotent","latencyObjectiveS":1,"clientTimeoutS":3,"billedValue":1}]}}`,
		d.listen, d.discovery, additional, sockets, d.memoryMB), 0o600))
}

// start starts the process with a limit on file descriptors and additional environment variables.
func (d *testDispatcher) start(t *testing.T, sockets int, variables ...string) (startedAt time.Time) {
	t.Helper()
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, d.program))
	cmd.Env = append(os.Environ(), "LB_CONFIG="+d.configPath, "TMPDIR="+filepath.Dir(d.configPath))
	cmd.Env = append(cmd.Env, variables...)
	assert.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	d.cmd = cmd
	return time.Now()
}

// awaitReady waits until a health check succeeds, and fails the test if none does within the timeout.
func (d *testDispatcher) awaitReady(t *testing.T, timeout time.Duration) {
	t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(t, func() bool {
		response, err := client.Get("http://" + d.listen + "/_health")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == 200
	}, timeout, 20*time.Millisecond, "the process is not ready")
}

// send sends one request over a new connection, and returns the status code of the response.
func (d *testDispatcher) send(id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", d.listen, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: a\r\nReq-Deadline: 2\r\nContent-Length: 0\r\n\r\n", id)
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, head); err != nil {
		return 0, err
	}
	_, err = fmt.Sscanf(string(head), "HTTP/1.1 %d", &status)
	return status, err
}

// serveDiscovery starts the discovery service with a handler, and counts its calls in calls.
func (d *testDispatcher) serveDiscovery(t *testing.T, calls *atomic.Int64, handler http.HandlerFunc) {
	t.Helper()
	serve(t, listen(t, d.discovery), func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	})
}

// serveWatch is the handler of a working discovery service: it writes the endpoint list, then an empty line each
// second.
func (d *testDispatcher) serveWatch(w http.ResponseWriter, r *http.Request) {
	for line := d.endpointList(2); ; line = "" {
		fmt.Fprintln(w, line)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// connectIdleClients keeps a number of idle clients connected until the end of the test. Each client reconnects 50 ms
// after its connection is refused or closed. The returned counter is the number of such connections.
func (d *testDispatcher) connectIdleClients(t *testing.T, count int) (refused *atomic.Int64) {
	t.Helper()
	refused = &atomic.Int64{}
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	for range count {
		go func() {
			for {
				c, err := net.DialTimeout("tcp", d.listen, time.Second)
				if err == nil {
					go func() { <-ended; c.Close() }()
					_, err = c.Read(make([]byte, 1))
					c.Close()
				}
				if err != nil {
					refused.Add(1)
				}
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
	return refused
}

// buildProgram builds the program of the dispatcher, which takes less memory than the test program, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "canvasroute")
	output, err := exec.Command("go", "build", "-o", path, "canvasroute/cmd/canvasroute").CombinedOutput()
	assert.NoError(t, err, string(output))
	return path
}

// startSmallDispatcher starts a program with limits on descriptors and memory, and waits until it is ready.
func startSmallDispatcher(t *testing.T, program string, sockets, memoryMB int) *testDispatcher {
	t.Helper()
	d := newTestDispatcherWithoutList(t, sockets)
	d.program = program
	d.memoryMB = memoryMB
	d.writeConfig(t, sockets, `"known":`+d.endpointList(1)+",")
	d.start(t, sockets)
	d.awaitReady(t, 5*time.Second)
	return d
}

// peakMemory returns the largest resident set size of the process so far, in bytes.
func (d *testDispatcher) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	assert.NoError(t, err)
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	assert.True(t, found)
	var kibibytes int64
	_, err = fmt.Sscanf(peak, "%d kB", &kibibytes)
	assert.NoError(t, err)
	return kibibytes << 10
}

// countDescriptors returns the number of open file descriptors of the process, or 0 if the process has exited.
func (d *testDispatcher) countDescriptors(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		assert.NoError(t, err)
	}
	return len(files)
}

// sendAll sends requests sequentially, with the given prefix in their IDs. Each request must succeed.
func (d *testDispatcher) sendAll(t *testing.T, prefix string, count int) {
	t.Helper()
	for n := range count {
		status, err := d.send(fmt.Sprint(prefix, n))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
	}
}

// serve starts an HTTP server, and closes it at the end of the test.
func serve(t *testing.T, ln net.Listener, handler http.HandlerFunc) *http.Server {
	t.Helper()
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }() // returns when the server is closed
	t.Cleanup(func() { server.Close() })
	return server
}

// listen listens on an address, and retries for one second while the address is in use. A process that a parallel test
// starts has a copy of each open listener between fork and exec, so the port of a closed listener can remain in use for
// a short time.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	for deadline := time.Now().Add(time.Second); ; {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return ln
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			assert.NoError(t, err)
			t.FailNow()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// answerDone is the handler of a worker that responds immediately.
func answerDone(w http.ResponseWriter, r *http.Request) {
	json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
}

// keepSending sends requests to the dispatchers until stop is called. Each request must succeed.
func keepSending(t *testing.T, dispatchers []*testDispatcher) (stop func()) {
	t.Helper()
	sending, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, d := range dispatchers {
		clients.Go(func() {
			for n := 0; sending.Err() == nil; n++ {
				d.sendAll(t, fmt.Sprint("a", n, "-"), 1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}
