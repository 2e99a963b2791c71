package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
)

// reloadWithSighup replaces the configuration file and sends SIGHUP to the test process.
func reloadWithSighup(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path, text)
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}

// SIGHUP must not stop the process. After the reload the process polls the discovery service at its new address.
func TestSighupReloadsTheConfiguration(t *testing.T) {
	polled := make(chan string, 8)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.String()
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	dispatcher := startDispatcher(t, 200*time.Millisecond, func() (*Config, error) {
		return ReloadConfig(fakeEnv("LB_CONFIG", path, "LB_DISCOVERY", unusedAddress))
	})
	url, log := dispatcher.url, dispatcher.log
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, body := sendRequest(t, url)
		assert.Equal(t, []any{200, "made"}, []any{status, body}, "requests in flight are not affected")
	}()
	reloadWithSighup(t, path, `{"name":`)
	rejected := func() bool { return strings.Contains(log.String(), "invalid configuration, keeping the current one") }
	assert.Eventually(t, rejected, 5*time.Second, time.Millisecond)
	reloadWithSighup(t, path, strings.NewReplacer("127.0.0.1:8500", strings.TrimPrefix(discovery.URL, "http://"),
		`"sockets":1024`, `"sockets":512`, "127.0.0.1:8080", strings.TrimPrefix(url, "http://")).Replace(testConfiguration))
	select {
	case target := <-polled:
		assert.Equal(t, "/catalog/members?stream=1&index=41", target)
	case <-time.After(time.Second):
		t.Fatal("new discovery address was not polled within 1 s")
	}
	assert.Contains(t, log.String(), `"at_next_start":["limits",`, "followed by the keys that startDispatcher changed")
	<-answered
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-dispatcher.ended)
}

// A file must be applied completely or not at all. An operation that was removed from the file is not served.
func TestSighupAppliesNewSettingsCompletelyOrNotAtAll(t *testing.T) {
	path, admin := filepath.Join(t.TempDir(), "config.json"), peertest.ReserveAddress(t)
	dispatcher := startDispatcher(t, 300*time.Millisecond, func() (*Config, error) {
		return ReloadConfig(fakeEnv("LB_CONFIG", path, "LB_MGMT", admin))
	}, func(c *Config) {
		c.AdminListen = admin
		c.PeerListen = ""
	})
	valid := standaloneConfiguration(strings.TrimPrefix(dispatcher.url, "http://"))
	reloadUntil := func(t *testing.T, text, metric string) {
		t.Helper()
		reloadWithSighup(t, path, text)
		counted := func() bool { return strings.Contains(runAdminCommand(t, admin, "DUMP"), metric+"\n") }
		assert.Eventually(t, counted, time.Second, 5*time.Millisecond, metric)
	}
	sendOperation := func(operation string) int {
		request, err := http.NewRequest("POST", dispatcher.url+"/api", nil)
		assert.NoError(t, err)
		request.Header.Set("Req-Id", operation)
		request.Header.Set("Req-Kind", operation)
		response, err := http.DefaultClient.Do(request)
		if !assert.NoError(t, err) {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	for n, c := range []struct{ name, text string }{
		{"empty file", ""},
		{"truncated file", valid[:len(valid)/2]},
		{"not an object", "[]"},
		{"key missing", strings.Replace(valid, `"maxForwards":3,`, "", 1)},
		{"negative timeout", strings.Replace(valid, `"clientTimeoutS":2.5`, `"clientTimeoutS":-1`, 1)},
		{"operation key missing", strings.Replace(valid, `"clientTimeoutS":2.5,`, "", 1)},
		{"name of another dispatcher", strings.Replace(valid, `"name":"n3"`, `"name":"n4"`, 1)},
		{
			"one valid and one invalid change",
			strings.Replace(strings.Replace(valid, "render", "other", 1), `"maxForwards":3`, `"maxForwards":0`, 1),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			reloadUntil(t, c.text, fmt.Sprintf("svc.sighup_rejected=%d", n+1))
			assert.Equal(t, 400, sendOperation("other"), "no part of the file is applied")
		})
	}
	inFlight := make(chan int)
	go func() { inFlight <- sendOperation("render") }()
	sent := func() bool { return strings.Contains(runAdminCommand(t, admin, "DUMP"), "svc.forwards=1\n") }
	assert.Eventually(t, sent, time.Second, time.Millisecond)
	reloadUntil(t, strings.Replace(valid, "render", "other", 1), "svc.sighup_applied=1")
	assert.Equal(t, []int{200, 400, 200}, []int{sendOperation("other"), sendOperation("render"), <-inFlight},
		"requests in flight are not affected")
	reloadUntil(t, valid, "svc.sighup_applied=2")
	assert.Equal(t, 200, sendOperation("render"))
	assert.Contains(t, runAdminCommand(t, admin, "DUMP"), "svc.succeeded.render=2\n", "its counters were not reset")
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-dispatcher.ended)
}
