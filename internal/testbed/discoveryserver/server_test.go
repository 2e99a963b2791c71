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
	c := NewCatalog(time.Second)
	c.Update(0, Entry{Worker: 0, State: Ready})
	c.Update(500*time.Millisecond, Entry{Worker: 1, State: Ready})
	assert.Equal(t, 0, c.Version(900*time.Millisecond))
	assert.Equal(t, 1, c.Version(1100*time.Millisecond))
	c.SetLag(1100*time.Millisecond, 10*time.Second)
	assert.Equal(t, 1, c.Version(2*time.Second), "the second is delayed, the first stays visible")
	c.SetLag(2*time.Second, 0)
	assert.Equal(t, 2, c.Version(2*time.Second))
}

func TestWatchersGetChangesSinceTheirVersion(t *testing.T) {
	c := NewCatalog(0)
	for n := range 3 {
		c.Update(0, Entry{Worker: n, State: Ready})
	}
	c.Update(1, Entry{Worker: 1, State: Terminating})
	c.Update(2, Entry{Worker: 1, State: Gone})
	version, complete, entries := c.ChangesSince(2, 3)
	assert.Equal(t, []any{5, false, 1, Gone}, []any{version, complete, len(entries), entries[0].State})
	for _, unknown := range []int{0, 77} {
		_, complete, entries = c.ChangesSince(2, unknown)
		assert.True(t, complete)
		assert.Len(t, entries, 3)
	}
	assert.NotContains(t, string(encode(5, true, []Entry{{Name: "w1", State: Gone, Addresses: []string{""}}}, 0)),
		"w1")
}

// startServer runs a server that lists one worker, and returns a function for the states reported so far.
func startServer(t *testing.T) (*Server, func() []State) {
	t.Helper()
	startedAt, states, mu := time.Now(), []State{}, sync.Mutex{}
	c := NewCatalog(0)
	c.Update(0, Entry{Worker: 0, Name: "w0", Addresses: []string{"127.0.0.1:1", "127.0.0.1:2"}, State: Ready})
	s, err := New(c, 2, func() time.Duration { return time.Since(startedAt) }, func(_ int, e Entry) {
		mu.Lock()
		defer mu.Unlock()
		states = append(states, e.State)
	})
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return s, func() []State {
		mu.Lock()
		defer mu.Unlock()
		return append([]State{}, states...)
	}
}

func TestWatchHasTheDispatchersAddressesAndEndsInAnOutage(t *testing.T) {
	s, notified := startServer(t)
	a, err := http.Get("http://" + s.Address(1) + "/catalog/members?stream=1&index=0")
	assert.NoError(t, err)
	defer a.Body.Close()
	lines := bufio.NewScanner(a.Body)
	read := func() (l struct {
		Seq   int
		Whole bool
		Hosts []wireEndpoint
	},
	) {
		assert.True(t, lines.Scan())
		assert.NoError(t, json.Unmarshal(lines.Bytes(), &l))
		return l
	}
	first := read()
	assert.True(t, first.Whole)
	assert.Equal(t, "127.0.0.1:2", first.Hosts[0].Address)
	s.Update(Entry{Worker: 0, Name: "w0", Addresses: []string{"", ""}, State: Terminating})
	second := read()
	assert.Equal(t, []any{2, false, Terminating}, []any{second.Seq, second.Whole, second.Hosts[0].State})
	assert.Eventually(t, func() bool { return len(notified()) == 2 }, time.Second, time.Millisecond)
	assert.Equal(t, []State{Ready, Terminating}, notified())
	s.SetOutage(Down)
	assert.False(t, lines.Scan(), "the watch ends")
	_, err = http.Get("http://" + s.Address(0) + "/catalog/members")
	assert.Error(t, err)
	s.SetOutage(Unavailable)
	b, err := http.Get("http://" + s.Address(0) + "/catalog/members")
	assert.NoError(t, err)
	assert.Equal(t, 503, b.StatusCode)
	b.Body.Close()
	s.SetOutage(Healthy)
	b, err = http.Get("http://" + s.Address(0) + "/catalog/members?stream=1&index=x")
	assert.NoError(t, err)
	assert.Equal(t, 400, b.StatusCode)
	b.Body.Close()
}

func TestReadyIsReportedBeforeItIsWritten(t *testing.T) {
	var read atomic.Bool
	known := make(chan bool, 1)
	c := NewCatalog(0)
	c.Update(0, Entry{Worker: 0, Name: "w0", Addresses: []string{"127.0.0.1:1"}, State: Ready})
	s, err := New(c, 1, func() time.Duration { return 0 }, func(int, Entry) {
		time.Sleep(50 * time.Millisecond) // longer than a line takes to arrive
		known <- read.Load()
	})
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	a, err := http.Get("http://" + s.Address(0) + "/catalog/members?stream=1&index=0")
	assert.NoError(t, err)
	_, err = a.Body.Read(make([]byte, 1))
	assert.NoError(t, err)
	read.Store(true)
	assert.False(t, <-known)
	a.Body.Close()
	cancel()
	assert.NoError(t, <-done)
}
