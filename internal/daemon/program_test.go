package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

const configuration = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500",
"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.0.1:7946","127.0.0.2:7946"],"peers_all":"127.3.255.1:7946",
"known":{"seq":41,"whole":true,"hosts":[
{"host":"s-1","dial":"127.0.0.3:8080","site":"a","class":"m","health":"Ready"}]},
"settings":{"balancers":2,"shapes":["m"],"zones":["a"],"operations":[{"name":"render","repeat":"idempotent",
"latencyObjectiveS":1,"clientTimeoutS":2.5,"billedValue":1}],
"policyLimits":{"peers":true,"maxForwards":3,"mayCancel":true,"connIdleS":8,"dialTimeoutS":0.2,
"retryAfter":true,"maxRetryAfterS":2}}}`

func environment(pairs ...string) func(string) string {
	return func(key string) string {
		for n := 0; n < len(pairs); n += 2 {
			if pairs[n] == key {
				return pairs[n+1]
			}
		}
		return ""
	}
}

func TestConfigurationIsReadAndDefaulted(t *testing.T) {
	p, err := parse([]byte(configuration), environment("LB_NAME", "other"))
	assert.NoError(t, err)
	assert.Equal(t, []any{
		"other", "127.0.0.1:8080", "127.0.0.1:8500", uint64(0x8c1f30d27a5be964),
		8 * time.Second,
	},
		[]any{p.Name, p.Listen, p.Proxy.Discovery, p.Seed, p.WorkerIdleTimeout})
	assert.Equal(t, []any{200 * time.Millisecond, 2500 * time.Millisecond, 2 * time.Second, 2, int64(41)},
		[]any{
			p.Proxy.DialTimeout, p.MaxClientTimeout, p.Proxy.MaxRetryAfter, len(p.Proxy.Peers),
			p.Proxy.InitialEndpoints.Version,
		})
	bare := strings.NewReplacer(`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", `"connIdleS":8,`,
		"",
		`"dialTimeoutS":0.2,`, "", `"clientTimeoutS":2.5,`, "").Replace(configuration)
	p, err = parse([]byte(bare), environment())
	assert.NoError(t, err)
	assert.Equal(t, []any{usualIdle, usualDial, usualTimeout, usualSockets, usualMemoryMB},
		[]any{p.WorkerIdleTimeout, p.Proxy.DialTimeout, p.MaxClientTimeout, p.Sockets, p.MemoryMB})
}

func TestBadConfigurationIsRefusedByTheNameOfTheKey(t *testing.T) {
	for _, c := range []struct{ old, with, want string }{
		{`"name":"n3"`, `"name":7`, "name: must be a text"},
		{`"listen":"127.0.0.1:8080"`, `"listen":"here"`, `listen: "here" is not an address`},
		{`"discovery":"127.0.0.1:8500",`, ``, "discovery: must be a text"},
		{`8c1f30d27a5be964`, `xyz`, "seed:"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: 1"},
		{`"sockets":1024`, `"sockets":"many"`, `limits.sockets: "many"`},
		{`"cores":1.0`, `"cores":0`, "limits.cores: 0"},
		{`"peer_listen":"127.0.0.1:7946"`, `"peer_listen":""`, "peer_listen: must be a text"},
		{`,"127.0.0.2:7946"`, ``, "peers: 1 addresses for settings.balancers 2"},
		{`,"127.0.0.2:7946"`, `,"x"`, `peers[1]: "x" is not`},
		{`"seq":41`, `"seq":"x"`, "known:"},
		{`"connIdleS":8`, `"connIdleS":-1`, "settings.policyLimits.connIdleS: -1"},
		{`"zones":["a"]`, `"zones":[1]`, "settings.zones[0]: must be a text"},
		{`"name":"render"`, `"name":""`, "settings.operations[0].name: must be a text"},
		{`"repeat":"idempotent"`, `"repeat":"often"`, `settings: operations[0]: unknown repeat "often"`},
		{`"balancers":2`, `"balancers":0`, "settings: balancers: 0"},
		{`"name":"n3"`, `"name":"n3","mgmt":"nowhere"`, `mgmt: "nowhere" is not an address`},
		{`"clientTimeoutS":2.5`, `"clientTimeoutS":0`, "operations[0].clientTimeoutS: 0, must be a positive"},
		{`"clientTimeoutS":2.5`, `"clientTimeoutS":"2"`, `operations[0].clientTimeoutS: "2", must be a positive`},
		{`"clientTimeoutS":2.5`, `"clientTimeoutS":1e999`, "operations[0].clientTimeoutS"},
		{`"latencyObjectiveS":1`, `"latencyObjectiveS":-1`, "latencyObjectiveS: -1"},
		{`"maxForwards":3`, `"maxForwards":0`, "settings.policyLimits.maxForwards: 0, must be a positive"},
		{`"maxForwards":3`, `"maxForwards":1.5`, "maxForwards: 1.5, must be a whole"},
		{
			`"operations":[`, `"operations":[{"name":"render","repeat":"idempotent"},`,
			"operations[1].name: \"render\" is",
		},
		{`"settings":`, `"other":`, "settings: not an object"},
		{`{"name"`, `["name"`, "not JSON"},
	} {
		assert.Contains(t, configuration, c.old)
		_, err := parse([]byte(strings.Replace(configuration, c.old, c.with, 1)), environment())
		assert.ErrorContains(t, err, c.want)
	}
	_, err := parse([]byte(configuration), environment("LB_LISTEN", "nowhere"))
	assert.ErrorContains(t, err, "LB_LISTEN")
	_, err = ReadConfig(environment())
	assert.ErrorContains(t, err, "LB_CONFIG: not set")
	_, err = ReadConfig(environment("LB_CONFIG", filepath.Join(t.TempDir(), "none")))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against limits at their least together: many descriptors, and no memory for as many connections.
func TestRoomFollowsFromBothLimits(t *testing.T) {
	for _, c := range []struct{ memory, sockets, clients, workers int }{
		{192, 1024, 600, 362}, {32, 256, 139, 84}, {32, 1024, 307, 185},
	} {
		r := (&Config{MemoryMB: c.memory, Sockets: c.sockets}).room()
		assert.Equal(t, []int{c.clients, c.workers}, []int{r.clients, r.workers})
		assert.Less(t, (r.clients*17/16+r.workers)*connBytes+int(r.bodies), c.memory<<20*3/4)
	}
}

// syncBuffer is a log that is read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// freeAddress is one that nobody listens on.
func freeAddress(t *testing.T) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer free.Close()
	return free.Addr().String()
}

// running starts a dispatcher where placed puts it.
func running(t *testing.T, wait time.Duration, anew func() (*Config, error), change ...func(*Config)) (
	url string, log *syncBuffer, ended <-chan error,
) {
	p, url := placed(t, wait)
	for _, c := range change {
		c(&p)
	}
	log, end := &syncBuffer{}, make(chan error, 1)
	heard := listen()
	t.Cleanup(heard.stop)
	go func() { end <- Run(&p, anew, heard, zerolog.New(log)) }()
	assert.Eventually(t, func() bool {
		a, err := http.Get(url + "/_health")
		if err != nil {
			return false
		}
		a.Body.Close()
		return a.StatusCode == 200
	}, 5*time.Second, 10*time.Millisecond, "ready with the list that it was started with")
	return url, log, end
}

// placed is a dispatcher's place beside one worker, which answers after a wait, and a list service that is
// down.
func placed(t *testing.T, wait time.Duration) (at Config, url string) {
	worker := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		json.NewEncoder(w).Encode(map[string]string{
			"id": r.Header.Get("Req-Id"), "state": "done",
			"result": "made",
		})
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	go worker.Serve(ln)
	t.Cleanup(func() { worker.Close() })
	p, err := parse([]byte(configuration), environment("LB_LISTEN", freeAddress(t), "LB_DISCOVERY",
		"127.0.0.1:9"))
	assert.NoError(t, err)
	p.Balancer.Gossip, p.Proxy.InitialEndpoints.Endpoints[0].Address, p.MaxClientTimeout = false, ln.Addr().String(), time.Second
	return *p, "http://" + p.Listen
}

func invoke(t *testing.T, url string) (status int, body string) {
	q, err := http.NewRequest("POST", url+"/api", strings.NewReader("x"))
	assert.NoError(t, err)
	q.Header.Set("Req-Id", "a1")
	q.Header.Set("Req-Kind", "render")
	a, err := http.DefaultClient.Do(q)
	if !assert.NoError(t, err) {
		return 0, ""
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.NoError(t, err)
	return a.StatusCode, string(b)
}

func TestSigtermAnswersAllThatWasTakenAndThenEnds(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		status int
		body   string
	}{{300 * time.Millisecond, 200, "made"}, {time.Minute, 429, ""}} {
		url, log, ended := running(t, c.wait, nil)
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			status, body := invoke(t, url)
			assert.Equal(t, []any{c.status, c.body}, []any{status, body})
		}()
		assert.Eventually(t, func() bool {
			assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
			return strings.Contains(log.String(), `"forwards":{"sent":1`)
		}, 5*time.Second, 20*time.Millisecond, "the counters are printed when asked for")
		assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-answered
		select {
		case err := <-ended:
			assert.NoError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("it does not end")
		}
		assert.Contains(t, log.String(), `"why":"exit","open":0,"taken":1`)
	}
}

// Guards against a process that SIGHUP ends, and one that goes on with a list service that has moved.
func TestSighupReadsTheConfigurationAnew(t *testing.T) {
	asked := make(chan string, 8)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer list.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	url, log, ended := running(t, 200*time.Millisecond, func() (*Config, error) {
		return ReloadConfig(environment("LB_CONFIG", path, "LB_DISCOVERY", "127.0.0.1:9"))
	})
	told := func(what string) func() bool { return func() bool { return strings.Contains(log.String(), what) } }
	turn := func(text string) {
		assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, body := invoke(t, url)
		assert.Equal(t, []any{200, "made"}, []any{status, body}, "no open invocation notices")
	}()
	turn(`{"name":`)
	assert.Eventually(t, told("bad configuration, the old one is kept"), 5*time.Second, time.Millisecond)
	there := strings.TrimPrefix(list.URL, "http://")
	listen := strings.TrimPrefix(url, "http://")
	turn(strings.NewReplacer("127.0.0.1:8500", there, `"sockets":1024`, `"sockets":512`, "127.0.0.1:8080",
		listen).Replace(configuration))
	select {
	case target := <-asked:
		assert.Equal(t, "/catalog/members?stream=1&index=41", target)
	case <-time.After(time.Second):
		t.Fatal("the new address is not asked at once")
	}
	assert.Contains(t, log.String(), `"at_next_start":["limits",`, "the test has set some")
	<-answered
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}

// Guards against settings that are taken in part, or from a file that is broken, and against a class that
// nobody asked to go on with.
func TestSighupTakesNewSettingsWholeOrNotAtAll(t *testing.T) {
	path, mgmt := filepath.Join(t.TempDir(), "config.json"), freeAddress(t)
	url, _, ended := running(t, 300*time.Millisecond, func() (*Config, error) {
		return ReloadConfig(environment("LB_CONFIG", path, "LB_MGMT", mgmt))
	}, func(p *Config) { p.AdminListen, p.PeerListen = mgmt, "" })
	whole := strings.NewReplacer("127.0.0.1:8080", strings.TrimPrefix(url, "http://"), "127.0.0.1:8500",
		"127.0.0.1:9", `"peers":true`, `"peers":false`).Replace(configuration)
	rejected := 0
	turn := func(text string, figure string) {
		assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		says := func() bool { return strings.Contains(called(t, mgmt, "DUMP"), figure+"\n") }
		assert.Eventually(t, says, time.Second, 5*time.Millisecond, figure)
	}
	asked := func(kind string) int {
		q, _ := http.NewRequest("POST", url+"/api", nil)
		q.Header.Set("Req-Id", kind)
		q.Header.Set("Req-Kind", kind)
		a, err := http.DefaultClient.Do(q)
		if !assert.NoError(t, err) {
			return 0
		}
		a.Body.Close()
		return a.StatusCode
	}
	for _, broken := range []string{
		"", whole[:len(whole)/2], "[]",
		strings.Replace(whole, `"maxForwards":3,`, "", 1),
		strings.Replace(whole, `"clientTimeoutS":2.5`, `"clientTimeoutS":-1`, 1),
		strings.Replace(whole, `"clientTimeoutS":2.5,`, "", 1),
		strings.Replace(whole, `"name":"n3"`, `"name":"n4"`, 1),
		strings.Replace(strings.Replace(whole, "render", "other", 1), `"maxForwards":3`, `"maxForwards":0`, 1),
	} {
		rejected++
		turn(broken, fmt.Sprintf("svc.sighup_rejected=%d", rejected))
		assert.Equal(t, 400, asked("other"), "nothing is taken of it")
	}
	open := make(chan int)
	go func() { open <- asked("render") }()
	sent := func() bool { return strings.Contains(called(t, mgmt, "DUMP"), "svc.forwards=1\n") }
	assert.Eventually(t, sent, time.Second, time.Millisecond)
	turn(strings.Replace(whole, "render", "other", 1), "svc.sighup_applied=1")
	assert.Equal(t, []int{200, 400, 200}, []int{asked("other"), asked("render"), <-open}, "what is open goes on")
	turn(whole, "svc.sighup_applied=2")
	assert.Equal(t, 200, asked("render"))
	assert.Contains(t, called(t, mgmt, "DUMP"), "svc.succeeded.render=2\n", "its counts go on")
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}
