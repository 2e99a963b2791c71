package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
)

// Each test here lets a signal come at a moment at which it seldom comes (docs/crossings.md).

// killWithin is when SIGKILL may come after SIGTERM, at the longest client timeout of placed: 1 s.
const killWithin = time.Second + 700*time.Millisecond

// told is a process that a test sends signals to, at whatever moment.
func told(p Config, anew func() (*Config, error)) (heard *signals,
	start func() <-chan error,
) {
	heard = &signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	p.PeerListen = ""
	return heard, func() <-chan error {
		ended := make(chan error, 1)
		go func() { ended <- Run(&p, anew, heard, zerolog.Nop()) }()
		return ended
	}
}

// endsInTime holds that a process has ended by itself before it could be killed.
func endsInTime(t *testing.T, since time.Time, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		assert.NoError(t, err)
		assert.Less(t, time.Since(since), killWithin)
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

// reached connects once a process listens.
func reached(t *testing.T, url string) *client {
	assert.Eventually(t, func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err == nil {
			c.Close()
		}
		return err == nil
	}, 5*time.Second, time.Millisecond)
	return connected(t, url)
}

func TestSignalThatCameBeforeTheListenerStillServesWhoComes(t *testing.T) {
	p, url := placed(t, 10*time.Millisecond)
	heard, start := told(p, nil)
	heard.end <- syscall.SIGTERM
	began := time.Now()
	ended := start()
	c := reached(t, url)
	c.asks("a1")
	status, closes, _ := c.hears(t)
	assert.Equal(t, []any{200, true}, []any{status, closes})
	endsInTime(t, began, ended)
}

func TestSignalToEndThatComesWhileSettingsAreRead(t *testing.T) {
	for name, broken := range map[string]error{"sound": nil, "broken": errors.New("half a file")} {
		t.Run(name, func(t *testing.T) {
			p, url := placed(t, 300*time.Millisecond)
			var heard *signals
			var signalled time.Time
			read := make(chan bool, 1)
			heard, start := told(p, func() (*Config, error) {
				signalled = time.Now()
				heard.end <- syscall.SIGTERM
				read <- true
				next := p
				return &next, broken
			})
			ended := start()
			c := reached(t, url)
			c.asks("a1")
			heard.reload <- syscall.SIGHUP
			<-read
			status, closes, _ := c.hears(t)
			assert.Equal(t, []any{200, true}, []any{status, closes})
			endsInTime(t, signalled, ended)
		})
	}
}

func TestWorkerThatHangsKeepsNoProcessWhereNothingMayBeCalledOff(t *testing.T) {
	p, url := placed(t, time.Minute)
	p.Balancer.Cancellation = false
	p.Balancer.Operations[0].Idempotency = balancer.NonIdempotent
	p.AdminListen = freeAddress(t)
	heard, start := told(p, nil)
	ended := start()
	c := reached(t, url)
	io.WriteString(c, "POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: render\r\nReq-Deadline: 30\r\n\r\n")
	gone := reached(t, url)
	io.WriteString(gone, "POST /api HTTP/1.1\r\nReq-Id: a2\r\nReq-Kind: render\r\nReq-Deadline: 30\r\n\r\n")
	out := func() bool { return strings.Contains(called(t, p.AdminListen, "DUMP"), "svc.forwards=2\n") }
	assert.Eventually(t, out, 5*time.Second, time.Millisecond)
	gone.Close()
	signalled := time.Now()
	heard.end <- syscall.SIGTERM
	status, _, _ := c.hears(t)
	assert.Contains(t, []int{429, 502}, status)
	endsInTime(t, signalled, ended)
}

// Clients that keep their connections ask on until they are told that theirs ends: each gets every answer.
func TestClientsThatAskOnWhileTheProcessEndsGetEachAnswer(t *testing.T) {
	p, url := placed(t, 5*time.Millisecond)
	heard, start := told(p, nil)
	ended := start()
	reached(t, url)
	var clients sync.WaitGroup
	asking := make(chan bool, 64)
	for n := range 12 {
		clients.Go(func() {
			c := connected(t, url)
			for m := range 1000 {
				c.asks(fmt.Sprintf("c%d.%d", n, m))
				status, closes, _ := c.hears(t)
				if !assert.Contains(t, []int{200, 429, 503}, status) || closes {
					return
				}
				if m == 3 {
					asking <- true
				}
			}
			t.Error("it is never told")
		})
	}
	for range 12 {
		<-asking
	}
	signalled := time.Now()
	heard.end <- syscall.SIGTERM
	clients.Wait()
	endsInTime(t, signalled, ended)
}

// One that sends ahead without end is not waited for.
func TestClientThatAsksWithoutEndKeepsNoProcess(t *testing.T) {
	p, url := placed(t, time.Millisecond)
	heard, start := told(p, nil)
	ended := start()
	c := reached(t, url)
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
	heard.end <- syscall.SIGTERM
	endsInTime(t, signalled, ended)
}
