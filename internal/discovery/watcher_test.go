package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
	"canvasroute/internal/transport"
)

// Each test in this file forces a rare order of two events (docs/crossings.md).

// The balancer may send a request to a restarted worker as soon as it is updated with the restart. All connections to
// the previous process must be closed before that.
func TestConnectionsToPreviousProcessAreClosedBeforeBalancerIsUpdated(t *testing.T) {
	address := peertest.StartServer(t, func(net.Conn, *http.Request) {})
	w := newWatcherWithWorker(peertest.ClosedAddress, address)
	conn, err := w.pool.Get(context.Background(), address, transport.AnyConnection)
	assert.NoError(t, err)
	w.pool.Put(conn)
	assert.Equal(t, 1, w.pool.OpenConnections())
	called := false
	w.hooks.beforeUpdate = func() {
		called = true
		assert.Zero(t, w.pool.OpenConnections())
	}
	line := fmt.Sprintf(`{"seq":9,"whole":false,"hosts":[{"host":"w","health":"Ready","born_ms":%d}]}`,
		time.Now().UnixMilli())
	assert.NoError(t, w.applyLine([]byte(line)))
	assert.True(t, called)
}

// SIGHUP changes the address, to another one and back, between the end of a watch and its report. The last address must
// be polled immediately, and no watch may remain at the previous one.
func TestAddressChangeWhileWatchIsLostTakesEffectImmediately(t *testing.T) {
	next, polled := startService(t, peertest.ResponseStart(emptyList(9)))
	w := newWatcher(peertest.StartServer(t, peertest.RespondAndClose(unavailableResponse)))
	changed := make(chan bool)
	w.hooks.beforeReport = func() {
		w.hooks.beforeReport = nil
		go func() {
			w.SetAddress(next)
			w.SetAddress(peertest.ClosedAddress)
			w.SetAddress(next)
			close(changed)
		}()
		select {
		case <-changed: // unexpected, because SetAddress waits for the report
		case <-time.After(50 * time.Millisecond):
		}
	}
	runWatcher(t, w)
	peertest.Receive(t, changed)
	peertest.Receive(t, polled)
	awaitVersion(t, w, 9)
}

// SIGHUP changes the address while the previous address is polled, or while a line of its watch is applied.
func TestAddressChangeTakesEffectDuringPollAndUpdate(t *testing.T) {
	t.Run("during a poll", func(t *testing.T) {
		previous, _ := startService(t, "HTTP/1.1 200 OK\r\nTransfer-")
		next, polled := startService(t, peertest.ResponseStart(emptyList(9)))
		w := newWatcher(previous)
		runWatcher(t, w)
		assert.Eventually(t, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.cancelWatch != nil
		}, peertest.EventTimeout, peertest.PollInterval)
		w.SetAddress(next)
		peertest.Receive(t, polled)
		awaitVersion(t, w, 9)
	})
	t.Run("during an update", func(t *testing.T) {
		previous, _ := startService(t, peertest.ResponseStart(emptyList(8)))
		next, polled := startService(t, peertest.ResponseStart(emptyList(9)))
		w := newWatcher(previous)
		w.hooks.beforeUpdate = func() {
			w.hooks.beforeUpdate = nil
			w.SetAddress(next)
		}
		runWatcher(t, w)
		peertest.Receive(t, polled)
		awaitVersion(t, w, 9)
	})
}
