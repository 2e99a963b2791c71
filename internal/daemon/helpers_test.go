package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

const testConfiguration = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500",
"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.0.1:7946","127.0.0.2:7946"],"peers_all":"127.3.255.1:7946",
"known":{"seq":41,"whole":true,"hosts":[
{"host":"s-1","dial":"127.0.0.3:8080","site":"a","class":"m","health":"Ready"}]},
"settings":{"balancers":2,"shapes":["m"],"zones":["a"],"operations":[{"name":"render","repeat":"idempotent",
"latencyObjectiveS":1,"clientTimeoutS":2.5,"billedValue":1}],
"policyLimits":{"peers":true,"maxForwards":3,"mayCancel":true,"connIdleS":8,"dialTimeoutS":0.2,
"retryAfter":true,"maxRetryAfterS":2}}}`

var nopLog = zerolog.Nop()

// fakeEnv is an environment of the variables in pairs, each followed by its value.
func fakeEnv(pairs ...string) func(string) string {
	return func(key string) string {
		for n := 0; n < len(pairs); n += 2 {
			if pairs[n] == key {
				return pairs[n+1]
			}
		}
		return ""
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

// freeAddress is an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer free.Close()
	return free.Addr().String()
}

// newTestConfig is the configuration of a dispatcher with one worker, which answers after a delay, and a list service
// that is down.
func newTestConfig(t *testing.T, workerDelay time.Duration) (c Config, url string) {
	t.Helper()
	worker := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(workerDelay):
		case <-r.Context().Done():
		}
		json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	go worker.Serve(ln)
	t.Cleanup(func() { worker.Close() })
	parsed, err := parseConfig([]byte(testConfiguration),
		fakeEnv("LB_LISTEN", freeAddress(t), "LB_DISCOVERY", "127.0.0.1:9"))
	assert.NoError(t, err)
	parsed.Balancer.Gossip = false
	parsed.Proxy.InitialEndpoints.Endpoints[0].Address = ln.Addr().String()
	parsed.MaxClientTimeout = time.Second
	return *parsed, "http://" + parsed.Listen
}

// startDispatcher starts a dispatcher that receives the test process's signals, and waits until it is healthy. reload
// reads its configuration again; changes alter the first one.
func startDispatcher(t *testing.T, workerDelay time.Duration, reload func() (*Config, error), changes ...func(*Config)) (
	url string, log *syncBuffer, ended <-chan error,
) {
	t.Helper()
	c, url := newTestConfig(t, workerDelay)
	for _, change := range changes {
		change(&c)
	}
	log = &syncBuffer{}
	end := make(chan error, 1)
	received := notifySignals()
	t.Cleanup(received.close)
	go func() { end <- serve(&c, reload, received, zerolog.New(log)) }()
	assert.Eventually(t, func() bool {
		response, err := http.Get(url + "/_health")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == 200
	}, 5*time.Second, 10*time.Millisecond, "ready with the list that it was started with")
	return url, log, end
}

// sendRequest sends one request and reads its response.
func sendRequest(t *testing.T, url string) (status int, body string) {
	t.Helper()
	request, err := http.NewRequest("POST", url+"/api", strings.NewReader("x"))
	assert.NoError(t, err)
	request.Header.Set("Req-Id", "a1")
	request.Header.Set("Req-Kind", "render")
	response, err := http.DefaultClient.Do(request)
	if !assert.NoError(t, err) {
		return 0, ""
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
	return response.StatusCode, string(b)
}

// runAdminCommand sends one command to the admin address and returns the answer.
func runAdminCommand(t *testing.T, addr, command string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if !assert.NoError(t, err) {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, command)
	b, err := io.ReadAll(c)
	assert.NoError(t, err)
	return string(b)
}

// client is a client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dialClient(t *testing.T, url string) *client {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// send sends one request.
func (c *client) send(id string) {
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: render\r\nReq-Deadline: 9\r\n"+
		"Content-Length: 0\r\n\r\n", id)
}

// receive reads one response.
func (c *client) receive(t *testing.T) (status int, closes bool, retryAfter string) {
	t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if !assert.NoError(t, err) {
		return 0, true, ""
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, response.Header.Get("Retry-After")
}
