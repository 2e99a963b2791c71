package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// retryInterval is the interval between attempts to pause or export.
const retryInterval = 5 * time.Millisecond

// Bytes that arrive during a pause must be read as if there had been no pause, regardless of where the data is split.
func TestPausedRequestResumesAndSucceeds(t *testing.T) {
	text := peertest.CompleteResponse(startedLine, doneLine)
	p := newProxy(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
		for _, next := range []byte(text) {
			time.Sleep(time.Millisecond)
			_, _ = conn.Write([]byte{next})
		}
	}))
	p.config.MigratesRequests = true
	ignore := func(*MigratedRequest, syscall.Conn, map[int]syscall.Conn) error { return nil }
	responses := startServe(context.Background(), p, requestHead("idem"))
	for pauses := 0; ; pauses++ {
		pauseAndResumeAll(p)
		select {
		case response := <-responses:
			assert.Equal(t, []any{200, "r"}, []any{response.Status, string(response.Body)})
			assert.Greater(t, pauses, 3)
			p.ExportAll(t.Context(), ignore)
			return
		case <-time.After(retryInterval):
		}
	}
}

// pauseAndResumeAll pauses and resumes each attempt that can be paused.
func pauseAndResumeAll(p *Proxy) {
	p.inFlight.Range(func(key, _ any) bool {
		for _, a := range key.(*inFlightRequest).attemptsInFlight() {
			if a.pause.tryPause() {
				a.pause.resumeReader()
			}
		}
		return true
	})
}

// When a migration fails, the client must not wait forever, and the connection to the worker must not be reused.
func TestRequestFailsWhenMigrationFails(t *testing.T) {
	p := newProxy(peertest.StartServer(t, peertest.RespondWith(peertest.ResponseStart(startedLine))))
	p.config.MigratesRequests = true
	responses := startServe(context.Background(), p, requestHead("once"))
	assert.Eventually(t, func() bool { return p.counters.sent.Load() == 1 }, peertest.EventTimeout, peertest.PollInterval)
	refuse := func(*MigratedRequest, syscall.Conn, map[int]syscall.Conn) error { return errors.New("refused") }
	for {
		p.ExportAll(t.Context(), refuse)
		select {
		case response := <-responses:
			assert.Equal(t, 502, response.Status, "the request may have been executed")
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

// A migrated request that cannot be continued may have been executed, so its ID must not be served again.
func TestIDOfARequestThatCannotBeImportedIsRefused(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	text, err := json.Marshal(MigratedRequest{
		Request:   &protocol.Request{ID: "a1"},
		Balancing: balancer.MigratedRequest{Idempotency: balancer.NonIdempotent, Attempts: make([]balancer.MigratedAttempt, 1)},
		Workers:   []string{"nobody"},
	})
	assert.NoError(t, err)
	_, err = p.Import(text, nil)
	assert.ErrorContains(t, err, `"nobody"`)
	assert.Equal(t, 409, serve(p, requestHead("once")).Status)
}

// If the reader stops at the same time as the call of tryPause times out, tryPause must report the pause. Otherwise the
// reader would wait forever.
func TestPauseAtTimeoutIsReported(t *testing.T) {
	pause := newReadPause()
	conn, other := net.Pipe()
	defer other.Close()
	pause.enable(transport.NewPool(1, time.Minute, zerolog.Nop()).Import(conn, "", nil))
	results := make(chan bool)
	go func() { results <- pause.tryPause() }()
	isRequested := func() bool {
		pause.mu.Lock()
		defer pause.mu.Unlock()
		return pause.requested
	}
	assert.Eventually(t, isRequested, peertest.EventTimeout, peertest.PollInterval)
	pause.mu.Lock() // like readPause.awaitDecision, while the call of tryPause times out
	time.Sleep(2 * pauseTimeout)
	pause.requested = false
	pause.paused <- struct{}{}
	pause.mu.Unlock()
	assert.True(t, <-results)
}
