package command

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Tests of individual dispatcher processes with a failing discovery service.

// A restarted process must become ready while its discovery service is down, unresponsive or overloaded.
func TestRestartedProcessIsReadyInTimeDespiteDiscoveryFailures(t *testing.T) {
	unresponsive := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	overloaded := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(2 * time.Second):
			w.WriteHeader(503)
		case <-r.Context().Done():
		}
	}
	for name, newHandler := range map[string]func(*testDispatcher) http.HandlerFunc{
		"up":           func(d *testDispatcher) http.HandlerFunc { return d.serveWatch },
		"unresponsive": func(*testDispatcher) http.HandlerFunc { return unresponsive },
		"overloaded":   func(*testDispatcher) http.HandlerFunc { return overloaded },
		"down":         nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher := newTestDispatcher(t, 128)
			var calls atomic.Int64
			if newHandler != nil {
				dispatcher.serveDiscovery(t, &calls, newHandler(dispatcher))
			}
			for range 2 { // killed and restarted once
				startedAt := dispatcher.start(t, 128)
				dispatcher.awaitReady(t, 2*time.Second)
				t.Logf("ready after %v", time.Since(startedAt).Round(time.Millisecond))
				dispatcher.sendAll(t, "a", 1)
				assert.NoError(t, dispatcher.cmd.Process.Kill())
				_ = dispatcher.cmd.Wait()
			}
		})
	}
	t.Run("no initial list, service starts late", func(t *testing.T) {
		t.Parallel()
		dispatcher := newTestDispatcherWithoutList(t, 128)
		dispatcher.start(t, 128)
		time.Sleep(3 * time.Second)
		dispatcher.serveDiscovery(t, &atomic.Int64{}, dispatcher.serveWatch)
		dispatcher.awaitReady(t, 6*time.Second)
	})
}

// While idle clients exhaust the file descriptors and the discovery service is down, descriptors must remain available
// for client requests, polls of the endpoint list, connections to workers and health checks.
func TestIdleClientsUsingAllDescriptorsDoNotBlockRequests(t *testing.T) {
	const sockets, idle = 96, 300
	dispatcher := newTestDispatcher(t, sockets)
	dispatcher.start(t, sockets)
	dispatcher.awaitReady(t, 6*time.Second)
	refused := dispatcher.connectIdleClients(t, idle)
	assert.Eventually(t, func() bool { return refused.Load() > idle }, 10*time.Second, time.Millisecond,
		"idle clients did not exhaust the descriptors")
	dispatcher.sendAll(t, "down-", 20)
	dispatcher.awaitReady(t, time.Second)
	var calls atomic.Int64
	upSince := time.Now()
	dispatcher.serveDiscovery(t, &calls, dispatcher.serveWatch)
	assert.Eventually(t, func() bool { return calls.Load() > 0 }, 6*time.Second, time.Millisecond, "the endpoint list was not polled")
	t.Logf("polled %v after the discovery service started, %d descriptors open, %d connections refused",
		time.Since(upSince).Round(time.Millisecond), dispatcher.countDescriptors(t), refused.Load())
	dispatcher.sendAll(t, "up-", 20)
	dispatcher.awaitReady(t, time.Second)
	assert.LessOrEqual(t, dispatcher.countDescriptors(t), sockets)
	assert.NoError(t, dispatcher.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, dispatcher.cmd.Wait(), "%s", strings.TrimSpace(dispatcher.listen))
}

// After polls of the endpoint list were refused, timed out or cut off, each of several processes must apply a drain in
// time: no request may be sent to the worker later than 6 s after the list is available again. The test waits for
// another second of grace before it checks.
func TestDrainIsAppliedInTimeByEachProcessAfterFailedPolls(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{
		"refused":      nil,
		"unresponsive": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"overloaded": func(w http.ResponseWriter, _ *http.Request) {
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
			testDrainAfterFailedPolls(t, failing)
		})
	}
}

// testDrainAfterFailedPolls drains a worker while the discovery services answer with failingHandler, or refuse
// connections if it is nil.
func testDrainAfterFailedPolls(t *testing.T, failingHandler http.HandlerFunc) {
	t.Helper()
	const processes, grace = 3, time.Second
	var lastRequestAt atomic.Int64 // time of the last request to the draining worker, in Unix nanoseconds
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, func(w http.ResponseWriter, r *http.Request) {
		lastRequestAt.Store(time.Now().UnixNano())
		answerDone(w, r)
	})
	entry := `,{"host":"v","dial":"` + ln.Addr().String() + `","health":%q,"born_ms":0}`
	var dispatchers []*testDispatcher
	var healthyServices, failingServices []*http.Server
	for range processes {
		dispatcher := newTestDispatcher(t, 128)
		dispatcher.otherWorkers = fmt.Sprintf(entry, "Ready")
		healthyServices = append(healthyServices, serve(t, listen(t, dispatcher.discovery), dispatcher.serveWatch))
		dispatcher.start(t, 128)
		dispatcher.awaitReady(t, 6*time.Second)
		dispatchers = append(dispatchers, dispatcher)
	}
	defer keepSending(t, dispatchers)()
	assert.Eventually(t, func() bool { return lastRequestAt.Load() > 0 }, 3*time.Second, time.Millisecond, "the worker received no request")
	for n, dispatcher := range dispatchers { // the worker starts to drain while the discovery services fail
		healthyServices[n].Close()
		if failingHandler != nil {
			failingServices = append(failingServices, serve(t, listen(t, dispatcher.discovery), failingHandler))
		}
	}
	time.Sleep(5 * time.Second)
	for _, service := range failingServices {
		service.Close()
	}
	for _, dispatcher := range dispatchers {
		dispatcher.otherWorkers = fmt.Sprintf(entry, "Terminating")
		serve(t, listen(t, dispatcher.discovery), dispatcher.serveWatch)
	}
	upSince := time.Now()
	time.Sleep(6*time.Second + grace)
	lastRequestAfter := time.Unix(0, lastRequestAt.Load()).Sub(upSince)
	t.Logf("the last request reached the draining worker %v after the discovery services started", lastRequestAfter.Round(time.Millisecond))
	assert.Less(t, lastRequestAfter, 6*time.Second)
}
