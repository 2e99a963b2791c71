package discoveryserver

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestChangesAreVisibleAfterTheLagAndStayVisible(t *testing.T) {
	catalog := NewCatalog(time.Second)
	catalog.Update(0, Entry{Worker: 0, State: Ready})
	catalog.Update(500*time.Millisecond, Entry{Worker: 1, State: Ready})
	assert.Equal(t, 0, catalog.Version(900*time.Millisecond))
	assert.Equal(t, 1, catalog.Version(1100*time.Millisecond))
	catalog.SetLag(1100*time.Millisecond, 10*time.Second)
	assert.Equal(t, 1, catalog.Version(2*time.Second), "the second change is delayed, the first stays visible")
	catalog.SetLag(2*time.Second, 0)
	assert.Equal(t, 2, catalog.Version(2*time.Second))
}

func TestChangesSinceReturnsLatestEntries(t *testing.T) {
	catalog := NewCatalog(0)
	for n := range 3 {
		catalog.Update(0, Entry{Worker: n, State: Ready})
	}
	catalog.Update(1, Entry{Worker: 1, State: Terminating})
	catalog.Update(2, Entry{Worker: 1, State: Gone})
	changes := catalog.ChangesSince(2, 3)
	assert.Equal(t, []any{5, false, 1, Gone},
		[]any{changes.Version, changes.Complete, len(changes.Entries), changes.Entries[0].State})
	for _, unknown := range []int{0, 77} {
		list := catalog.ChangesSince(2, unknown)
		assert.True(t, list.Complete)
		assert.Len(t, list.Entries, 3)
	}
	gone := List{Version: 5, Complete: true, Entries: []Entry{{Name: "w1", State: Gone, Addresses: []string{""}}}}
	assert.NotContains(t, string(encode(gone, 0)), "w1")
}

// runServer runs a server until the end of the test, or until the returned function is called.
func runServer(t *testing.T, server *Server) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return stop
}

// startServer runs a server that lists one worker. The returned function returns the states reported so far.
func startServer(t *testing.T) (*Server, func() []State) {
	t.Helper()
	startedAt, states, mu := time.Now(), []State{}, sync.Mutex{}
	catalog := NewCatalog(0)
	catalog.Update(0, Entry{Worker: 0, Name: "w0", Addresses: []string{"127.0.0.1:1", "127.0.0.1:2"}, State: Ready})
	server, err := New(catalog, 2, func() time.Duration { return time.Since(startedAt) }, func(_ int, entry Entry) {
		mu.Lock()
		defer mu.Unlock()
		states = append(states, entry.State)
	})
	assert.NoError(t, err)
	runServer(t, server)
	return server, func() []State {
		mu.Lock()
		defer mu.Unlock()
		return append([]State{}, states...)
	}
}

// protocolList decodes a list by the field names of the protocol, so that a test detects a changed name in wireList.
type protocolList struct {
	Seq   int
	Whole bool
	Hosts []wireEndpoint
}

func TestWatchSendsAddressesForItsDispatcherAndEndsInAnOutage(t *testing.T) {
	server, notified := startServer(t)
	watch, err := http.Get("http://" + server.Address(1) + "/catalog/members?stream=1&index=0")
	assert.NoError(t, err)
	defer watch.Body.Close()
	lines := bufio.NewScanner(watch.Body)
	read := func() (list protocolList) {
		assert.True(t, lines.Scan())
		assert.NoError(t, json.Unmarshal(lines.Bytes(), &list))
		return list
	}
	first := read()
	assert.True(t, first.Whole)
	assert.Equal(t, "127.0.0.1:2", first.Hosts[0].Address)
	server.Update(Entry{Worker: 0, Name: "w0", Addresses: []string{"", ""}, State: Terminating})
	second := read()
	assert.Equal(t, []any{2, false, Terminating}, []any{second.Seq, second.Whole, second.Hosts[0].State})
	assert.Eventually(t, func() bool { return len(notified()) == 2 }, time.Second, time.Millisecond)
	assert.Equal(t, []State{Ready, Terminating}, notified())
	server.SetOutage(Down)
	assert.False(t, lines.Scan(), "the watch is closed")
	_, err = http.Get("http://" + server.Address(0) + "/catalog/members")
	assert.Error(t, err)
	server.SetOutage(Unavailable)
	answer, err := http.Get("http://" + server.Address(0) + "/catalog/members")
	assert.NoError(t, err)
	assert.Equal(t, 503, answer.StatusCode)
	answer.Body.Close()
	server.SetOutage(Healthy)
	answer, err = http.Get("http://" + server.Address(0) + "/catalog/members?stream=1&index=x")
	assert.NoError(t, err)
	assert.Equal(t, 400, answer.StatusCode)
	answer.Body.Close()
}

func TestReadyEntryIsReportedBeforeItIsSent(t *testing.T) {
	var read atomic.Bool
	readBefore := make(chan bool, 1) // whether the client had read the line when its entry was reported
	catalog := NewCatalog(0)
	catalog.Update(0, Entry{Worker: 0, Name: "w0", Addresses: []string{"127.0.0.1:1"}, State: Ready})
	server, err := New(catalog, 1, func() time.Duration { return 0 }, func(int, Entry) {
		time.Sleep(50 * time.Millisecond) // longer than the transmission of a line takes
		readBefore <- read.Load()
	})
	assert.NoError(t, err)
	stop := runServer(t, server)
	watch, err := http.Get("http://" + server.Address(0) + "/catalog/members?stream=1&index=0")
	assert.NoError(t, err)
	_, err = watch.Body.Read(make([]byte, 1))
	assert.NoError(t, err)
	read.Store(true)
	assert.False(t, <-readBefore)
	watch.Body.Close()
	stop()
}
