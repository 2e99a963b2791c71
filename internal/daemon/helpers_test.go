package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
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

// fakeEnv returns a getenv function for the given pairs of a variable and its value.
func fakeEnv(pairs ...string) func(string) string {
	return func(variable string) string {
		for n := 0; n < len(pairs); n += 2 {
			if pairs[n] == variable {
				return pairs[n+1]
			}
		}
		return ""
	}
}

// writeFile writes a file and returns its path.
func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// standaloneConfiguration returns testConfiguration with another client address, without gossip, and with a discovery
// service that is not reachable.
func standaloneConfiguration(listen string) string {
	return strings.NewReplacer("127.0.0.1:8080", listen, "127.0.0.1:8500", unusedAddress, `"peers":true`, `"peers":false`).
		Replace(testConfiguration)
}

// unusedAddress is an address at which no server listens.
const unusedAddress = "127.0.0.1:9"

// syncBuffer is a buffer for log output that may be read while it is written.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(text []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(text)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// acceptsConnections reports whether a process accepts connections on an address.
func acceptsConnections(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// awaitExit waits until a process exits without an error.
func awaitExit(t *testing.T, ended <-chan error, timeout time.Duration) {
	t.Helper()
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(timeout):
		t.Fatal("process did not exit in time")
	}
}

// newTestConfig returns the configuration of a dispatcher with one worker, which responds after a delay, and a
// discovery service that is not reachable.
func newTestConfig(t *testing.T, workerDelay time.Duration) (c Config, url string) {
	t.Helper()
	worker := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(workerDelay):
		case <-r.Context().Done():
		}
		json.NewEncoder(w).Encode(map[string]string{"id": r.Header.Get("Req-Id"), "state": "done", "result": "made"})
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	go worker.Serve(listener)
	t.Cleanup(func() { worker.Close() })
	parsed, err := parseConfig([]byte(testConfiguration),
		fakeEnv("LB_LISTEN", peertest.ReserveAddress(t), "LB_DISCOVERY", unusedAddress))
	assert.NoError(t, err)
	parsed.Balancer.Gossip.Enabled = false
	parsed.Proxy.InitialEndpoints.Endpoints[0].Address = listener.Addr().String()
	parsed.MaxClientTimeout = time.Second
	return *parsed, "http://" + parsed.Listen
}

// runningDispatcher is a dispatcher that receives the signals of the test process.
type runningDispatcher struct {
	url   string
	log   *syncBuffer
	ended <-chan error
}

// startDispatcher starts a dispatcher and waits until it is healthy. reload reads the configuration again; changes
// modify the initial one.
func startDispatcher(t *testing.T, workerDelay time.Duration, reload func() (*Config, error), changes ...func(*Config),
) *runningDispatcher {
	t.Helper()
	config, url := newTestConfig(t, workerDelay)
	for _, change := range changes {
		change(&config)
	}
	log := &syncBuffer{}
	ended := make(chan error, 1)
	received := notifySignals()
	t.Cleanup(received.close)
	go func() { ended <- serve(&config, reload, received, zerolog.New(log)) }()
	assert.Eventually(t, func() bool {
		response, err := http.Get(url + "/_health")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == 200
	}, 5*time.Second, 10*time.Millisecond, "healthy with its initial endpoint list")
	return &runningDispatcher{url: url, log: log, ended: ended}
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
	text, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
	return response.StatusCode, string(text)
}

// runAdminCommand sends one command to the admin address and returns the response.
func runAdminCommand(t *testing.T, addr, command string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if !assert.NoError(t, err) {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(conn, command)
	response, err := io.ReadAll(conn)
	assert.NoError(t, err)
	return string(response)
}

// client is a client connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dialClient(t *testing.T, url string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// send sends one request.
func (c *client) send(id string) {
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: render\r\nReq-Deadline: 9\r\n"+
		"Content-Length: 0\r\n\r\n", id)
}

// clientResponse is the part of a response that tests check.
type clientResponse struct {
	status     int
	closes     bool   // the response has "Connection: close"
	retryAfter string // "" without the header
}

// receive reads one response.
func (c *client) receive(t *testing.T) clientResponse {
	t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if !assert.NoError(t, err) {
		return clientResponse{closes: true}
	}
	io.Copy(io.Discard, response.Body)
	return clientResponse{
		status:     response.StatusCode,
		closes:     response.Close,
		retryAfter: response.Header.Get("Retry-After"),
	}
}

// assertResponse checks the status of the next response, and whether the response closes the connection.
func (c *client) assertResponse(t *testing.T, status int, closes bool, explanation ...any) {
	t.Helper()
	response := c.receive(t)
	assert.Equal(t, []any{status, closes}, []any{response.status, response.closes}, explanation...)
}
