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
)

// sighupWith replaces a configuration file and sends SIGHUP to the test process.
func sighupWith(t *testing.T, path, text string) {
	t.Helper()
	assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}

// SIGHUP must neither end the process nor leave it with a list service that has moved.
func TestSighupReloadsTheConfiguration(t *testing.T) {
	polled := make(chan string, 8)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.String()
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer list.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	url, log, ended := startDispatcher(t, 200*time.Millisecond, func() (*Config, error) {
		return ReloadConfig(fakeEnv("LB_CONFIG", path, "LB_DISCOVERY", "127.0.0.1:9"))
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, body := sendRequest(t, url)
		assert.Equal(t, []any{200, "made"}, []any{status, body}, "requests in flight go on")
	}()
	sighupWith(t, path, `{"name":`)
	rejected := func() bool { return strings.Contains(log.String(), "invalid configuration, keeping the current one") }
	assert.Eventually(t, rejected, 5*time.Second, time.Millisecond)
	sighupWith(t, path, strings.NewReplacer("127.0.0.1:8500", strings.TrimPrefix(list.URL, "http://"),
		`"sockets":1024`, `"sockets":512`, "127.0.0.1:8080", strings.TrimPrefix(url, "http://")).Replace(testConfiguration))
	select {
	case target := <-polled:
		assert.Equal(t, "/catalog/members?stream=1&index=41", target)
	case <-time.After(time.Second):
		t.Fatal("the new address is not polled at once")
	}
	assert.Contains(t, log.String(), `"at_next_start":["limits",`, "the test's own changes of the first configuration follow")
	<-answered
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}

// A file is applied whole or not at all, and an operation that the file no longer has is not served.
func TestSighupAppliesNewSettingsWholeOrNotAtAll(t *testing.T) {
	path, admin := filepath.Join(t.TempDir(), "config.json"), freeAddress(t)
	url, _, ended := startDispatcher(t, 300*time.Millisecond, func() (*Config, error) {
		return ReloadConfig(fakeEnv("LB_CONFIG", path, "LB_MGMT", admin))
	}, func(c *Config) { c.AdminListen, c.PeerListen = admin, "" })
	whole := strings.NewReplacer("127.0.0.1:8080", strings.TrimPrefix(url, "http://"), "127.0.0.1:8500", "127.0.0.1:9",
		`"peers":true`, `"peers":false`).Replace(testConfiguration)
	reloadUntil := func(t *testing.T, text, metric string) {
		t.Helper()
		sighupWith(t, path, text)
		counted := func() bool { return strings.Contains(runAdminCommand(t, admin, "DUMP"), metric+"\n") }
		assert.Eventually(t, counted, time.Second, 5*time.Millisecond, metric)
	}
	statusOf := func(operation string) int {
		request, err := http.NewRequest("POST", url+"/api", nil)
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
		{"empty", ""},
		{"half a file", whole[:len(whole)/2]},
		{"no object", "[]"},
		{"key missing", strings.Replace(whole, `"maxForwards":3,`, "", 1)},
		{"negative timeout", strings.Replace(whole, `"clientTimeoutS":2.5`, `"clientTimeoutS":-1`, 1)},
		{"key of an operation missing", strings.Replace(whole, `"clientTimeoutS":2.5,`, "", 1)},
		{"another dispatcher's", strings.Replace(whole, `"name":"n3"`, `"name":"n4"`, 1)},
		{
			"one change valid and one not",
			strings.Replace(strings.Replace(whole, "render", "other", 1), `"maxForwards":3`, `"maxForwards":0`, 1),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			reloadUntil(t, c.text, fmt.Sprintf("svc.sighup_rejected=%d", n+1))
			assert.Equal(t, 400, statusOf("other"), "nothing of it is applied")
		})
	}
	inFlight := make(chan int)
	go func() { inFlight <- statusOf("render") }()
	sent := func() bool { return strings.Contains(runAdminCommand(t, admin, "DUMP"), "svc.forwards=1\n") }
	assert.Eventually(t, sent, time.Second, time.Millisecond)
	reloadUntil(t, strings.Replace(whole, "render", "other", 1), "svc.sighup_applied=1")
	assert.Equal(t, []int{200, 400, 200}, []int{statusOf("other"), statusOf("render"), <-inFlight}, "requests in flight go on")
	reloadUntil(t, whole, "svc.sighup_applied=2")
	assert.Equal(t, 200, statusOf("render"))
	assert.Contains(t, runAdminCommand(t, admin, "DUMP"), "svc.succeeded.render=2\n", "its counts go on")
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}
