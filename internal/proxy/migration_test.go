package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
	"canvasroute/internal/transport"
)

// retryInterval is the time between two tries to pause or export.
const retryInterval = 5 * time.Millisecond

// What arrives while a request is paused is read as if there had been no pause, in whatever pieces it comes.
func TestPausedRequestContinuesAndGetsItsAnswer(t *testing.T) {
	text := peertest.Complete(startedLine, doneLine)
	p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		for _, next := range []byte(text) {
			time.Sleep(time.Millisecond)
			_, _ = conn.Write([]byte{next})
		}
	}))
	p.config.MigratesRequests = true
	ignore := func(*MigratedRequest, syscall.Conn, map[int]syscall.Conn) error { return nil }
	answers := startServe(context.Background(), p, requestHead("idem"))
	for pauses := 0; ; pauses++ {
		pauseAndResumeAll(p)
		select {
		case response := <-answers:
			assert.Equal(t, []any{200, "r"}, []any{response.Status, string(response.Body)})
			assert.Greater(t, pauses, 3)
			p.ExportAll(ignore)
			return
		case <-time.After(retryInterval):
		}
	}
}

// pauseAndResumeAll pauses each attempt that can be paused, and resumes it.
func pauseAndResumeAll(p *Proxy) {
	p.inFlight.Range(func(key, _ any) bool {
		for _, a := range key.(*inFlightRequest).attemptsInFlight() {
			if a.pause.request() {
				a.pause.resume()
			}
		}
		return true
	})
}

// Its client must not wait for ever, and its worker's connection must not be used for another request.
func TestRequestFailsWhenMigrationFails(t *testing.T) {
	p := newProxy(peertest.StartServer(t, peertest.RespondWith(peertest.Chunked(startedLine))))
	p.config.MigratesRequests = true
	answers := startServe(context.Background(), p, requestHead("once"))
	assert.Eventually(t, func() bool { return p.counters.sent.Load() == 1 }, peertest.EventTimeout, peertest.PollInterval)
	refuse := func(*MigratedRequest, syscall.Conn, map[int]syscall.Conn) error { return errors.New("refused") }
	for {
		p.ExportAll(refuse)
		select {
		case response := <-answers:
			assert.Equal(t, 502, response.Status, "it may have been executed")
			assert.NoError(t, p.background.Wait())
			assert.Equal(t, 0, p.balancer.OpenRequests())
			return
		case <-time.After(retryInterval):
		}
	}
}

func TestImportRefusesUnknownWorkerAndMalformedRequest(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	_, err := p.Import([]byte(`{"Decided":{"Forwards":[{"Tgt":0}]},"Hosts":["nobody"]}`), nil)
	assert.ErrorContains(t, err, `"nobody"`)
	_, err = p.Import([]byte(`{`), nil)
	assert.Error(t, err)
}

// A reader that stops just as the wait for it times out would otherwise wait for ever.
func TestPauseAtItsTimeoutIsNotLost(t *testing.T) {
	pause := newReadPause()
	conn, other := net.Pipe()
	defer other.Close()
	pause.begin(transport.NewPool(1, time.Minute, zerolog.Nop()).Import(conn, "", nil))
	results := make(chan bool)
	go func() { results <- pause.request() }()
	isRequested := func() bool {
		pause.mu.Lock()
		defer pause.mu.Unlock()
		return pause.requested
	}
	assert.Eventually(t, isRequested, peertest.EventTimeout, peertest.PollInterval)
	pause.mu.Lock() // as wait does, while the request times out
	time.Sleep(2 * pauseTimeout)
	pause.requested = false
	pause.paused <- struct{}{}
	pause.mu.Unlock()
	assert.True(t, <-results)
}
