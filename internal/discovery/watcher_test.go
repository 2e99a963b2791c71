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

// Each test here forces one order of two events that seldom come in it (docs/crossings.md).

// The balancer sends to a restarted worker as soon as it knows of the restart. By then no connection to the process
// before may be left.
func TestConnectionsToPreviousProcessAreClosedBeforeBalancerIsUpdated(t *testing.T) {
	address := peertest.StartServer(t, func(net.Conn, *http.Request) {})
	w := newWatcherOf(peertest.ClosedAddress, address)
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

// SIGHUP changes the address between the end of a watch and its report, twice, there and back: the new address is
// polled at once, and no watch continues at the previous one.
func TestAddressChangeWhileWatchIsLostTakesEffectAtOnce(t *testing.T) {
	next, polled := startService(t, peertest.Chunked(emptyList(9)))
	w := newWatcher(peertest.StartServer(t, peertest.RespondAndClose(unavailable)))
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
		case <-changed: // it must wait for the report
		case <-time.After(50 * time.Millisecond):
		}
	}
	runWatcher(t, w)
	peertest.Receive(t, changed)
	peertest.Receive(t, polled)
	awaitVersion(t, w, 9)
}

// SIGHUP changes the address while the previous one is polled, or while a line from there is applied.
func TestAddressChangeTakesEffectDuringPollAndUpdate(t *testing.T) {
	t.Run("during a poll", func(t *testing.T) {
		previous, _ := startService(t, "HTTP/1.1 200 OK\r\nTransfer-")
		next, polled := startService(t, peertest.Chunked(emptyList(9)))
		w := newWatcher(previous)
		runWatcher(t, w)
		assert.Eventually(t, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.stop != nil
		}, peertest.EventTimeout, peertest.PollInterval)
		w.SetAddress(next)
		peertest.Receive(t, polled)
		awaitVersion(t, w, 9)
	})
	t.Run("during an update", func(t *testing.T) {
		previous, _ := startService(t, peertest.Chunked(emptyList(8)))
		next, polled := startService(t, peertest.Chunked(emptyList(9)))
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
