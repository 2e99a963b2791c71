package daemon

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
)

// Tests of signals that arrive at unusual times, see docs/crossings.md.

// killDelay is the time from SIGTERM to SIGKILL for the longest client timeout of newTestConfig, 1 s.
const killDelay = time.Second + 700*time.Millisecond

// prepareProcess returns the signals of a process, which a test may also send before it starts the process.
func prepareProcess(c Config, reload func() (*Config, error)) (received *signals, start func() <-chan error) {
	received = newSignals()
	c.PeerListen = ""
	return received, func() <-chan error {
		ended := make(chan error, 1)
		go func() { ended <- serve(&c, reload, received, nopLog) }()
		return ended
	}
}

// assertExitsBeforeKill checks that a process exits by itself before the platform would kill it.
func assertExitsBeforeKill(t *testing.T, signalledAt time.Time, ended <-chan error) {
	t.Helper()
	awaitExit(t, ended, 10*time.Second)
	assert.Less(t, time.Since(signalledAt), killDelay)
}

// awaitListening waits until a process listens, and connects to it.
func awaitListening(t *testing.T, url string) *client {
	t.Helper()
	listens := func() bool { return acceptsConnections(strings.TrimPrefix(url, "http://")) }
	assert.Eventually(t, listens, 5*time.Second, time.Millisecond)
	return dialClient(t, url)
}

func TestClientsAreServedAfterSigtermBeforeListening(t *testing.T) {
	config, url := newTestConfig(t, 10*time.Millisecond)
	received, start := prepareProcess(config, nil)
	received.stop <- syscall.SIGTERM
	signalledAt := time.Now()
	ended := start()
	c := awaitListening(t, url)
	c.send("a1")
	c.assertResponse(t, 200, true)
	assertExitsBeforeKill(t, signalledAt, ended)
}

func TestSigtermDuringReloadAnswersRequestsAndExits(t *testing.T) {
	for name, reloadError := range map[string]error{"valid": nil, "invalid": errors.New("truncated file")} {
		t.Run(name, func(t *testing.T) {
			config, url := newTestConfig(t, 300*time.Millisecond)
			var received *signals
			var signalledAt time.Time
			read := make(chan bool, 1)
			received, start := prepareProcess(config, func() (*Config, error) {
				signalledAt = time.Now()
				received.stop <- syscall.SIGTERM
				read <- true
				next := config
				return &next, reloadError
			})
			ended := start()
			c := awaitListening(t, url)
			c.send("a1")
			received.reload <- syscall.SIGHUP
			<-read
			c.assertResponse(t, 200, true)
			assertExitsBeforeKill(t, signalledAt, ended)
		})
	}
}

func TestHangingWorkerDoesNotDelayExitWithoutCancellation(t *testing.T) {
	config, url := newTestConfig(t, time.Minute)
	config.Balancer.Attempts.Cancellation = false
	config.Balancer.Operations[0].Idempotency = balancer.NonIdempotent
	config.AdminListen = peertest.ReserveAddress(t)
	received, start := prepareProcess(config, nil)
	ended := start()
	c := awaitListening(t, url)
	io.WriteString(c, "POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: render\r\nReq-Deadline: 30\r\n\r\n")
	disconnecting := awaitListening(t, url) // disconnects while its request is in flight
	io.WriteString(disconnecting, "POST /api HTTP/1.1\r\nReq-Id: a2\r\nReq-Kind: render\r\nReq-Deadline: 30\r\n\r\n")
	bothSent := func() bool {
		return strings.Contains(runAdminCommand(t, config.AdminListen, "DUMP"), "svc.forwards=2\n")
	}
	assert.Eventually(t, bothSent, 5*time.Second, time.Millisecond)
	disconnecting.Close()
	signalledAt := time.Now()
	received.stop <- syscall.SIGTERM
	assert.Contains(t, []int{429, 502}, c.receive(t).status)
	assertExitsBeforeKill(t, signalledAt, ended)
}

// Clients send requests on persistent connections until a response closes the connection. Each request must be
// answered.
func TestPersistentConnectionsGetEachResponseDuringShutdown(t *testing.T) {
	config, url := newTestConfig(t, 5*time.Millisecond)
	received, start := prepareProcess(config, nil)
	ended := start()
	awaitListening(t, url)
	var clients sync.WaitGroup
	sending := make(chan bool, 64)
	for n := range 12 {
		clients.Go(func() {
			c := dialClient(t, url)
			for m := range 1000 {
				c.send(fmt.Sprintf("c%d.%d", n, m))
				response := c.receive(t)
				if !assert.Contains(t, []int{200, 429, 503}, response.status) || response.closes {
					return
				}
				if m == 3 {
					sending <- true
				}
			}
			t.Error("connection was not closed after 1000 requests")
		})
	}
	for range 12 {
		<-sending
	}
	signalledAt := time.Now()
	received.stop <- syscall.SIGTERM
	clients.Wait()
	assertExitsBeforeKill(t, signalledAt, ended)
}

// The shutdown must not wait for a client that keeps sending pipelined requests.
func TestEndlessPipeliningDoesNotDelayExit(t *testing.T) {
	config, url := newTestConfig(t, time.Millisecond)
	received, start := prepareProcess(config, nil)
	ended := start()
	c := awaitListening(t, url)
	go io.Copy(io.Discard, c)
	pipelining := make(chan bool)
	go func() {
		for n := 0; ; n++ {
			_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: a%d\r\nReq-Kind: render\r\n\r\n", n)
			if err != nil {
				return
			}
			if n == 100 {
				close(pipelining)
			}
		}
	}()
	<-pipelining
	signalledAt := time.Now()
	received.stop <- syscall.SIGTERM
	assertExitsBeforeKill(t, signalledAt, ended)
}
