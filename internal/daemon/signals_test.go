package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
)

// In each test here a signal arrives at a moment at which it seldom does (docs/crossings.md).

// killDelay is when SIGKILL may follow SIGTERM, at newTestConfig's longest client timeout of 1 s.
const killDelay = time.Second + 700*time.Millisecond

// preparedProcess returns a process's signals, which a test may send before it starts the process too.
func preparedProcess(c Config, reload func() (*Config, error)) (received *signals, start func() <-chan error) {
	received = newSignals()
	c.PeerListen = ""
	return received, func() <-chan error {
		ended := make(chan error, 1)
		go func() { ended <- serve(&c, reload, received, nopLog) }()
		return ended
	}
}

// assertEndsInTime waits for a process that ends by itself before it could be killed.
func assertEndsInTime(t *testing.T, since time.Time, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		assert.NoError(t, err)
		assert.Less(t, time.Since(since), killDelay)
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

// awaitListening connects once a process listens.
func awaitListening(t *testing.T, url string) *client {
	t.Helper()
	assert.Eventually(t, func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err == nil {
			c.Close()
		}
		return err == nil
	}, 5*time.Second, time.Millisecond)
	return dialClient(t, url)
}

func TestSignalBeforeTheListenerOpensStillServesClients(t *testing.T) {
	config, url := newTestConfig(t, 10*time.Millisecond)
	received, start := preparedProcess(config, nil)
	received.stop <- syscall.SIGTERM
	began := time.Now()
	ended := start()
	c := awaitListening(t, url)
	c.send("a1")
	status, closes, _ := c.receive(t)
	assert.Equal(t, []any{200, true}, []any{status, closes})
	assertEndsInTime(t, began, ended)
}

func TestSigtermWhileTheConfigurationIsReloaded(t *testing.T) {
	for name, reloadError := range map[string]error{"valid": nil, "invalid": errors.New("half a file")} {
		t.Run(name, func(t *testing.T) {
			config, url := newTestConfig(t, 300*time.Millisecond)
			var received *signals
			var signalled time.Time
			read := make(chan bool, 1)
			received, start := preparedProcess(config, func() (*Config, error) {
				signalled = time.Now()
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
			status, closes, _ := c.receive(t)
			assert.Equal(t, []any{200, true}, []any{status, closes})
			assertEndsInTime(t, signalled, ended)
		})
	}
}

func TestHangingWorkerDoesNotDelayTheEndWithoutCancellation(t *testing.T) {
	config, url := newTestConfig(t, time.Minute)
	config.Balancer.Cancellation = false
	config.Balancer.Operations[0].Idempotency = balancer.NonIdempotent
	config.AdminListen = freeAddress(t)
	received, start := preparedProcess(config, nil)
	ended := start()
	c := awaitListening(t, url)
	io.WriteString(c, "POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: render\r\nReq-Deadline: 30\r\n\r\n")
	gone := awaitListening(t, url)
	io.WriteString(gone, "POST /api HTTP/1.1\r\nReq-Id: a2\r\nReq-Kind: render\r\nReq-Deadline: 30\r\n\r\n")
	out := func() bool {
		return strings.Contains(runAdminCommand(t, config.AdminListen, "DUMP"), "svc.forwards=2\n")
	}
	assert.Eventually(t, out, 5*time.Second, time.Millisecond)
	gone.Close()
	signalled := time.Now()
	received.stop <- syscall.SIGTERM
	status, _, _ := c.receive(t)
	assert.Contains(t, []int{429, 502}, status)
	assertEndsInTime(t, signalled, ended)
}

// Clients go on sending on kept connections until a response closes them: each request is answered.
func TestClientsOnKeptConnectionsGetEachResponseWhileTheProcessEnds(t *testing.T) {
	config, url := newTestConfig(t, 5*time.Millisecond)
	received, start := preparedProcess(config, nil)
	ended := start()
	awaitListening(t, url)
	var clients sync.WaitGroup
	asking := make(chan bool, 64)
	for n := range 12 {
		clients.Go(func() {
			c := dialClient(t, url)
			for m := range 1000 {
				c.send(fmt.Sprintf("c%d.%d", n, m))
				status, closes, _ := c.receive(t)
				if !assert.Contains(t, []int{200, 429, 503}, status) || closes {
					return
				}
				if m == 3 {
					asking <- true
				}
			}
			t.Error("its connection is never closed")
		})
	}
	for range 12 {
		<-asking
	}
	signalled := time.Now()
	received.stop <- syscall.SIGTERM
	clients.Wait()
	assertEndsInTime(t, signalled, ended)
}

// A client that pipelines without end is not waited for.
func TestClientThatPipelinesWithoutEndDoesNotDelayTheEnd(t *testing.T) {
	config, url := newTestConfig(t, time.Millisecond)
	received, start := preparedProcess(config, nil)
	ended := start()
	c := awaitListening(t, url)
	go io.Copy(io.Discard, c)
	flooding := make(chan bool)
	go func() {
		for n := 0; ; n++ {
			_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: a%d\r\nReq-Kind: render\r\n\r\n", n)
			if err != nil {
				return
			}
			if n == 100 {
				close(flooding)
			}
		}
	}()
	<-flooding
	signalled := time.Now()
	received.stop <- syscall.SIGTERM
	assertEndsInTime(t, signalled, ended)
}
