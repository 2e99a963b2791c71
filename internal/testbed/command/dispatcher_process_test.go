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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Helpers for tests of single dispatcher processes.

// testDispatcher is one dispatcher process, its worker, and the address of its discovery service.
type testDispatcher struct {
	listen       string // address for clients
	discovery    string // address
	worker       string // address
	config       string // path of the configuration
	otherWorkers string // further entries of its endpoint list, as JSON
	cmd          *exec.Cmd
}

// addressesTaken counts the addresses assigned. Each has a loopback host of its own, so that no outgoing connection
// takes its port.
var addressesTaken atomic.Int64

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := addressesTaken.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 40+os.Getpid()%100, n/250, 1+n%250))
	assert.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// endpointList returns a version of the endpoint list with the worker and the others.
func (d *testDispatcher) endpointList(version int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"w","dial":%q,"health":"Ready","born_ms":0}%s]}`,
		version, d.worker, d.otherWorkers)
}

// newTestDispatcher starts a worker, and writes the configuration of a process that knows it. The discovery service is
// not started.
func newTestDispatcher(t *testing.T, sockets int) *testDispatcher {
	t.Helper()
	d := newTestDispatcherWithoutList(t, sockets)
	d.writeConfig(t, sockets, `"known":`+d.endpointList(1)+",")
	return d
}

// newTestDispatcherWithoutList does what newTestDispatcher does, but the process starts without an endpoint list.
func newTestDispatcherWithoutList(t *testing.T, sockets int) *testDispatcher {
	t.Helper()
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, answerDone)
	d := &testDispatcher{
		listen:    freeAddress(t),
		discovery: freeAddress(t),
		worker:    ln.Addr().String(),
		config:    filepath.Join(t.TempDir(), "c.json"),
	}
	d.writeConfig(t, sockets, "")
	return d
}

// writeConfig writes the configuration, with an additional key.
func (d *testDispatcher) writeConfig(t *testing.T, sockets int, additional string) {
	t.Helper()
	assert.NoError(t, os.WriteFile(d.config, fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"1",%s
"limits":{"sockets":%d},"settings":{"balancers":1,"policyLimits":{"maxForwards":2},
"operations":[{"name":"a","repeat":"idempotent","latencyObjectiveS":1,"clientTimeoutS":3,"billedValue":1}]}}`,
		d.listen, d.discovery, additional, sockets), 0o600))
}

// start starts the process with a limit on descriptors and additional environment variables.
func (d *testDispatcher) start(t *testing.T, sockets int, variables ...string) (startedAt time.Time) {
	t.Helper()
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, os.Args[0]))
	cmd.Env = append(os.Environ(), "LB_CONFIG="+d.config, "TMPDIR="+filepath.Dir(d.config))
	cmd.Env = append(cmd.Env, variables...)
	assert.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	d.cmd = cmd
	return time.Now()
}

// awaitReady waits until the health check succeeds.
func (d *testDispatcher) awaitReady(t *testing.T, within time.Duration) {
	t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(t, func() bool {
		answer, err := client.Get("http://" + d.listen + "/_health")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == 200
	}, within, 20*time.Millisecond, "the process is not ready")
}

// send sends one request over a connection of its own.
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

// serveDiscovery starts the discovery service with a handler, and counts the calls.
func (d *testDispatcher) serveDiscovery(t *testing.T, calls *atomic.Int64, answer http.HandlerFunc) {
	t.Helper()
	serve(t, listen(t, d.discovery), func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer(w, r)
	})
}

// serveWatch is a handler that writes the list, and an empty line each second.
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

// connectIdleClients keeps a number of idle clients connected until the end of the test. Each connects again as soon as
// its connection is closed. It returns the number of connections refused or closed so far.
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

// descriptors returns the number of descriptors that the process has open, 0 if it has ended.
func (d *testDispatcher) descriptors(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		assert.NoError(t, err)
	}
	return len(files)
}

// sendAll sends requests with IDs of a prefix, one after the other. Each must succeed.
func (d *testDispatcher) sendAll(t *testing.T, prefix string, count int) {
	t.Helper()
	for n := range count {
		status, err := d.send(fmt.Sprint(prefix, n))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
	}
}

// serve starts an HTTP server, which the end of the test closes.
func serve(t *testing.T, ln net.Listener, handler http.HandlerFunc) *http.Server {
	t.Helper()
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }() // returns when the server is closed
	t.Cleanup(func() { server.Close() })
	return server
}

// listen listens on an address. A process that a parallel test starts has a copy of each open listener from its fork to
// its exec. The port of a listener that has just been closed may thus be in use for a moment, so listen tries for a
// second.
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

// answerDone is the handler of a worker that answers at once.
func answerDone(w http.ResponseWriter, r *http.Request) {
	json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
}

// keepSending sends requests to dispatchers, each of which must succeed, until the function returned is called.
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
