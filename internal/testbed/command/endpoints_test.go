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

// Processes of the program before a list service that fails in some way, as the operators' terms have it.

// loneProcess is one process, the worker that it is to know, and the address of its list service.
type loneProcess struct {
	listen, discovery, worker string
	config                    string
	cmd                       *exec.Cmd
	others                    string // further workers in its list
}

// addresses counts those given out: each is of a host of its own, so that no client's port is ever taken for it.
var addresses atomic.Int64

func freeAddress(t *testing.T) string {
	n := addresses.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 40+os.Getpid()%100, n/250, 1+n%250))
	assert.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// endpointList is the list with the one worker.
func (l *loneProcess) endpointList(seq int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"w","dial":%q,"health":"Ready","born_ms":0}%s]}`, seq, l.worker, l.others)
}

// newLoneProcess writes the configuration of a process whose list service is not there yet.
func newLoneProcess(t *testing.T, sockets int, known bool) *loneProcess {
	worker := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	go worker.Serve(ln)
	t.Cleanup(func() { worker.Close() })
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

// start runs the process under the limit on descriptors that its configuration tells of.
func (l *loneProcess) start(t *testing.T, sockets int) (began time.Time) {
	l.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, os.Args[0]))
	l.cmd.Env = append(os.Environ(), "LB_CONFIG="+l.config, "TMPDIR="+filepath.Dir(l.config))
	assert.NoError(t, l.cmd.Start())
	t.Cleanup(func() {
		_ = l.cmd.Process.Kill()
		_ = l.cmd.Wait()
	})
	return time.Now()
}

// awaitReady waits until health is good.
func (l *loneProcess) awaitReady(t *testing.T, within time.Duration) {
	one := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(t, func() bool {
		a, err := one.Get("http://" + l.listen + "/_health")
		if err != nil {
			return false
		}
		defer a.Body.Close()
		return a.StatusCode == 200
	}, within, 20*time.Millisecond, "it is not ready")
}

// send sends one invocation over a connection of its own.
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

// serveDiscovery answers calls for the list in one way, and counts them.
func (l *loneProcess) serveDiscovery(t *testing.T, calls *atomic.Int64, answer http.HandlerFunc) {
	ln, err := net.Listen("tcp", l.discovery)
	assert.NoError(t, err)
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer(w, r)
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
}

// serveWatch answers a call by the list and an empty line each second.
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

// Guards against a restarted process that is not ready while its list service is down, silent or has too much to do.
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
				began := l.start(t, 128)
				l.awaitReady(t, 2*time.Second)
				t.Logf("ready after %v", time.Since(began).Round(time.Millisecond))
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

// Guards against idle clients that fill the descriptors while the list service is down: a client that asks, the call
// for the list, a connection to a worker and the health check all find one.
func TestIdleClientsThatFillTheDescriptorsKeepNobodyOut(t *testing.T) {
	const sockets, idle = 96, 300
	l := newLoneProcess(t, sockets, true)
	l.start(t, sockets)
	l.awaitReady(t, 6*time.Second)
	filling, refused := make(chan struct{}), atomic.Int64{}
	defer close(filling)
	for range idle { // each comes again as soon as it is sent away
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
	open := func() int {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.cmd.Process.Pid))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			assert.NoError(t, err)
		}
		return len(files)
	}
	assert.Eventually(t, func() bool { return refused.Load() > idle }, 10*time.Second, time.Millisecond, "the descriptors are full")
	answered := 0
	serve := func(n int) {
		for range n {
			status, err := l.send(fmt.Sprint("a", answered))
			if assert.NoError(t, err) && assert.Equal(t, 200, status) {
				answered++
			}
		}
	}
	serve(20)
	l.awaitReady(t, time.Second)
	var calls atomic.Int64
	back := time.Now()
	l.serveDiscovery(t, &calls, l.serveWatch)
	assert.Eventually(t, func() bool { return calls.Load() > 0 }, 6*time.Second, time.Millisecond, "the list is asked for")
	t.Logf("asked for %v after the return, %d descriptors open, %d sent away", time.Since(back).Round(time.Millisecond),
		open(), refused.Load())
	serve(20)
	l.awaitReady(t, time.Second)
	assert.LessOrEqual(t, open(), sockets)
	assert.NoError(t, l.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, l.cmd.Wait(), "%s", strings.TrimSpace(l.listen))
}

// Guards against a drain that is known too late after calls for the list were refused, given up or cut, at each of
// several processes: from 6 s after it could be had, and the grace, nothing goes to the worker.
func TestDrainIsKnownInTimeAtEachProcessWhateverBecameOfCallsBefore(t *testing.T) {
	const grace = time.Second
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, failed := range map[string]http.HandlerFunc{
		"refused": nil,
		"silent":  hang,
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
			var last atomic.Int64 // when the worker that drains last got something
			drains := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				last.Store(time.Now().UnixNano())
				json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
			})}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NoError(t, err)
			go drains.Serve(ln)
			t.Cleanup(func() { drains.Close() })
			const processes = 3
			var all []*loneProcess
			var up, down []*http.Server
			serve := func(l *loneProcess, answer http.HandlerFunc) *http.Server {
				ln, err := net.Listen("tcp", l.discovery)
				assert.NoError(t, err)
				s := &http.Server{Handler: answer, ErrorLog: log.New(io.Discard, "", 0)}
				go s.Serve(ln)
				t.Cleanup(func() { s.Close() })
				return s
			}
			entry := `,{"host":"v","dial":"` + ln.Addr().String() + `","health":%q,"born_ms":0}`
			for range processes {
				l := newLoneProcess(t, 128, true)
				l.others = fmt.Sprintf(entry, "Ready")
				up = append(up, serve(l, l.serveWatch))
				l.start(t, 128)
				l.awaitReady(t, 6*time.Second)
				all = append(all, l)
			}
			asking, stop := context.WithCancel(context.Background())
			var clients sync.WaitGroup
			for _, l := range all {
				clients.Go(func() {
					for n := 0; asking.Err() == nil; n++ {
						status, err := l.send(fmt.Sprint("a", n))
						assert.NoError(t, err)
						assert.Equal(t, 200, status)
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			defer clients.Wait()
			defer stop()
			assert.Eventually(t, func() bool { return last.Load() > 0 }, 3*time.Second, time.Millisecond, "it is used")
			for n, l := range all { // the service fails, and the worker begins to drain meanwhile
				up[n].Close()
				if failed != nil {
					down = append(down, serve(l, failed))
				}
			}
			time.Sleep(5 * time.Second)
			for _, s := range down {
				s.Close()
			}
			for _, l := range all {
				l.others = fmt.Sprintf(entry, "Terminating")
				serve(l, l.serveWatch)
			}
			back := time.Now()
			time.Sleep(6*time.Second + grace)
			known := time.Unix(0, last.Load()).Sub(back)
			t.Logf("the last request reached it %v after the return", known.Round(time.Millisecond))
			assert.Less(t, known, 6*time.Second)
		})
	}
}
